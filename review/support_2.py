"""A small deployment on loopback addresses for the scripts of the second review.

The boxes are processes started with the command of the deploy file. The platform's store and the
database servers are the project's stand-ins and run in the script's own process, which records
what clients sent, what they were answered and what the servers committed.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import attrs
import trio

from standins.line_endpoints import LineGroup, LineServer, serve_server
from standins.object_store import ObjectStoreStandIn
from wharftiller.edges.transport import TcpTransport

ROOT = Path(__file__).resolve().parents[1]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit statuses of a script."""

METRICS_PORT = 9464
"""Port of the metrics page; the deploy file sets it."""

ZONES = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}

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
"""The bounds of the site tourdesk-sofia."""

CHECK_IN_S = 1.2
"""Time between the check-ins of a server, in seconds: `HeartbeatMs` of the site."""

MISSED_CHECK_INS = 3
"""Check-ins after which the entry of a silent server goes."""

POLL_S = 0.02
"""Time between looks at what a server tells of itself, in seconds."""

ANSWER_TIMEOUT_S = 3.0
"""Time that a client waits for an answer, in seconds."""


def free_port(ip: str) -> int:
    """Return a port that is free at ``ip`` now."""
    with socket.socket() as each:
        each.bind((ip, 0))
        return int(each.getsockname()[1])


def free_prefix() -> str:
    """Return the first two numbers of a loopback range whose fixed port is free."""
    start = os.getpid() % 200
    for step in range(200):
        prefix = f"127.{20 + (start + step) % 200}"
        with socket.socket() as each:
            try:
                each.bind((f"{prefix}.10.1", METRICS_PORT))
            except OSError:
                continue
            return prefix
    raise OSError("no loopback range is free")


