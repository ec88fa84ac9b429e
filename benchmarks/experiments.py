"""Experiments on policies under load and faults, in virtual time.

Network, slots, connection cost and replication lag are modelled. Processor time is not;
benchmarks/live.py measures it on real processes.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import trio

from benchmarks.load import Load
from benchmarks.measurements import Measurement, percentile
from benchmarks.model import BUSINESSES, Deployment, Mix
from wharftiller.tests.fakes.world import Size, World, run_world

Experiment = Callable[[Deployment, int], list[Measurement]]

STEADY_S = 10.0
FAULT_AT_S = 2.0
AFTER_FAULT_S = 6.0
SLOTS = 3
SERVERS = 3
OVERLOAD_SERVICE_MS = 20.0
"""Duration of a statement, in milliseconds; slow, to overload servers with fewer requests."""


def _run(
    deployment: Deployment,
    seed: int,
    scenario: Callable[[World], Awaitable[None]],
    **changes: Any,
) -> None:
    size: Size = attrs.evolve(deployment.size, **changes)
    run_world(scenario, size, seed)


def _load(world: World, mix: Mix, seed: int, **fields: Any) -> Load:
    businesses = world.size.businesses
    return Load(world, mix, random.Random(seed), businesses, **fields)


def _counters(world: World) -> Counter[str]:
    total: Counter[str] = Counter()
    for box in world.boxes.values():
        total += box.proxy.core.tables.counters
    return total


def replica_share(deployment: Deployment, seed: int, **changes: Any) -> list[Measurement]:
    """Return the share of reads served by replicas, and the durations of reads and bookings."""
    measurements: list[Measurement] = []

    async def scenario(world: World) -> None:
        load = _load(world, deployment.mix, seed)
        await load.run(STEADY_S)
        counters = _counters(world)
        replica, primary = counters["reads.replica"], counters["reads.primary"]
        allowed = counters["reads.allowed_replica"]
        allowed_all = allowed + counters["reads.allowed_primary"]
        undone = sum(1 for sample in load.samples if sample.outcome != "done")
        measurements.extend(
            [
                Measurement(
                    "replica share of all reads", "%", (100 * replica / (replica + primary),)
                ),
                Measurement(
                    "replica share of reads whose age and token allow it",
                    "%",
                    (100 * allowed / allowed_all,),
                    "99",
                ),
                Measurement("lookup p50", "ms", (percentile(load.durations_ms("read"), 0.5),)),
                Measurement("lookup p99", "ms", (percentile(load.durations_ms("read"), 0.99),)),
                Measurement(
                    "latest lookup p99", "ms", (percentile(load.durations_ms("latest"), 0.99),)
                ),
                Measurement("booking p50", "ms", (percentile(load.durations_ms("write"), 0.5),)),
                Measurement("booking p99", "ms", (percentile(load.durations_ms("write"), 0.99),)),
                Measurement("requests not done", "%", (100 * undone / len(load.samples),)),
            ]
        )

    _run(deployment, seed, scenario, **changes)
    return measurements


def failover_gap(deployment: Deployment, seed: int) -> list[Measurement]:
    """Return the longest gap between acknowledged bookings for each fault of a primary."""
    measurements = []
    for fault, aim in (
        ("killed", "median < 2, worst < 4"),
        ("cut off", "median < 2, worst < 4"),
        ("frozen", "median < 2, worst < 4"),
        ("planned", "< 0.1"),
    ):
        gap = _gap(deployment, seed, fault)
        measurements.append(Measurement(f"failover gap, {fault}", "s", (gap,), aim))
    return measurements


def _gap(deployment: Deployment, seed: int, fault: str) -> float:
    gaps: list[float] = []

    async def scenario(world: World) -> None:
        mix = Mix(bookings=250, lookups=30)
        load = _load(world, mix, seed, repeatable=True, deadline_ms=5_000)
        load.businesses = BUSINESSES[:: world.size.groups]
        offset = random.Random(seed).uniform(0, 0.5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, FAULT_AT_S + AFTER_FAULT_S)
            await trio.sleep(FAULT_AT_S + offset)
            await _fail_primary(world, fault)
        done = sorted(
            sample.answered_at
            for sample in load.samples
            if sample.kind == "write" and sample.outcome == "done"
        )
        gaps.append(max(later - earlier for earlier, later in itertools.pairwise(done)))

    _run(deployment, seed, scenario)
    return gaps[0]


async def _fail_primary(world: World, fault: str) -> None:
    primary = world.primary(1)
    ip = world.ips[primary]
    match fault:
        case "killed":
            world.endpoints[primary].freeze()
            world.network.kill(ip)
        case "cut off":
            world.network.cut([ip], list(world.ips.values()))
        case "frozen":
            world.network.freeze(ip)
        case "planned":
            suffix = "a" if not primary.endswith("a") else "b"
            endpoint = f"group-1-{suffix}"
            await world.plan_and_confirm(
                {"kind": "change_primary", "group": "group-1", "endpoint": endpoint}
            )


def overload(deployment: Deployment, seed: int) -> list[Measurement]:
    """Return the latency of refusals at three times the capacity of the servers."""
    measurements: list[Measurement] = []

    async def scenario(world: World) -> None:
        per_server = SLOTS * 1000 / world.size.service_ms
        capacity = per_server * SERVERS * world.size.groups
        mix = Mix(bookings=capacity / 3, lookups=capacity * 8 / 3, latest_share=0.0)
        load = _load(world, mix, seed, deadline_ms=500)
        await load.run(3.0)
        refused = [sample.took_s * 1000 for sample in load.samples if sample.outcome == "not_run"]
        refused_at_deadline = [
            sample
            for sample in load.samples
            if sample.outcome == "not_run" and sample.reason == "deadline_passed"
        ]
        done = sum(1 for sample in load.samples if sample.outcome == "done")
        unknown = sum(1 for sample in load.samples if sample.outcome == "unknown")
        client_ms = 2 * world.size.client_latency_s * 1000
        measurements.extend(
            [
                Measurement(
                    "overload: refusal p50 beyond the network",
                    "ms",
                    (percentile(refused, 0.5) - client_ms,),
                ),
                Measurement(
                    "overload: refusal p99 beyond the network",
                    "ms",
                    (percentile(refused, 0.99) - client_ms,),
                ),
                Measurement("overload: refused", "%", (100 * len(refused) / len(load.samples),)),
                Measurement(
                    "overload: refused only at the deadline",
                    "%",
                    (100 * len(refused_at_deadline) / len(load.samples),),
                ),
                Measurement("overload: unknown", "%", (100 * unknown / len(load.samples),)),
                Measurement(
                    "overload: done, of what the servers can do",
                    "%",
                    (100 * done / 3.0 / capacity,),
                ),
            ]
        )

    _run(deployment, seed, scenario, service_ms=OVERLOAD_SERVICE_MS)
    return measurements


def flood(deployment: Deployment, seed: int) -> list[Measurement]:
    """Return the p99 of bookings with and without a flood of lookups of one business."""
    alone = _booking_durations_ms(deployment, seed, 0)
    flooded = _booking_durations_ms(deployment, seed, 3_000)
    latest = _booking_durations_ms(deployment, seed, 1_500, latest_share=1.0)
    return [
        Measurement("booking p99 without a flood", "ms", (percentile(alone, 0.99),)),
        Measurement("booking p99 in a flood of lookups", "ms", (percentile(flooded, 0.99),)),
        Measurement(
            "booking p99 ratio, flood of lookups",
            "x",
            (percentile(flooded, 0.99) / percentile(alone, 0.99),),
            "< 1.5",
        ),
        Measurement(
            "booking p99 ratio, flood of latest lookups",
            "x",
            (percentile(latest, 0.99) / percentile(alone, 0.99),),
            "< 1.5",
        ),
    ]


def _booking_durations_ms(
    deployment: Deployment, seed: int, flood_per_s: float, latest_share: float = 0.0
) -> list[float]:
    durations_ms: list[float] = []

    async def scenario(world: World) -> None:
        load = _load(world, deployment.mix, seed)
        mix = Mix(0, flood_per_s, latest_share=latest_share, session_share=0.0)
        flooding = Load(
            world, mix, random.Random(seed + 1), (BUSINESSES[0],), "flood", deadline_ms=1_000
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(flooding.run, 4.0)
            nursery.start_soon(load.run, 4.0)
        durations_ms.extend(load.durations_ms("write"))

    _run(deployment, seed, scenario)
    return durations_ms


def configuration_spread(deployment: Deployment, seed: int) -> list[Measurement]:
    """Return the time from a confirmed plan until its generation is in force on every box."""
    values: list[float] = []

    async def scenario(world: World) -> None:
        await trio.sleep(random.Random(seed).uniform(0, 3))
        intent = {
            "kind": "change_pool",
            "name": "tourdesk",
            "read_rule": {"max_age_ms": 1_000 + seed},
        }
        plan = await world.admin("POST", "/plans", intent)
        started = trio.current_time()
        confirmed = await world.admin("POST", f"/plans/{plan['plan']}/confirm")

        def in_force() -> bool:
            return all(
                box.proxy.core.tables.configuration.generation >= confirmed["generation"]
                for box in world.boxes.values()
            )

        await world.wait_until(in_force)
        values.append((trio.current_time() - started) * 1000)

    _run(deployment, seed, scenario)
    return [Measurement("confirm until in force on every box", "ms", tuple(values), "< 4000")]


def replica_wait(deployment: Deployment, seed: int) -> list[Measurement]:
    """Compare reading from the primary at once with waiting for a replica, on the same load."""
    measurements = []
    for wait_ms in (0, 5, 20, 50):
        for measurement in replica_share(deployment, seed, replica_wait_ms=wait_ms, lag_ms=15.0):
            if measurement.name.startswith(("replica share of reads", "lookup p99", "booking p99")):
                name = f"replica wait {wait_ms} ms: {measurement.name}"
                measurements.append(attrs.evolve(measurement, name=name, aim=""))
    return measurements


EXPERIMENTS: dict[str, Experiment] = {
    "replica-share": replica_share,
    "failover-gap": failover_gap,
    "overload": overload,
    "flood": flood,
    "spreading": configuration_spread,
    "replica-wait": replica_wait,
}
