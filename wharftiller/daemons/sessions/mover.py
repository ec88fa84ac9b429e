"""Replace primaries: win the record, have every box stop, promote, tell the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.moves import (
    SEND_WINDOW_S,
    TAKE_OVER_ORDERED_S,
    TAKE_OVER_S,
    TAKE_OVER_SILENT_S,
    best_candidate,
    is_lost,
    must_leave,
    turn_of,
)
from wharftiller.core.leadership.record import Leading, Moving
from wharftiller.daemons.sessions.record_writer import RecordWriter
from wharftiller.daemons.sessions.stopping import BoxStopper
from wharftiller.daemons.sessions.successors import Successors

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.leadership.moves import Candidate
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.daemons.sessions.box_server import BoxServer
    from wharftiller.daemons.sessions.boxes import BoxDirectory
    from wharftiller.daemons.sessions.homes import Homes
    from wharftiller.daemons.sessions.probes import Prober
    from wharftiller.daemons.sessions.seams import Promotions, SharedListing, SharedObjects
    from wharftiller.daemons.sessions.state import SharedState

LOOK_S = 0.15
"""Time between looks at whether a primary must be replaced, in seconds."""

TAKE_OVER_LOOK_S = 1.0
"""Time between questions whether the holder of a change lives, in seconds."""

FIRST_TURN_S = 0.3
"""Time by which each further box leaves the first record to those before it, in seconds."""

MOST_TURNS = 8
"""Boxes that start a change one after the other; all further ones start together."""

ASK_AGAIN_S = 0.2
"""Time before a promotion or an update that failed is asked for again, in seconds."""

ASK_LOST_S = 0.3
"""Time that a lost primary has for its last word before anything is ordered, in seconds.

A hundred round trips between data centres; every change of a dark primary pays it.
"""

CANDIDATES_FRESH_S = 1.0
"""Age up to which what replicas told of themselves still stands, in seconds.

It was told after the primary had been silent for longer than replicas lag (0.36 s at most).
"""

LAST_WORD_FRESH_S = 1.0
"""Age beyond which a lost primary is asked once more before anything is ordered, in seconds.