@attrs.define
class Record:
    """What was sent, answered and run, with the time since the start."""

    started_at: float = attrs.field(factory=trio.current_time)
    lines: list[str] = attrs.field(factory=list)

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{trio.current_time() - self.started_at:8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to ``path``."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Group(LineGroup):
    """A group that records commits and promotions, and judges each promotion.

    Attributes
    ----------
    acknowledged : dict of str to float
        Ids of the writes that a client got a success for, with the time of the answer.
    lost : list of str
        Ids of acknowledged writes that a promoted server lacked.
    """

    record: Record
    acknowledged: dict[str, float]
    lost: list[str]

    async def commit(
        self, server: LineServer, writes: tuple[tuple[str, str], ...], request_id: str
    ) -> None:
        """Commit a transaction; record when it is in the log and when it may be answered."""
        self.record.add(f"{server.name} commits {request_id} in term {server.term}")
        await super().commit(server, writes, request_id)

    async def promote(self, name: str, holder: str, fence: int) -> bool:
        """Promote a server; record which acknowledged writes it lacks."""
        server = next((each for each in self.servers if each.name == name), None)
        logs = {each.name: each.position for each in self.servers}
        self.record.add(f"promotion of {name} ordered by {holder}, fence {fence}; logs {logs}")
        was_primary = server is not None and server.leads
        promoted = await super().promote(name, holder, fence)
        self.record.add(f"promotion of {name} answered {200 if promoted else 409}")
        if promoted and not was_primary and server is not None:
            kept = {each.request_id for each in server.log}
            missing = [each for each in self.acknowledged if each not in kept]
            self.lost += missing
            self.record.add(f"{name} leads; acknowledged commits that it lacks: {missing}")
        return promoted


def new_group(name: str, record: Record, **options: Any) -> Group:
    """Return a group without servers."""
    group = Group(name, **options)
    group.record = record
    group.acknowledged = {}
    group.lost = []
    return group


@attrs.define(eq=False)
class Box:
    """One process of the deploy file, with its settings."""

    name: str
    settings: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def callers(self) -> tuple[str, int]:
        """Host and port that clients connect to."""
        host, port = self.settings["Listen"]["Front"].split(":")
        return host, int(port)

    def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WHARFTILLER_SETTINGS": str(path),
        }
        with (self.folder / f"{self.name}.{self.starts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["proxy"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.starts += 1

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Boxes, the store and the servers of some groups."""

    def __init__(self, folder: Path, record: Record, groups: list[Group], boxes: int) -> None:
        self.folder = folder
        self.record = record
        self.groups = groups
        self.prefix = free_prefix()
        store_ip = f"{self.prefix}.20.1"
        self.store_address = f"{store_ip}:{free_port(store_ip)}"
        self.store = ObjectStoreStandIn(list(groups))
        self.unlisted: set[str] = set()
        self._scopes: dict[str, trio.CancelScope] = {}
        for number, group in enumerate(groups):
            self._add_servers(number, group)
        self.boxes: list[Box] = []
        for _ in range(boxes):
            self.add_box()
        self.version = 0

    def _add_servers(self, number: int, group: Group) -> None:
        for index, zone in enumerate(ZONES):
            ip = f"{self.prefix}.{30 + number}.{index + 1}"
            address = f"{ip}:{free_port(ip)}"
            server = LineServer(f"{group.name}-{index}", group, address, zone, leads=index == 0)
            group.servers.append(server)

    def add_box(self) -> Box:
        """Add a box; it does not run yet."""
        number = len(self.boxes)
        ip = f"{self.prefix}.10.{number + 1}"
        listen = {name: f"{ip}:{free_port(ip)}" for name in ("Front", "Ready", "Control")}
        internal = free_port(ip)
        seeds = [each.settings["Listen"]["Control"] for each in self.boxes[:3]]
        settings = {
            "Node": f"front-{number}",
            "Role": "proxy",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": ip,
            "Zone": list(ZONES)[number % len(ZONES)],
            "Region": "region",
            "Zones": ZONES,
            "Listen": listen,
            "InternalPorts": [internal, internal + 15],
            "Seeds": seeds,
            "FirstStart": False,
            "Limits": {"CpuShare": 1.0, "Cores": 1, "MemoryMb": 300, "MaxFds": 1024},
            "HeartbeatMs": int(CHECK_IN_S * 1000),
            "Contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "Bounds": BOUNDS,
            "platform": {"Address": self.store_address, "form": "objects"},
            "CloudApi": {"Address": self.store_address, "Duties": ["promotion"]},
        }
        box = Box(f"front-{number}", settings, self.folder)
        self.boxes.append(box)
        return box

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the store and the servers, then the boxes."""
        await nursery.start(self.store.serve, TcpTransport(), self.store_address)
        for group in self.groups:
            group.nursery = nursery
            for server in group.servers:
                await nursery.start(self._serve, server)
                nursery.start_soon(self._check_in, server)
        self.configure()
        for box in self.boxes:
            box.start()

    async def _serve(
        self, server: LineServer, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.CancelScope() as scope:
            self._scopes[server.name] = scope
            await serve_server(server, TcpTransport(), task_status)

    def crash(self, server: LineServer, *, has_left: bool = False) -> None:
        """End a server: its connections break, its port refuses new ones.

        Parameters
        ----------
        has_left : bool
            Whether it ends as planned, and its entry goes at once.
        """
        server.down = True
        self._scopes[server.name].cancel()
        if has_left:
            self.unlisted.add(server.name)
            self.store.remove("servers", server.name)
        self.record.add(f"{server.name} {'has left' if has_left else 'crashes'}")

    async def bring_back(self, server: LineServer) -> None:
        """Start a crashed server again: with its log, as a replica if another was promoted."""
        newest = max((each for each in server.group.servers if each.leads), key=lambda x: x.term)
        if newest is not server:
            server.leads = False
            server.log = list(newest.log)
            server.term = newest.term
        nursery = server.group.nursery
        assert nursery is not None
        await nursery.start(self._serve, server)
        server.down = False
        nursery.start_soon(self._check_in, server)
        self.record.add(f"{server.name} is back, {'primary' if server.leads else 'replica'}")

    async def _check_in(self, server: LineServer) -> None:
        """Keep the entry of a server while it runs; remove it three check-ins after its end."""
        sequence = 0
        while not server.down:
            if server.name in self.unlisted:
                self.store.remove("servers", server.name)
            else:
                sequence += 1
                self.store.set("servers", server.name, self._entry(server, sequence))
            await self._sleep_until_change(server)
        await trio.sleep(MISSED_CHECK_INS * CHECK_IN_S)
        if server.down:
            self.store.remove("servers", server.name)

    async def _sleep_until_change(self, server: LineServer) -> None:
        """Sleep until the next check-in, or until something but `Seq` changes."""

        def state() -> tuple[bool, ...]:
            return server.leads, server.down, server.leaving, server.name in self.unlisted

        before = state()
        with trio.move_on_after(CHECK_IN_S):
            while state() == before:
                await trio.sleep(POLL_S)

    @staticmethod
    def _entry(server: LineServer, sequence: int) -> dict[str, Any]:
        return {
            "Service": server.group.name,
            "Address": server.address,
            "Zone": server.data_centre,
            "Version": "1",
            "Slots": 3,
            "State": "draining" if server.leaving else "ready",
            "ColdLeftMs": 0,
            "Seq": sequence,
            "DbRole": "primary" if server.leads else "replica",
        }

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        routes = [
            {
                "Name": f"{group.name}-{kind}",
                "Host": f"{group.name}-{kind}",
                "Kind": kind,
                "TimeoutMs": 800,
                "LatencyGoalMs": 250,
                "Priority": 1,
                "Service": group.name,
                "MaxStalenessMs": 1500,
            }
            for group in self.groups
            for kind in ("primary", "bounded_staleness", "read_own_writes")
        ]
        services = [
            {
                "Name": group.name,
                "MaxConns": group.max_connections,
                "SyncReplicas": group.sync_replicas,
            }
            for group in self.groups
        ]
        document = {
            "Version": self.version,
            "Routes": routes,
            "Services": services,
            "Limits": {"TxIdleMs": 3000},
        }
        self.store.set("config", "main", document)

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every box is ready.

        Raises
        ------
        trio.TooSlowError
            If one is not in time.
        """
        with trio.fail_after(timeout_s):
            for box in self.boxes:
                while not await self.is_ready(box):
                    await trio.sleep(0.1)

    @staticmethod
    async def is_ready(box: Box) -> bool:
        """Return whether a box answers the balancer's check with 200."""
        host, port = box.settings["Listen"]["Ready"].split(":")
        with trio.move_on_after(1.0):
            try:
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    await stream.send_all(b"GET /v1/readiness HTTP/1.1\r\nhost: x\r\n\r\n")
                    return b" 200 " in await stream.receive_some(256)
            except (OSError, trio.BrokenResourceError):
                return False
        return False

    def end(self) -> None:
        """End every process that was started."""
        for box in self.boxes:
            box.end()


@attrs.frozen
class Answer:
    """How a statement ended: ``done``, the code of an error, or ``none``."""

    code: str
    rows: tuple[str, ...] = ()


class Client:
    """One consumer; opens a new session after a broken one."""

    def __init__(self, name: str, boxes: list[Box], database: str, record: Record) -> None:
        self._name = name
        self._boxes = boxes
        self._database = database
        self._record = record
        self._stream: trio.SocketStream | None = None
        self._buffer = b""
        self._turn = 0

    async def ask(self, request_id: str, text: str) -> Answer:
        """Send one statement; return how it ended."""
        answer = Answer("none")
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await self._open()
                assert self._stream is not None
                self._record.add(f"{self._name} sends {request_id} {text}")
                await self._stream.send_all(f"QUERY {request_id} {text}\r\n".encode())
                answer = await self._read_answer()
        except (OSError, trio.BrokenResourceError, ValueError) as error:
            self._record.add(f"{self._name} lost its session: {error!r}")
        if answer.code == "none":
            await self.close()
        self._record.add(f"{self._name} is answered {request_id} {answer.code}")
        return answer

    async def _open(self) -> None:
        if self._stream is not None:
            return
        self._turn += 1
        host, port = self._boxes[self._turn % len(self._boxes)].callers
        self._stream = await trio.open_tcp_stream(host, port)
        self._buffer = b""
        await self._stream.send_all(f"CONNECT {self._database} {self._name}\r\n".encode())
        line = await self._line()
        if not line.startswith("READY"):
            await self.close()
            raise ValueError(line)

    async def _read_answer(self) -> Answer:
        rows: list[str] = []
        code = "none"
        while True:
            word, _, rest = (await self._line()).partition(" ")
            match word:
                case "ROW":
                    rows.append(rest)
                case "COMPLETE":
                    code = "done"
                case "ERROR":
                    code = rest.partition(" ")[0]
                case "READY":
                    return Answer(code, tuple(rows))
                case _:
                    raise ValueError(f"unexpected {word}")

    async def _line(self) -> str:
        assert self._stream is not None
        while b"\r\n" not in self._buffer:
            data = await self._stream.receive_some(4096)
            if not data:
                raise ValueError("the session was closed")
            self._buffer += data
        line, self._buffer = self._buffer.split(b"\r\n", 1)
        return line.decode()

    async def close(self) -> None:
        """Close the session."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)
