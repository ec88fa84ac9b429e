"""The daemons: a core composed with its edges."""
