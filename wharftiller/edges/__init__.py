"""Interfaces to other processes: callers, endpoints, the platform, peers, operators."""
