"""Replace primaries: win the record, have every box stop, promote, tell the others."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError, PlatformUnavailableError
from wharftiller.core.leadership.lease import LEASE_S, LISTING_S
from wharftiller.core.leadership.moves import (
    SEND_WINDOW_S,
    TAKE_OVER_S,
    Candidate,
    best_candidate,
    is_lost,
    turn_of,
)
from wharftiller.core.leadership.record import Leading, Moving

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.statements import EndpointStatus
    from wharftiller.daemons.sessions.boxes import BoxDirectory, BoxServer
    from wharftiller.daemons.sessions.probes import Prober
    from wharftiller.daemons.sessions.seams import Promotions, SharedObjects
    from wharftiller.daemons.sessions.state import SharedState

LOOK_S = 0.15
"""Time between looks at whether a primary must be replaced, in seconds."""

FIRST_TURN_S = 0.3
"""Time by which each further box leaves the first record to those before it, in seconds."""

ASK_AGAIN_S = 0.2
"""Time between questions to boxes and endpoints that did not answer as hoped, in seconds."""

CATCH_UP_S = 1.5
"""Time a successor may take to receive a living primary's last writes, in seconds."""

LEADS_WITHIN_S = 3.0
"""Time within which a promoted endpoint should say that it leads, in seconds."""

LEADS_LOOK_S = 0.06
"""Time between looks at whether it does, in seconds."""

FAILED_PAUSE_S = 1.0
"""Pause after a change that could not be carried on, in seconds."""


@attrs.define
class _Seen:
    """Since when this box has seen a change under one fence."""

    fence: int
    at: float


