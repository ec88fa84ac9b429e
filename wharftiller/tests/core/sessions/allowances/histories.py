"""Random histories of allowances: boxes that restart, lists that lag, tokens used late, cuts.

Written beside the rules, not from them: the ledger knows only which operations ran and when.
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
"""Time for which a keeper that did not answer is passed over, in seconds."""

DATA_CENTRES = 3
CENTRES = tuple(str(number) for number in range(DATA_CENTRES))
FIRST_ASKED_S = 12.0
"""When callers come: boxes have started long before, in seconds."""

LENGTH_S = 52.0
CUT_AT_S = 26.0
"""When the first data centre is cut off, in seconds: in the middle of the hot time."""

SLOW_AT_S = 24.0
"""When keepers turn slow, in seconds."""

TIMED_OUT = 0.5
"""Part of the questions to a slow keeper whose answer comes too late."""

SLOW_ANSWERS = 0.8
"""Part of the questions whether it lives that a slow keeper answers in time."""

DOWN_S = (0.5, 2.0)
USED_LATE_S = 0.5
"""Longest time from taking a token to the operation's arrival at an endpoint, in seconds."""


@attrs.define(eq=False)
class Process:
    """One process of one box, with its own view of the list."""

    name: str
    keeper: TokenAllocator
    history: TokenServerHistory
    lag_s: float
    held: PrefetchedTokens = attrs.field(factory=PrefetchedTokens)
    silent_until: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Story:
    """What happens in a history.

    Attributes
    ----------
    weights : tuple of float
        Part of the operations asked in each data centre.
    asked_x : float
        How many times its rate the workspace asks while it is hot.
    cut_s : float
        For how long the first data centre is cut off from the others while it is hot.
    lost : float
        Part of the questions between data centres that are lost, or whose answers are.
    restarts : int
        Boxes restarted one after the other in each data centre.
    list_lag_s : float
        By how much a box's list of boxes may be late, in seconds; readers read it every 0.8 s.
    slow_s : float
        For how long the workspace's keeper in each data centre is slow while it is hot: half of
        the questions of others wait too long for its grant, and are asked of the next box.
    kept_lists_s : float
        For how long no list changes meanwhile, as while the platform is away.
    """

    allowance: Allowance
    weights: tuple[float, float, float] = (0.4, 0.35, 0.25)
    asked_x: float = 5.0
    restarts: int = 6
    kill_all: bool = True
    list_lag_s: float = 1.5
    cut_s: float = 0.0
    lost: float = 0.02
    slow_s: float = 0.0
    kept_lists_s: float = 0.0


