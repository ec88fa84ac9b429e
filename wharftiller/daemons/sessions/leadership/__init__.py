"""Failovers of groups."""