class PrimaryMover:
    """Watches the primaries and replaces those that are lost or leaving.

    Parameters
    ----------
    incarnation : str
        Id of this process; the record's holder.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        server: BoxServer,
        store: SharedObjects,
        promotions: Promotions,
        prober: Prober,
        incarnation: str,
    ) -> None:
        self._state = state
        self._directory = directory
        self._server = server
        self._store = store
        self._promotions = promotions
        self._prober = prober
        self._incarnation = incarnation
        self._attempts: dict[str, float] = {}
        self._may_undo: set[int] = set()
        self._numbers = itertools.count(1)
        self._won_at: dict[int, tuple[float, float]] = {}
        self._seen: dict[str, _Seen] = {}
        self._started_at = trio.current_time()
        self.listed_since: float | None = None

    async def run(self) -> None:
        """Look for work for ever."""
        while True:
            await trio.sleep(LOOK_S)
            if not self._state.leases.read_from_platform:
                continue
            try:
                await self._look()
            except PlatformUnavailableError as error:
                self._state.log.event("change_of_primary_waits", why=str(error))
                await trio.sleep(FAILED_PAUSE_S)

    async def _look(self) -> None:
        await self._first_record()
        record = self._state.leases.record
        for group, moving in record.moving.items():
            if record.holder == self._incarnation:
                await self._drive(group, moving)
                return
            if self._may_take_over(group, record):
                await self._take_over(group, moving)
                return
        if record.moving:
            return
        for group, state in record.groups.items():
            if isinstance(state, Leading) and await self._start(group, state):
                return

    # The first record ---------------------------------------------------

    async def _first_record(self) -> None:
        """Record the primaries that the endpoints themselves registered as."""
        record = self._state.leases.record
        groups = {
            group: Leading(leaders[0])
            for group in self._state.configuration.groups
            if group not in record.groups and len(leaders := self._told_leaders(group)) == 1
        }
        missing = [g for g in self._state.configuration.groups if g not in record.groups]
        if not groups:
            return
        turn = turn_of(self._state.box, self._directory.boxes, "first")
        waited_s = trio.current_time() - self._started_at
        if waited_s < turn * FIRST_TURN_S or (len(groups) < len(missing) and waited_s < 2.0):
            return
        await self._write(attrs.evolve(record, groups={**record.groups, **groups}))

    def _told_leaders(self, group: str) -> list[str]:
        return [row.name for row in self._state.rows_of(group) if row.entry.leads]

    # Writing the record -------------------------------------------------

    async def _write(self, record: LeadershipRecord) -> bool:
        """Replace the record; return whether this box's own update stands there."""
        attempt = f"{self._incarnation}.{next(self._numbers)}"
        asked_at = self._attempts[attempt] = trio.current_time()
        stands = await self._store.replace_record(attrs.evolve(record, attempt=attempt))
        won = stands.attempt in self._attempts
        if won:
            self._won_at.setdefault(stands.fence, (asked_at, trio.current_time()))
        self._state.leases.adopt(stands)
        self._state.log.change(
            "record_written" if won else "record_lost",
            revision=stands.revision,
            fence=stands.fence,
            holder=stands.holder,
        )
        self._state.wake()
        return won

    def _as_holder(self, record: LeadershipRecord) -> LeadershipRecord:
        return attrs.evolve(record, fence=record.fence + 1, holder=self._incarnation)

    # Starting a change --------------------------------------------------

    async def _start(self, group: str, leading: Leading) -> bool:
        """Start replacing ``group``'s primary if it must be; return whether it was started."""
        state = self._state
        now = trio.current_time()
        row = state.rows.get(leading.endpoint)
        turn = turn_of(state.box, self._directory.replies, group)
        leaving = row is not None and row.leaving_since is not None and not row.gone
        planned = (
            leaving
            and row is not None
            and not row.is_suspect(now)
            and now - (row.leaving_since or now) >= turn * FIRST_TURN_S
        )
        if not planned and not is_lost(row, turn, now):
            return False
        if not planned and await self._is_heard_elsewhere(leading.endpoint):
            return False
        candidates = await self._candidates(group, leading.endpoint)
        best = best_candidate(candidates)
        if best is None:
            state.log.event("no_successor", group=group, old=leading.endpoint)
            await trio.sleep(ASK_AGAIN_S)
            return False
        state.log.change(
            "change_of_primary_starts",
            group=group,
            old=leading.endpoint,
            successor=best.name,
            received=str(best.received),
            planned=planned,
        )
        record = self._as_holder(state.leases.record)
        moving = Moving(leading, best.name, planned)
        self._may_undo.add(record.fence)
        return await self._write(record.with_group(group, moving))

    async def _is_heard_elsewhere(self, endpoint: str) -> bool:
        await self._directory.round()
        hearing = [n for n, reply in self._directory.replies.items() if endpoint in reply.hears]
        if hearing:
            self._state.log.event("primary_heard_elsewhere", endpoint=endpoint, others=hearing)
        return bool(hearing)

    async def _candidates(self, group: str, old: str) -> list[Candidate]:
        """Ask the group's replicas for what they have received."""
        found: list[Candidate] = []

        async def ask(row: EndpointRow) -> None:
            status = await self._status(row)
            if status is not None:
                found.append(Candidate(row.name, status.received, row.entry.data_centre))

        async with trio.open_nursery() as nursery:
            for row in self._state.rows_of(group):
                if row.name != old and row.leaving_since is None:
                    nursery.start_soon(ask, row)
        return found

    async def _status(self, row: EndpointRow) -> EndpointStatus | None:
        try:
            return await self._prober.status(row)
        except (ExchangeError, EndpointRefusedError) as error:
            self._state.log.event("no_status", endpoint=row.name, why=str(error))
            return None

    # Carrying a change on -----------------------------------------------

    async def _drive(self, group: str, moving: Moving) -> None:
        """Carry on the change that this box holds."""
        record = self._state.leases.record
        asked_at, won_at = self._won_at.get(record.fence, (None, None))
        if asked_at is None or won_at is None:
            # An update of this process whose answer was lost turned up in a read.
            now = trio.current_time()
            asked_at, won_at = self._attempts.get(record.attempt, now - SEND_WINDOW_S), now
            self._won_at[record.fence] = (asked_at, won_at)
        if not await self._everyone_stopped(group, moving, won_at):
            await self._write(record.with_group(group, moving.old))
            await self._directory.tell_record(self._state.leases.record)
            return
        if moving.planned:
            await self._successor_caught_up(moving)
        moving = await self._with_best_successor(group, moving)
        if trio.current_time() - asked_at > SEND_WINDOW_S:
            await self._write(self._as_holder(record))
            return
        if not await self._promote(group, moving, record.fence):
            return
        await self._finish(group, moving)

    async def _everyone_stopped(self, group: str, moving: Moving, won_at: float) -> bool:
        """Return True once no box uses the old primary; False if it answers again."""
        record = self._state.leases.record
        silent = dict(self._directory.boxes)
        if moving.planned:
            await self._server.quiet(group)
        self._state.leases.give_word(group, moving.old.endpoint)
        while silent:
            await self._ask_words(silent, group, record)
            now = trio.current_time()
            if now >= won_at + LEASE_S and self._is_old_member(now):
                self._state.log.change("lease_waited_out", group=group, silent=sorted(silent))
                return True
            row = self._state.rows.get(moving.old.endpoint)
            undo = silent and not moving.planned and record.fence in self._may_undo
            if undo and row is not None and row.heard_at > won_at:
                self._state.log.change("old_primary_answers", group=group, endpoint=row.name)
                return False
            if silent:
                await trio.sleep(ASK_AGAIN_S)
        return True

    async def _ask_words(self, silent: dict[str, object], group: str, record: LeadershipRecord) -> None:
        async def ask(name: str) -> None:
            box = self._directory.boxes.get(name)
            if box is None or await self._directory.ask_word(box, group, record):
                silent.pop(name, None)

        async with trio.open_nursery() as nursery:
            for name in list(silent):
                nursery.start_soon(ask, name)

    def _is_old_member(self, now: float) -> bool:
        """Return whether every other box's list must hold this box by now."""
        return self.listed_since is not None and now - self.listed_since > LISTING_S + LEASE_S

    async def _successor_caught_up(self, moving: Moving) -> None:
        """Wait until the successor has received all that the old primary holds."""
        old = self._state.rows.get(moving.old.endpoint)
        new = self._state.rows.get(moving.successor)
        if old is None or new is None:
            return
        with trio.move_on_after(CATCH_UP_S):
            while True:
                at_old, at_new = await self._status(old), await self._status(new)
                if at_old is not None and at_new is not None and at_new.received >= at_old.received:
                    return
                await trio.sleep(LEADS_LOOK_S)
        self._state.log.event("successor_behind", endpoint=moving.successor)

    async def _with_best_successor(self, group: str, moving: Moving) -> Moving:
        """Return the change with the successor that has received most, recorded as such."""
        candidates = await self._candidates(group, moving.old.endpoint)
        best = best_candidate(candidates)
        named = next((each for each in candidates if each.name == moving.successor), None)
        if best is None or (named is not None and named.received >= best.received):
            return moving
        changed = attrs.evolve(moving, successor=best.name)
        if await self._write(self._state.leases.record.with_group(group, changed)):
            return changed
        return moving

    async def _promote(self, group: str, moving: Moving, fence: int) -> bool:
        holder = self._state.box
        self._may_undo.discard(fence)
        try:
            accepted = await self._promotions.promote(group, moving.successor, holder, fence)
        except PlatformUnavailableError as error:
            self._state.log.event("promotion_unanswered", group=group, why=str(error))
            accepted = True
        self._state.log.change(
            "promotion_ordered", group=group, endpoint=moving.successor, fence=fence, ok=accepted
        )
        if not accepted:
            row = self._state.rows.get(moving.successor)
            if row is not None:
                row.failed(trio.current_time())
            await trio.sleep(ASK_AGAIN_S)
        return accepted

    async def _finish(self, group: str, moving: Moving) -> None:
        """Record the successor once it says that it leads."""
        row = self._state.rows.get(moving.successor)
        status: EndpointStatus | None = None
        with trio.move_on_after(LEADS_WITHIN_S):
            while row is not None and not row.gone:
                status = await self._status(row)
                if status is not None and status.leads and status.term > moving.old.term:
                    break
                await trio.sleep(LEADS_LOOK_S)
        if status is None or not status.leads:
            self._state.log.event("successor_does_not_lead", endpoint=moving.successor)
            return
        leading = Leading(moving.successor, status.term)
        for _ in range(5):
            try:
                if await self._write(self._state.leases.record.with_group(group, leading)):
                    break
                return
            except PlatformUnavailableError as error:
                self._state.log.event("record_write_unanswered", why=str(error))
                await trio.sleep(ASK_AGAIN_S)
        self._state.check_soon.set()
        await self._directory.tell_record(self._state.leases.record)
        self._prober.demote_soon(moving.old.endpoint, status.term)

    # Taking over --------------------------------------------------------

    def _may_take_over(self, group: str, record: LeadershipRecord) -> bool:
        """Return whether the holder of a change can surely order nothing any more."""
        now = trio.current_time()
        seen = self._seen.get(group)
        if seen is None or seen.fence != record.fence:
            seen = self._seen[group] = _Seen(record.fence, now)
        if now - seen.at > TAKE_OVER_S:
            return True
        return self._holder_restarted(record.holder) and now - seen.at > 2 * ASK_AGAIN_S

    def _holder_restarted(self, holder: str) -> bool:
        """Return whether the holder's box runs another process by now."""
        name = holder.rpartition("/")[0]
        if name == self._state.box:
            return True
        reply = self._directory.replies.get(name)
        return reply is not None and reply.incarnation != holder

    async def _take_over(self, group: str, moving: Moving) -> None:
        self._state.log.change("change_taken_over", group=group, successor=moving.successor)
        await self._write(self._as_holder(self._state.leases.record))


