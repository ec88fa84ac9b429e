"""Choose a group's new primary, and wait until it has caught up and leads."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.leadership.failover import Candidate, best_candidate
from wharftiller.core.leadership.record import FailingOver, Leading

if TYPE_CHECKING:
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.statements import EndpointStatus
    from wharftiller.daemons.sessions.connections.probes import Prober
    from wharftiller.daemons.sessions.state import SharedState

CATCH_UP_TIMEOUT_S = 1.5
"""Time for a successor to receive the last writes of a responsive primary, in seconds."""

INCOMPLETE_RETRY_S = 0.5
"""Time between checks whether some endpoint holds every acknowledged write, in seconds."""

LEADS_TIMEOUT_S = 3.0
"""Time within which a promoted endpoint must report that it leads, in seconds.

The slowest endpoints take a second.
"""

LEADS_POLL_S = 0.06
"""Time between status queries to a successor, in seconds."""

PROMOTION_EFFECT_S = 1.5
"""Time within which an acknowledged promotion takes effect, in seconds."""


def as_candidate(row: EndpointRow, status: EndpointStatus) -> Candidate:
    """Return an endpoint that reported its status as a candidate."""
    is_leaving = row.leaving_since is not None
    return Candidate(row.name, status.received, row.entry.data_centre, is_leaving)


class SuccessorFinder:
    """Queries endpoints for their log positions and whether they lead."""

    def __init__(self, state: SharedState, prober: Prober) -> None:
        self._state = state
        self._prober = prober
        self._cached_candidates: dict[str, tuple[float, list[Candidate]]] = {}
        self._none_kept_up_at: dict[str, float] = {}

    async def candidates(
        self, group: str, old: str, no_older_than_s: float = 0.0
    ) -> list[Candidate]:
        """Return the group's replicas with their log positions, at most ``no_older_than_s`` old."""
        asked_at, cached = self._cached_candidates.get(group, (-math.inf, []))
        if trio.current_time() - asked_at < no_older_than_s:
            return cached
        asked_at = trio.current_time()
        found = await self._query_replicas(group, old)
        self._cached_candidates[group] = (asked_at, found)
        return found

    async def _query_replicas(self, group: str, old: str) -> list[Candidate]:
        replicas = [
            row
            for row in self._state.endpoints.of_group(group)
            if row.name != old and row.leaving_since is None
        ]
        return [as_candidate(row, status) for row, status in await self.query_all(replicas)]

    async def statuses(self, group: str) -> dict[str, EndpointStatus]:
        """Query the registered endpoints of ``group``; return the status of those that answer."""
        replies = await self.query_all(self._state.endpoints.of_group(group))
        return {row.name: status for row, status in replies}

    async def query_all(self, rows: list[EndpointRow]) -> list[tuple[EndpointRow, EndpointStatus]]:
        """Query these endpoints concurrently; return the status of those that answer."""
        replies: list[tuple[EndpointRow, EndpointStatus]] = []

        async def query(row: EndpointRow) -> None:
            status = await self.status(row)
            if status is not None:
                replies.append((row, status))

        async with trio.open_nursery() as nursery:
            for row in rows:
                nursery.start_soon(query, row)
        return replies

    async def status(self, row: EndpointRow) -> EndpointStatus | None:
        """Return an endpoint's status, or None if it does not answer."""
        try:
            return await self._prober.status(row)
        except (ExchangeError, EndpointRefusedError) as error:
            self._state.log.event("no_status", endpoint=row.name, why=str(error))
            return None

    async def planned_successor(self, group: str, old: str) -> Candidate | None:
        """Return the replica to which a responsive primary hands over; None if there is none yet.

        Where replicas are synchronous it must keep up with the primary: the group would stand
        still while it waits for one that does not.
        """
        row = self._state.endpoints.rows.get(old)
        if not self._state.has_sync_replicas(group) or row is None:
            return best_candidate(await self.candidates(group, old))
        now = trio.current_time()
        if now - self._none_kept_up_at.get(group, -math.inf) < INCOMPLETE_RETRY_S:
            return None
        at_old = await self.status(row)
        candidates = [] if at_old is None else await self.candidates(group, old)
        keeping_up = [
            each for each in candidates if at_old is not None and each.received >= at_old.received
        ]
        if not keeping_up:
            self._none_kept_up_at[group] = now
            self._state.log.event("successor_behind", endpoint=None, group=group, old=old)
        return best_candidate(keeping_up)

    async def wait_caught_up(self, failover: FailingOver) -> bool:
        """Wait until the successor has received everything that the old primary holds.

        Returns
        -------
        bool
            Whether it has within `CATCH_UP_TIMEOUT_S`.
        """
        old = self._state.endpoints.rows.get(failover.old.endpoint)
        new = self._state.endpoints.rows.get(failover.successor)
        if old is None or new is None:
            return False
        with trio.move_on_after(CATCH_UP_TIMEOUT_S):
            while True:
                at_old, at_new = await self.status(old), await self.status(new)
                if at_old is not None and at_new is not None and at_new.received >= at_old.received:
                    return True
                await trio.sleep(LEADS_POLL_S)
        self._state.log.event("successor_behind", endpoint=failover.successor)
        return False

    async def best(self, group: str, failover: FailingOver, no_older_than_s: float = 0.0) -> str:
        """Return the endpoint with the highest log position; ties go to the recorded successor."""
        # An unverified primary is a candidate like the others.
        old = "" if failover.old.is_unverified else failover.old.endpoint
        candidates = await self.candidates(group, old, no_older_than_s)
        best = best_candidate(candidates)
        recorded = next((each for each in candidates if each.name == failover.successor), None)
        if best is None or (recorded is not None and recorded.received >= best.received):
            return failover.successor
        return best.name

    async def leading(self, failover: FailingOver) -> Leading | None:
        """Return the successor with its term once it reports that it leads; None if it does not.

        Where the old primary was unverified, the successor may have led already and report its
        former term until the promotion takes effect, so it is queried after that.
        """
        row = self._state.endpoints.rows.get(failover.successor)
        may_lead_on = failover.successor == failover.old.endpoint
        min_term = failover.old.term if may_lead_on else failover.old.term + 1
        if failover.old.is_unverified:
            await trio.sleep(PROMOTION_EFFECT_S)
        with trio.move_on_after(LEADS_TIMEOUT_S):
            while row is not None and not row.gone:
                status = await self.status(row)
                if status is not None and status.leads and status.term >= min_term:
                    return Leading(failover.successor, status.term)
                await trio.sleep(LEADS_POLL_S)
        self._state.log.event("successor_does_not_lead", endpoint=failover.successor)
        return None
