"""The daemons: each connects a core to its edges."""
