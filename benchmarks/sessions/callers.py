"""Callers of an experiment: long sessions that reconnect, random operations, retries."""

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

MAX_ATTEMPTS = 3

RETRY_S = 0.1
"""Time before a retry, in seconds."""

CONSISTENCY_FRACTIONS = {"primary": 0.15, "bounded_staleness": 0.15, "read_own_writes": 0.70}
"""Fraction of all operations by the consistency of their session."""

WRITE_FRACTIONS = {"primary": 0.35, "bounded_staleness": 0.0, "read_own_writes": 0.12}
"""Fraction of writes by the consistency of the session."""


@attrs.define
class Outcomes:
    """Numbers of operations by outcome."""

    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @property
    def in_time(self) -> float:
        """Fraction of operations that were done within the latency goal."""
        return self.counts["in_time"] / max(1, self.counts.total())


@attrs.define(eq=False)
class _Session:
    """A caller's session, opened for its next operation."""

    data_centre: int
    group: str
    consistency: str
    caller: Caller | None = None
    lock: trio.Lock = attrs.field(factory=trio.Lock)


class CallerLoad:
    """The operations of all callers over their sessions."""

    def __init__(self, plan: Plan, balancer: Balancer, groups: list[str], rng: random.Random):
        self._plan = plan
        self._balancer = balancer
        self._random = rng
        self.outcomes = Outcomes()
        consistencies = rng.choices(
            list(CONSISTENCY_FRACTIONS), list(CONSISTENCY_FRACTIONS.values()), k=plan.sessions
        )
        self._sessions = [
            _Session(number % len(plan.boxes), rng.choice(groups), consistency)
            for number, consistency in enumerate(consistencies)
        ]

    async def run(self) -> None:
        """Start operations at random times for the plan's duration."""
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + self._plan.length_s
            while trio.current_time() < until:
                await trio.sleep(self._random.expovariate(self._plan.operations_per_s))
                nursery.start_soon(self._run_operation, self._random.choice(self._sessions))

    async def _run_operation(self, session: _Session) -> None:
        started = trio.current_time()
        outcome = "failed"
        with trio.move_on_after(self._plan.deadline_s):
            outcome = await self._execute_with_retries(session)
        took_s = trio.current_time() - started
        if outcome == "done":
            outcome = "in_time" if took_s <= self._plan.goal_s else "late"
        self.outcomes.counts[outcome] += 1

    async def _execute_with_retries(self, session: _Session) -> str:
        outcome = "failed"
        for _ in range(MAX_ATTEMPTS):
            async with session.lock:
                outcome = await self._execute(session)
            if outcome in ("done", "unknown"):
                return outcome
            await trio.sleep(RETRY_S)
        return outcome

    async def _execute(self, session: _Session) -> str:
        is_complete = False
        try:
            if session.caller is None:
                session.caller = await self._open(session)
            is_write = self._random.random() < WRITE_FRACTIONS[session.consistency]
            text = f"{'WRITE' if is_write else 'READ'} thing{self._random.randrange(500)}"
            lines = await session.caller.execute(f"{text} x" if is_write else text)
            is_complete = bool(lines) and lines[-1].startswith("READY")
        except (ExchangeError, trio.BrokenResourceError, trio.ClosedResourceError):
            return "failed"
        finally:
            if not is_complete and session.caller is not None:
                session.caller.close()
                session.caller = None
        if not is_complete:
            return "unknown" if is_write else "failed"
        if not lines[0].startswith("ERROR"):
            return "done"
        return "unknown" if lines[0].startswith(("ERROR INDOUBT", "ERROR TIMEOUT")) else "refused"

    async def _open(self, session: _Session) -> Caller:
        stream = await self._balancer.connect(session.data_centre)
        caller = Caller(stream)
        await caller.send(f"CONNECT {session.group}-{session.consistency} desk\r\n".encode())
        if await caller.read_line() != "READY I -":
            raise ExchangeError("the box refused the session; connect to another")
        return caller
