"""A local deployment: box processes, and stand-ins behind loopback proxies.

The stand-ins run in the process of the soak test, which records what the endpoints
do; the boxes are real processes and are used only over their addresses.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import trio

from standins.line_endpoints import LineServer, serve_server
from standins.object_store import ObjectStoreStandIn
from wharftiller.edges.transport import TcpTransport
from wharftiller.tests.platform.world import configuration
from wharftiller.tests.soak.history import History, RecordingGroup
from wharftiller.tests.soak.links import Link

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parents[3]

GRACE_S = 6.0
"""Time that a box has for a graceful stop, in seconds."""

EXIT_POLL_S = 0.02
"""Time between checks whether a process has exited, in seconds."""

REGISTER_POLL_S = 0.2
"""Time between checks whether the role of an endpoint has changed, in seconds."""

CALLERS_PORT, READY_PORT, BOXES_PORT, RELAY_PORT = 7001, 7002, 7003, 7010
ENDPOINT_PORT, STORE_PORT = 7500, 7600


@attrs.define(eq=False)
class BoxProcess:
    """One box: its addresses, settings and process.

    Attributes
    ----------
    folder : Path
        Folder of its settings and of the log of each of its processes.
    restarts : int
        Number of processes started so far, including the first.
    stopping_since : float or None
        Time of the planned stop of its process, in seconds; None without one or after a kill.
    """

    name: str
    ip: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    restarts: int = 0
    stopping_since: float | None = None

    @property
    def caller_address(self) -> str:
        """Address that callers connect to."""
        return f"{self.ip}:{CALLERS_PORT}"

    def start(self) -> None:
        """Start the process with a new log file."""
        self.stopping_since = None
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        environment["WHARFTILLER_SETTINGS"] = str(self.folder / f"{self.name}.json")
        with (self.folder / f"{self.name}.{self.restarts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wharftiller.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.restarts += 1

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_for_exit(self) -> None:
        """Wait until the process has exited."""
        assert self.process is not None
        while self.process.poll() is None:
            await trio.sleep(EXIT_POLL_S)

    def kill(self) -> None:
        """Kill the process; statements cut by this do not count as cut by a planned stop."""
        self.stopping_since = None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Boxes, endpoints, the object store and the links between them."""

    def __init__(
        self, folder: Path, history: History, boxes: int, groups: int, connections: int
    ) -> None:
        # A loopback range per process, so that several soak tests can run at once.
        self._ip_prefix = f"127.{20 + os.getpid() % 200}"
        self._folder = folder
        self._connections = connections
        self.history = history
        self.groups = [self._group(f"group{number}", number) for number in range(groups)]
        self.store = ObjectStoreStandIn(list(self.groups))
        self.version = 0
        self.links: list[Link] = []
        self.boxes = [self._box(number, boxes) for number in range(boxes)]

    def _group(self, name: str, number: int) -> RecordingGroup:
        group = RecordingGroup(name, max_connections=self._connections)
        group.history = self.history
        for index, data_centre in enumerate("abc"):
            address = f"{self._ip_prefix}.{30 + number}.{index + 1}:{ENDPOINT_PORT}"
            server = LineServer(f"{name}-{index}", group, address, data_centre, leads=index == 0)
            group.servers.append(server)
        return group

    def _box(self, number: int, boxes: int) -> BoxProcess:
        ip = f"{self._ip_prefix}.10.{number + 1}"
        store = Link(
            f"store of box-{number}",
            f"{self._ip_prefix}.20.{number + 1}:{STORE_PORT}",
            self._store_address,
        )
        self.links.append(store)
        settings = {
            "Node": f"box-{number}",
            "Ip": ip,
            "Zone": "abc"[number % 3],
            "Listen": {
                "Front": f"{ip}:{CALLERS_PORT}",
                "Ready": f"{ip}:{READY_PORT}",
                "Control": f"{ip}:{BOXES_PORT}",
            },
            "InternalPorts": [RELAY_PORT, RELAY_PORT + 5],
            "Seeds": [
                f"{self._ip_prefix}.10.{each + 1}:{BOXES_PORT}" for each in range(min(3, boxes))
            ],
            "platform": {"Address": store.address},
            "CloudApi": {"Address": store.address},
            "Bounds": {"GraceS": GRACE_S},
            "FirstStart": False,
        }
        (self._folder / f"box-{number}.json").write_text(json.dumps(settings))
        return BoxProcess(f"box-{number}", ip, self._folder)

    @property
    def _store_address(self) -> str:
        return f"{self._ip_prefix}.20.250:{STORE_PORT}"

    @property
    def servers(self) -> list[LineServer]:
        """All endpoints."""
        return [server for group in self.groups for server in group.servers]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start stand-ins, links and boxes."""
        await nursery.start(self.store.serve, TcpTransport(), self._store_address)
        for group in self.groups:
            group.nursery = nursery
            for server in group.servers:
                await self._start_server(nursery, server)
        self.configure()
        for link in self.links:
            await nursery.start(link.serve)
        for box in self.boxes:
            box.start()
        nursery.start_soon(self._keep_registering)

    async def _start_server(self, nursery: trio.Nursery, server: LineServer) -> None:
        proxy_address = server.address
        host, port = proxy_address.split(":")
        server_address = f"{host.rpartition('.')[0]}.{int(host.rpartition('.')[2]) + 100}:{port}"
        server.address = server_address
        await nursery.start(serve_server, server, TcpTransport())
        server.address = proxy_address
        self.links.append(Link(server.name, proxy_address, server_address))

    async def _keep_registering(self) -> None:
        """Keep the roles of the endpoints in the store up to date."""
        registered: dict[str, Any] = {}
        while True:
            for server in self.servers:
                entry = {
                    "Service": server.group.name,
                    "Address": server.address,
                    "Zone": server.data_centre,
                    "State": "ready",
                    "DbRole": "primary" if server.leads else "replica",
                }
                if registered.get(server.name) != entry:
                    registered[server.name] = entry
                    self.store.set("servers", server.name, entry)
            await trio.sleep(REGISTER_POLL_S)

    def configure(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        self.store.set("config", "main", configuration(self.version, list(self.groups)))

    def kill_boxes(self) -> None:
        """Kill every process that this deployment started."""
        for box in self.boxes:
            box.kill()

    def for_each_link(self, action: Callable[[Link], None]) -> None:
        """Call ``action`` with every link."""
        for link in self.links:
            action(link)
