"""Tracking of the platform's revisions, to detect changes that a watch did not deliver."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_COUNTED = 1_000
"""Maximum of revisions compared one by one; a larger gap counts as missed."""


class RevisionTracker:
    """The revisions seen since the last settled one.

    Every change of any object raises the platform's revision by one, also when boxes start and
    stop. Watches of configuration and endpoints must not take these revisions for changes that
    were not delivered, or both lists would be read again for every box that starts.

    Since each change has a revision of its own, nothing was missed if the objects seen account
    for as many revisions as there were.

    Attributes
    ----------
    settled : int
        Revision up to which no change is missing.
    """

    def __init__(self) -> None:
        self.settled = 0
        self._seen: set[int] = set()
        self._entries: Mapping[str, int] = {}
        self._listed_at = 0
        self._removed = 0

    def record_seen(self, revisions: Iterable[int]) -> None:
        """Record the revisions of objects that were read or delivered by a watch."""
        self._seen.update(revision for revision in revisions if revision > self.settled)

    def record_list(self, entries: Mapping[str, int], revision: int) -> None:
        """Record the revision of every box's entry, as read at ``revision``."""
        self.record_seen(entries.values())
        if self._listed_at >= self.settled:
            # Removed since the last list, which is not older than the settled revision.
            self._removed += len(self._entries.keys() - entries.keys())
        self._entries = entries
        self._listed_at = revision

    def misses(self, revision: int) -> bool:
        """Return whether a change up to ``revision`` may have been missed."""
        changes = revision - self.settled
        if changes > MAX_COUNTED:
            return True
        seen = sum(1 for each in self._seen if self.settled < each <= revision)
        return changes > seen + self._removed

    def settle(self, revision: int) -> None:
        """Record that no change up to ``revision`` is missing."""
        if revision <= self.settled:
            return
        self.settled = revision
        self._removed = 0
        self._seen = {each for each in self._seen if each > revision}
