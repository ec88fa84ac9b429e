"""Determine which tombstoned boxes hold no lease."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.leadership.lease import holds_no_lease

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory


@attrs.frozen
class _Tombstone:
    """A tombstone of a box.

    Attributes
    ----------
    revision : int
        Revision of the tombstoned entry; another revision is another tombstone.
    read_at : float
        When this box first read it, in seconds.
    """

    revision: int
    read_at: float


class Tombstones:
    """The tombstones that this box has read, and when it last answered each box's renewals."""

    def __init__(self, directory: BoxDirectory) -> None:
        self._directory = directory
        self._tombstones: dict[str, _Tombstone] = {}
        self._renewal_answered_at: dict[str, float] = {}

    def replace(self, tombstones: dict[str, int]) -> None:
        """Replace the tombstones by those of a read of the platform, as revisions by box."""
        now = trio.current_time()
        self._tombstones = {
            name: known
            if (known := self._tombstones.get(name)) is not None and known.revision == revision
            else _Tombstone(revision, now)
            for name, revision in tombstones.items()
        }

    def age_s(self, box: str, now: float) -> float:
        """Return how long ago this box first read the current tombstone; 0 if there is none."""
        tombstone = self._tombstones.get(box)
        return 0.0 if tombstone is None else now - tombstone.read_at

    def record_renewal(self, box: str) -> None:
        """Record that this box answers a renewal of ``box`` now."""
        self._renewal_answered_at[box] = trio.current_time()

    def confirmed_dead(self) -> list[str]:
        """Return the tombstoned boxes that hold no lease."""
        now = trio.current_time()
        listed_s = self._directory.listed_s(now)
        return [
            name
            for name, tombstone in self._tombstones.items()
            if holds_no_lease(
                tombstone.read_at, self._renewal_answered_at.get(name, -math.inf), listed_s, now
            )
        ]
