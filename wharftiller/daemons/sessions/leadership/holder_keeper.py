"""Keep the stored holders of each group's writes up to date (`core.leadership.holders`)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.failover import takeover_rank
from wharftiller.core.leadership.holders import HolderSet

if TYPE_CHECKING:
    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.routes import EndpointEntry
    from wharftiller.daemons.sessions.forwarding.gateways import Gateways
    from wharftiller.daemons.sessions.interfaces import HolderObjects
    from wharftiller.daemons.sessions.leadership.absent_holders import AbsentHolders
    from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

POLL_S = 0.2
"""Time between comparisons of the holders with the registered endpoints, in seconds."""

RANK_DELAY_S = 0.3
"""Delay per rank before a box changes the stored holders, in seconds."""

WRITE_INTERVAL_S = 1.0
"""Minimum time between attempts of this box to change a group's stored holders, in seconds."""

FAILED_PAUSE_S = 1.0
"""Pause after the platform did not answer, in seconds."""

REFRESH_S = 5.0
"""Time between reads of the stored holders that nothing seems to change, in seconds.

They may have changed since by another box, or by a late write of a box that has ended.
"""

COVERED_POLL_S = 0.5
"""Time between checks whether other holders have what an ended one may hold, in seconds."""

UNKNOWN_S = 15.0
"""Time for which a group without stored holders is observed before they are stored, in seconds.

An endpoint that is no longer registered, and that no process knows, has ended by then: it serves
on for `leaving_serves_s` (7 s) and some seconds.
"""


