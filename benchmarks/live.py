"""Measure real processes on this machine: ``scripts/live.sh`` starts them and calls this.

Figures: statements a second of one core through a proxy against the endpoint
stand-in asked directly, what the proxy adds to a statement, and memory per idle
caller connection.
"""

from __future__ import annotations

import json
import os
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import trio

from benchmarks.measurements import Measurement, merged, percentile
from standins.layout import BUSINESSES, POOL, SECRET
from wharftiller.edges.http_client import HttpConnection
from wharftiller.edges.transport import TcpTransport
from wharftiller.keys import KeyRing, bearer_header

KEYS = KeyRing("k1", {"k1": SECRET})
CONNECTIONS = 8
SECONDS = 4.0
PACED = 400
PACE_S = 0.005
IDLE_CONNECTIONS = 2_000
RUNS = 5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SLOPES_FILE = Path(__file__).with_name("slopes.json")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Ask = Callable[[HttpConnection, int], Awaitable[None]]


@attrs.frozen
class Place:
    """A process to measure: where it listens and its id."""

    address: str
    pid: int

    @property
    def cpu_s(self) -> float:
        """Processor time it has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    @property
    def resident_bytes(self) -> int:
        """Memory it has resident."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_BYTES


def caller_body(kind: str, number: int) -> dict[str, Any]:
    """Return a caller's statement; reads accept data of five seconds."""
    statement = {"get": "k"} if kind == "read" else {"put": "k", "value": number}
    return {
        "pool": POOL,
        "business": BUSINESSES[0],
        "request_id": f"{kind}-{number}-{time.monotonic_ns()}",
        "kind": kind,
        "statement": statement,
        "max_age_ms": 5_000,
    }


def through_proxy(kind: str) -> Ask:
    """Return what asks a proxy for a statement."""
    headers = bearer_header(KEYS.mint("business", f"{POOL}/{BUSINESSES[0]}"))

    async def ask(connection: HttpConnection, number: int) -> None:
        body = caller_body(kind, number)
        answer = await connection.request("POST", "/statements", body, headers)
        if answer.json()["outcome"] != "done":
            raise RuntimeError(f"not done: {answer.body!r}")

    return ask


def directly(kind: str, term: int) -> Ask:
    """Return what asks an endpoint for the same statement."""

    async def ask(connection: HttpConnection, number: int) -> None:
        caller = caller_body(kind, number)
        body = {
            "request_id": caller["request_id"],
            "business": caller["business"],
            "action": kind,
            "statement": caller["statement"],
            "term": term if kind == "write" else 0,
            "deadline_ms": 5_000,
        }
        answer = await connection.request("POST", "/statement", body)
        if answer.json()["verdict"] != "ran":
            raise RuntimeError(f"did not run: {answer.body!r}")

    return ask


async def connected(place: Place, direct: bool) -> HttpConnection:
    """Return an open connection, greeted if it is an endpoint's."""
    connection = HttpConnection(await TcpTransport().connect(place.address))
    if direct:
        await connection.request("POST", "/connect", {"box": "bench"})
    return connection


async def throughput(place: Place, ask: Ask, direct: bool) -> tuple[float, float]:
    """Return statements a second, and statements a second of the process's processor time."""
    counts = [0] * CONNECTIONS

    async def loop(index: int, connection: HttpConnection, end: float) -> None:
        while trio.current_time() < end:
            await ask(connection, counts[index])
            counts[index] += 1

    connections = [await connected(place, direct) for _ in range(CONNECTIONS)]
    cpu_s = place.cpu_s
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for index, connection in enumerate(connections):
            nursery.start_soon(loop, index, connection, started + SECONDS)
    took_s = trio.current_time() - started
    used_s = place.cpu_s - cpu_s
    for connection in connections:
        await connection.aclose()
    return sum(counts) / took_s, sum(counts) / max(used_s, 1 / TICKS_PER_S)


async def latencies(place: Place, ask: Ask, direct: bool) -> list[float]:
    """Return the times of statements asked one by one at a slow pace, in milliseconds."""
    connection = await connected(place, direct)
    times = []
    for number in range(PACED):
        started = time.perf_counter()
        await ask(connection, number)
        times.append((time.perf_counter() - started) * 1000)
        await trio.sleep(PACE_S)
    await connection.aclose()
    return times


