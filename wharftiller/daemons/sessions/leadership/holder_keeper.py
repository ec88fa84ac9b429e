"""Keep the stored holders of each group's writes up to date (`core.leadership.holders`)."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs
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


@attrs.define
class _KeptGroup:
    """What this process knows of the stored holders of one group.

    Attributes
    ----------
    holders : HolderSet or None
        The stored ones as last read; None before the first read.
    before_restoration : HolderSet or None
        The newest set read before the platform was restored, until it is stored again.
    unknown_since : float or None
        Since when the group is known to have none although it has a primary, in seconds.
    lacking_since : float or None
        Since when they lack a registered endpoint, in seconds.
    read_at, tried_at, checked_at : float
        When they were last read, when this box last tried to add to them, and when it last looked
        for ended ones to remove, in seconds.
    paused_until : float
        Until when nothing is done, as the platform did not answer, in seconds.
    is_busy : bool
        Whether a task is keeping them now.
    """

    holders: HolderSet | None = None
    before_restoration: HolderSet | None = None
    unknown_since: float | None = None
    lacking_since: float | None = None
    read_at: float = -math.inf
    tried_at: float = -math.inf
    checked_at: float = -math.inf
    paused_until: float = -math.inf
    is_busy: bool = False

    def with_lost(self, holders: HolderSet) -> HolderSet:
        """Return ``holders`` with the changes that a restoration of the platform has undone."""
        if self.before_restoration is None:
            return holders
        return holders.with_changes_of(self.before_restoration)


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
        self._groups: dict[str, _KeptGroup] = collections.defaultdict(_KeptGroup)

    async def run(self) -> None:
        """Keep the holders of all groups that this box serves, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(POLL_S)
                for group in self._state.configuration.groups:
                    if self._is_due(group):
                        self._groups[group].is_busy = True
                        nursery.start_soon(self._keep, group)

    def is_stored(self, group: str) -> bool:
        """Return whether the holders of ``group`` are stored, as far as they need to be."""
        if not self._state.has_sync_replicas(group):
            return True
        holders = self._groups[group].holders
        return holders is not None and holders.is_known

    async def fetch(self, group: str) -> HolderSet:
        """Read the holders of ``group`` now; raises `PlatformUnavailableError` without an answer.

        Where none are stored, those are returned that this process has seen.
        """
        holders = await self._load(group)
        return self._seen(group, self._groups[group].with_lost(holders))

    def ended_at(self, group: str, address: str) -> float:
        """Return when the holder at ``address`` had ended, in seconds; infinite if not known."""
        return self._absent.ended_at(group, address)

    def _is_due(self, group: str) -> bool:
        kept = self._groups[group]
        return (
            self._state.has_sync_replicas(group)
            and self._state.serves_group(group)
            and bool(self._entries(group))
            and trio.current_time() >= kept.paused_until
            and not kept.is_busy
        )

    async def _keep(self, group: str) -> None:
        kept = self._groups[group]
        try:
            await self._refresh(group)
            await self._add_registered(group)
            await self._remove_covered(group)
        except PlatformUnavailableError as error:
            kept.paused_until = trio.current_time() + FAILED_PAUSE_S
            self._state.log.event("holders_not_kept", group=group, why=str(error))
        await self._probe_absent(group)
        kept.is_busy = False

    async def _probe_absent(self, group: str) -> None:
        holders = self._seen(group, self._groups[group].holders or HolderSet())
        registered = {entry.address for entry in self._entries(group)}
        others = self._other_keepers(group)
        await self._absent.update(group, holders.members.keys() - registered, others)

    # The stored holders -------------------------------------------------

    async def _refresh(self, group: str) -> None:
        """Read the stored holders unless they were read lately and need not have changed."""
        kept = self._groups[group]
        if kept.holders is None:
            await self._load(group)
            return
        since_read_s = trio.current_time() - kept.read_at
        if not self._objects.is_current(kept.holders):
            if since_read_s >= WRITE_INTERVAL_S:
                await self._load(group)
        elif since_read_s >= REFRESH_S:
            kept.read_at = trio.current_time()
            newer = await self._objects.read(group, may_be_old=True)
            if newer.revision != kept.holders.revision:
                await self._load(group)

    async def _load(self, group: str) -> HolderSet:
        """Read the stored holders; keep what a restoration of the platform may have lost."""
        kept = self._groups[group]
        kept.read_at = trio.current_time()
        holders = await self._objects.read(group)
        before = kept.holders
        if before is not None and before.is_known and not self._objects.is_current(before):
            former = kept.before_restoration
            if former is None or before.updates >= former.updates:
                kept.before_restoration = before
        kept.holders = holders
        return holders

    async def _add_registered(self, group: str) -> None:
        """Store the registered endpoints that the stored holders lack."""
        kept, now = self._groups[group], trio.current_time()
        if not self._lacks(group):
            kept.lacking_since = None
            return
        if kept.lacking_since is None:
            kept.lacking_since = now
        is_turn = now - kept.lacking_since >= self._rank(group) * RANK_DELAY_S
        if not is_turn or now - kept.tried_at < WRITE_INTERVAL_S:
            return
        kept.tried_at = now
        holders = kept.with_lost(await self._load(group))
        if not self._lacks(group):
            return
        if holders.is_known or await self._may_store_first(group):
            await self._store(group, self._seen(group, holders).with_entries(self._entries(group)))

    def _lacks(self, group: str) -> bool:
        """Return whether the stored holders lack endpoints that this process knows."""
        kept = self._groups[group]
        holders = kept.holders
        return (
            holders is None
            or not holders.is_known
            or holders.lacks(self._entries(group))
            or kept.with_lost(holders).members != holders.members
        )

    async def _store(self, group: str, holders: HolderSet) -> None:
        kept = self._groups[group]
        stored = kept.holders = await self._objects.replace(group, holders)
        is_stored = stored.members == holders.members
        if is_stored:
            kept.before_restoration = kept.unknown_since = None
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
        kept = self._groups[group]
        if kept.unknown_since is None:
            kept.unknown_since = trio.current_time()
        since = kept.unknown_since + UNKNOWN_S
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
        kept, now = self._groups[group], trio.current_time()
        holders = kept.holders
        if holders is None or not holders.is_known or now - kept.checked_at < COVERED_POLL_S:
            return
        kept.checked_at = now
        for address in sorted(holders.members):
            ended_at = self.ended_at(group, address)
            if now - ended_at >= self._rank(group) * WRITE_INTERVAL_S:
                await self._remove_if_covered(group, holders, address, ended_at)

    async def _remove_if_covered(
        self, group: str, holders: HolderSet, address: str, ended_at: float
    ) -> None:
        position = self._state.positions.history(group).earliest_since(ended_at)
        if position is None or not await self._is_held(group, position, holders):
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
