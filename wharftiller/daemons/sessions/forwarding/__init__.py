"""Statements passed between boxes where connections are scarce."""
