"""Outcome of a request to another box, as evidence of whether that box is alive."""

from __future__ import annotations

import enum


class ProbeOutcome(enum.Enum):
    """Outcome of a request to another box.

    Attributes
    ----------
    ANSWERED
        A reply was received.
    REFUSED
        The connection was refused: the box's process has ended.
    SILENT
        No reply in time: the box may be slow, partitioned or without power.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"
