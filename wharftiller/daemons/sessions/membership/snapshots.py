"""Apply snapshots of the platform, read by this box or by a reader."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.tombstones import Tombstones
    from wharftiller.daemons.sessions.state import SharedState


class SnapshotApplier:
    """Applies snapshots to this box's list of boxes and its leases."""

    def __init__(
        self, state: SharedState, directory: BoxDirectory, tombstones: Tombstones, box: Box
    ) -> None:
        self._state = state
        self._directory = directory
        self._tombstones = tombstones
        self._box = box

    def other_boxes(self, snapshot: PlatformSnapshot) -> dict[str, Box]:
        """Return the other boxes of ``snapshot``."""
        return {name: box for name, box in snapshot.boxes.items() if name != self._box.name}

    def holds_this_process(self, snapshot: PlatformSnapshot) -> bool:
        """Return whether ``snapshot`` lists this process without a tombstone."""
        return snapshot.boxes.get(self._box.name) == self._box

    def apply(self, snapshot: PlatformSnapshot, asked_at: float) -> bool:
        """Apply a snapshot that was requested at ``asked_at`` (seconds).

        Returns
        -------
        bool
            Whether it lists this process; only then does the read renew leases.
        """
        others = self.other_boxes(snapshot)
        self._directory.replace_list(others)
        self._tombstones.replace(snapshot.tombstones)
        if not self.holds_this_process(snapshot):
            self.record_unlisted(snapshot)
            return False
        leases = self._state.leases
        if self._directory.listed_since is None:
            self._directory.listed_since = asked_at
        self._directory.listed_at = max(self._directory.listed_at, asked_at)
        before = leases.record.revision
        # The record first: it may show that the list was restored from a backup and lacks boxes.
        leases.read(snapshot.record, asked_at)
        leases.update_boxes(others, asked_at)
        if leases.record.revision != before:
            self._state.log.change(
                "record_adopted", revision=leases.record.revision, source="platform"
            )
        self._state.wake()
        return True

    def record_unlisted(self, snapshot: PlatformSnapshot) -> None:
        """Record that ``snapshot`` does not list this process; log what it lists instead."""
        entry = snapshot.boxes.get(self._box.name)
        if entry is None or entry.incarnation != self._box.incarnation:
            # A failover would not ask this process to release its leases.
            self._state.leases.forget_boxes()
        if self._directory.listed_since is None:
            return
        self._directory.listed_since = None
        self._state.log.change(
            "box_unlisted",
            entry=None if entry is None else entry.incarnation,
            retired=None if entry is None else entry.retired,
        )
