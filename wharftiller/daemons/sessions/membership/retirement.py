"""Remove dead boxes from the list, so that failovers do not wait for them to release leases.

An unresponsive box is first tombstoned. If it is alive and reaches the platform, its next
read shows the tombstone, and it registers again before that read renews a lease. If it does
not reach the platform, its list of boxes becomes too old to renew leases. So a box whose
tombstone is older than `TOMBSTONE_S` holds no lease.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.lease import LEASE_S, MAX_BOX_LIST_AGE_S
from wharftiller.daemons.sessions.membership.readers import REQUEST_RECENT_S

if TYPE_CHECKING:
    import trio

    from wharftiller.daemons.sessions.interfaces import SharedObjects
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.readers import SnapshotClient, SnapshotServer
    from wharftiller.daemons.sessions.membership.tombstones import Tombstones
    from wharftiller.daemons.sessions.state import SharedState

SILENT_S = 5.0
"""Time after which an unresponsive box is tombstoned, in seconds.

Longer than a restart (1 to 2 s); a box that was only cut off registers again.
"""

TOMBSTONE_S = MAX_BOX_LIST_AGE_S + LEASE_S + 1.0
"""Age at which a tombstoned entry is removed, in seconds: its leases have expired."""


class BoxRetirement:
    """Tombstones unresponsive boxes and removes those with old tombstones."""

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        shared: SharedObjects,
        snapshot_server: SnapshotServer,
        readers: SnapshotClient,
        tombstones: Tombstones,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._snapshot_server = snapshot_server
        self._readers = readers
        self._shared = shared
        self._tombstones = tombstones
        self._nursery = nursery
        self._silent_since: dict[Box, float] = {}

    def update(self, boxes: dict[str, Box], now: float) -> None:
        """Tombstone or remove boxes of the list read from the platform at ``now`` (seconds).

        The list's tombstones have been recorded before.
        """
        silent = [box for name, box in boxes.items() if self._is_silent(box, now)]
        self._silent_since = {box: self._silent_since.get(box, now) for box in silent}
        if not self._is_reader():
            return
        for box, since in self._silent_since.items():
            if not box.retired and now - since > SILENT_S:
                self._nursery.start_soon(self._retire, box)
            elif box.retired and self._tombstones.age_s(box.name, now) > TOMBSTONE_S:
                self._nursery.start_soon(self._remove, box)

    def _is_silent(self, box: Box, now: float) -> bool:
        if not self._readers.applies:
            return box.name not in self._directory.replies
        if box.data_centre != self._readers.data_centre:
            # The reader of that data centre is responsible for it.
            return False
        return now - self._snapshot_server.asked_at.get(box.name, -math.inf) > REQUEST_RECENT_S

    def _is_reader(self) -> bool:
        if self._readers.applies:
            return self._readers.is_reader
        return self._directory.is_reading_box

    async def _retire(self, box: Box) -> None:
        try:
            is_marked = await self._shared.retire(box, self._directory.incarnation)
        except PlatformUnavailableError as error:
            self._state.log.event("box_not_marked", other=box.name, why=str(error))
            return
        if is_marked:
            self._state.log.change("box_marked_dead", other=box.name)
        else:
            self._state.log.event("box_not_marked", other=box.name, why="its entry changed")

    async def _remove(self, box: Box) -> None:
        try:
            is_removed = await self._shared.withdraw(box)
        except PlatformUnavailableError as error:
            self._state.log.event("box_not_removed", other=box.name, why=str(error))
            return
        if is_removed:
            self._state.log.change("box_removed", other=box.name)
        else:
            self._state.log.event("box_not_removed", other=box.name, why="its entry changed")
