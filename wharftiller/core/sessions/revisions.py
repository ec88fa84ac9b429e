"""Account for the platform's changes: which revisions this box has seen, and which it missed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_COUNTED = 1_000
"""Revisions gone through one by one; more of them at once count as missed."""


class RevisionTracker:
    """What is known of each revision of the platform since the last one settled.

    The platform raises one revision for every change of anything. Boxes that start and
    stop raise it too, and whoever follows configuration and endpoints must not take that
    for a change that its watches did not tell, and read both lists again for every box that
    starts.

    Every change has a revision of its own. So where the objects seen account for as many
    revisions as there were, nothing else can have changed.

    Attributes
    ----------
    settled : int
        Revision up to which every change was seen or looked for.
    """

    def __init__(self) -> None:
        self.settled = 0
        self._seen: set[int] = set()
        self._entries: Mapping[str, int] = {}
        self._listed_at = 0
        self._removed = 0

    def saw(self, revisions: Iterable[int]) -> None:
        """Note the revisions of objects that were read or told."""
        self._seen.update(revision for revision in revisions if revision > self.settled)

    def listed(self, entries: Mapping[str, int], revision: int) -> None:
        """Note the revision of every entry of the boxes' own, as read at ``revision``."""
        self.saw(entries.values())
        if self._listed_at >= self.settled:
            # Removed since the last list, so by a change that is not settled yet.
            self._removed += len(self._entries.keys() - entries.keys())
        self._entries = entries
        self._listed_at = revision

    def misses(self, revision: int) -> bool:
        """Return whether a change up to ``revision`` may be one that was not seen."""
        changes = revision - self.settled
        if changes > MAX_COUNTED:
            return True
        known = sum(1 for each in self._seen if self.settled < each <= revision)
        return changes > known + self._removed

    def settle(self, revision: int) -> None:
        """Take every change up to ``revision`` as seen or looked for."""
        if revision <= self.settled:
            return
        self.settled = revision
        self._removed = 0
        self._seen = {each for each in self._seen if each > revision}
