"""What came of a question to another box: what it says of whether that box still works."""

from __future__ import annotations

import enum


class ProbeOutcome(enum.Enum):
    """What came of a question.

    Attributes
    ----------
    REFUSED
        Nobody listens there: its process has ended.
    SILENT
        No answer in time: the box may be slow, cut off or without power.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"
