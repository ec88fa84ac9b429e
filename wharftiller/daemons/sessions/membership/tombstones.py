"""Which of the boxes marked as dead surely hold no lease any more."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.leadership.lease import holds_no_lease

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory


@attrs.frozen
class _Mark:
    """A mark that a box is dead.

    Attributes
    ----------
    revision : int
        Of the marked entry; another one is another mark.
    read_at : float
        When this box first read it, in seconds.
    """

    revision: int
    read_at: float


class Tombstones:
    """The marks that this box has read, and when it last answered each box's rounds."""

    def __init__(self, directory: BoxDirectory) -> None:
        self._directory = directory
        self._marks: dict[str, _Mark] = {}
        self._answered_at: dict[str, float] = {}

    def take(self, marks: dict[str, int]) -> None:
        """Take in which boxes an own read of the platform shows as dead, by entry's revision."""
        now = trio.current_time()
        self._marks = {
            name: known
            if (known := self._marks.get(name)) is not None and known.revision == revision
            else _Mark(revision, now)
            for name, revision in marks.items()
        }

    def note_answered(self, box: str) -> None:
        """Note that a round of another box is being answered."""
        self._answered_at[box] = trio.current_time()

    def confirmed_dead(self) -> list[str]:
        """Return the boxes marked as dead that hold no lease any more."""
        now = trio.current_time()
        listed_s = self._directory.listed_s(now)
        return [
            name
            for name, mark in self._marks.items()
            if holds_no_lease(mark.read_at, self._answered_at.get(name, -math.inf), listed_s, now)
        ]
