"""A deployment in one process and virtual time: the real daemons on fakes."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Any, TextIO

import attrs
import trio
import trio.testing

from standins.endpoint import Endpoint, EndpointOptions, serve_endpoint
from standins.network import FakeNetwork
from standins.platform import Platform, serve_platform
from wharftiller.core.errors import ExchangeError
from wharftiller.daemons.admin import AdminDaemon
from wharftiller.daemons.proxy import ProxyDaemon
from wharftiller.daemons.steward import StewardDaemon
from wharftiller.edges.http_client import HttpClient
from wharftiller.edges.platform import BoxEntry
from wharftiller.keys import KeyRing, bearer_header
from wharftiller.settings import (
    AdminSettings,
    BoxSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
    StewardSettings,
)

PLATFORM = "10.0.0.1"
CLIENT = "10.0.0.2"
OPERATOR = "ops"
POOL = "tourdesk"
KEYS = KeyRing("k1", {"k1": "a-secret-only-for-tests"})


@attrs.frozen
class Size:
    """Size and latencies of a deployment; by default one group in three data centres."""

    groups: int = 1
    boxes: int = 3
    data_centres: int = 3
    businesses: tuple[str, ...] = ("rila", "pirin", "vitosha", "musala")
    data_centre_latency_s: float = 0.0015
    client_latency_s: float = 0.003
    max_connections: int = 25
    list_lag_s: float = 0.2
    service_ms: float = 1.0
    lag_ms: float = 2.0
    detect_s: float = 1.0
    max_age_ms: int | None = None
    replica_wait_ms: int = 20


@attrs.define
class Box:
    """One box's daemons; cancelling ``scope`` stops them."""

    name: str
    ip: str
    settings: Settings
    proxy: ProxyDaemon
    steward: StewardDaemon
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.frozen(eq=False)
class Exchange:
    """A caller's request and its reply; ``after`` is the exchange whose session it continues."""

    replied_at: float
    sent_at: float
    request: dict[str, Any]
    body: dict[str, Any]
    after: Exchange | None = None

    @property
    def outcome(self) -> str:
        return str(self.body.get("outcome"))

    @property
    def kind(self) -> str:
        return str(self.request["kind"])

    @property
    def business(self) -> str:
        return str(self.request["business"])

    @property
    def request_id(self) -> str:
        return str(self.request["request_id"])

    @property
    def key(self) -> Any:
        statement = self.request.get("statement") or {}
        return statement.get("append") or statement.get("get")

    @property
    def value(self) -> Any:
        return (self.request.get("statement") or {}).get("value")


