"""Measure real processes on this machine; ``scripts/live.sh`` starts them and runs this.

Measures statements a second of one core, through a proxy and directly at the endpoint's
stand-in, the latency that the proxy adds to a statement, and memory per idle caller
connection.
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

from benchmarks.measurements import Measurement, merge_runs, percentile
from standins.layout import BUSINESSES, POOL, SECRET
from wharftiller.edges.http_client import HttpConnection
from wharftiller.edges.transport import TcpTransport
from wharftiller.keys import KeyRing, bearer_header

KEYS = KeyRing("k1", {"k1": SECRET})
CONNECTIONS = 8
THROUGHPUT_S = 4.0
PACED_STATEMENTS = 400
PACE_S = 0.005
"""Pause after each paced statement, in seconds."""

IDLE_CONNECTIONS = 2_000
RUNS = 5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SLOPES_FILE = Path(__file__).with_name("slopes.json")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Execute = Callable[[HttpConnection, int], Awaitable[None]]


@attrs.frozen
class Process:
    """A process to measure: the address that it listens on and its id."""

    address: str
    pid: int

    @property
    def cpu_s(self) -> float:
        """Processor time that it has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    @property
    def resident_bytes(self) -> int:
        """Resident memory, in bytes."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_BYTES


def caller_body(kind: str, number: int) -> dict[str, Any]:
    """Return the body of a caller's request; reads accept data five seconds old."""
    statement = {"get": "k"} if kind == "read" else {"put": "k", "value": number}
    return {
        "pool": POOL,
        "business": BUSINESSES[0],
        "request_id": f"{kind}-{number}-{time.monotonic_ns()}",
        "kind": kind,
        "statement": statement,
        "max_age_ms": 5_000,
    }


def proxy_executor(kind: str) -> Execute:
    """Return a function that executes a statement through a proxy."""
    headers = bearer_header(KEYS.mint("business", f"{POOL}/{BUSINESSES[0]}"))

    async def execute(connection: HttpConnection, number: int) -> None:
        body = caller_body(kind, number)
        reply = await connection.request("POST", "/statements", body, headers)
        if reply.json()["outcome"] != "done":
            raise RuntimeError(f"the proxy replied {reply.body!r}, expected outcome done")

    return execute


def endpoint_executor(kind: str, term: int) -> Execute:
    """Return a function that executes the same statement directly at an endpoint."""

    async def execute(connection: HttpConnection, number: int) -> None:
        caller = caller_body(kind, number)
        body = {
            "request_id": caller["request_id"],
            "business": caller["business"],
            "action": kind,
            "statement": caller["statement"],
            "term": term if kind == "write" else 0,
            "deadline_ms": 5_000,
        }
        reply = await connection.request("POST", "/statement", body)
        if reply.json()["verdict"] != "ran":
            raise RuntimeError(f"the endpoint replied {reply.body!r}, expected verdict ran")

    return execute


async def open_connection(process: Process, is_endpoint: bool) -> HttpConnection:
    """Return an open connection, after the handshake if it is to an endpoint."""
    connection = HttpConnection(await TcpTransport().connect(process.address))
    if is_endpoint:
        await connection.request("POST", "/connect", {"box": "bench"})
    return connection


async def throughput(process: Process, execute: Execute, is_endpoint: bool) -> tuple[float, float]:
    """Return statements a second, and statements a second of the process's processor time."""
    counts = [0] * CONNECTIONS

    async def loop(index: int, connection: HttpConnection, end: float) -> None:
        while trio.current_time() < end:
            await execute(connection, counts[index])
            counts[index] += 1

    connections = [await open_connection(process, is_endpoint) for _ in range(CONNECTIONS)]
    cpu_s = process.cpu_s
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for index, connection in enumerate(connections):
            nursery.start_soon(loop, index, connection, started + THROUGHPUT_S)
    took_s = trio.current_time() - started
    used_s = process.cpu_s - cpu_s
    for connection in connections:
        await connection.aclose()
    return sum(counts) / took_s, sum(counts) / max(used_s, 1 / TICKS_PER_S)