async def connection_measurements(place: Place) -> list[Measurement]:
    """Return what a caller connection costs: memory while it idles, core time to come anew."""
    before = place.resident_bytes
    cpu_s = place.cpu_s
    connections = []
    for _ in range(IDLE_CONNECTIONS):
        connection = await connected(place, direct=False)
        await connection.request("GET", "/ready")
        connections.append(connection)
    grown = place.resident_bytes - before
    used_s = place.cpu_s - cpu_s
    for connection in connections:
        await connection.aclose()
    return [
        Measurement(
            "memory per idle caller connection", "bytes", (grown / IDLE_CONNECTIONS,), "< 8192"
        ),
        Measurement(
            "core time of a new caller connection and a first request",
            "us",
            (1e6 * used_s / IDLE_CONNECTIONS,),
        ),
    ]


async def measure(folder: Path) -> list[Measurement]:
    """Return one run's figures on the deployment in ``folder``."""
    layout = json.loads((folder / "layout.json").read_text())
    proxy = Place(layout["boxes"]["box-1"]["proxy"], _pid(folder, "box-1-proxy"))
    reports = {
        name: await _report(each["control_address"]) for name, each in layout["endpoints"].items()
    }
    primary = next(name for name, report in reports.items() if report["role"] == "primary")
    replica = next(name for name, report in reports.items() if report["role"] == "replica")
    term = reports[primary]["promised"]
    measurements = []
    for kind, server in (("read", replica), ("write", primary)):
        endpoint = Place(layout["endpoints"][server]["address"], _pid(folder, server))
        direct_s, direct_core = await throughput(endpoint, directly(kind, term), True)
        proxy_s, proxy_core = await throughput(proxy, through_proxy(kind), False)
        direct = await latencies(endpoint, directly(kind, term), True)
        added = await latencies(proxy, through_proxy(kind), False)
        measurements += [
            Measurement(f"{kind}s a second of a core, endpoint directly", "1/s", (direct_core,)),
            Measurement(f"{kind}s a second of a core, through a proxy", "1/s", (proxy_core,)),
            Measurement(
                f"{kind}s, proxy against direct, of a core", "x", (proxy_core / direct_core,)
            ),
            Measurement(f"{kind}s a second, endpoint directly", "1/s", (direct_s,)),
            Measurement(f"{kind}s a second, through a proxy", "1/s", (proxy_s,)),
            Measurement(
                f"{kind}: added p50", "ms", (percentile(added, 0.5) - percentile(direct, 0.5),)
            ),
            Measurement(
                f"{kind}: added p99", "ms", (percentile(added, 0.99) - percentile(direct, 0.99),)
            ),
        ]
    return measurements


async def _report(address: str) -> Any:
    connection = HttpConnection(await TcpTransport().connect(address))
    answer = await connection.request("POST", "/report", {"wait_position": 0, "wait_ms": 0})
    await connection.aclose()
    return answer.json()


def _pid(folder: Path, name: str) -> int:
    return int((folder / "pids" / name).read_text())


def keep(measurements: list[Measurement]) -> None:
    """Keep the figures among the slopes of docs/CAPACITY.md."""
    slopes = json.loads(SLOPES_FILE.read_text()) if SLOPES_FILE.exists() else {}
    for measurement in measurements:
        slopes[f"live: {measurement.name}"] = {
            "median": statistics.median(measurement.values),
            "low": min(measurement.values),
            "high": max(measurement.values),
            "runs": len(measurement.values),
        }
    SLOPES_FILE.write_text(json.dumps(slopes, indent=1) + "\n")


async def main(folder: Path) -> None:
    """Print every figure and keep them."""
    layout = json.loads((folder / "layout.json").read_text())
    proxy = Place(layout["boxes"]["box-1"]["proxy"], _pid(folder, "box-1-proxy"))
    measurements = await connection_measurements(proxy)
    measurements += merged([await measure(folder) for _ in range(RUNS)])
    for measurement in measurements:
        print(f"live: {measurement.line()}", flush=True)
    keep(measurements)


if __name__ == "__main__":
    trio.run(main, Path(sys.argv[1]))