class World:
    """The deployment; hosts have names: ``box-1``, ``group-1-a``, ``platform``."""

    def __init__(self, size: Size, nursery: trio.Nursery, seed: int) -> None:
        self.size = size
        self.seed = seed
        self.nursery = nursery
        self.network = FakeNetwork(self._latency)
        self.ips: dict[str, str] = {"platform": PLATFORM, "client": CLIENT}
        self.data_centre_of: dict[str, int] = {}
        self.platform = Platform(latency_s=0.001, list_lag_s=0.1)
        self.endpoints: dict[str, Endpoint] = {}
        self.boxes: dict[str, Box] = {}
        self.exchanges: list[Exchange] = []
        self._request_numbers = itertools.count(1)
        self._boxes_started = 0

    def _latency(self, a: str, b: str) -> float:
        if a == b:
            return 0.00005
        if CLIENT in (a, b):
            return self.size.client_latency_s
        if PLATFORM in (a, b):
            return self.size.data_centre_latency_s
        same = self.data_centre_of.get(a) == self.data_centre_of.get(b)
        return 0.0002 if same else self.size.data_centre_latency_s

    # Starting -----------------------------------------------------------

    async def start(self) -> None:
        transport = self.network.host(PLATFORM)
        await self.nursery.start(serve_platform, self.platform, transport, f"{PLATFORM}:80")
        for number in range(1, self.size.groups + 1):
            for data_centre, letter in enumerate("abc"):
                await self._start_endpoint(f"group-{number}-{letter}", data_centre)
        for number in range(1, self.size.boxes + 1):
            self._prepare_box(f"box-{number}", (number - 1) % self.size.data_centres)
        self.set_boxes()
        for box in self.boxes.values():
            await self._start_box(box)
        await self._configure()

    async def _start_endpoint(self, name: str, data_centre: int) -> None:
        ip = f"10.1.{len(self.endpoints)}.1"
        self.ips[name] = ip
        self.data_centre_of[ip] = data_centre
        options = EndpointOptions(
            max_connections=self.size.max_connections,
            service_ms=self.size.service_ms,
            lag_ms=self.size.lag_ms,
        )
        transport = self.network.host(ip)
        endpoint = Endpoint(name, transport, options)
        self.endpoints[name] = endpoint
        await self.nursery.start(serve_endpoint, endpoint, transport, f"{ip}:5000", f"{ip}:5001")

    def _prepare_box(self, name: str, data_centre: int, trace: TextIO | None = None) -> None:
        ip = f"10.2.{len(self.ips)}.1"
        self.ips[name] = ip
        self.data_centre_of[ip] = data_centre
        settings = Settings(
            box=BoxSettings(name, f"hall-{data_centre + 1}"),
            platform=PlatformSettings(f"{PLATFORM}:80", self.size.list_lag_s),
            keys=KEYS,
            proxy=ProxySettings(f"{ip}:7100", stop_unready_s=0.5),
            steward=StewardSettings(
                f"{ip}:7200",
                [f"{other.ip}:7200" for other in self.boxes.values()],
                self.size.detect_s,
            ),
            admin=AdminSettings(f"{ip}:7300", [OPERATOR, "second"]),
        )
        transport = self.network.host(ip)
        self._boxes_started += 1
        seed = self.seed * 1000 + self._boxes_started
        self.boxes[name] = Box(
            name,
            ip,
            settings,
            ProxyDaemon(settings, transport, seed=seed, trace=trace),
            StewardDaemon(settings, transport, seed=seed, wall_clock=trio.current_time),
        )

    async def _start_box(self, box: Box) -> None:
        transport = self.network.host(box.ip)
        admin = AdminDaemon(box.settings, transport, wall_clock=trio.current_time)

        async def run(task_status: trio.TaskStatus[None]) -> None:
            with box.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(box.steward.run)
                    await nursery.start(admin.run)
                    await nursery.start(box.proxy.run)
                    task_status.started()

        await self.nursery.start(run)

    def set_boxes(self) -> None:
        self.platform.set_boxes(
            [
                BoxEntry(box.name, box.settings.box.data_centre, f"{box.ip}:7200", f"{box.ip}:7100")
                for box in self.boxes.values()
            ]
        )

    async def _configure(self) -> None:
        for number in range(1, self.size.groups + 1):
            await self.plan_and_confirm({"kind": "create_group", "group": self.group_body(number)})
        groups = [f"group-{number}" for number in range(1, self.size.groups + 1)]
        groups_by_business = {
            business: groups[index % len(groups)]
            for index, business in enumerate(self.size.businesses)
        }
        pool = {
            "name": POOL,
            "groups": groups,
            "businesses": groups_by_business,
            "read_rule": {
                "max_age_ms": self.size.max_age_ms,
                "replica_wait_ms": self.size.replica_wait_ms,
            },
        }
        await self.plan_and_confirm({"kind": "create_pool", "pool": pool})
        await self.wait_until(self._all_ready)

    def group_body(self, number: int) -> dict[str, Any]:
        return {
            "name": f"group-{number}",
            "max_connections": self.size.max_connections,
            "endpoints": [
                {
                    "name": f"group-{number}-{letter}",
                    "data_centre": f"hall-{data_centre + 1}",
                    "address": f"{self.ips[f'group-{number}-{letter}']}:5000",
                    "control_address": f"{self.ips[f'group-{number}-{letter}']}:5001",
                }
                for data_centre, letter in enumerate("abc")
            ],
        }

    def _all_ready(self) -> bool:
        for box in self.boxes.values():
            tables = box.proxy.core.tables
            leads = [group.primary for group in tables.groups.values()]
            is_share_known = tables.listed_since is not None and (
                tables.list_read_at - tables.listed_since >= 2 * tables.list_lag_s
            )
            if len(leads) != self.size.groups or not all(leads) or not is_share_known:
                return False
        return True

    # Operators and callers ----------------------------------------------

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.01)

    async def admin(
        self, method: str, path: str, body: Any = None, box: str = "box-1", operator: str = OPERATOR
    ) -> Any:
        headers = {**bearer_header(KEYS.mint("operator", operator)), "x-operator": operator}
        client = HttpClient(self.network.host(CLIENT), f"{self.ips[box]}:7300")
        answer = await client.request(method, path, body, headers, timeout_s=5)
        await client.aclose()
        return answer.json()

    async def plan_and_confirm(self, intent: dict[str, Any], box: str = "box-1") -> Any:
        plan = await self.admin("POST", "/plans", intent, box)
        assert "plan" in plan, plan
        return await self.admin("POST", f"/plans/{plan['plan']}/confirm", None, box)

    async def ask(
        self, box: str, business: str = "rila", after: Exchange | None = None, **fields: Any
    ) -> Exchange:
        """Send a statement to a box's proxy and record the exchange."""
        sent_at = trio.current_time()
        body = {
            "pool": POOL,
            "business": business,
            "request_id": f"r{next(self._request_numbers)}",
            "deadline_ms": 5_000,
            **fields,
        }
        if after is not None:
            body["session"] = after.body.get("session")
        headers = bearer_header(KEYS.mint("business", f"{POOL}/{business}"))
        client = HttpClient(self.network.host(CLIENT), f"{self.ips[box]}:7100")
        timeout_s = body["deadline_ms"] / 1000 + 1
        try:
            answer = await client.request("POST", "/statements", body, headers, timeout_s=timeout_s)
            reply = answer.json()
        except ExchangeError as error:
            reply = {"outcome": "lost", "message": str(error)}
        finally:
            await client.aclose()
        exchange = Exchange(trio.current_time(), sent_at, body, reply, after)
        self.exchanges.append(exchange)
        return exchange

    def primary(self, group: int = 1) -> str:
        """Return the server that is primary in the highest term."""
        names = [f"group-{group}-{letter}" for letter in "abc"]
        return max(names, key=lambda name: self.endpoints[name].database.leading_term)

    def kill_box(self, name: str) -> None:
        self.boxes[name].scope.cancel()
        self.network.kill(self.ips[name])

    async def replace_box(self, name: str, trace: TextIO | None = None) -> Box:
        """Kill a box and start a new one without its state."""
        self.kill_box(name)
        old = self.boxes.pop(name)
        self._prepare_box(name, self.data_centre_of[old.ip], trace)
        await self._start_box(self.boxes[name])
        self.set_boxes()
        return self.boxes[name]


def run_world(
    scenario: Callable[[World], Awaitable[None]], size: Size | None = None, seed: int = 1
) -> None:
    """Run ``scenario`` on a started deployment, deterministically in virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(size or Size(), nursery, seed)
            await world.start()
            await scenario(world)
            nursery.cancel_scope.cancel()

    run_deterministically(main, seed)


def run_deterministically(main: Callable[[], Awaitable[None]], seed: int = 1) -> None:
    """Run ``main`` in virtual time, tasks scheduled in an order set by ``seed``."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