Where every box gives its word at once, the question asked meanwhile is enough.
"""

RECORD_TRIES = 5
"""Times a finished change is offered to the platform before the next look does it again."""

FAILED_PAUSE_S = 1.0
"""Pause after a change that could not be carried on, in seconds."""


@attrs.define
class _Seen:
    """Since when this box has seen a change at one revision of the record."""

    revision: int
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
        homes: Homes,
        take_listing: Callable[[SharedListing, float], bool],
    ) -> None:
        self._state = state
        self._directory = directory
        self._promotions = promotions
        self._prober = prober
        self._homes = homes
        self._writer = RecordWriter(state, store, incarnation)
        self._successors = Successors(state, prober)
        self._stopper = BoxStopper(state, directory, server, store, take_listing)
        self._seen: _Seen | None = None
        self._started_at = trio.current_time()

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
        if record.moving and record.holder == self._writer.incarnation:
            await self._drive(record)
        elif record.moving:
            if await self._may_take_over(record):
                self._state.log.change("change_taken_over", groups=sorted(record.moving))
                await self._writer.write(self._writer.as_holder(record))
        else:
            await self._start(record)

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
        turn = self._turn("first")
        waited_s = trio.current_time() - self._started_at
        if waited_s < turn * FIRST_TURN_S or (len(groups) < len(missing) and waited_s < 2.0):
            return
        await self._writer.write(attrs.evolve(record, groups={**record.groups, **groups}))

    def _told_leaders(self, group: str) -> list[str]:
        return [row.name for row in self._state.rows_of(group) if row.entry.leads]

    # Starting a change --------------------------------------------------

    async def _start(self, record: LeadershipRecord) -> None:
        """Start replacing every primary that must be.

        The update is conditional on ``record``'s revision: whatever another box
        writes while this one asks around makes it fail.
        """
        changed = self._writer.as_holder(record)
        for group, leading in record.groups.items():
            if isinstance(leading, Leading) and self._state.serves_group(group):
                moving = await self._change_needed(group, leading)
                if moving is not None:
                    changed = changed.with_group(group, moving)
        if changed.moving:
            await self._writer.write(changed)

    async def _change_needed(self, group: str, leading: Leading) -> Moving | None:
        """Return the change that ``group`` needs, if it is this box's turn to start one."""
        now = trio.current_time()
        row = self._state.rows.get(leading.endpoint)
        turn = self._turn(group)
        planned = row is not None and must_leave(row, turn, now)
        if planned:
            best = best_candidate(await self._successors.candidates(group, leading.endpoint))
        elif is_lost(row, turn, now):
            best = await self._successor_of_lost(group, leading.endpoint, turn)
        else:
            return None
        if best is None:
            return None
        self._state.log.change(
            "change_of_primary_starts",
            group=group,
            old=leading.endpoint,
            successor=best.name,
            received=str(best.received),
            planned=planned,
        )
        return Moving(leading, best.name, planned)

    async def _successor_of_lost(self, group: str, old: str, turn: int) -> Candidate | None:
        """Return who takes over from a primary that no box hears; None if one does.

        The other boxes and the replicas are asked at once: each may take half a second.
        """
        heard = False

        async def ask_boxes() -> None:
            nonlocal heard
            heard = await self._is_heard_elsewhere(old)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_boxes)
            candidates = await self._successors.candidates(group, old)
        row = self._state.rows.get(old)
        all_answer = self._directory.boxes.keys() <= self._directory.replies.keys()
        if heard or not is_lost(row, turn, trio.current_time(), all_answer=all_answer):
            return None
        best = best_candidate(candidates)
        if best is None:
            self._state.log.event("no_successor", group=group, old=old)
        return best

    def _turn(self, what: str) -> int:
        """Return how many boxes go before this one; those far back go together."""
        boxes = self._homes.all_homes(what) if what in self._state.leases.record.groups else None
        if boxes is None:
            boxes = self._directory.live()
        return min(MOST_TURNS, turn_of(self._state.box, boxes, what))

    async def _is_heard_elsewhere(self, endpoint: str) -> bool:
        await self._directory.round(check=(endpoint,))
        hearing = [n for n, reply in self._directory.replies.items() if endpoint in reply.hears]
        if hearing:
            self._state.log.event("primary_heard_elsewhere", endpoint=endpoint, others=hearing)
        return bool(hearing)

    # Carrying a change on -----------------------------------------------

    async def _drive(self, record: LeadershipRecord) -> None:
        """Carry on the changes that this box holds."""
        if not all(moving.ordered for moving in record.moving.values()):
            if not await self._stop_and_mark(record):
                return
            record = self._state.leases.record
        asked_at = self._writer.asked_at(record)
        if trio.current_time() - asked_at > SEND_WINDOW_S:
            await self._writer.write(self._writer.as_holder(record))
            return
        not_running = await self._promote_all(record)
        for group in not_running:
            best = await self._successors.best(group, record.moving[group])
            moving = attrs.evolve(record.moving[group], successor=best)
            record = record.with_group(group, moving)
        if not_running:
            await self._writer.write(record)

    async def _stop_and_mark(self, record: LeadershipRecord) -> bool:
        """Have every box stop, then mark the changes as ordered; return whether they are."""
        _, won_at = self._writer.won(record)
        answering: set[str] = set()
        asked_at = trio.current_time()

        async def ask_lost(scope: trio.CancelScope) -> None:
            answering.update(await self._lost_that_answer(record))
            if answering:
                scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_lost, nursery.cancel_scope)
            answering.update(await self._stopper.everyone_stopped(record, won_at))
        if not answering and trio.current_time() - asked_at > LAST_WORD_FRESH_S:
            answering.update(await self._lost_that_answer(record))
        if await self._called_off(record, answering):
            return False
        ready = await self._ready_to_order(record)
        return ready is not None and await self._writer.write(ready)

    async def _called_off(self, record: LeadershipRecord, answering: set[str]) -> bool:
        """Let the primaries of the groups ``answering`` go on leading, if there are any."""
        if not answering:
            return False
        for group in sorted(answering):
            record = record.with_group(group, record.moving[group].old)
        await self._writer.write(record)
        await self._directory.tell_record(self._state.leases.record)
        return True

    async def _lost_that_answer(self, record: LeadershipRecord) -> list[str]:
        """Ask every lost primary once more; return the groups whose answers."""
        answering: list[str] = []

        async def ask(group: str, row: EndpointRow) -> None:
            with trio.move_on_after(ASK_LOST_S):
                if await self._successors.status(row) is not None:
                    self._state.log.change("old_primary_answers", group=group, endpoint=row.name)
                    answering.append(group)

        async with trio.open_nursery() as nursery:
            for group, moving in record.moving.items():
                row = self._state.rows.get(moving.old.endpoint)
                if row is not None and not moving.planned and not moving.ordered:
                    nursery.start_soon(ask, group, row)
        return answering

    async def _ready_to_order(self, record: LeadershipRecord) -> LeadershipRecord | None:
        """Return the record with each change's best successor, marked as ordered.

        None while a group's successor cannot be told that loses no acknowledged write,
        where its writes are on replicas before they are acknowledged.
        """
        for group, moving in record.moving.items():
            best = await self._best_successor(group, moving)
            if best is None:
                return None
            ordered = attrs.evolve(moving, successor=best, ordered=True)
            record = record.with_group(group, ordered)
        return record

    async def _best_successor(self, group: str, moving: Moving) -> str | None:
        caught_up = moving.planned and await self._successors.wait_caught_up(moving)
        if caught_up:
            return moving.successor
        if self._successors.keeps_acknowledged(group):
            return await self._successors.holds_everything(group, moving.old.endpoint)
        fresh_s = 0.0 if moving.planned else CANDIDATES_FRESH_S
        return await self._successors.best(group, moving, fresh_s)

    async def _promote_all(self, record: LeadershipRecord) -> list[str]:
        """Order every promotion and record those that took effect.

        Returns
        -------
        list of str
            The groups whose successor is not running.
        """
        led: dict[str, Leading] = {}
        not_running: list[str] = []

        async def promote(group: str, moving: Moving) -> None:
            if not await self._promote(group, moving, record.fence):
                not_running.append(group)
                return
            leading = await self._successors.leading(moving)
            if leading is not None:
                led[group] = leading

        async with trio.open_nursery() as nursery:
            for group, moving in record.moving.items():
                nursery.start_soon(promote, group, moving)
        if led:
            await self._record_led(record, led)
            return []
        return not_running

    async def _promote(self, group: str, moving: Moving, fence: int) -> bool:
        holder = self._state.box
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

    async def _record_led(self, record: LeadershipRecord, led: dict[str, Leading]) -> None:
        """Record the new primaries, tell every box, and demote the old ones."""
        moved = record.moving
        for group, leading in led.items():
            record = record.with_group(group, leading)
        for _ in range(RECORD_TRIES):
            try:
                if await self._writer.write(record):
                    break
                return
            except PlatformUnavailableError as error:
                self._state.log.event("record_write_unanswered", why=str(error))
                await trio.sleep(ASK_AGAIN_S)
        self._state.check_soon.set()
        await self._directory.tell_record(self._state.leases.record)
        for group, leading in led.items():
            self._prober.demote_soon(moved[group].old.endpoint, leading.term)

    # Taking over --------------------------------------------------------

    async def _may_take_over(self, record: LeadershipRecord) -> bool:
        """Return whether the holder of a change can surely order nothing any more."""
        now = trio.current_time()
        if self._seen is None or self._seen.revision != record.revision:
            self._seen = _Seen(record.revision, now)
        turn = self._turn(str(record.fence))
        seen_s = now - self._seen.at - turn * FIRST_TURN_S
        if seen_s > FIRST_TURN_S:
            await self._directory.round(no_older_than_s=TAKE_OVER_LOOK_S)
        if self._holder_restarted(record.holder):
            return seen_s > FIRST_TURN_S
        if any(moving.ordered for moving in record.moving.values()):
            return seen_s > TAKE_OVER_ORDERED_S
        holder = record.holder.rpartition("/")[0]
        silent = holder not in self._directory.replies
        return seen_s > (TAKE_OVER_SILENT_S if silent else TAKE_OVER_S)

    def _holder_restarted(self, holder: str) -> bool:
        """Return whether the holder's box runs another process by now."""
        name = holder.rpartition("/")[0]
        if name == self._state.box:
            return True
        reply = self._directory.replies.get(name)
        return reply is not None and reply.incarnation != holder
