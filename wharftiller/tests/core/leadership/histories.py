"""Random histories of boxes, a platform and failovers, checked for uses of an old primary.

The leases are those of the product; the protocol around them is modelled here, so that
single rules can be disabled. A history is determined by its seed. Boxes pause, are
partitioned from one another and from the platform, restart and join; replies of the
platform are delayed or lost; failovers start at such moments.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

import attrs

from wharftiller.core.leadership.failover import TAKE_OVER_S
from wharftiller.core.leadership.lease import (
    LEASE_S,
    MAX_BOX_LIST_AGE_S,
    RenewalReply,
    holds_no_lease,
)
from wharftiller.core.leadership.record import FailingOver, LeadershipRecord, Leading
from wharftiller.core.leadership.verification import VerificationEvidence, choose_successor
from wharftiller.tests.core.leadership.model_endpoints import ModelEndpoints
from wharftiller.tests.core.leadership.model_platform import ModelPlatform
from wharftiller.tests.core.leadership.weak_table import Rules, WeakTable

GROUP = "seats"
HISTORY_S = 60.0
MAX_CALL_S = 0.8
"""Maximum duration of an answered call, in seconds."""

MAX_COPY_AGE_S = 5.0
"""Maximum age of a copy from which the platform is restored, in seconds."""

VERIFY_POLL_S = 0.5
"""Time between a box's checks of unverified primaries, in seconds."""


@attrs.define(eq=False)
class ModelBox:
    """One box's process."""

    name: str
    table: WeakTable
    registered: bool = False
    listed_since: float | None = None
    paused_until: float = 0.0
    dead: bool = False
    is_failing_over: bool = False
    unavailable_until: float = 0.0
    unverified_since: float | None = None
    tombstones: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    answered_at: dict[str, float] = attrs.field(factory=dict)


@attrs.define(order=True)
class _Event:
    at: float
    number: int
    run: Callable[[], None] = attrs.field(order=False)


