"""How many connections to one endpoint a box of a session proxy may keep."""

from __future__ import annotations

SET_ASIDE = 2
"""Connections of each endpoint set aside for status checks and for boxes that join."""


def connection_share(max_connections: int, boxes: int) -> int:
    """Return the connections to one endpoint that one of ``boxes`` boxes may keep.

    Boxes' lists may differ for a moment; the endpoint's refusal, which runs
    nothing, is the backstop.
    """
    return max(1, (max_connections - SET_ASIDE) // max(boxes, 1))
