"""Callers' sessions kept as connections: statements, routes, endpoints and the choice among them."""
