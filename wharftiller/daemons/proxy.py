"""The proxy daemon: connects the proxy's core to callers and endpoints."""

from __future__ import annotations

import itertools
import random
from typing import TextIO

import attrs
import trio

from wharftiller.core.configuration_changes import ConfigurationHolder
from wharftiller.core.errors import ExchangeError, UnknownPathError
from wharftiller.core.messages import (
    Answer,
    AnswerCaller,
    BoxesListed,
    CloseConnection,
    ConfigurationArrived,
    Input,
    OpenConnection,
    Output,
    PrimaryNoticed,
    Request,
    SendReport,
    SendStatement,
    StatementArrived,
    StopAsked,
    Tick,
)
from wharftiller.core.proxy import ProxyCore
from wharftiller.edges.callers import answer_statement
from wharftiller.edges.codec import from_caller, to_json
from wharftiller.edges.endpoints import ReportLanes, StatementConnections
from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.peers import (
    ConfigurationRequest,
    PeerClient,
    PrimaryNotice,
    check_peer,
)
from wharftiller.edges.transport import Transport
from wharftiller.keys import bearer
from wharftiller.logs import component_log
from wharftiller.metrics import Metrics
from wharftiller.settings import Settings
from wharftiller.traces import TraceHeader, TraceRecorder

TICK_S = 0.01
IDLE_TICK_S = 0.1
"""Time between ticks without requests, in seconds; short enough for heartbeats."""

PUBLISH_S = 1.0
LONG_POLL_MS = 1_000
POLL_RETRY_S = 0.2
MAX_DECISIONS_SHOWN = 16