class AllowanceHistory:
    """Plays one history and counts."""

    def __init__(self, story: Story, seed: int, bounds: AllowanceBounds | None = None) -> None:
        self._story = story
        self._draw = random.Random(seed)
        self.bounds = bounds or AllowanceBounds(centres=CENTRES)
        self._workspace = Workspace("rila", story.allowance)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._live: list[dict[str, Process]] = [{} for _ in range(DATA_CENTRES)]
        self._lists: list[list[tuple[float, tuple[str, ...]]]] = [[] for _ in range(DATA_CENTRES)]
        self.ran_at: list[float] = []
        self.asked_at: list[float] = []

    def play(self) -> AllowanceHistory:
        """Play it to its end."""
        for centre in range(DATA_CENTRES):
            for number in range(BOXES):
                self._start(centre, f"box-{centre}-{number}")
            self._draw_restarts(centre)
            self._ask_from(centre)
        if self._story.kill_all:
            self._at(self._draw.uniform(22.0, 42.0), self._kill_all)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        self.ran_at.sort()
        return self

    @property
    def worst(self) -> float:
        """The fullest window's operations over the most that may run."""
        window_s = self.bounds.window_s
        ends = (bisect.bisect_left(self.ran_at, at + window_s) for at in self.ran_at)
        fullest = max((end - start for start, end in enumerate(ends)), default=0)
        return fullest / self.bounds.most(self._story.allowance)

    @property
    def owed(self) -> int:
        """Operations that one bucket for all would have run."""
        allowance = self._story.allowance
        level, last, ran = allowance.burst, 0.0, 0
        for at in self.asked_at:
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
            self._new_keeper(centre, history),
            history,
            self._draw.uniform(0, self._story.list_lag_s),
        )
        self._live[centre][name] = process
        self._note_list(centre)

    def _new_keeper(self, centre: int, history: TokenServerHistory) -> TokenAllocator:
        others = [each for each in CENTRES if each != str(centre)]
        return TokenAllocator(self.bounds, history, str(centre), others)

    def _note_list(self, centre: int) -> None:
        if SLOW_AT_S <= self._now < SLOW_AT_S + self._story.kept_lists_s:
            return
        self._lists[centre].append((self._now, tuple(sorted(self._live[centre]))))
        for process in self._live[centre].values():
            seen_at = self._now + process.lag_s
            self._at(seen_at, lambda p=process: self._hear(centre, p))  # type: ignore[misc]

    def _hear(self, centre: int, process: Process) -> None:
        process.history.note(self._view(centre, process), self._now)

    def _view(self, centre: int, process: Process) -> tuple[str, ...]:
        known = [names for at, names in self._lists[centre] if at <= self._now - process.lag_s]
        return known[-1] if known else ()

    def _kill(self, centre: int, name: str) -> None:
        if self._live[centre].pop(name, None) is not None:
            self._note_list(centre)
            self._at(
                self._now + self._draw.uniform(*DOWN_S),
                lambda: self._start(centre, name),
            )

    def _kill_at(self, when: float, centre: int, name: str) -> None:
        self._at(when, lambda: self._kill(centre, name))

    def _kill_all(self) -> None:
        for centre in range(DATA_CENTRES):
            for name in list(self._live[centre]):
                self._kill(centre, name)

    def _draw_restarts(self, centre: int) -> None:
        for _ in range(self._story.restarts):
            name = f"box-{centre}-{self._draw.randrange(BOXES)}"
            self._kill_at(self._draw.uniform(FIRST_ASKED_S, LENGTH_S), centre, name)

    # Operations -------------------------------------------------------------

    def _ask_from(self, centre: int) -> None:
        self._at(FIRST_ASKED_S, lambda: self._next_operation(centre))

    def _next_operation(self, centre: int) -> None:
        hot = 20.0 < self._now < 40.0
        x = self._story.asked_x if hot else 0.625
        rate = max(1e-6, self._story.allowance.rate_per_s * x * self._story.weights[centre])
        when = self._now + self._draw.expovariate(rate)
        if when < LENGTH_S:
            self._at(when, lambda: self._operation(centre))

    def _operation(self, centre: int) -> None:
        self._next_operation(centre)
        runners = [n for n in self._live[centre] if int(n[-1]) < RUNNERS]
        if not runners:
            return
        self.asked_at.append(self._now)
        process = self._live[centre][self._draw.choice(runners)]
        if process.held.use(self._now) or self._granted(centre, process):
            self._at(self._now + self._draw.uniform(0, USED_LATE_S), self._run)

    def _granted(self, centre: int, process: Process) -> bool:
        wanted = process.held.wanted(self._now)
        known = {*self._view(centre, process), process.name}
        for name in token_server_order("rila", known):
            keeper = self._live[centre].get(name)
            if keeper is None or process.silent_until.get(name, 0.0) > self._now:
                continue
            unused = process.held.lapsed(name, self._now)
            grant = self._ask_keeper(centre, keeper, wanted, unused)
            if name != process.name and self._is_slow(centre, name) and self._drawn(TIMED_OUT):
                process.silent_until[name] = self._now + SILENT_S
                continue
            process.held.granted(grant.tokens, self._now, name)
            return process.held.use(self._now)
        return False

    def _ask_keeper(self, centre: int, keeper: Process, wanted: int, unused: int) -> Grant:
        keeper.history.note(self._view(centre, keeper), self._now)
        self._look_at_keeper(centre, keeper)
        grant = keeper.keeper.grant(self._workspace, wanted, unused, self._now)
        if self._borrow(centre, keeper, grant.tokens == 0) and not grant.tokens:
            grant = keeper.keeper.grant(self._workspace, wanted, 0, self._now)
        return grant

    def _look_at_keeper(self, centre: int, asked: Process) -> None:
        """Have a box that is asked in place of a keeper learn whether that one lives."""
        for name in asked.keeper.before("rila"):
            sign = ProbeOutcome.ANSWERED
            if name not in self._live[centre]:
                sign = ProbeOutcome.REFUSED
            elif self._is_slow(centre, name) and not self._drawn(SLOW_ANSWERS):
                sign = ProbeOutcome.SILENT
            asked.keeper.note_probe(name, sign, self._now)

    def _is_slow(self, centre: int, name: str) -> bool:
        if not SLOW_AT_S <= self._now < SLOW_AT_S + self._story.slow_s:
            return False
        return name == token_server_order("rila", [f"box-{centre}-{n}" for n in range(BOXES)])[0]

    def _drawn(self, part: float) -> bool:
        return self._draw.random() < part

    # Loans --------------------------------------------------------------------

    def _borrow(self, centre: int, keeper: Process, is_short: bool) -> bool:
        """Have a keeper ask those of other data centres if it wants to; return whether it did."""
        questions = keeper.keeper.questions(self._workspace, is_short, self._now)
        for name, question in questions.items():
            self._ask_loan(centre, keeper, int(name), question)
        return bool(questions)

    def _ask_loan(self, centre: int, keeper: Process, other: int, question: LoanRequest) -> None:
        if self._is_cut(centre, other) or self._draw.random() < self._story.lost / 2:
            return
        lag_s = self._draw.uniform(0, self._story.list_lag_s)
        listed = [names for at, names in self._lists[other] if at <= self._now - lag_s]
        name = token_server_order("rila", listed[-1])[0] if listed and listed[-1] else ""
        lender = self._live[other].get(name)
        if lender is None:
            return
        lender.history.note(self._view(other, lender), self._now)
        answer = lender.keeper.lend(self._workspace, question, self._now)
        if answer is not None and self._draw.random() >= self._story.lost / 2:
            keeper.keeper.take_loan(self._workspace, str(other), answer, self._now, self._now)

    def _is_cut(self, one: int, other: int) -> bool:
        beside = 0 in (one, other)
        return beside and CUT_AT_S <= self._now < CUT_AT_S + self._story.cut_s

    def _run(self) -> None:
        self.ran_at.append(self._now)


def longest_use_s() -> float:
    """Return how late after its grant a token may be used in a history, in seconds."""
    return PREFETCH_S + USED_LATE_S
