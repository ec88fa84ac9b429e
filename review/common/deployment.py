"""A small deployment on loopback addresses: boxes as processes, everything else in this one."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from review.common import servers
from review.common.consumers import Consumers
from review.common.platform import Store, configuration
from review.common.servers import Commit, Group, Server

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, INTERNAL = 8784, 8785, 8782, 7440
ZONES = {"sof-hall-a": "sofia", "sof-hall-b": "sofia", "sof-hall-c": "sofia"}
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 7000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RevertSlackMs": 250,
    "OuterMs": 12000,
    "RecoveryS": 12,
    "FencingRequired": False,
    "ThawSlackMs": 300,
}


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started: float | None = None

    def note(self, event: str, **fields: Any) -> None:
        """Write a line."""
        now = trio.current_time()
        if self._started is None:
            self._started = now
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now - self._started:8.3f} {event} {words}\n")

    def at(self, time: float) -> float:
        """Return ``time`` as written in the record."""
        return round(time - (self._started or 0.0), 3)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(eq=False)
class Box:
    """A machine of the deployment and its process."""

    name: str
    ip: str
    zone: str
    first_start: bool = True
    process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address of consumers' sessions."""
        return f"{self.ip}:{FRONT}"


@dataclass(eq=False)
class Deployment:
    """Boxes, servers, the platform and consumers."""

    record: Record
    nursery: trio.Nursery
    folder: Path
    network: str
    groups: list[Group] = field(default_factory=list)
    store: Store = field(init=False)
    consumers: Consumers = field(init=False)
    boxes: list[Box] = field(default_factory=list)
    store_of: Callable[[Box], str] | None = None
    _servers: int = 0

    async def start(
        self, boxes_by_zone: dict[str, int], services: int = 1, sync_replicas: int = 0
    ) -> None:
        """Start the servers, the platform and the boxes, and wait until all are ready."""
        for number in range(services):
            group = Group(f"tourdesk-db-{number + 1}", self.nursery, self.record.note)
            group.sync_replicas = sync_replicas
            self.groups.append(group)
        self.store = Store(self.groups, self.record.note)
        for group in self.groups:
            group.on_role = self.store.register
        self.consumers = Consumers(self.record.note)
        await self.store.run(self.store_address, self.nursery)
        for group in self.groups:
            for number, zone in enumerate(ZONES):
                self.add_server(group, zone, leads=number == 0)
        self.store.set("config", "main", configuration(1, self.groups))
        await trio.sleep(0.2)
        number = 0
        for zone, count in boxes_by_zone.items():
            for place in range(count):
                number += 1
                box = Box(f"front-{zone}-{place + 1}", f"{self.network}.{number}", zone)
                self.boxes.append(box)
        for box in self.boxes:
            self.start_box(box)
        if not await self.wait_ready(self.boxes, 15.0):
            raise CannotRunError("not all boxes became ready")
        await trio.sleep(2.0)

    @property
    def store_address(self) -> str:
        """Address of the platform."""
        return f"{self.network}.100:8783"

    def add_server(
        self, group: Group, zone: str, *, leads: bool = False, log: list[Commit] | None = None
    ) -> Server:
        """Start a server and register it."""
        self._servers += 1
        name = f"i-{self._servers}"
        address = f"{self.network}.{110 + self._servers}:5432"
        server = Server(name, address, zone, group, leads, log=list(log or ()))
        server.applied = len(server.log)
        server.born_ms = 1_790_000_000_000 + self._servers
        if group.servers:
            server.term = group.newest.term
        group.servers.append(server)
        self.nursery.start_soon(servers.serve, server)
        self.store.register(server)
        return server

    def start_box(self, box: Box) -> None:
        """Start the process of a box with the command of the deploy file."""
        path = self.folder / f"{box.name}.json"
        path.write_text(json.dumps(self._settings(box)))
        log = (self.folder / f"{box.name}.log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WHARFTILLER_SETTINGS": str(path),
        }
        command = ["python3", "-m", "wharftiller.platform"]
        box.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        box.first_start = False
        self.record.note("box_started", box=box.name)

    def _settings(self, box: Box) -> dict[str, Any]:
        store = self.store_address if self.store_of is None else self.store_of(box)
        return {
            "Node": box.name,
            "Role": "proxy",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": box.ip,
            "Zone": box.zone,
            "Region": "sofia",
            "Zones": ZONES,
            "Listen": {
                "Front": box.front,
                "Ready": f"{box.ip}:{READY}",
                "Control": f"{box.ip}:{CONTROL}",
            },
            "InternalPorts": [INTERNAL, INTERNAL + 15],
            "Seeds": [f"{each.ip}:{CONTROL}" for each in self.boxes[:3]],
            "FirstStart": box.first_start,
            "FaultCounted": False,
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4200},
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "platform": {
                "Address": store,
                "form": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
            "CloudApi": {
                "Address": self.store_address,
                "RatePerS": 50.0,
                "Duties": ["promotion"],
                "DutyPerS": 50.0,
            },
        }

    async def wait_ready(self, boxes: list[Box], within_s: float) -> bool:
        """Wait until ``boxes`` answer 200 to the balancer."""
        with trio.move_on_after(within_s):
            for box in boxes:
                while not await self._is_ready(box):
                    await trio.sleep(0.1)
            return True
        return False

    async def _is_ready(self, box: Box) -> bool:
        try:
            with trio.fail_after(0.5):
                async with await trio.open_tcp_stream(box.ip, READY) as stream:
                    await stream.send_all(b"GET /v1/readiness HTTP/1.1\r\nhost: box\r\n\r\n")
                    return b" 200 " in await stream.receive_some(4096)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            return False

    async def terminate(self, box: Box, grace_s: float = 6.0) -> None:
        """Send SIGTERM to a box, SIGKILL after the grace time; return once it has ended."""
        assert box.process is not None
        self.record.note("sigterm", box=box.name)
        box.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(grace_s):
            while box.process.poll() is None:
                await trio.sleep(0.02)
        if box.process.poll() is None:
            box.process.kill()
            box.process.wait()
        self.record.note("box_ended", box=box.name)

    def kill_all(self) -> None:
        """Kill the processes of all boxes."""
        self.record.note("kill_all")
        for box in self.boxes:
            assert box.process is not None
            box.process.kill()
            box.process.wait()

    def stop(self) -> None:
        """End every process that was started."""
        for box in self.boxes:
            if box.process is not None and box.process.poll() is None:
                box.process.send_signal(signal.SIGCONT)
                box.process.kill()
                box.process.wait()

    def box_events(self, name: str) -> list[tuple[str, dict[str, Any]]]:
        """Return the boxes' log lines of one event, with the box's name."""
        found = []
        for box in self.boxes:
            for line in (self.folder / f"{box.name}.log").read_bytes().splitlines():
                with suppress(ValueError):
                    entry = json.loads(line)
                    if entry.get("event") == name:
                        found.append((box.name, entry))
        return found


class CannotRunError(Exception):
    """The case could not be run."""


def _free_network() -> str:
    """Return the first three bytes of loopback addresses that nobody uses here."""
    for _ in range(50):
        network = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        with suppress(OSError):
            for number in (1, 2, 9, 100, 111):
                for port in (FRONT, CONTROL, 9464, 8783, 5432):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number}", port))
            return network
    raise CannotRunError("found no free loopback addresses")


def run_case(
    folder: Path,
    scenario: Callable[[Deployment, bool], Any],
    limit_s: float = 110.0,
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def main() -> int:
        record = Record(folder / "record.txt")
        status = 2
        try:
            with trio.move_on_after(limit_s):
                async with trio.open_nursery() as nursery:
                    deployment = Deployment(record, nursery, temporary, _free_network())
                    try:
                        status = await scenario(deployment, has_trouble)
                    except CannotRunError as error:
                        record.note("cannot_run", why=str(error))
                    finally:
                        deployment.stop()
                    nursery.cancel_scope.cancel()
        finally:
            record.note("exit", status=status)
            record.close()
        return status

    try:
        return trio.run(main)
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