class History:
    """One random history.

    Parameters
    ----------
    has_deaths : bool
        Whether boxes also end for good, and dead or live boxes are tombstoned.
    has_restores : bool
        Whether the platform is also restored from copies some seconds old.
    """

    def __init__(
        self, seed: int, rules: Rules, *, has_deaths: bool = False, has_restores: bool = False
    ) -> None:
        self._has_deaths = has_deaths
        self._has_restores = has_restores
        self._random = random.Random(seed)
        self._verification_random = random.Random(f"doubts of {seed}")
        self._endpoints = ModelEndpoints(seed)
        self._rules = rules
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self.now = 0.0
        first = LeadershipRecord(1, 0, "", "", {GROUP: Leading("p0")})
        self._platform = ModelPlatform(first)
        self.presumed_dead = 0
        self.boxes: list[ModelBox] = []
        self.primary = "p0"
        self.promotions = 0
        self.violations: list[str] = []
        self._names = itertools.count()
        self._cuts: dict[frozenset[str], float] = {}

    def run(self) -> None:
        """Run the history to its end."""
        for _ in range(self._random.randint(2, 4)):
            self._start_box()
        self._at(self._random.uniform(0, 4), self._inject_fault)
        if self._has_restores:
            self._at(self._random.uniform(2, 10), self._take_copy)
        while self._events and self.now < HISTORY_S:
            event = heapq.heappop(self._events)
            self.now = max(self.now, event.at)
            event.run()
            self._check_leases()

    def _at(self, delay_s: float, run: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(self.now + delay_s, next(self._numbers), run))

    def _check_leases(self) -> None:
        for box in self.boxes:
            lease = box.table.lease(GROUP, self.now)
            if not box.dead and lease is not None and lease.endpoint != self.primary:
                self.violations.append(f"{self.now:.2f}: {box.name} uses {lease.endpoint}")

    # Boxes --------------------------------------------------------------

    def _start_box(self, name: str | None = None) -> None:
        table = type("Table", (WeakTable,), {"rules": self._rules})()
        box = ModelBox(name or f"b{next(self._names)}", table)
        self.boxes.append(box)
        self._at(0.0, lambda: self._read(box))
        self._at(0.3, lambda: self._renew(box))
        if self._has_restores and self._rules.copies_are_unverified:
            self._at(
                self._verification_random.uniform(0.0, VERIFY_POLL_S), lambda: self._verify(box)
            )

    def _when_awake(self, box: ModelBox, run: Callable[[], None]) -> None:
        """Run now, or once the box's pause ends; never once it is dead."""
        if box.dead:
            return
        if box.paused_until > self.now:
            self._at(box.paused_until - self.now, lambda: self._when_awake(box, run))
            return
        run()

    def _reaches_platform(self, box: ModelBox) -> bool:
        return self.now >= self._platform.unavailable_until and self.now >= box.unavailable_until

    def _connected(self, a: ModelBox, b: ModelBox) -> bool:
        return self.now >= self._cuts.get(frozenset((a.name, b.name)), 0.0)

    def _read(self, box: ModelBox) -> None:
        self._when_awake(box, lambda: self._read_now(box))

    def _read_now(self, box: ModelBox) -> None:
        self._at(self._random.choice((1.0, 1.0, 4.0)), lambda: self._read(box))
        asked_at = self.now
        if not self._reaches_platform(box):
            return
        platform = self._platform
        first = platform.listed.get(box.name) is not box or box.name in platform.tombstones
        if first:
            platform.listed[box.name] = box
            platform.tombstones.pop(box.name, None)
        record = platform.read_record()
        listed, tombstones = dict(platform.listed), dict(platform.tombstones)
        delay = self._random.uniform(0, MAX_CALL_S)

        def answered() -> None:
            self._update_tombstones(box, tombstones)
            self._handle_platform_reply(box, record, listed, asked_at, first)

        self._at(delay, lambda: self._when_awake(box, answered))

    def _update_tombstones(self, box: ModelBox, tombstones: dict[str, int]) -> None:
        box.tombstones = {
            name: box.tombstones[name]
            if name in box.tombstones and box.tombstones[name][0] == tombstone
            else (tombstone, self.now)
            for name, tombstone in tombstones.items()
        }

    def _handle_platform_reply(
        self,
        box: ModelBox,
        record: LeadershipRecord,
        listed: dict[str, ModelBox],
        asked_at: float,
        first: bool,
    ) -> None:
        box.registered = True
        if first and self._rules.registered_before_lease:
            box.listed_since = None
            return
        if box.listed_since is None:
            box.listed_since = asked_at
        counted_at = asked_at if self._rules.request_time_counts else self.now
        box.table.read(record, counted_at)
        box.table.update_boxes([name for name in listed if name != box.name], counted_at)
        if self._reaches_platform(box):
            self._write_back(box)

    def _renew(self, box: ModelBox) -> None:
        self._when_awake(box, lambda: self._renew_now(box))

    def _renew_now(self, box: ModelBox) -> None:
        self._at(1.0, lambda: self._renew(box))
        asked_at = self.now
        answers: list[RenewalReply] = []
        for other in self.boxes:
            if other is box or other.dead or other.paused_until > self.now:
                continue
            if self._connected(box, other):
                other.answered_at[box.name] = self.now
                answers.append(
                    RenewalReply(other.name, other.table.read_from_platform, other.table.record)
                )
        delay = self._random.uniform(0, 0.5)
        self._at(
            delay, lambda: self._when_awake(box, lambda: self._end_renewal(box, answers, asked_at))
        )

    def _end_renewal(self, box: ModelBox, answers: list[RenewalReply], asked_at: float) -> None:
        box.table.apply_renewal(answers, asked_at if self._rules.request_time_counts else self.now)

    # Faults -------------------------------------------------------------

    def _inject_fault(self) -> None:
        pick = self._random
        self._at(pick.uniform(0.1, 4.0), self._inject_fault)
        alive = [each for each in self.boxes if not each.dead]
        if not alive:
            return
        box = pick.choice(alive)
        match pick.randrange(11 if self._has_deaths else 9):
            case 9:
                box.dead = sum(not each.dead for each in self.boxes) > 2
            case 10:
                # Any box may be tombstoned, whether it is dead or only unresponsive.
                name = pick.choice(list(self._platform.listed) or [""])
                if self._reaches_platform(box) and name not in ("", box.name):
                    self._platform.tombstones[name] = next(self._numbers)
            case 0:
                box.paused_until = self.now + pick.uniform(0.5, 9)
            case 1:
                box.unavailable_until = self.now + pick.uniform(1, 12)
            case 2:
                self._platform.unavailable_until = self.now + pick.uniform(1, 14)
            case 3:
                for other in self.boxes:
                    if pick.random() < 0.7:
                        until = self.now + pick.uniform(1, 10)
                        self._cuts[frozenset((box.name, other.name))] = until
            case 4:
                box.dead = True
                self._at(pick.uniform(0.1, 2.0), lambda: self._start_box(box.name))
            case 5 if len([each for each in self.boxes if not each.dead]) < 5:
                self._start_box()
            case _:
                self._when_awake(box, lambda: self._begin_failover(box))

    # Copies of the platform ----------------------------------------------

    def _take_copy(self) -> None:
        """Take a copy; some seconds later the platform fails and is restored from it."""
        platform = self._platform
        copy = platform.copy()
        outage_s = self._random.uniform(0.2, 3.0)

        def fail() -> None:
            platform.unavailable_until = max(platform.unavailable_until, self.now + outage_s)
            self._at(outage_s, lambda: platform.restore(copy))

        self._at(self._random.uniform(0.1, MAX_COPY_AGE_S), fail)
        self._at(self._random.uniform(8, 20), self._take_copy)

    def _write_back(self, box: ModelBox) -> None:
        written = box.table.record_to_write_back(self.now)
        if written is None or self._platform.record.revision != written.revision:
            return
        box.table.adopt(self._platform.write(written))

    # Unverified primaries -------------------------------------------------

    def _verify(self, box: ModelBox) -> None:
        self._when_awake(box, lambda: self._verify_now(box))

    def _verify_now(self, box: ModelBox) -> None:
        self._at(VERIFY_POLL_S, lambda: self._verify(box))
        known = box.table.record
        if GROUP not in known.unverified:
            box.unverified_since = None
            return
        if box.unverified_since is None:
            box.unverified_since = self.now
        if known.revision != self._platform.record.revision or not self._reaches_platform(box):
            return
        if GROUP in box.table.leased_groups(self.now):
            verified = attrs.evolve(known.unverified[GROUP], is_unverified=False)
            box.table.adopt(self._replace_record(known.with_group(GROUP, verified)))
            return
        evidence = VerificationEvidence(
            self._endpoints.statuses(self.now),
            self._endpoints.silent(self.now),
            frozenset(),
            self.now - box.unverified_since,
            box.table.is_settled(self.now),
        )
        successor = choose_successor(known.unverified[GROUP], evidence)
        if successor is not None and not box.is_failing_over:
            failover = FailingOver(known.unverified[GROUP], successor, planned=False)
            self._take_record(box, known, failover, self._verification_random)

    def _replace_record(self, record: LeadershipRecord) -> LeadershipRecord:
        self._platform.written_at = self.now
        updates = record.updates + 1
        return self._platform.write(attrs.evolve(record, updates=updates, is_written_back=False))

    # Failover -----------------------------------------------------------

    def _begin_failover(self, box: ModelBox) -> None:
        if (
            box.is_failing_over
            or not box.table.read_from_platform
            or not self._reaches_platform(box)
        ):
            return
        known = box.table.record
        if known.revision != self._platform.record.revision:
            return
        if self._rules.settled_first and not box.table.is_settled(self.now):
            return
        state = known.groups[GROUP]
        match state:
            case Leading():
                failover = FailingOver(state, f"p{self._platform.revision + 1}", planned=False)
            case FailingOver() if self.now - self._platform.written_at > TAKE_OVER_S:
                failover = state
            case _:
                return
        self._take_record(box, known, failover, self._random)

    def _take_record(
        self, box: ModelBox, known: LeadershipRecord, failover: FailingOver, rng: random.Random
    ) -> None:
        taken = attrs.evolve(known, fence=known.fence + 1, holder=box.name)
        won = self._replace_record(taken.with_group(GROUP, failover))
        box.is_failing_over = True
        # Replies read before the win may still be in flight to other boxes.
        listed = dict(self._platform.listed) if self._rules.list_read_after_win else None
        tombstones = dict(self._platform.tombstones)
        delay = rng.uniform(0, MAX_CALL_S)
        self._at(
            delay, lambda: self._when_awake(box, lambda: self._on_won(box, won, listed, tombstones))
        )

    def _on_won(
        self,
        box: ModelBox,
        won: LeadershipRecord,
        listed: dict[str, ModelBox] | None,
        tombstones: dict[str, int],
    ) -> None:
        box.table.adopt(won)
        box.table.release_lease(GROUP, won.failovers[GROUP].old.endpoint)
        pending = set(listed if listed is not None else box.table.boxes) - {box.name}
        self._update_tombstones(box, tombstones)
        dead = {
            name for name in pending & box.tombstones.keys() if self._is_confirmed_dead(box, name)
        }
        self.presumed_dead += len(dead)
        pending -= dead
        self._request_releases(box, won, pending, self.now)

    def _request_releases(
        self,
        box: ModelBox,
        won: LeadershipRecord,
        pending: set[str],
        won_at: float,
        has_old_member: bool = False,
    ) -> None:
        for other in self.boxes:
            awake = not other.dead and other.paused_until <= self.now
            if other.name in pending and awake and self._connected(box, other):
                other.table.adopt(won)
                other.table.release_lease(GROUP, won.failovers[GROUP].old.endpoint)
                pending.discard(other.name)
                has_old_member |= self._is_old_member(other)
        old_member = (
            self._is_old_member(box) or has_old_member or not self._rules.promoter_is_old_member
        )
        if not pending or (self.now >= won_at + LEASE_S and old_member):
            self._promote(box, won)
            return
        self._at(
            0.2,
            lambda: self._when_awake(
                box, lambda: self._request_releases(box, won, pending, won_at, has_old_member)
            ),
        )

    def _is_confirmed_dead(self, box: ModelBox, name: str) -> bool:
        tombstoned_at = box.tombstones[name][1] if self._rules.tombstones_must_age else -math.inf
        answered_at = box.answered_at.get(name, -math.inf)
        if not self._rules.answered_renewals_count:
            answered_at = -math.inf
        listed_s = 0.0 if box.listed_since is None else self.now - box.listed_since
        return holds_no_lease(tombstoned_at, answered_at, listed_s, self.now)

    def _is_old_member(self, box: ModelBox) -> bool:
        """Return whether ``box`` is certainly in every other box's list."""
        since = box.listed_since
        return since is not None and self.now - since > MAX_BOX_LIST_AGE_S + LEASE_S

    def _promote(self, box: ModelBox, won: LeadershipRecord) -> None:
        if self._platform.record.revision != won.revision:
            return
        self.primary = won.failovers[GROUP].successor
        self._endpoints.promote(self.primary, self.now)
        self.promotions += 1
        self._at(0.3, lambda: self._when_awake(box, lambda: self._record_promoted(box, won)))

    def _record_promoted(self, box: ModelBox, won: LeadershipRecord) -> None:
        if self._platform.record.revision != won.revision:
            return
        if not self._reaches_platform(box):
            self._at(0.5, lambda: self._when_awake(box, lambda: self._record_promoted(box, won)))
            return
        leading = Leading(won.failovers[GROUP].successor, self._platform.revision + 1)
        recorded = attrs.evolve(won, updates=won.updates + 1).with_group(GROUP, leading)
        box.table.adopt(self._platform.write(recorded))
        box.is_failing_over = False


def run_histories(
    seeds: Iterable[int], rules: Rules, *, has_deaths: bool = False, has_restores: bool = False
) -> tuple[int, list[int]]:
    """Return the promotions of these histories, and the seeds in which an old primary was used."""
    promotions = 0
    violations: list[int] = []
    for seed in seeds:
        history = History(seed, rules, has_deaths=has_deaths, has_restores=has_restores)
        history.run()
        promotions += history.promotions
        if history.violations:
            violations.append(seed)
    return promotions, violations
