"""Tests of load peaks beyond a primary's capacity while its replicas lag."""

from __future__ import annotations

import collections
import random

import attrs
import trio

from wharftiller.core.leadership.read_schedule import SHARED_READ_S
from wharftiller.tests.platform.world import (
    BoxProcess,
    World,
    configuration,
    make_group,
    run_in_world,
)

BOXES = 12
SLOTS = 5
WORK_S = 0.02
GOAL_S = 0.25
"""Latency goal of every route, in seconds."""

PEAK_S = 8.0
MAX_TRIES = 3
"""Attempts of a caller, including the first."""

URGENT, ORDINARY = "primary", "read_own_writes"
"""Kinds of route; the first has priority."""

PRIMARY_CAPACITY = SLOTS / WORK_S * PEAK_S
"""Statements that the primary can run during the peak."""


@attrs.define
class LoadPeak:
    """Callers that arrive at random and retry after the time in a refusal.

    Attributes
    ----------
    outcomes : dict
        Counts of outcomes by kind of route.
    """

    world: World
    outcomes: dict[str, collections.Counter[str]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))

    async def run(self, kind: str, load: float) -> None:
        """Start callers at ``load`` times the primary's capacity; return when all have ended."""
        boxes = list(self.world.boxes.values())
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + PEAK_S
            while trio.current_time() < until:
                nursery.start_soon(self._run_caller, kind, self.rng.choice(boxes))
                await trio.sleep(self.rng.expovariate(load * SLOTS / WORK_S))

    async def _run_caller(self, kind: str, box: BoxProcess) -> None:
        caller = await self.world.open_session(box, kind)
        started_at = trio.current_time()
        for _ in range(MAX_TRIES):
            answer = (await caller.execute("READ seat1"))[0]
            took_s = trio.current_time() - started_at
            if answer.startswith("ROW"):
                self.outcomes[kind]["in goal" if took_s <= GOAL_S else "late"] += 1
                return
            retry_after_ms = float(answer.rpartition("come back in ")[2].split()[0])
            await trio.sleep(retry_after_ms / 1000)
        self.outcomes[kind]["refused"] += 1


def run_peaks(**loads: float) -> dict[str, collections.Counter[str]]:
    """Return the outcomes of load peaks, given as multiples of the primary's capacity."""
    outcomes: dict[str, collections.Counter[str]] = {}

    async def scenario(world: World) -> None:
        routes = configuration(2, world.groups)["Routes"]
        for route in routes:
            route["Priority"] = 0 if route["Kind"] == URGENT else 1
        world.configure(2, Routes=routes)
        for server in world.groups[0].servers[1:]:
            server.replication_suspended = True
        writer = await world.open_session(world.boxes["box-1"], URGENT)
        await writer.execute("WRITE seat1 anna")
        await trio.sleep(SHARED_READ_S + 3.0)
        peak = LoadPeak(world)
        async with trio.open_nursery() as nursery:
            for kind, load in loads.items():
                nursery.start_soon(peak.run, kind, load)
        outcomes.update(peak.outcomes)

    group = make_group(slots=SLOTS, work_s=WORK_S, queue=0, max_connections=20)
    run_in_world(scenario, boxes=BOXES, groups=[group])
    return outcomes


class TestLoadPeaks:
    def test_load_within_capacity_is_served_within_its_goal(self) -> None:
        """Guards against refusals and late replies within the primary's capacity."""
        outcomes = run_peaks(read_own_writes=0.8)[ORDINARY]
        assert outcomes["in goal"] >= 0.98 * outcomes.total()

    def test_half_of_capacity_is_served_within_its_goal_under_overload(self) -> None:
        """Guards against a collapse of goodput beyond the primary's capacity."""
        outcomes = run_peaks(read_own_writes=1.3)[ORDINARY]
        assert outcomes["in goal"] >= 0.5 * PRIMARY_CAPACITY

    def test_a_peak_of_ordinary_statements_leaves_urgent_ones_served(self) -> None:
        """Guards against loss of urgent statements in a peak of ordinary ones."""
        outcomes = run_peaks(primary=0.25, read_own_writes=1.2)
        assert outcomes[URGENT]["refused"] <= 0.03 * outcomes[URGENT].total()
        assert outcomes[URGENT]["in goal"] >= 0.9 * outcomes[URGENT].total()
        assert outcomes[ORDINARY]["in goal"] >= 0.25 * PRIMARY_CAPACITY

    def test_a_peak_of_urgent_statements_does_not_starve_ordinary_ones(self) -> None:
        """Guards against starvation of ordinary statements in a peak of urgent ones."""
        outcomes = run_peaks(primary=0.8, read_own_writes=0.4)
        assert outcomes[URGENT]["refused"] <= 0.03 * outcomes[URGENT].total()
        assert outcomes[ORDINARY]["refused"] <= 0.75 * outcomes[ORDINARY].total()
