"""Measure the slopes from which docs/CAPACITY.md is computed: ``scripts/slopes.sh``.

Bytes, processor time and platform calls for each known group, report, configuration
change, promotion and box start, on one machine. Of several runs the median, the lowest
and the highest value are saved.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import orjson
import trio

from benchmarks.live import SLOPES_FILE, Process, read_pid
from wharftiller.core.configuration import Configuration, EndpointSpec, GroupSpec, PoolSpec
from wharftiller.core.configuration_changes import (
    ConfigurationChange,
    ConfigurationHolder,
    apply_change,
    change_between,
)
from wharftiller.core.messages import ConfigurationArrived, Report
from wharftiller.core.steward import StewardCore
from wharftiller.core.watching import WATCH_SHARDS, watch_rank
from wharftiller.edges.codec import from_peer, to_json
from wharftiller.edges.http_server import HttpResponse
from wharftiller.tests.fakes.world import Size, World, run_world

RUNS = 5
GROUPS = 4_000
BUSINESSES_PER_POOL = 50
BOXES_PER_DATA_CENTRE = 560


def configuration(groups: int, generation: int = 1) -> Configuration:
    """Return a configuration of ``groups`` groups and as many pools."""
    specs = {}
    pools = {}
    for number in range(groups):
        name = f"group-{number:05d}"
        endpoints = tuple(
            EndpointSpec(
                f"{name}-{letter}",
                f"hall-{index + 1}",
                f"10.{number // 250}.{number % 250}.{index}:5000",
                f"10.{number // 250}.{number % 250}.{index}:5001",
            )
            for index, letter in enumerate("abc")
        )
        specs[name] = GroupSpec(name, endpoints)
        businesses = {f"business-{number}-{n}": name for n in range(BUSINESSES_PER_POOL)}
        pools[f"pool-{number:05d}"] = PoolSpec(f"pool-{number:05d}", (name,), businesses)
    return Configuration(generation, pools, specs)


def _cpu_s(work: Callable[[], Any], times: int = 1) -> float:
    started = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started) / times


def _allocated_bytes(work: Callable[[], Any]) -> tuple[int, Any]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = work()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return allocated, result


def configuration_slopes() -> dict[str, float]:
    """Return memory, bytes sent and start-up time for each known group."""
    whole = change_between(Configuration(), configuration(GROUPS))
    wire = orjson.dumps(to_json(whole))

    def start() -> ConfigurationHolder:
        holder = ConfigurationHolder()
        holder.take_change(from_peer(orjson.loads(wire), ConfigurationChange))
        return holder

    start_s = _cpu_s(start)
    holder_bytes, holder = _allocated_bytes(start)

    def watch() -> StewardCore:
        core = StewardCore("box-1", random.Random(1))
        core.handle(ConfigurationArrived(holder.current), 0.0)
        return core

    steward_bytes, _ = _allocated_bytes(watch)
    return {
        "configuration bytes sent per group": len(wire) / GROUPS,
        "configuration memory per group": holder_bytes / GROUPS,
        "steward memory per group": steward_bytes / GROUPS,
        "configuration start-up seconds per group": start_s / GROUPS,
    }


def change_slopes() -> dict[str, float]:
    """Return the cost to receive and to forward a change of one pool."""
    old = configuration(GROUPS)
    pools = dict(old.pools)
    pools["pool-00007"] = attrs.evolve(pools["pool-00007"], groups=("group-00007",))
    businesses = {**pools["pool-00007"].businesses, "new": "group-00007"}
    pools["pool-00007"] = attrs.evolve(pools["pool-00007"], businesses=businesses)
    new = Configuration(2, pools, old.groups)
    holder = ConfigurationHolder()
    holder.take(old)
    apply_s = _cpu_s(lambda: attrs.evolve(holder).take(new))
    holder.take(new)
    change = holder.change_since(1)
    wire = orjson.dumps(to_json(change))
    forward_s = _cpu_s(lambda: orjson.dumps(to_json(holder.change_since(1))), 20)
    read_s = _cpu_s(
        lambda: apply_change(old, from_peer(orjson.loads(wire), ConfigurationChange)), 5
    )
    return {
        "change bytes sent": float(len(wire)),
        "change seconds to take per group known": apply_s / GROUPS,
        "change seconds to pass on": forward_s,
        "change seconds to read per group known": read_s / GROUPS,
    }


def report_bytes() -> dict[str, float]:
    """Return the bytes of one report: request and reply with their headers."""
    report = Report("group-00007-a", 12, 12, 1_234_567, 1_200_000)
    reply_bytes = len(HttpResponse(200, to_json(report)).encode())
    request_body = b'{"wait_position":0,"wait_ms":0}'
    head = b"POST /report HTTP/1.1\r\nhost: wharftiller\r\ncontent-length: 31\r\n\r\n"
    return {"report bytes": float(reply_bytes + len(head) + len(request_body))}


def shard_slopes() -> dict[str, float]:
    """Return the processor time to rank the boxes of a data centre for every watch shard."""
    boxes = {f"box-{number}": "hall-1" for number in range(BOXES_PER_DATA_CENTRE)}
    data_centres = frozenset({"hall-1"})

    def rank_all() -> None:
        for shard in range(WATCH_SHARDS):
            watch_rank(shard, boxes, "box-1", data_centres)

    return {"watch ranking seconds per list": _cpu_s(rank_all)}


def platform_slopes() -> dict[str, float]:
    """Return the platform calls of a promotion, a change and a box start, less the steady ones."""
    slopes: dict[str, float] = {}

    async def scenario(world: World) -> None:
        platform = world.platform

        def calls() -> int:
            return sum(platform.calls.values())

        async def measure_calls(name: str, act: Callable[[], Any], seconds: float) -> None:
            before = calls()
            await trio.sleep(seconds)
            steady = calls() - before
            before = calls()
            await act()
            await trio.sleep(max(0.0, seconds - (trio.current_time() - started[0])))
            slopes[name] = float(calls() - before - steady)

        started = [0.0]

        async def promote() -> None:
            started[0] = trio.current_time()
            primary = world.primary()
            world.network.kill(world.ips[primary])
            world.endpoints[primary].freeze()

        async def change() -> None:
            started[0] = trio.current_time()
            rule = {"max_age_ms": 777}
            await world.plan_and_confirm(
                {"kind": "change_pool", "name": "tourdesk", "read_rule": rule}
            )

        async def replace() -> None:
            started[0] = trio.current_time()
            await world.replace_box("box-9")

        await measure_calls("platform calls per change, admin and 9 relays", change, 10.0)
        await measure_calls("platform calls per box start", replace, 10.0)
        await measure_calls("platform calls per promotion", promote, 10.0)

    run_world(scenario, Size(boxes=9, list_lag_s=8.0))
    return slopes


def process_slopes(small: Path, large: Path) -> dict[str, float]:
    """Return the processor time for each watched server, from two idle deployments."""
    duration_s = 10.0
    used: dict[str, list[float]] = {"steward": [], "proxy": []}
    for folder in (small, large):
        processes = {
            component: Process("", read_pid(folder, f"box-1-{component}"))
            for component in ("steward", "proxy")
        }
        before = {component: process.cpu_s for component, process in processes.items()}
        time.sleep(duration_s)
        for component, process in processes.items():
            used[component].append((process.cpu_s - before[component]) / duration_s)
    counts = [
        len(json.loads((folder / "layout.json").read_text())["endpoints"])
        for folder in (small, large)
    ]
    added_servers = counts[1] - counts[0]
    slopes = {}
    for component, (small_share, large_share) in used.items():
        slopes[f"{component} core share, idle, {counts[0]} servers"] = small_share
        slopes[f"{component} core share per server at today's pace"] = (
            large_share - small_share
        ) / added_servers
    return slopes


def main(small: Path, large: Path) -> None:
    """Measure everything and write ``slopes.json``."""
    runs: list[dict[str, float]] = []
    for _ in range(RUNS):
        runs.append(
            {
                **configuration_slopes(),
                **change_slopes(),
                **report_bytes(),
                **shard_slopes(),
                **process_slopes(small, large),
            }
        )
    slopes = {
        name: {
            "median": statistics.median(run[name] for run in runs),
            "low": min(run[name] for run in runs),
            "high": max(run[name] for run in runs),
            "runs": len(runs),
        }
        for name in runs[0]
    }
    for name, value in platform_slopes().items():
        slopes[name] = {"median": value, "low": value, "high": value, "runs": 1}
    existing = json.loads(SLOPES_FILE.read_text()) if SLOPES_FILE.exists() else {}
    SLOPES_FILE.write_text(json.dumps({**existing, **slopes}, indent=1) + "\n")
    for name, slope in slopes.items():
        print(f"slope: {name}  {slope['median']:.4g}  ({slope['low']:.4g} to {slope['high']:.4g})")


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
