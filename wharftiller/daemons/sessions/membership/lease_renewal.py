"""Renew this box's leases from other boxes' replies, and fetch newer state from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.daemons.sessions.membership.boxes import RENEWAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.peer_sync import PeerSync
    from wharftiller.daemons.sessions.membership.readers import SnapshotClient
    from wharftiller.daemons.sessions.state import SharedState

RENEWALS_AFTER_S = 2.5
"""Age of the newest read from which boxes of a large deployment ask each other, in seconds.

Less than half of the lease (6 s), so that several renewals fit in before it expires.
"""

RENEWALS_APART_S = 2.0
"""Time between renewals while a large deployment has no platform, in seconds.

A lease of 6 s survives one failed renewal; the cost per box grows with the number of boxes.
"""


class LeaseRenewer:
    """Renews the leases periodically, through the other boxes or a reader.

    Parameters
    ----------
    may_run : callable
        Returns whether other boxes may forward statements to this one, so that it needs leases.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        readers: SnapshotClient,
        peer_sync: PeerSync,
        may_run: Callable[[], bool],
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._readers = readers
        self._peer_sync = peer_sync
        self._may_run = may_run
        self._nursery = nursery
        self._renewed = False

    @property
    def renewed(self) -> bool:
        """Whether the last replies renewed the leases."""
        return self._renewed

    async def run(self) -> None:
        """Renew periodically, forever."""
        while True:
            self._state.check_soon = trio.Event()
            if self._readers.applies:
                self._renewed = await self._renew_by_reader()
            elif self._directory.boxes:
                self._renewed = await self._directory.query_boxes()
                self._peer_sync.sync_newer()
            with trio.move_on_after(RENEWAL_S):
                await self._state.check_soon.wait()

    async def _renew_by_reader(self) -> bool:
        """Renew the leases through a reader; ask the other boxes too if reads become old."""
        renewed = self._readers.is_reader or await self._readers.ask()
        if self._readers.newer_state_at is not None:
            self._nursery.start_soon(self._peer_sync.sync_from, self._readers.newer_state_at)
            self._readers.newer_state_at = None
        elif renewed:
            self._peer_sync.mark_up_to_date()
        if trio.current_time() - self._directory.platform_read_at > RENEWALS_AFTER_S:
            await self._renew_in_outage()
        return renewed

    async def _renew_in_outage(self) -> None:
        """Ask all boxes if this one needs leases; else only those that watch the platform."""
        among = None if self._may_run() else self._readers.watchers()
        await self._directory.query_boxes(no_older_than_s=RENEWALS_APART_S, among=among)
        self._peer_sync.sync_newer()
