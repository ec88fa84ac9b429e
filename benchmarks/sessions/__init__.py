"""Experiments on the session proxy: load, faults and policies over stand-ins, in virtual time."""
