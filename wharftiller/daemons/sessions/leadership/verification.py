"""Verify or replace primaries that are unverified since the platform was restored from a copy."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.leadership.holders import Answered, Ended
from wharftiller.core.leadership.verification import (
    ORDERS_EFFECT_S,
    VerificationEvidence,
    choose_successor,
)
from wharftiller.core.positions import LOG_START

if TYPE_CHECKING:
    from wharftiller.core.leadership.holders import AddressState
    from wharftiller.core.leadership.record import LeadershipRecord, Leading
    from wharftiller.core.sessions.statements import EndpointStatus
    from wharftiller.daemons.sessions.leadership.complete_replicas import CompleteReplicaFinder
    from wharftiller.daemons.sessions.leadership.record_writer import RecordWriter
    from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
    from wharftiller.daemons.sessions.state import SharedState

RETRY_S = 1.0
"""Time between status queries to the endpoints of an unverified group, in seconds.

Each query takes a slot of every endpoint; one that returns is noticed soon enough.
"""

RANK_DELAY_S = 0.3
"""Delay per rank before a box verifies or replaces a primary, in seconds."""


class UnverifiedPrimaries:
    """Verifies primaries by this box's leases, else finds the endpoint to promote."""

    def __init__(
        self,
        state: SharedState,
        writer: RecordWriter,
        successors: SuccessorFinder,
        complete_replicas: CompleteReplicaFinder,
    ) -> None:
        self._state = state
        self._writer = writer
        self._successors = successors
        self._complete_replicas = complete_replicas
        self._era = -1
        self._since = math.inf
        self._queried_at: dict[str, float] = {}

    def update(self, record: LeadershipRecord) -> None:
        """Record since when primaries are unverified; a further restoration restarts the time."""
        if not record.unverified:
            self._since = math.inf
            self._queried_at.clear()
        elif self._since == math.inf or record.era != self._era:
            self._since = trio.current_time()
        self._era = record.era

    def verified(self, record: LeadershipRecord) -> set[str]:
        """Return the unverified groups on whose primary this box holds a valid lease."""
        return record.unverified.keys() & self._state.leases.leased_groups(trio.current_time())

    async def mark_verified(self, record: LeadershipRecord, verified: set[str], rank: int) -> bool:
        """Record the primaries of the groups ``verified`` as verified; return whether it did.

        Parameters
        ----------
        rank : int
            Number of boxes that act before this one.
        """
        if trio.current_time() - self._since < rank * RANK_DELAY_S:
            return False
        for group in sorted(verified):
            leading = attrs.evolve(record.unverified[group], is_unverified=False)
            record = record.with_group(group, leading)
        self._state.log.change("doubts_cleared", groups=sorted(verified))
        return await self._writer.write(record)

    async def successor(self, group: str, unverified: Leading, rank: int) -> str | None:
        """Return the endpoint to promote in ``group``; None while undecided."""
        now = trio.current_time()
        unverified_s = now - self._since - rank * RANK_DELAY_S
        since_query_s = now - self._queried_at.get(group, -math.inf)
        if unverified_s < ORDERS_EFFECT_S or since_query_s < RETRY_S:
            return None
        self._queried_at[group] = now
        statuses = await self._successors.statuses(group)
        evidence = await self._evidence(group, statuses, unverified_s)
        successor = choose_successor(unverified, evidence)
        self._state.log.event(
            "primary_doubted",
            group=group,
            recorded=unverified.endpoint,
            told=[_described(name, status) for name, status in statuses.items()],
            silent=sorted(evidence.silent | evidence.vanished),
            ended=sorted(evidence.ended),
            doubted_s=round(unverified_s, 1),
            successor=successor,
        )
        return successor

    async def _evidence(
        self, group: str, statuses: dict[str, EndpointStatus], unverified_s: float
    ) -> VerificationEvidence:
        rows = [r for r in self._state.endpoints.rows.values() if r.entry.group == group]
        evidence = VerificationEvidence(
            statuses,
            silent=frozenset(row.name for row in rows if not row.gone) - statuses.keys(),
            vanished=frozenset(r.name for r in rows if r.gone and not r.entry.leaving),
            unverified_s=unverified_s,
            is_settled=self._state.leases.is_settled(trio.current_time()),
        )
        limits = self._state.configuration.groups.get(group)
        if limits is None or not limits.sync_replicas:
            return evidence
        # The holders by address stand for all that vanished: another endpoint may be there now.
        states = await self._complete_replicas.unregistered_states(group)
        return attrs.evolve(
            evidence,
            silent=evidence.silent | _unreported(states, statuses),
            ended=frozenset(address for address, state in states.items() if state == Ended()),
            vanished=frozenset(),
            sync_replicas=limits.sync_replicas,
        )


def _unreported(
    states: dict[str, AddressState], statuses: dict[str, EndpointStatus]
) -> frozenset[str]:
    """Return the addresses whose endpoint may lead, or hold more than those of ``statuses``."""
    term = max((status.term for status in statuses.values()), default=0)
    received = max((status.received for status in statuses.values()), default=LOG_START)
    unreported = set()
    for address, state in states.items():
        match state:
            case Ended():
                continue
            case Answered(status) if status is not None:
                if status.leads or status.term > term or status.received > received:
                    unreported.add(address)
            case _:
                unreported.add(address)
    return frozenset(unreported)


def _described(name: str, status: EndpointStatus) -> str:
    """Return an endpoint's status in a few words for the log."""
    role = "leads" if status.leads else "follows in"
    return f"{name} {role} term {status.term}, log {status.received}"
