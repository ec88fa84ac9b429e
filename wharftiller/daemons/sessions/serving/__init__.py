"""Callers' sessions and their statements."""