class HolderKeeper:
    """Adds registered endpoints to the stored holders, and removes those that hold nothing alone.

    Where a group has no primary yet, its holders are stored before its first primary is recorded.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        gateways: Gateways,
        objects: HolderObjects,
        absent: AbsentHolders,
        successors: SuccessorFinder,
    ) -> None:
        self._state = state
        self._directory = directory
        self._gateways = gateways
        self._objects = objects
        self._absent = absent
        self._successors = successors
        self._sets: dict[str, HolderSet] = {}
        self._before_restoration: dict[str, HolderSet] = {}
        self._unknown_since: dict[str, float] = {}
        self._lacking_since: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._tried_at: dict[str, float] = {}
        self._covered_at: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    async def run(self) -> None:
        """Keep the holders of all groups that this box serves, until cancelled."""
        while True:
            await trio.sleep(POLL_S)
            async with trio.open_nursery() as nursery:
                for group in self._state.configuration.groups:
                    if self._is_kept(group):
                        nursery.start_soon(self._keep, group)

    def is_stored(self, group: str) -> bool:
        """Return whether the holders of ``group`` are stored, as far as they need to be."""
        if not self._state.has_sync_replicas(group):
            return True
        return self._sets.get(group, HolderSet()).is_known

    async def fetch(self, group: str) -> HolderSet:
        """Read the holders of ``group`` now; raises `PlatformUnavailableError` without an answer.

        Where none are stored, those are returned that this process has seen.
        """
        holders = self._with_lost(group, await self._load(group))
        return holders if holders.is_known else self._seen(group, holders)

    def ended_at(self, group: str, address: str) -> float:
        """Return when the holder at ``address`` had ended, in seconds; infinite if not known."""
        return self._absent.ended_at(group, address)

    def _is_kept(self, group: str) -> bool:
        return (
            self._state.has_sync_replicas(group)
            and self._state.serves_group(group)
            and bool(self._entries(group))
            and trio.current_time() >= self._paused_until.get(group, -math.inf)
        )

    async def _keep(self, group: str) -> None:
        try:
            holders = await self._current(group)
            await self._probe_absent(group, holders)
            await self._add_registered(group, holders)
            await self._remove_covered(group)
        except PlatformUnavailableError as error:
            self._paused_until[group] = trio.current_time() + FAILED_PAUSE_S
            self._state.log.event("holders_not_kept", group=group, why=str(error))

    async def _probe_absent(self, group: str, holders: HolderSet) -> None:
        members = self._seen(group, holders).members
        registered = {entry.address for entry in self._entries(group)}
        others = self._other_keepers(group)
        await self._absent.update(group, members.keys() - registered, others)

    # The stored holders -------------------------------------------------

    async def _current(self, group: str) -> HolderSet:
        """Return the stored holders as last read, at most some seconds old."""
        holders = self._sets.get(group)
        if holders is None:
            return await self._load(group)
        since_read_s = trio.current_time() - self._read_at[group]
        if not self._objects.is_current(holders):
            return holders if since_read_s < WRITE_INTERVAL_S else await self._load(group)
        if since_read_s >= REFRESH_S:
            self._read_at[group] = trio.current_time()
            newer = await self._objects.read(group, may_be_old=True)
            if newer.revision != holders.revision:
                return await self._load(group)
        return holders

    async def _load(self, group: str) -> HolderSet:
        """Read the stored holders; keep what a restoration of the platform may have lost."""
        before = self._sets.get(group)
        self._read_at[group] = trio.current_time()
        holders = await self._objects.read(group)
        if before is not None and before.is_known and not self._objects.is_current(before):
            known = self._before_restoration.get(group)
            if known is None or before.updates >= known.updates:
                self._before_restoration[group] = before
        self._sets[group] = holders
        return holders

    async def _add_registered(self, group: str, holders: HolderSet) -> None:
        """Store the registered endpoints that ``holders`` lacks."""
        if not self._lacks(group, holders):
            self._lacking_since.pop(group, None)
            return
        now = trio.current_time()
        since = self._lacking_since.setdefault(group, now)
        if now - since < self._rank(group) * RANK_DELAY_S or not self._is_due(group):
            return
        self._tried_at[group] = now
        holders = await self._load(group)
        if not self._lacks(group, holders):
            return
        holders = self._with_lost(group, holders)
        if not holders.is_known and not await self._may_store_first(group):
            return
        await self._store(group, self._completed(group, holders))

    def _lacks(self, group: str, holders: HolderSet) -> bool:
        return (
            not holders.is_known
            or holders.lacks(self._entries(group))
            or self._with_lost(group, holders).members != holders.members
        )

    def _with_lost(self, group: str, holders: HolderSet) -> HolderSet:
        """Return ``holders`` with the changes that a restoration of the platform has undone."""
        former = self._before_restoration.get(group)
        return holders if former is None else holders.with_changes_of(former)

    def _completed(self, group: str, holders: HolderSet) -> HolderSet:
        """Return ``holders`` with all endpoints that must be stored."""
        return self._seen(group, holders).with_entries(self._entries(group))

    async def _store(self, group: str, holders: HolderSet) -> None:
        stored = self._sets[group] = await self._objects.replace(group, holders)
        is_stored = stored.members == holders.members
        if is_stored:
            self._before_restoration.pop(group, None)
            self._unknown_since.pop(group, None)
        self._state.log.change(
            "holders_written" if is_stored else "holders_changed_elsewhere",
            group=group,
            members=sorted(stored.members),
            revision=stored.revision,
        )

    async def _may_store_first(self, group: str) -> bool:
        """Return whether the holders that this process knows are all that there are.

        They are where the group has no primary yet; otherwise once a registered replica holds
        what was written until all endpoints that this process never saw have ended.
        """
        leases = self._state.leases
        if leases.read_from_platform and group not in leases.record.groups:
            return True
        now = trio.current_time()
        since = self._unknown_since.setdefault(group, now) + UNKNOWN_S
        position = self._state.positions.history(group).earliest_since(since)
        return position is not None and await self._is_held(group, position, HolderSet())

    def _seen(self, group: str, holders: HolderSet) -> HolderSet:
        """Return stored holders; if there are none, with all endpoints that this process saw."""
        if holders.is_known:
            return holders
        rows = self._state.endpoints.rows.values()
        return holders.with_entries(row.entry for row in rows if row.entry.group == group)

    # Removal ------------------------------------------------------------

    async def _remove_covered(self, group: str) -> None:
        """Remove the ended holders of which another one has everything."""
        holders, now = self._sets[group], trio.current_time()
        if not holders.is_known or now - self._covered_at.get(group, -math.inf) < COVERED_POLL_S:
            return
        self._covered_at[group] = now
        for address in sorted(holders.members):
            ended_at = self.ended_at(group, address)
            if now - ended_at >= self._rank(group) * WRITE_INTERVAL_S:
                await self._remove_if_covered(group, address, ended_at)

    async def _remove_if_covered(self, group: str, address: str, ended_at: float) -> None:
        position = self._state.positions.history(group).earliest_since(ended_at)
        if position is None or not await self._is_held(group, position, self._sets[group]):
            return
        if not await self._absent.has_ended(group, address, self._other_keepers(group)):
            return
        holders = await self._load(group)
        if address in holders.members and holders.is_known:
            await self._store(group, holders.without(address))

    async def _is_held(self, group: str, position: LogPosition, holders: HolderSet) -> bool:
        """Return whether a registered replica among ``holders`` holds ``position``.

        The primary does not count: what it alone holds is lost with it.
        """
        candidates = await self._successors.candidates(group, self._state.lead(group) or "")
        rows = self._state.endpoints.rows
        return any(
            each.received >= position
            and (not holders.is_known or rows[each.name].entry.address in holders.members)
            for each in candidates
        )

    # Who acts -----------------------------------------------------------

    def _entries(self, group: str) -> list[EndpointEntry]:
        """Return the registered endpoints of ``group``."""
        return [row.entry for row in self._state.endpoints.of_group(group) if row.is_listed]

    def _is_due(self, group: str) -> bool:
        return trio.current_time() - self._tried_at.get(group, -math.inf) >= WRITE_INTERVAL_S

    def _other_keepers(self, group: str) -> list[Box]:
        """Return the other boxes that run statements of ``group``."""
        others = self._gateways.other_gateways_of([group])
        return list(self._directory.boxes.values()) if others is None else others

    def _rank(self, group: str) -> int:
        """Return how many boxes act before this one for ``group``."""
        names = self._gateways.all_gateways(group)
        return takeover_rank(
            self._state.box, self._directory.live() if names is None else names, f"holders {group}"
        )
