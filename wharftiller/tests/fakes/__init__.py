"""Small fakes at the interfaces: a network in memory and the daemons on it."""
