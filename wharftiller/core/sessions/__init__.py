"""Sessions of callers: statements, routes, endpoints, and the choice among endpoints."""
