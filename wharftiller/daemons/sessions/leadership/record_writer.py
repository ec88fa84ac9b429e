"""Write the record of leadership and track which updates are this process's own."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.leadership.failover import SEND_WINDOW_S

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.daemons.sessions.interfaces import SharedObjects
    from wharftiller.daemons.sessions.state import SharedState


class RecordWriter:
    """Writes the record for one process.

    Parameters
    ----------
    incarnation : str
        Id of this process; the record's holder.
    """

    def __init__(self, state: SharedState, store: SharedObjects, incarnation: str) -> None:
        self._state = state
        self._store = store
        self._attempt_numbers = itertools.count(1)
        self._attempt_times: dict[str, float] = {}
        self._won_at: dict[int, tuple[float, float]] = {}
        self.incarnation = incarnation

    async def write(self, record: LeadershipRecord) -> bool:
        """Replace the record; return whether the current record is this process's own update."""
        attempt, asked_at = self._next_attempt()
        update = attrs.evolve(
            record, attempt=attempt, updates=record.updates + 1, is_written_back=False
        )
        return await self._replace(update, asked_at)

    def _next_attempt(self) -> tuple[str, float]:
        """Return the id of a new update, and the time of its request, in seconds."""
        attempt = f"{self.incarnation}.{next(self._attempt_numbers)}"
        asked_at = self._attempt_times[attempt] = trio.current_time()
        return attempt, asked_at

    async def _replace(self, update: LeadershipRecord, asked_at: float) -> bool:
        current = await self._store.replace_record(update)
        won = current.attempt in self._attempt_times
        if won:
            self._won_at.setdefault(current.fence, (asked_at, trio.current_time()))
        self._state.leases.adopt(current)
        self._state.log.change(
            "record_written" if won else "record_lost",
            revision=current.revision,
            fence=current.fence,
            holder=current.holder,
        )
        self._state.wake()
        return won

    async def write_back(self) -> bool:
        """Write the record over one restored from a copy; return False if there is no need."""
        record = self._state.leases.record_to_write_back(trio.current_time())
        if record is None:
            return False
        self._state.log.change(
            "record_written_back",
            over=record.revision,
            fence=record.fence,
            doubted=sorted(record.unverified),
        )
        attempt, asked_at = self._next_attempt()
        return await self._replace(attrs.evolve(record, attempt=attempt), asked_at)

    def as_holder(self, record: LeadershipRecord) -> LeadershipRecord:
        """Return the record with this process as its holder, under a new fence."""
        return attrs.evolve(record, fence=record.fence + 1, holder=self.incarnation)

    def won_times(self, record: LeadershipRecord) -> tuple[float, float]:
        """Return when the record was requested and when this process learned that it won it."""
        times = self._won_at.get(record.fence)
        if times is None:
            # The reply to the update was lost; the record was read later.
            now = trio.current_time()
            times = (self._attempt_times.get(record.attempt, now - SEND_WINDOW_S), now)
            self._won_at[record.fence] = times
        return times

    def asked_at(self, record: LeadershipRecord) -> float:
        """Return when this process requested the update that made ``record``, in seconds."""
        return self._attempt_times.get(record.attempt, -math.inf)
