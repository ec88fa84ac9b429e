"""Revoke every box's leases on the primaries being replaced, or wait until they expire."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.completeness import AcknowledgedWrites
from wharftiller.core.leadership.lease import LEASE_S, MAX_BOX_LIST_AGE_S
from wharftiller.daemons.sessions.membership.boxes import MAX_NAMED

if TYPE_CHECKING:
    from wharftiller.core.leadership.completeness import AcknowledgementReport
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.daemons.sessions.interfaces import SharedObjects
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.box_server import BoxServer
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.snapshots import SnapshotApplier
    from wharftiller.daemons.sessions.membership.tombstones import Tombstones
    from wharftiller.daemons.sessions.state import SharedState

RELEASE_RETRY_S = 0.2
"""Time between release requests to boxes that have not released their leases, in seconds."""

RELEASE_BEFORE_END_S = 0.4
"""Time before the expiry of unresponsive boxes' leases to request releases, in seconds.

Enough for a few statements to end; an open transaction may take `WRITES_WAIT_S`.
"""


@attrs.frozen
class Revocation:
    """No box uses an old primary any more, or lost primaries answer again.

    Attributes
    ----------
    answering : list of str
        The groups whose lost primary answers again.
    acknowledged : AcknowledgedWrites
        What the boxes have acknowledged; empty if a lost primary answers.
    """

    answering: list[str]
    acknowledged: AcknowledgedWrites = attrs.field(factory=AcknowledgedWrites)


class LeaseRevoker:
    """Has this box and every other one release the leases on old primaries."""

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        tombstones: Tombstones,
        server: BoxServer,
        store: SharedObjects,
        snapshots: SnapshotApplier,
    ) -> None:
        self._state = state
        self._directory = directory
        self._tombstones = tombstones
        self._server = server
        self._store = store
        self._snapshots = snapshots
        self._reports: dict[str, AcknowledgementReport] = {}
        self._started_at = trio.current_time()

    async def all_released(self, record: LeadershipRecord, won_at: float) -> Revocation:
        """Wait until no box uses an old primary, or until a lost one answers again."""
        self._reports.clear()
        listed = await self._reload_boxes()
        dead = self._tombstones.confirmed_dead() if listed else []
        if dead:
            self._state.log.change("dead_boxes_not_waited_for", boxes=dead)
        pending = {n: box for n, box in self._directory.boxes.items() if n not in dead}
        asked = sorted(pending)
        if all(failover.planned for failover in record.failovers.values()):
            await self._wait_beside_unresponsive(won_at, pending)
        async with trio.open_nursery() as nursery:
            # All boxes at once: each first lets its writes end, for up to a second.
            nursery.start_soon(self._server.release_leases, record)
            has_old_member = await self._request_releases(pending, record)
        while True:
            answering = self._answering_lost_primaries(record, won_at)
            if answering:
                return Revocation(answering)
            if listed and not pending:
                self._state.log.change(
                    "leases_released", boxes=asked[:MAX_NAMED], boxes_count=len(asked)
                )
                return Revocation([], self._acknowledged(record, has_all=not dead))
            now = trio.current_time()
            if now >= won_at + LEASE_S and (has_old_member or self._is_old_member(now)):
                self._state.log.change("lease_waited_out", silent=sorted(pending))
                return Revocation([], self._acknowledged(record, has_all=False))
            await trio.sleep(RELEASE_RETRY_S)
            has_old_member |= await self._request_releases(pending, record)

    def _acknowledged(self, record: LeadershipRecord, *, has_all: bool) -> AcknowledgedWrites:
        """Return the reports of all boxes that released their leases.

        They are all only if each comes from the process that the list names.
        """
        processes = {box.incarnation for box in self._directory.boxes.values()}
        has_all = has_all and processes == {report.incarnation for report in self._reports.values()}
        own = self._server.acknowledgement_report(record)
        since = max(self._started_at, self._directory.changed_at) if has_all else None
        return AcknowledgedWrites((own, *self._reports.values()), since)

    async def _wait_beside_unresponsive(self, won_at: float, others: dict[str, Box]) -> None:
        """Delay the release by the others for most of the wait for unresponsive boxes."""
        await self._directory.query_boxes()
        if others.keys() - self._directory.replies.keys():
            await trio.sleep_until(won_at + LEASE_S - RELEASE_BEFORE_END_S)

    async def _reload_boxes(self) -> bool:
        """Read the list of boxes after the record was won; return whether it was read.

        A box is listed before its first lease, so this list holds every box that may
        hold a lease from before the win.
        """
        asked_at = trio.current_time()
        try:
            snapshot = await self._store.read()
        except PlatformUnavailableError as error:
            self._state.log.event("boxes_not_listed", why=str(error))
            return False
        return self._snapshots.apply(snapshot, asked_at)

    def _answering_lost_primaries(self, record: LeadershipRecord, won_at: float) -> list[str]:
        """Return the groups whose lost primary answers again and may go on leading."""
        answering = []
        for group, failover in record.failovers.items():
            row = self._state.endpoints.rows.get(failover.old.endpoint)
            if not failover.is_cancellable or row is None:
                continue
            if row.last_contact_at > won_at:
                self._state.log.change("old_primary_answers", group=group, endpoint=row.name)
                answering.append(group)
        return answering

    async def _request_releases(self, pending: dict[str, Box], record: LeadershipRecord) -> bool:
        """Request releases from these boxes; return whether an old member released its lease.

        An unresponsive box's renewals need a reply from every box that was listed
        `MAX_BOX_LIST_AGE_S` before, so an old member that has the new record keeps it from
        renewing its lease.
        """
        listed_times: list[float] = []

        async def request(name: str) -> None:
            box = self._directory.boxes.get(name)
            if box is None:
                pending.pop(name, None)
                return
            reply = await self._directory.request_release(box, record)
            if reply is None:
                return
            listed_times.append(reply.listed_s)
            pending.pop(name, None)
            if reply.report is not None:
                self._reports[name] = reply.report

        async with trio.open_nursery() as nursery:
            for name in list(pending):
                nursery.start_soon(request, name)
        return any(listed_s > MAX_BOX_LIST_AGE_S + LEASE_S for listed_s in listed_times)

    def _is_old_member(self, now: float) -> bool:
        """Return whether this box is certainly in every other box's list."""
        return self._directory.listed_s(now) > MAX_BOX_LIST_AGE_S + LEASE_S
