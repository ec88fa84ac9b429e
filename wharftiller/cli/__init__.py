"""Commands of the daemons and of operators."""