async def latencies(process: Process, execute: Execute, is_endpoint: bool) -> list[float]:
    """Return the durations of statements sent one by one with pauses, in milliseconds."""
    connection = await open_connection(process, is_endpoint)
    durations_ms = []
    for number in range(PACED_STATEMENTS):
        started = time.perf_counter()
        await execute(connection, number)
        durations_ms.append((time.perf_counter() - started) * 1000)
        await trio.sleep(PACE_S)
    await connection.aclose()
    return durations_ms


async def connection_measurements(process: Process) -> list[Measurement]:
    """Return the cost of a caller connection: memory while idle, processor time to open."""
    before = process.resident_bytes
    cpu_s = process.cpu_s
    connections = []
    for _ in range(IDLE_CONNECTIONS):
        connection = await open_connection(process, is_endpoint=False)
        await connection.request("GET", "/ready")
        connections.append(connection)
    grown_bytes = process.resident_bytes - before
    used_s = process.cpu_s - cpu_s
    for connection in connections:
        await connection.aclose()
    return [
        Measurement(
            "memory per idle caller connection",
            "bytes",
            (grown_bytes / IDLE_CONNECTIONS,),
            "< 8192",
        ),
        Measurement(
            "core time of a new caller connection and a first request",
            "us",
            (1e6 * used_s / IDLE_CONNECTIONS,),
        ),
    ]


async def measure(folder: Path) -> list[Measurement]:
    """Return the measurements of one run on the deployment in ``folder``."""
    layout = json.loads((folder / "layout.json").read_text())
    proxy = Process(layout["boxes"]["box-1"]["proxy"], read_pid(folder, "box-1-proxy"))
    reports = {
        name: await _fetch_report(each["control_address"])
        for name, each in layout["endpoints"].items()
    }
    primary = next(name for name, report in reports.items() if report["role"] == "primary")
    replica = next(name for name, report in reports.items() if report["role"] == "replica")
    term = reports[primary]["promised"]
    measurements = []
    for kind, server in (("read", replica), ("write", primary)):
        endpoint = Process(layout["endpoints"][server]["address"], read_pid(folder, server))
        direct_s, direct_core = await throughput(endpoint, endpoint_executor(kind, term), True)
        proxy_s, proxy_core = await throughput(proxy, proxy_executor(kind), False)
        direct = await latencies(endpoint, endpoint_executor(kind, term), True)
        proxied = await latencies(proxy, proxy_executor(kind), False)
        measurements += [
            Measurement(f"{kind}s a second of a core, endpoint directly", "1/s", (direct_core,)),
            Measurement(f"{kind}s a second of a core, through a proxy", "1/s", (proxy_core,)),
            Measurement(
                f"{kind}s, proxy against direct, of a core", "x", (proxy_core / direct_core,)
            ),
            Measurement(f"{kind}s a second, endpoint directly", "1/s", (direct_s,)),
            Measurement(f"{kind}s a second, through a proxy", "1/s", (proxy_s,)),
            Measurement(
                f"{kind}: added p50", "ms", (percentile(proxied, 0.5) - percentile(direct, 0.5),)
            ),
            Measurement(
                f"{kind}: added p99", "ms", (percentile(proxied, 0.99) - percentile(direct, 0.99),)
            ),
        ]
    return measurements


async def _fetch_report(address: str) -> Any:
    connection = HttpConnection(await TcpTransport().connect(address))
    reply = await connection.request("POST", "/report", {"wait_position": 0, "wait_ms": 0})
    await connection.aclose()
    return reply.json()


def read_pid(folder: Path, name: str) -> int:
    """Return the process id of a component of the deployment in ``folder``."""
    return int((folder / "pids" / name).read_text())


def save(measurements: list[Measurement]) -> None:
    """Write the measurements into slopes.json, from which docs/CAPACITY.md is computed."""
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
    """Measure, print and save every measurement."""
    layout = json.loads((folder / "layout.json").read_text())
    proxy = Process(layout["boxes"]["box-1"]["proxy"], read_pid(folder, "box-1-proxy"))
    measurements = await connection_measurements(proxy)
    measurements += merge_runs([await measure(folder) for _ in range(RUNS)])
    for measurement in measurements:
        print(f"live: {measurement.line()}", flush=True)
    save(measurements)


if __name__ == "__main__":
    trio.run(main, Path(sys.argv[1]))
