"""Measure the slopes from which docs/CAPACITY.md is worked out: ``scripts/slopes.sh``.

Bytes and processor time for each known group, report, configuration change and
box start, on one machine; a slope a run, the median kept with its spread.
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

from benchmarks.live import SLOPES_FILE, Place, _pid
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
                f"hall-{place + 1}",
                f"10.{number // 250}.{number % 250}.{place}:5000",
                f"10.{number // 250}.{number % 250}.{place}:5001",
            )
            for place, letter in enumerate("abc")
        )
        specs[name] = GroupSpec(name, endpoints)
        businesses = {f"business-{number}-{n}": name for n in range(BUSINESSES_PER_POOL)}
        pools[f"pool-{number:05d}"] = PoolSpec(f"pool-{number:05d}", (name,), businesses)
    return Configuration(generation, pools, specs)


def _seconds(work: Callable[[], Any], times: int = 1) -> float:
    started = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started) / times


def _grown(work: Callable[[], Any]) -> tuple[int, Any]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = work()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown, kept


def configuration_slopes() -> dict[str, float]:
    """Return what a known group costs in memory, bytes sent and start-up time."""
    whole = change_between(Configuration(), configuration(GROUPS))
    wire = orjson.dumps(to_json(whole))

    def start() -> ConfigurationHolder:
        holder = ConfigurationHolder()
        holder.take_change(from_peer(orjson.loads(wire), ConfigurationChange))
        return holder

    start_s = _seconds(start)
    held, holder = _grown(start)

    def watch() -> StewardCore:
        core = StewardCore("box-1", random.Random(1))
        core.handle(ConfigurationArrived(holder.current), 0.0)
        return core

    watched, _ = _grown(watch)
    return {
        "configuration bytes sent per group": len(wire) / GROUPS,
        "configuration memory per group": held / GROUPS,
        "steward memory per group": watched / GROUPS,
        "configuration start-up seconds per group": start_s / GROUPS,
    }


def change_slopes() -> dict[str, float]:
    """Return what one change of one pool costs to receive and to pass on."""
    old = configuration(GROUPS)
    pools = dict(old.pools)
    pools["pool-00007"] = attrs.evolve(pools["pool-00007"], groups=("group-00007",))
    businesses = {**pools["pool-00007"].businesses, "new": "group-00007"}
    pools["pool-00007"] = attrs.evolve(pools["pool-00007"], businesses=businesses)
    new = Configuration(2, pools, old.groups)
    holder = ConfigurationHolder()
    holder.take(old)
    take_s = _seconds(lambda: attrs.evolve(holder).take(new))
    holder.take(new)
    change = holder.change_since(1)
    wire = orjson.dumps(to_json(change))
    pass_s = _seconds(lambda: orjson.dumps(to_json(holder.change_since(1))), 20)
    read_s = _seconds(
        lambda: apply_change(old, from_peer(orjson.loads(wire), ConfigurationChange)), 5
    )
    return {
        "change bytes sent": float(len(wire)),
        "change seconds to take per group known": take_s / GROUPS,
        "change seconds to pass on": pass_s,
        "change seconds to read per group known": read_s / GROUPS,
    }


def report_bytes() -> dict[str, float]:
    """Return the bytes of one report, question and answer with their heads."""
    report = Report("group-00007-a", 12, 12, 1_234_567, 1_200_000)
    answer = len(HttpResponse(200, to_json(report)).encode())
    question = b'{"wait_position":0,"wait_ms":0}'
    head = b"POST /report HTTP/1.1\r\nhost: wharftiller\r\ncontent-length: 31\r\n\r\n"
    return {"report bytes": float(answer + len(head) + len(question))}


def shard_slopes() -> dict[str, float]:
    """Return the time to rank the boxes of a data centre for every watch shard."""
    boxes = {f"box-{number}": "hall-1" for number in range(BOXES_PER_DATA_CENTRE)}
    places = frozenset({"hall-1"})

    def rank_all() -> None:
        for shard in range(WATCH_SHARDS):
            watch_rank(shard, boxes, "box-1", places)

    return {"watch ranking seconds per list": _seconds(rank_all)}


def platform_slopes() -> dict[str, float]:
    """Return platform calls of a promotion, a change and a box start, beyond the steady ones."""
    slopes: dict[str, float] = {}

    async def scenario(world: World) -> None:
        platform = world.platform

        def calls() -> int:
            return sum(platform.calls.values())

        async def beyond_steady(name: str, act: Callable[[], Any], seconds: float) -> None:
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

        await beyond_steady("platform calls per change, admin and 9 relays", change, 10.0)
        await beyond_steady("platform calls per box start", replace, 10.0)
        await beyond_steady("platform calls per promotion", promote, 10.0)

    run_world(scenario, Size(boxes=9, list_lag_s=8.0))
    return slopes


def process_slopes(small: Path, large: Path) -> dict[str, float]:
    """Return processor time for each watched server from two idle deployments."""
    seconds = 10.0
    used: dict[str, list[float]] = {"steward": [], "proxy": []}
    for folder in (small, large):
        places = {part: Place("", _pid(folder, f"box-1-{part}")) for part in ("steward", "proxy")}
        before = {part: place.cpu_s for part, place in places.items()}
        time.sleep(seconds)
        for part, place in places.items():
            used[part].append((place.cpu_s - before[part]) / seconds)
    counts = [
        len(json.loads((folder / "layout.json").read_text())["endpoints"])
        for folder in (small, large)
    ]
    more = counts[1] - counts[0]
    slopes = {}
    for part, (less, most) in used.items():
        slopes[f"{part} core share, idle, {counts[0]} servers"] = less
        slopes[f"{part} core share per server at today's pace"] = (most - less) / more
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
    found = {
        name: {
            "median": statistics.median(run[name] for run in runs),
            "low": min(run[name] for run in runs),
            "high": max(run[name] for run in runs),
            "runs": len(runs),
        }
        for name in runs[0]
    }
    for name, value in platform_slopes().items():
        found[name] = {"median": value, "low": value, "high": value, "runs": 1}
    existing = json.loads(SLOPES_FILE.read_text()) if SLOPES_FILE.exists() else {}
    SLOPES_FILE.write_text(json.dumps({**existing, **found}, indent=1) + "\n")
    for name, slope in found.items():
        print(f"slope: {name}  {slope['median']:.4g}  ({slope['low']:.4g} to {slope['high']:.4g})")


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
