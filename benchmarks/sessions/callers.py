"""Callers of an experiment: long sessions that come back, operations at random times, retries."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.tests.platform.world import Caller

if TYPE_CHECKING:
    import random

    from benchmarks.sessions.balancer import Balancer
    from benchmarks.sessions.plan import Plan

TRIES = 3
"""An operation and two more tries."""

RETRY_S = 0.1
"""Time before another try, in seconds."""

KINDS = {"primary": 0.15, "bounded_staleness": 0.15, "read_own_writes": 0.70}
"""Kinds of reading and their parts of all operations."""

WRITES = {"primary": 0.35, "bounded_staleness": 0.0, "read_own_writes": 0.12}
"""Part of each kind's operations that write."""


@attrs.define
class Outcomes:
    """How operations ended."""

    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @property
    def in_time(self) -> float:
        """Part that was done within its goal."""
        return self.counts["in_time"] / max(1, self.counts.total())


@attrs.define(eq=False)
class _Session:
    """One caller's session; opened when it is needed."""

    data_centre: int
    group: str
    kind: str
    caller: Caller | None = None
    lock: trio.Lock = attrs.field(factory=trio.Lock)


class CallerLoad:
    """All callers."""

    def __init__(self, plan: Plan, balancer: Balancer, groups: list[str], seed: random.Random):
        self._plan = plan
        self._balancer = balancer
        self._random = seed
        self.outcomes = Outcomes()
        kinds = seed.choices(list(KINDS), list(KINDS.values()), k=plan.sessions)
        self._sessions = [
            _Session(number % len(plan.boxes), seed.choice(groups), kind)
            for number, kind in enumerate(kinds)
        ]

    async def run(self) -> None:
        """Start operations at random times for as long as the plan says."""
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + self._plan.length_s
            while trio.current_time() < until:
                await trio.sleep(self._random.expovariate(self._plan.operations_per_s))
                nursery.start_soon(self._operate, self._random.choice(self._sessions))

    async def _operate(self, session: _Session) -> None:
        started = trio.current_time()
        outcome = "failed"
        with trio.move_on_after(self._plan.deadline_s):
            outcome = await self._try(session)
        took_s = trio.current_time() - started
        if outcome == "done":
            outcome = "in_time" if took_s <= self._plan.goal_s else "late"
        self.outcomes.counts[outcome] += 1

    async def _try(self, session: _Session) -> str:
        outcome = "failed"
        for _ in range(TRIES):
            async with session.lock:
                outcome = await self._ask(session)
            if outcome in ("done", "unknown"):
                return outcome
            await trio.sleep(RETRY_S)
        return outcome

    async def _ask(self, session: _Session) -> str:
        whole = False
        try:
            if session.caller is None:
                session.caller = await self._open(session)
            writes = self._random.random() < WRITES[session.kind]
            text = f"{'WRITE' if writes else 'READ'} thing{self._random.randrange(500)}"
            lines = await session.caller.execute(f"{text} x" if writes else text)
            whole = bool(lines) and lines[-1].startswith("READY")
        except (ExchangeError, trio.BrokenResourceError, trio.ClosedResourceError):
            return "failed"
        finally:
            if not whole and session.caller is not None:
                session.caller.close()
                session.caller = None
        if not whole:
            return "unknown" if writes else "failed"
        if not lines[0].startswith("ERROR"):
            return "done"
        return "unknown" if lines[0].startswith(("ERROR INDOUBT", "ERROR TIMEOUT")) else "refused"

    async def _open(self, session: _Session) -> Caller:
        stream = await self._balancer.connect(session.data_centre)
        caller = Caller(stream)
        await caller.send(f"CONNECT {session.group}-{session.kind} desk\r\n".encode())
        if await caller.read_line() != "READY I -":
            raise ExchangeError("the box takes no session; ask another")
        return caller
