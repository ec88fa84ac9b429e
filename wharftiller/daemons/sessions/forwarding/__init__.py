"""Forwarding of statements to gateway boxes where connections are scarce."""
