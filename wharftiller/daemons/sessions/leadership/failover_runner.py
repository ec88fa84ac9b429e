"""Run failovers: revoke leases, promote the successor, record it, send the record to others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.completeness import AcknowledgedWrites
from wharftiller.core.leadership.failover import SEND_WINDOW_S
from wharftiller.core.leadership.record import FailingOver, Leading
from wharftiller.daemons.sessions.leadership.successors import INCOMPLETE_RETRY_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.daemons.sessions.connections.probes import Prober
    from wharftiller.daemons.sessions.forwarding.gateways import Gateways
    from wharftiller.daemons.sessions.interfaces import Promotions
    from wharftiller.daemons.sessions.leadership.complete_replicas import CompleteReplicaFinder
    from wharftiller.daemons.sessions.leadership.lease_revocation import LeaseRevoker
    from wharftiller.daemons.sessions.leadership.record_writer import RecordWriter
    from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

RETRY_S = 0.2
"""Time before a failed promotion or update is retried, in seconds."""

LAST_PROBE_TIMEOUT_S = 0.3
"""Timeout of the last probe of a lost primary before a promotion is ordered, in seconds.

Longer than the retransmission of one lost packet (0.2 s); delays every unplanned failover.
"""

CANDIDATES_FRESH_S = 1.0
"""Maximum age of the replicas' reported log positions, in seconds.

They are queried after the primary has been unresponsive for `UNREACHABLE_S`, when everything
that it had sent has arrived, applied or not.
"""

LAST_PROBE_FRESH_S = 1.0
"""Age of the last probe beyond which a lost primary is probed again, in seconds.

