"""The edges to outside parties: callers, endpoints, the platform, peers, operators."""
