"""How many connections to one endpoint a box of a session proxy may keep."""

from __future__ import annotations

SET_ASIDE = 2
"""Connections of each endpoint set aside for status checks and for boxes that join."""

KEPT_DIVISOR = 2
"""One in so many of the connections that a box could have is kept.

Connections of boxes that lost power stay open until the endpoints notice; as many as those
must be free when all boxes start again.
"""


def connection_share(max_connections: int, boxes: int) -> int:
    """Return the connections to one endpoint that one of ``boxes`` boxes may keep.

    Boxes' lists may differ for a moment; the endpoint's refusal, which runs
    nothing, is the backstop.
    """
    return max(1, most_connections(max_connections, boxes) // KEPT_DIVISOR)


def most_connections(max_connections: int, boxes: int) -> int:
    """Return the connections to one endpoint that each of ``boxes`` boxes could have."""
    return (max_connections - SET_ASIDE) // max(boxes, 1)
