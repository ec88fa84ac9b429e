"""Changes of primary."""
