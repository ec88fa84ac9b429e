"""The steward daemon: monitors groups, runs failovers, distributes configuration."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable
from typing import assert_never

import trio

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError, UnknownPathError
from wharftiller.core.messages import ConfigurationArrived, Report, Tick
from wharftiller.core.steward import StewardCore
from wharftiller.core.steward_messages import (
    BoxesUpdated,
    GroupRecord,
    LeadState,
    LogMessage,
    NoticePrimary,
    OrderAnswered,
    OrderLost,
    PlatformFailed,
    ReadRecord,
    RecordConflict,
    RecordRead,
    RecordUpdated,
    RequestReport,
    SendOrder,
    ServerNotReporting,
    ServerReported,
    StewardInput,
    StewardOutput,
    UpdateRecord,
)
from wharftiller.daemons.configuration_distributor import ConfigurationDistributor
from wharftiller.edges.codec import from_peer, to_json
from wharftiller.edges.http_client import HttpClient
from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.peers import PeerClient, PrimaryNotice
from wharftiller.edges.platform import ConflictError, PlatformClient, new_attempt
from wharftiller.edges.transport import Transport
from wharftiller.logs import component_log
from wharftiller.metrics import Metrics
from wharftiller.settings import Settings

TICK_S = 0.02
IDLE_TICK_S = 0.06
"""Time between ticks without a failover, in seconds; reports and replies need no tick."""

PUBLISH_S = 1.0
REPORT_TIMEOUT_S = 0.3
ORDER_TIMEOUT_S = 0.5
LOST_ORDER_DELAY_S = 0.05


def record_key(group: str) -> str:
    """Return the key of a group's record."""
    return f"groups/{group}"


def audit_key(day: str, name: str) -> str:
    """Return the key of an entry in the audit trail."""
    return f"audit/{day}/{name}"


