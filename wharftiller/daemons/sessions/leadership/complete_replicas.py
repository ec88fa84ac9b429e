"""Find the replica that holds every acknowledged write, where replicas are synchronous."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.leadership.completeness import (
    AbsentHolder,
    AcknowledgedWrites,
    LogEvidence,
)
from wharftiller.core.leadership.failover import best_candidate
from wharftiller.core.leadership.holders import Answered
from wharftiller.core.positions import LOG_START
from wharftiller.daemons.sessions.leadership.successors import as_candidate

if TYPE_CHECKING:
    from wharftiller.core.leadership.holders import AddressState, HolderSet
    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.statements import EndpointStatus
    from wharftiller.daemons.sessions.connections.address_probe import AddressProbe
    from wharftiller.daemons.sessions.leadership.holder_keeper import HolderKeeper
    from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
    from wharftiller.daemons.sessions.state import SharedState


@attrs.frozen
class _HolderReports:
    """What the holders of a group reported, without the old primary.

    Attributes
    ----------
    replicas : list of (EndpointRow, EndpointStatus)
        The registered endpoints that answered.
    reported : LogPosition
        The newest position that any holder reported.
    silent : frozenset of str
        Names of the registered endpoints that did not answer.
    absent : tuple of AbsentHolder
        The holders that are not registered and did not answer.
    knows_holders : bool
        Whether these are all holders.
    """

    replicas: list[tuple[EndpointRow, EndpointStatus]]
    reported: LogPosition
    silent: frozenset[str]
    absent: tuple[AbsentHolder, ...]
    knows_holders: bool


class CompleteReplicaFinder:
    """Queries all holders of a group's writes, also those that are not registered."""

    def __init__(
        self,
        state: SharedState,
        successors: SuccessorFinder,
        keeper: HolderKeeper,
        probe: AddressProbe,
    ) -> None:
        self._state = state
        self._successors = successors
        self._keeper = keeper
        self._probe = probe

    async def complete_replica(
        self, group: str, old: str, acknowledged: AcknowledgedWrites
    ) -> str | None:
        """Return the replica that holds every acknowledged write; None if that is not certain.

        Must be called once every box has stopped using ``old``, with the list of endpoints read
        since. A leaving replica is queried like the others, and chosen if it alone holds most.

        Raises
        ------
        PlatformUnavailableError
            If the stored holders cannot be read.
        """
        holders = await self._keeper.fetch(group)
        reports = await self._query_holders(group, old, holders)
        best = best_candidate(as_candidate(row, status) for row, status in reports.replicas)
        evidence = LogEvidence(
            reported=reports.reported,
            silent=reports.silent,
            absent=reports.absent,
            knows_holders=reports.knows_holders,
            points=self._state.positions.history(group),
            acknowledged=acknowledged.newest(group),
            processes_since=acknowledged.processes_since,
        )
        if best is not None and evidence.shows_complete(best.received):
            return best.name
        received = LOG_START if best is None else best.received
        self._state.log.event(
            "replicas_not_known",
            group=group,
            best=None if best is None else best.name,
            received=str(received),
            reported=str(evidence.reported),
            silent=sorted(evidence.silent),
            absent=evidence.uncovered(received),
            holders=holders.revision,
            acknowledged=str(evidence.acknowledged),
            all_boxes_told=evidence.processes_since is not None,
        )
        return None

    async def complete_endpoint(self, group: str, old: str) -> str | None:
        """Return an endpoint that holds every acknowledged write, which may be ``old`` itself.

        Must be called once every box has stopped using ``old``. It holds all of them, also after
        it has followed a successor that held them.
        """
        replies = await self._successors.query_all(self._state.endpoints.of_group(group))
        if any(row.name == old for row, _ in replies):
            best = best_candidate(as_candidate(row, status) for row, status in replies)
            return None if best is None else best.name
        return await self.complete_replica(group, old, AcknowledgedWrites())

    async def unregistered_states(self, group: str) -> dict[str, AddressState]:
        """Return what is at the address of each holder that is not registered.

        Raises
        ------
        PlatformUnavailableError
            If the stored holders cannot be read.
        """
        holders = await self._keeper.fetch(group)
        rows = self._state.endpoints.of_group(group)
        addresses = holders.members.keys() - {row.entry.address for row in rows}
        return await self._query_addresses(group, addresses)

    async def _query_holders(self, group: str, old: str, holders: HolderSet) -> _HolderReports:
        """Query the registered endpoints and all other holders, without the old primary."""
        rows = self._state.endpoints.of_group(group)
        listed = [row for row in rows if row.is_listed and row.name != old]
        addresses = self._unregistered(group, holders, old)
        replicas: list[tuple[EndpointRow, EndpointStatus]] = []
        others: dict[str, EndpointStatus] = {}

        async def query_listed() -> None:
            replicas.extend(await self._successors.query_all(listed))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(query_listed)
            others.update(_statuses(await self._query_addresses(group, addresses)))
        statuses = [status for _, status in replicas] + list(others.values())
        answered = {row.name for row, _ in replicas}
        return _HolderReports(
            replicas,
            max((status.received for status in statuses), default=LOG_START),
            frozenset(row.name for row in listed) - answered,
            tuple(
                AbsentHolder(address, self._keeper.ended_at(group, address))
                for address in sorted(addresses - others.keys())
            ),
            holders.is_known,
        )

    def _unregistered(self, group: str, holders: HolderSet, old: str) -> set[str]:
        """Return the addresses of holders that are not registered, without those of ``old``."""
        addresses = set(holders.members)
        for row in self._state.endpoints.of_group(group):
            if row.is_listed or row.name == old:
                addresses.discard(row.entry.address)
        return addresses - holders.addresses_of(old)

    async def _query_addresses(self, group: str, addresses: set[str]) -> dict[str, AddressState]:
        """Query whichever endpoint is at each address; return what is there."""
        states: dict[str, AddressState] = {}

        async def query(address: str) -> None:
            states[address] = await self._probe.ask(group, address)

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(query, address)
        return states


def _statuses(states: dict[str, AddressState]) -> dict[str, EndpointStatus]:
    """Return the status of each address whose endpoint reported one."""
    return {
        address: state.status
        for address, state in states.items()
        if isinstance(state, Answered) and state.status is not None
    }