@attrs.define
class _Waiter:
    """A task that waits for the answer to its request."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    answer: Answer | None = None


class ProxyDaemon:
    """Serves callers' requests by the decisions of the proxy's core.

    Parameters
    ----------
    transport : Transport
        Opens and accepts every stream.
    trace : file or None
        Receives a record of every step of the core (`wharftiller.traces`).
    """

    def __init__(
        self,
        settings: Settings,
        transport: Transport,
        *,
        seed: int | None = None,
        trace: TextIO | None = None,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._log = component_log("proxy", settings.box.name)
        self._metrics = Metrics(settings.metrics.statsd, "proxy")
        lag = settings.platform.list_lag_s
        seed = random.SystemRandom().getrandbits(32) if seed is None else seed
        self._core = ProxyCore(settings.box.name, random.Random(seed), lag)
        header = TraceHeader(settings.box.name, seed, lag)
        self._recorder = None if trace is None else TraceRecorder(trace, header)
        self._keys = itertools.count(1)
        self._holder = ConfigurationHolder()
        self._waiters: dict[int, _Waiter] = {}
        self._is_stopping = False
        self._stop_requested = trio.Event()
        self._request_arrived = trio.Event()
        self._connections: StatementConnections | None = None
        self._lanes: ReportLanes | None = None

    @property
    def core(self) -> ProxyCore:
        """The core, for views and tests."""
        return self._core

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop` is called and every accepted request is answered."""
        async with trio.open_nursery() as nursery:
            self._connections = StatementConnections(
                self._transport, self._settings.box.name, nursery, self.feed
            )
            self._lanes = ReportLanes(self._transport, nursery, self.feed)
            nursery.start_soon(self._tick_for_ever)
            nursery.start_soon(self._poll_configuration)
            nursery.start_soon(self._publish_for_ever)
            listen = self._settings.proxy.listen
            address = await nursery.start(self._transport.serve, listen, self._serve)
            self._log.info(f"listens on {address}")
            task_status.started(address)
            await self._stop_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Report unready, finish accepted requests, then end `run`."""
        self._stop_requested.set()

    async def _drain(self) -> None:
        self._is_stopping = True
        self._log.info("is stopping and reports unready")
        await trio.sleep(self._settings.proxy.stop_unready_s)
        self.feed(StopAsked())
        tables = self._core.tables
        with trio.move_on_after(self._settings.proxy.stop_longest_s):
            while tables.requests or tables.transactions or self._waiters:
                await trio.sleep(TICK_S)
        self._log.info(f"stops with {len(tables.requests)} requests unanswered")

    def feed(self, message: Input) -> None:
        """Pass an input to the core and execute its outputs."""
        now = trio.current_time()
        outputs = self._core.handle(message, now)
        if self._recorder is not None:
            is_idle = not self._core.tables.requests
            self._recorder.record(now, message, outputs, idle=is_idle)
        for output in outputs:
            self._execute(output)

    def _execute(self, output: Output) -> None:
        assert self._connections is not None
        assert self._lanes is not None
        match output:
            case AnswerCaller(key, answer):
                waiter = self._waiters.pop(key, None)
                if waiter is not None:
                    waiter.answer = answer
                    waiter.arrived.set()
            case SendStatement():
                self._connections.send(output)
            case SendReport():
                self._lanes.send(output)
            case OpenConnection():
                self._connections.open(output)
            case CloseConnection(number):
                self._connections.close(number)

    async def ask(self, request: Request) -> Answer:
        """Run a request and return its final answer."""
        key = next(self._keys)
        waiter = _Waiter()
        self._waiters[key] = waiter
        self._request_arrived.set()
        self.feed(StatementArrived(key, request))
        await waiter.arrived.wait()
        assert waiter.answer is not None
        return waiter.answer

    async def _tick_for_ever(self) -> None:
        while True:
            if self._core.tables.requests:
                await trio.sleep(TICK_S)
            else:
                self._request_arrived = trio.Event()
                with trio.move_on_after(IDLE_TICK_S):
                    await self._request_arrived.wait()
            self.feed(Tick())

    async def _publish_for_ever(self) -> None:
        while True:
            await trio.sleep(PUBLISH_S)
            tables = self._core.tables
            gauges = {
                "requests": float(len(tables.requests)),
                "connections": float(len(tables.connections)),
                "generation": float(tables.configuration.generation),
            }
            self._metrics.publish(tables.counters, gauges)

    async def _poll_configuration(self) -> None:
        """Poll this box's steward, else its peers, for configurations and lists of boxes."""
        steward = self._settings.steward
        addresses = [steward.listen, *steward.peers]
        clients = [PeerClient(self._transport, each, self._settings.keys) for each in addresses]
        while True:
            for client in clients:
                if await self._poll_once(client):
                    break
            else:
                await trio.sleep(POLL_RETRY_S)

    async def _poll_once(self, client: PeerClient) -> bool:
        box = self._settings.box.name
        generation = self._holder.current.generation
        request = ConfigurationRequest(box, generation, LONG_POLL_MS, {box: generation})
        try:
            reply = await client.request_configuration(request)
        except ExchangeError:
            return False
        if reply.change is not None and self._holder.take_change(reply.change):
            self._log.info(f"generation {self._holder.current.generation} is in force")
            self.feed(ConfigurationArrived(self._holder.current))
        if reply.list_age_s is not None:
            names = tuple(entry.name for entry in reply.boxes)
            self.feed(BoxesListed(names, trio.current_time() - reply.list_age_s))
        return True

    # HTTP interface -----------------------------------------------------

    async def _serve(self, stream: trio.abc.Stream) -> None:
        await serve_stream(stream, self._handle)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ("POST", "/statements"):
                response = await answer_statement(request, self._settings.keys, self.ask)
            case ("GET", "/ready"):
                response = self._ready()
            case ("POST", "/peer/primary"):
                response = self._handle_primary_notice(request)
            case ("GET", "/servers"):
                self._check_operator(request)
                response = self._servers()
            case ("GET", path) if path.startswith("/explain/"):
                self._check_operator(request)
                response = self._explain(path.removeprefix("/explain/"))
            case (method, path):
                raise UnknownPathError(
                    f"no {method} {path}; use POST /statements, GET /ready, "
                    "GET /explain/REQUEST_ID or GET /servers"
                )
        response.close = response.close or self._is_stopping
        return response

    def _ready(self) -> HttpResponse:
        generation = self._core.tables.configuration.generation
        ready = generation > 0 and not self._is_stopping
        return HttpResponse(200 if ready else 503, {"ready": ready, "generation": generation})

    def _handle_primary_notice(self, request: HttpRequest) -> HttpResponse:
        check_peer(request, self._settings.keys)
        notice = from_caller(request.json(), PrimaryNotice)
        self.feed(PrimaryNoticed(notice.group, notice.term, notice.endpoint))
        return HttpResponse(200, {})

    def _check_operator(self, request: HttpRequest) -> None:
        name = request.headers.get("x-operator", "")
        self._settings.keys.check("operator", name, bearer(request.headers))

    def _explain(self, request_id: str) -> HttpResponse:
        found = [
            to_json(decision)
            for decision in reversed(self._core.tables.decisions)
            if decision.request_id == request_id
        ]
        box = self._settings.box.name
        return HttpResponse(200, {"box": box, "decisions": found[:MAX_DECISIONS_SHOWN]})

    def _servers(self) -> HttpResponse:
        tables = self._core.tables
        rows = [
            {
                "name": server.name,
                "group": server.group,
                "leads": tables.groups[server.group].primary == server.name,
                "silent": server.silent_since is not None,
                "leaving": server.is_leaving,
                "connections": len(server.connections),
                "report": to_json(server.report) if server.report else None,
            }
            for server in tables.servers.values()
        ]
        return HttpResponse(200, {"box": self._settings.box.name, "servers": rows})
