"""Random histories of allowances: restarts of boxes, stale lists, tokens used late, partitions.

Independent of the rules under test: only which operations ran, and when, is recorded.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from wharftiller.core.sessions.allowances import (
    AllowanceBounds,
    Grant,
    PrefetchedTokens,
    TokenAllocator,
    TokenServerHistory,
    token_server_order,
)
from wharftiller.core.sessions.allowances.buckets import PREFETCH_S
from wharftiller.core.sessions.allowances.shares import LoanRequest
from wharftiller.core.sessions.probe_outcomes import ProbeOutcome
from wharftiller.core.sessions.workspaces import Allowance, Workspace

BOXES = 6
"""Boxes of each data centre; the first four run operations."""

RUNNERS = 4
SILENT_S = 1.0
"""Time for which a token server that did not answer is skipped, in seconds."""

DATA_CENTRES = 3
CENTRES = tuple(str(number) for number in range(DATA_CENTRES))
FIRST_OPERATION_S = 12.0
"""Time of the first operations, long after the boxes' start, in seconds."""

LENGTH_S = 52.0
CUT_AT_S = 26.0
"""When the first data centre is partitioned, in seconds: in the middle of the load peak."""

SLOW_AT_S = 24.0
"""When token servers become slow, in seconds."""

TIMED_OUT_FRACTION = 0.5
"""Fraction of requests to a slow token server that time out."""

SLOW_ANSWERED_FRACTION = 0.8
"""Fraction of probes that a slow token server answers in time."""

DOWN_S = (0.5, 2.0)
"""Shortest and longest time until a killed box starts again, in seconds."""

MAX_USE_DELAY_S = 0.5
"""Longest time from taking a token to the operation's arrival at an endpoint, in seconds."""


@attrs.define(eq=False)
class Process:
    """One process of one box, with its own list of boxes."""

    name: str
    allocator: TokenAllocator
    history: TokenServerHistory
    lag_s: float
    prefetched: PrefetchedTokens = attrs.field(factory=PrefetchedTokens)
    silent_until: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Scenario:
    """Load and failures of a history.

    Attributes
    ----------
    weights : tuple of float
        Fraction of the operations requested in each data centre.
    load_factor : float
        Load of the workspace during its peak, in multiples of its rate.
    cut_s : float
        Length of the first data centre's partition from the others during the peak, in seconds.
    loss : float
        Fraction of exchanges between data centres whose request or reply is lost.
    restarts : int
        Boxes restarted one after the other in each data centre.
    list_lag_s : float
        Maximum lag of a box's list of boxes, in seconds.
    slow_s : float
        Time for which the token server in each data centre is slow during the peak, in seconds:
        half of the token requests of other boxes time out and go to the next box.
    frozen_lists_s : float
        Time for which no list changes meanwhile, as while the platform is unavailable, in seconds.
    """

    allowance: Allowance
    weights: tuple[float, float, float] = (0.4, 0.35, 0.25)
    load_factor: float = 5.0
    restarts: int = 6
    kill_all: bool = True
    list_lag_s: float = 1.5
    cut_s: float = 0.0
    loss: float = 0.02
    slow_s: float = 0.0
    frozen_lists_s: float = 0.0


