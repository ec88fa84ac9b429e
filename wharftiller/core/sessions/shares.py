"""A box's share of the connections to one endpoint."""

from __future__ import annotations

RESERVED_CONNECTIONS = 2
"""Connections of each endpoint reserved for status checks and for boxes that join."""

KEPT_DIVISOR = 2
"""A box keeps its equal part of the connections divided by this.

Connections of boxes that lost power stay open until the endpoints notice; as many must be free
for the boxes to reconnect when they start again.
"""


def connection_share(max_connections: int, boxes: int) -> int:
    """Return the connections to one endpoint that one of ``boxes`` boxes may keep.

    Boxes may count each other differently for a moment; the endpoint's refusal, which runs
    nothing, still enforces the limit.
    """
    return max(1, most_connections(max_connections, boxes) // KEPT_DIVISOR)


def most_connections(max_connections: int, boxes: int) -> int:
    """Return the connections to one endpoint that each of ``boxes`` boxes could have."""
    return (max_connections - RESERVED_CONNECTIONS) // max(boxes, 1)
