"""Connections to endpoints, and what is known of endpoints through them."""