class AllowanceHistory:
    """Simulates one history and records when operations were requested and ran."""

    def __init__(
        self, scenario: Scenario, seed: int, bounds: AllowanceBounds | None = None
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self.bounds = bounds or AllowanceBounds(centres=CENTRES)
        self._workspace = Workspace("rila", scenario.allowance)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._live: list[dict[str, Process]] = [{} for _ in range(DATA_CENTRES)]
        self._lists: list[list[tuple[float, tuple[str, ...]]]] = [[] for _ in range(DATA_CENTRES)]
        self.ran_at: list[float] = []
        self.requested_at: list[float] = []

    def simulate(self) -> AllowanceHistory:
        """Run the simulation to its end and return this history."""
        for centre in range(DATA_CENTRES):
            for number in range(BOXES):
                self._start(centre, f"box-{centre}-{number}")
            self._draw_restarts(centre)
            self._start_operations(centre)
        if self._scenario.kill_all:
            self._at(self._random.uniform(22.0, 42.0), self._kill_all)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        self.ran_at.sort()
        return self

    @property
    def max_window_use(self) -> float:
        """Operations in the fullest window, as a fraction of the bound."""
        window_s = self.bounds.window_s
        ends = (bisect.bisect_left(self.ran_at, at + window_s) for at in self.ran_at)
        fullest = max((end - start for start, end in enumerate(ends)), default=0)
        return fullest / self.bounds.max_operations(self._scenario.allowance)

    @property
    def ideal_count(self) -> int:
        """Number of operations that a single bucket for all boxes would have run."""
        allowance = self._scenario.allowance
        level, last, ran = allowance.burst, 0.0, 0
        for at in self.requested_at:
            level = min(allowance.burst, level + (at - last) * allowance.rate_per_s)
            last = at
            if level >= 1:
                level -= 1
                ran += 1
        return ran

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act))

    # Boxes ----------------------------------------------------------------

    def _start(self, centre: int, name: str) -> None:
        history = TokenServerHistory(name)
        process = Process(
            name,
            self._new_allocator(centre, history),
            history,
            self._random.uniform(0, self._scenario.list_lag_s),
        )
        self._live[centre][name] = process
        self._record_list(centre)

    def _new_allocator(self, centre: int, history: TokenServerHistory) -> TokenAllocator:
        others = [each for each in CENTRES if each != str(centre)]
        return TokenAllocator(self.bounds, history, str(centre), others)

    def _record_list(self, centre: int) -> None:
        if SLOW_AT_S <= self._now < SLOW_AT_S + self._scenario.frozen_lists_s:
            return
        self._lists[centre].append((self._now, tuple(sorted(self._live[centre]))))
        for process in self._live[centre].values():
            seen_at = self._now + process.lag_s
            self._at(seen_at, lambda p=process: self._receive_list(centre, p))  # type: ignore[misc]

    def _receive_list(self, centre: int, process: Process) -> None:
        process.history.record_list(self._view(centre, process), self._now)

    def _view(self, centre: int, process: Process) -> tuple[str, ...]:
        known = [names for at, names in self._lists[centre] if at <= self._now - process.lag_s]
        return known[-1] if known else ()

    def _kill(self, centre: int, name: str) -> None:
        if self._live[centre].pop(name, None) is not None:
            self._record_list(centre)
            self._at(
                self._now + self._random.uniform(*DOWN_S),
                lambda: self._start(centre, name),
            )

    def _kill_at(self, when: float, centre: int, name: str) -> None:
        self._at(when, lambda: self._kill(centre, name))

    def _kill_all(self) -> None:
        for centre in range(DATA_CENTRES):
            for name in list(self._live[centre]):
                self._kill(centre, name)

    def _draw_restarts(self, centre: int) -> None:
        for _ in range(self._scenario.restarts):
            name = f"box-{centre}-{self._random.randrange(BOXES)}"
            self._kill_at(self._random.uniform(FIRST_OPERATION_S, LENGTH_S), centre, name)

    # Operations -------------------------------------------------------------

    def _start_operations(self, centre: int) -> None:
        self._at(FIRST_OPERATION_S, lambda: self._next_operation(centre))

    def _next_operation(self, centre: int) -> None:
        is_peak = 20.0 < self._now < 40.0
        load_factor = self._scenario.load_factor if is_peak else 0.625
        rate = max(
            1e-6, self._scenario.allowance.rate_per_s * load_factor * self._scenario.weights[centre]
        )
        when = self._now + self._random.expovariate(rate)
        if when < LENGTH_S:
            self._at(when, lambda: self._operation(centre))

    def _operation(self, centre: int) -> None:
        self._next_operation(centre)
        runners = [n for n in self._live[centre] if int(n[-1]) < RUNNERS]
        if not runners:
            return
        self.requested_at.append(self._now)
        process = self._live[centre][self._random.choice(runners)]
        if process.prefetched.use(self._now) or self._request_tokens(centre, process):
            self._at(self._now + self._random.uniform(0, MAX_USE_DELAY_S), self._run)

    def _request_tokens(self, centre: int, process: Process) -> bool:
        wanted = process.prefetched.next_request_size(self._now)
        known = {*self._view(centre, process), process.name}
        for name in token_server_order("rila", known):
            server = self._live[centre].get(name)
            if server is None or process.silent_until.get(name, 0.0) > self._now:
                continue
            unused = process.prefetched.take_expired(name, self._now)
            grant = self._grant(centre, server, wanted, unused)
            if (
                name != process.name
                and self._is_slow(centre, name)
                and self._happens(TIMED_OUT_FRACTION)
            ):
                process.silent_until[name] = self._now + SILENT_S
                continue
            process.prefetched.add(grant.tokens, self._now, name)
            return process.prefetched.use(self._now)
        return False

    def _grant(self, centre: int, server: Process, wanted: int, unused: int) -> Grant:
        server.history.record_list(self._view(centre, server), self._now)
        self._probe_preceding(centre, server)
        grant = server.allocator.grant(self._workspace, wanted, unused, self._now)
        if self._borrow(centre, server, grant.tokens == 0) and not grant.tokens:
            grant = server.allocator.grant(self._workspace, wanted, 0, self._now)
        return grant

    def _probe_preceding(self, centre: int, server: Process) -> None:
        """Probe the boxes that ``server`` stands in for."""
        for name in server.allocator.preceding_boxes("rila"):
            outcome = ProbeOutcome.ANSWERED
            if name not in self._live[centre]:
                outcome = ProbeOutcome.REFUSED
            elif self._is_slow(centre, name) and not self._happens(SLOW_ANSWERED_FRACTION):
                outcome = ProbeOutcome.SILENT
            server.allocator.note_probe(name, outcome, self._now)

    def _is_slow(self, centre: int, name: str) -> bool:
        if not SLOW_AT_S <= self._now < SLOW_AT_S + self._scenario.slow_s:
            return False
        return name == token_server_order("rila", [f"box-{centre}-{n}" for n in range(BOXES)])[0]

    def _happens(self, probability: float) -> bool:
        return self._random.random() < probability

    # Loans --------------------------------------------------------------------

    def _borrow(self, centre: int, borrower: Process, is_short: bool) -> bool:
        """Send the loan requests that are due; return whether there were any."""
        loan_requests = borrower.allocator.loan_requests(self._workspace, is_short, self._now)
        for name, request in loan_requests.items():
            self._request_loan(centre, borrower, int(name), request)
        return bool(loan_requests)

    def _request_loan(
        self, centre: int, borrower: Process, other: int, request: LoanRequest
    ) -> None:
        if self._is_cut(centre, other) or self._random.random() < self._scenario.loss / 2:
            return
        lag_s = self._random.uniform(0, self._scenario.list_lag_s)
        listed = [names for at, names in self._lists[other] if at <= self._now - lag_s]
        name = token_server_order("rila", listed[-1])[0] if listed and listed[-1] else ""
        lender = self._live[other].get(name)
        if lender is None:
            return
        lender.history.record_list(self._view(other, lender), self._now)
        reply = lender.allocator.lend(self._workspace, request, self._now)
        if reply is not None and self._random.random() >= self._scenario.loss / 2:
            borrower.allocator.accept_loan(self._workspace, str(other), reply, self._now, self._now)

    def _is_cut(self, one: int, other: int) -> bool:
        is_first_involved = 0 in (one, other)
        return is_first_involved and CUT_AT_S <= self._now < CUT_AT_S + self._scenario.cut_s

    def _run(self) -> None:
        self.ran_at.append(self._now)


def max_token_age_s() -> float:
    """Return the maximum time from a grant to its token's use in a history, in seconds."""
    return PREFETCH_S + MAX_USE_DELAY_S
