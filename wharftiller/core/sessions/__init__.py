"""Callers' sessions as connections: statements, routes, endpoints, the choice among them."""