class StewardDaemon:
    """Monitors groups and runs failovers by the decisions of the steward's core.

    Parameters
    ----------
    wall_clock : callable
        Returns seconds since 1970, for the audit trail only.
    """

    def __init__(
        self,
        settings: Settings,
        transport: Transport,
        *,
        seed: int | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._wall_clock = wall_clock
        self._log = component_log("steward", settings.box.name)
        self._metrics = Metrics(settings.metrics.statsd, "steward")
        randomness = random.Random(seed)
        process = f"{settings.box.name}/{secrets.token_hex(6)}"
        self._core = StewardCore(settings.box.name, randomness, settings.steward.detect_s, process)
        self._platform = PlatformClient(transport, settings.platform.address)
        self._distributor = ConfigurationDistributor(
            settings, transport, randomness, self._on_configuration, self._on_boxes
        )
        self._report_clients: dict[str, HttpClient] = {}
        self._order_clients: dict[str, HttpClient] = {}
        self._proxy_clients: dict[str, PeerClient] = {}
        self._nursery: trio.Nursery | None = None

    @property
    def core(self) -> StewardCore:
        """The core, for views and tests."""
        return self._core

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            listen = self._settings.steward.listen
            address = await nursery.start(self._transport.serve, listen, self._serve)
            self._log.info(f"listens on {address}")
            nursery.start_soon(self._distributor.run)
            nursery.start_soon(self._tick_for_ever)
            task_status.started(address)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        await serve_stream(stream, self._handle)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ("POST", "/peer/configuration"):
                return await self._distributor.handle_request(request)
            case ("GET", "/ready"):
                generation = self._distributor.generation
                return HttpResponse(200 if generation else 503, {"generation": generation})
            case (method, path):
                raise UnknownPathError(f"no {method} {path}; use GET /ready")

    def _on_configuration(self) -> None:
        self.feed(ConfigurationArrived(self._distributor.configuration))

    def _on_boxes(self) -> None:
        boxes = self._distributor.boxes
        self.feed(BoxesUpdated({box.name: box.data_centre for box in boxes if not box.leaving}))

    def feed(self, message: StewardInput) -> None:
        """Pass an input to the core and execute its outputs."""
        for output in self._core.handle(message, trio.current_time()):
            self._execute(output)

    def _execute(self, output: StewardOutput) -> None:
        assert self._nursery is not None
        match output:
            case RequestReport():
                self._nursery.start_soon(self._request_report, output)
            case ReadRecord(group):
                self._nursery.start_soon(self._read_record, group)
            case UpdateRecord():
                self._nursery.start_soon(self._update_record, output)
            case SendOrder():
                self._nursery.start_soon(self._send_order, output)
            case NoticePrimary():
                self._announce_primary(output)
            case LogMessage(group, text):
                self._log.info(f"group {group} {text}", fields={"group": group})
            case _:
                assert_never(output)

    async def _tick_for_ever(self) -> None:
        published_at = trio.current_time()
        while True:
            await trio.sleep(TICK_S if self._core.is_promoting else IDLE_TICK_S)
            self.feed(Tick())
            if trio.current_time() - published_at >= PUBLISH_S:
                published_at = trio.current_time()
                generation = float(self._distributor.generation)
                self._metrics.publish(self._distributor.counters, {"generation": generation})

    def _client(self, clients: dict[str, HttpClient], address: str) -> HttpClient:
        if address not in clients:
            clients[address] = HttpClient(self._transport, address)
        return clients[address]

    async def _request_report(self, order: RequestReport) -> None:
        sent_at = trio.current_time()
        body = {"wait_position": 0, "wait_ms": 0}
        try:
            client = self._client(self._report_clients, order.address)
            answer = await client.request("POST", "/report", body, timeout_s=REPORT_TIMEOUT_S)
            report = from_peer(answer.json(), Report)
        except ExchangeError:
            self.feed(ServerNotReporting(order.endpoint, sent_at))
        else:
            self.feed(ServerReported(order.endpoint, sent_at, report))

    async def _send_order(self, order: SendOrder) -> None:
        body = {
            "term": order.term,
            "address": order.primary_address,
            "level": order.level,
            "hold_ms": order.hold_ms,
            "attempt": order.attempt,
        }
        try:
            client = self._client(self._order_clients, order.address)
            answer = await client.request(
                "POST", f"/{order.order.value}", body, timeout_s=ORDER_TIMEOUT_S
            )
            report = from_peer(answer.json(), Report)
        except ExchangeError:
            await trio.sleep(LOST_ORDER_DELAY_S)
            self.feed(OrderLost(order.group, order.endpoint, order.order, order.term))
            return
        accepted = answer.status == 200
        self.feed(
            OrderAnswered(order.group, order.endpoint, order.order, order.term, accepted, report)
        )

    async def _read_record(self, group: str) -> None:
        try:
            stored = await self._platform.read(record_key(group))
        except PlatformUnavailableError as error:
            self._log.warning(f"group {group}: {error}")
            self.feed(PlatformFailed(group))
            return
        if stored is None:
            self.feed(RecordRead(group, 0, GroupRecord()))
        else:
            self.feed(RecordRead(group, stored.version, from_peer(stored.value, GroupRecord)))

    async def _update_record(self, order: UpdateRecord) -> None:
        key = record_key(order.group)
        try:
            stored = await self._platform.update(key, to_json(order.record), order.if_version)
        except ConflictError:
            self.feed(RecordConflict(order.group))
            return
        except PlatformUnavailableError as error:
            self._log.warning(f"group {order.group}: {error}")
            self.feed(PlatformFailed(order.group))
            return
        self.feed(RecordUpdated(order.group, stored.version))
        if order.record.state is LeadState.LED:
            await self._write_audit(order)

    async def _write_audit(self, order: UpdateRecord) -> None:
        at = self._wall_clock()
        day = time.strftime("%Y%m%d", time.gmtime(at))
        entry = {"kind": "promotion", "at": at, "group": order.group, **to_json(order.record)}
        name = f"promotion-{order.group}-{order.record.term}"
        try:
            await self._platform.update(audit_key(day, name), entry, 0, new_attempt())
        except (ConflictError, PlatformUnavailableError) as error:
            self._log.warning(f"the audit entry {name} was not written: {error}")

    def _announce_primary(self, notice: NoticePrimary) -> None:
        assert self._nursery is not None
        proxies = [entry.proxy for entry in self._distributor.boxes if entry.proxy]
        for address in sorted({self._settings.proxy.listen, *proxies}):
            self._nursery.start_soon(self._send_notice, address, notice)

    async def _send_notice(self, address: str, notice: NoticePrimary) -> None:
        if address not in self._proxy_clients:
            self._proxy_clients[address] = PeerClient(self._transport, address, self._settings.keys)
        message = PrimaryNotice(notice.group, notice.term, notice.endpoint)
        try:
            await self._proxy_clients[address].announce_primary(message)
        except ExchangeError:
            return