Where every box releases its lease at once, the probe made meanwhile is enough.
"""

MAX_RECORD_ATTEMPTS = 5
"""Attempts to record a finished failover before it is left to the next check."""


class FailoverRunner:
    """Runs the failovers that this box holds.

    Parameters
    ----------
    list_endpoints : callable
        Reads the list of endpoints from the platform now.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        gateways: Gateways,
        writer: RecordWriter,
        revoker: LeaseRevoker,
        successors: SuccessorFinder,
        complete_replicas: CompleteReplicaFinder,
        promotions: Promotions,
        prober: Prober,
        list_endpoints: Callable[[], Awaitable[None]],
    ) -> None:
        self._state = state
        self._directory = directory
        self._gateways = gateways
        self._writer = writer
        self._revoker = revoker
        self._successors = successors
        self._complete_replicas = complete_replicas
        self._promotions = promotions
        self._prober = prober
        self._list_endpoints = list_endpoints

    async def advance(self, record: LeadershipRecord) -> None:
        """Advance the failovers in ``record``, which this box holds, as far as possible now."""
        if not _is_ordered(record):
            if not await self._revoke_and_mark_ordered(record):
                return
            record = self._state.leases.record
            if not _is_ordered(record):
                # Nothing is left to promote, or this is another update than the one just written:
                # an earlier one of this process, or a copy that a restoration brought back.
                return
        asked_at = self._writer.asked_at(record)
        if trio.current_time() - asked_at > SEND_WINDOW_S:
            await self._writer.write(self._writer.as_holder(record))
            return
        not_running = await self._promote_all(record)
        if not_running:
            await self._replace_successors(record, not_running)

    async def _replace_successors(self, record: LeadershipRecord, groups: list[str]) -> None:
        """Record other successors for ``groups``, whose successors are not running."""
        changed = record
        for group in groups:
            best = await self._other_successor(group, record.failovers[group])
            if best is not None:
                failover = attrs.evolve(record.failovers[group], successor=best)
                changed = changed.with_group(group, failover)
        if changed is record:
            await trio.sleep(INCOMPLETE_RETRY_S)
            return
        await self._writer.write(changed)

    async def _other_successor(self, group: str, failover: FailingOver) -> str | None:
        """Return who takes over in place of the successor; None if nobody certainly may."""
        if not self._state.has_sync_replicas(group):
            return await self._successors.best(group, failover)
        await self._list_endpoints()
        return await self._complete_replicas.complete_endpoint(group, failover.old.endpoint)

    async def _revoke_and_mark_ordered(self, record: LeadershipRecord) -> bool:
        """Revoke all leases, then mark the failovers as ordered; return whether they are."""
        _, won_at = self._writer.won_times(record)
        answering: set[str] = set()
        probed_at = trio.current_time()

        async def probe_lost(scope: trio.CancelScope) -> None:
            answering.update(await self._probe_lost_primaries(record))
            if answering:
                scope.cancel()

        acknowledged = AcknowledgedWrites()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_lost, nursery.cancel_scope)
            revocation = await self._revoker.all_released(record, won_at)
            answering.update(revocation.answering)
            acknowledged = revocation.acknowledged
        if not answering and trio.current_time() - probed_at > LAST_PROBE_FRESH_S:
            answering.update(await self._probe_lost_primaries(record))
        if await self._cancel_answering(record, answering):
            return False
        decided = await self._with_ordered_successors(record, acknowledged)
        undecided = record.failovers.keys() - decided.failovers.keys()
        if undecided:
            self._state.log.change("change_of_primary_put_off", groups=sorted(undecided))
        is_written = await self._writer.write(decided)
        if undecided:
            await self._send_record(undecided)
        return is_written

    async def _cancel_answering(self, record: LeadershipRecord, answering: set[str]) -> bool:
        """Cancel the failovers of the groups ``answering``; return whether there are any."""
        if not answering:
            return False
        for group in sorted(answering):
            record = record.with_group(group, record.failovers[group].old)
        await self._writer.write(record)
        await self._send_record(answering)
        return True

    async def _send_record(self, groups: Iterable[str]) -> None:
        """Send the current record to the boxes that run statements of ``groups``.

        The others forward their statements, and get it from their readers within a second.
        """
        gateways = self._gateways.other_gateways_of(groups)
        await self._directory.send_record(self._state.leases.record, gateways)

    async def _probe_lost_primaries(self, record: LeadershipRecord) -> list[str]:
        """Probe every lost primary once more; return the groups whose primary answers."""
        answering: list[str] = []

        async def probe(group: str, row: EndpointRow) -> None:
            with trio.move_on_after(LAST_PROBE_TIMEOUT_S):
                if await self._successors.status(row) is not None:
                    self._state.log.change("old_primary_answers", group=group, endpoint=row.name)
                    answering.append(group)

        async with trio.open_nursery() as nursery:
            for group, failover in record.failovers.items():
                row = self._state.endpoints.rows.get(failover.old.endpoint)
                if row is not None and failover.is_cancellable:
                    nursery.start_soon(probe, group, row)
        return answering

    async def _with_ordered_successors(
        self, record: LeadershipRecord, acknowledged: AcknowledgedWrites
    ) -> LeadershipRecord:
        """Return the record with each failover's final successor, marked as ordered.

        A group that replicates writes before they are acknowledged keeps its old primary while no
        successor is known to hold all of them: other groups' failovers do not wait for it, and
        an old primary that is about to leave, or returns, serves on.
        """
        for group, failover in record.failovers.items():
            if failover.ordered:
                continue
            best = await self._final_successor(group, failover, acknowledged)
            if best is None:
                record = record.with_group(group, failover.old)
                continue
            ordered = attrs.evolve(failover, successor=best, ordered=True)
            record = record.with_group(group, ordered)
        return record

    async def _final_successor(
        self, group: str, failover: FailingOver, acknowledged: AcknowledgedWrites
    ) -> str | None:
        if failover.old.is_unverified:
            # Every endpoint was queried when it was chosen, including the old primary.
            return failover.successor
        caught_up = failover.planned and await self._successors.wait_caught_up(failover)
        if caught_up:
            return failover.successor
        if self._state.has_sync_replicas(group):
            # A replica may hold writes that has registered since the last change was received.
            await self._list_endpoints()
            old = failover.old.endpoint
            return await self._complete_replicas.complete_replica(group, old, acknowledged)
        fresh_s = 0.0 if failover.planned else CANDIDATES_FRESH_S
        return await self._successors.best(group, failover, fresh_s)

    async def _promote_all(self, record: LeadershipRecord) -> list[str]:
        """Order every promotion and record those that took effect.

        Returns
        -------
        list of str
            The groups whose successor is not running; none if others were recorded, as
            the next check then orders the rest again.
        """
        promoted: dict[str, Leading] = {}
        not_running: list[str] = []

        async def promote(group: str, failover: FailingOver) -> None:
            if not await self._promote(group, failover, record.fence):
                not_running.append(group)
                return
            leading = await self._successors.leading(failover)
            if leading is not None:
                promoted[group] = leading

        async with trio.open_nursery() as nursery:
            for group, failover in record.failovers.items():
                nursery.start_soon(promote, group, failover)
        if promoted:
            await self._record_promoted(record, promoted)
            return []
        return not_running

    async def _promote(self, group: str, failover: FailingOver, fence: int) -> bool:
        holder = self._state.box
        try:
            accepted = await self._promotions.promote(group, failover.successor, holder, fence)
        except PlatformUnavailableError as error:
            self._state.log.event("promotion_unanswered", group=group, why=str(error))
            accepted = True
        self._state.log.change(
            "promotion_ordered", group=group, endpoint=failover.successor, fence=fence, ok=accepted
        )
        if not accepted:
            row = self._state.endpoints.rows.get(failover.successor)
            if row is not None:
                row.record_unreachable(trio.current_time())
            await trio.sleep(RETRY_S)
        return accepted

    async def _record_promoted(
        self, record: LeadershipRecord, promoted: dict[str, Leading]
    ) -> None:
        """Record the new primaries, send the record to their users, and demote the old ones."""
        failovers = record.failovers
        for group, leading in promoted.items():
            record = record.with_group(group, leading)
        for _ in range(MAX_RECORD_ATTEMPTS):
            try:
                if await self._writer.write(record):
                    break
                return
            except PlatformUnavailableError as error:
                self._state.log.event("record_write_unanswered", why=str(error))
                await trio.sleep(RETRY_S)
        self._state.check_soon.set()
        await self._send_record(promoted)
        for group, leading in promoted.items():
            old = failovers[group].old.endpoint
            if old != leading.endpoint:
                self._prober.start_demotion(old, leading.term)


def _is_ordered(record: LeadershipRecord) -> bool:
    """Return whether the final successor of every failover in ``record`` is recorded."""
    failovers = record.failovers.values()
    return bool(failovers) and all(failover.ordered for failover in failovers)
