"""Take in what boxes share through the platform, whoever read it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.tombstones import Tombstones
    from wharftiller.daemons.sessions.state import SharedState


class SnapshotApplier:
    """Brings listings into this box's view of the other boxes and of the leases."""

    def __init__(
        self, state: SharedState, directory: BoxDirectory, marks: Tombstones, box: Box
    ) -> None:
        self._state = state
        self._directory = directory
        self._tombstones = marks
        self._box = box

    def others(self, snapshot: PlatformSnapshot) -> dict[str, Box]:
        """Return the other boxes of ``snapshot``."""
        return {name: box for name, box in snapshot.boxes.items() if name != self._box.name}

    def holds_this_process(self, snapshot: PlatformSnapshot) -> bool:
        """Return whether this very process stands in ``snapshot``, and not marked as dead."""
        return snapshot.boxes.get(self._box.name) == self._box

    def take(self, snapshot: PlatformSnapshot, asked_at: float) -> bool:
        """Take in what was read from the platform, asked for at ``asked_at`` (seconds).

        Returns
        -------
        bool
            Whether this process stands in the list; only then does the read count.
        """
        others = self.others(snapshot)
        self._directory.replace_list(others)
        self._tombstones.take(snapshot.marks)
        if not self.holds_this_process(snapshot):
            self._directory.listed_since = None
            return False
        leases = self._state.leases
        if self._directory.listed_since is None:
            self._directory.listed_since = asked_at
        before = leases.record.revision
        # First, as it may show that the list came back from a copy and lacks boxes.
        leases.read(snapshot.record, asked_at)
        leases.listed(others, asked_at)
        if leases.record.revision != before:
            self._state.log.change(
                "record_adopted", revision=leases.record.revision, source="platform"
            )
        self._state.wake()
        return True
