"""A stand-in for one database server: slots, connections, replication with lag.

The assumptions about a real server are listed in docs/operators/endpoints.md.
"""

from __future__ import annotations

import math
from typing import Any

import attrs
import trio

from standins.database import Database, OpenTransaction, Record
from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.messages import Action, EndpointAnswer, Verdict
from wharftiller.edges.codec import from_peer, to_json
from wharftiller.edges.http_client import HttpClient
from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.transport import Transport

PULL_WAIT_MS = 100
MAX_PULL_RECORDS = 500
PULL_TIMEOUT_S = 1.0
PULL_RETRY_S = 0.02
HEARTBEAT_S = 0.1


@attrs.define
class EndpointOptions:
    """Limits and delays of one server.

    Attributes
    ----------
    service_ms : float
        Time for which a statement holds a slot.
    lag_ms : float
        Time between pulling records and applying them on a replica.
    """

    slots: int = 3
    max_connections: int = 25
    connect_ms: float = 12.0
    service_ms: float = 1.0
    lag_ms: float = 2.0


@attrs.define
class _Connection:
    """State of one statement connection; it is open once the handshake is done."""

    is_open: bool = False
    transaction: OpenTransaction | None = None


class Endpoint:
    """A database with its statement and control servers."""

    def __init__(self, name: str, transport: Transport, options: EndpointOptions) -> None:
        self.database = Database(name)
        self.options = options
        self.connections = 0
        self.peak_connections = 0
        self.statements = 0
        self._transport = transport
        self._slots = trio.Semaphore(options.slots)
        self._log_grown = trio.Event()
        self._last_primary_contact_at = -math.inf
        self._followed: tuple[int, str] | None = None
        self._followed_changed = trio.Event()
        self._quiesced_until = math.inf
        self._thaw_event: trio.Event | None = None
        self._writes_released: trio.Event | None = None

    # Statements ---------------------------------------------------------

    async def statement_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one statement connection."""
        connection = _Connection()

        async def handle(request: HttpRequest) -> HttpResponse:
            return await self._statement_call(connection, request)

        try:
            await serve_stream(stream, handle)
        finally:
            if connection.is_open:
                self.connections -= 1
            self._drop_transaction(connection)

    async def _statement_call(self, connection: _Connection, request: HttpRequest) -> HttpResponse:
        await self._wait_until_thawed()
        match request.path:
            case "/connect":
                return await self._handshake(connection)
            case "/statement" if connection.is_open:
                answer = await self._run(connection, request.json())
                await self._wait_until_thawed()
                return HttpResponse(200, to_json(answer))
            case _:
                raise BadRequestError("greet with POST /connect, then send POST /statement")

    async def _handshake(self, connection: _Connection) -> HttpResponse:
        if self.connections >= self.options.max_connections:
            return HttpResponse(429, {"error": "connection limit"}, close=True)
        connection.is_open = True
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        await trio.sleep(self.options.connect_ms / 1000)
        return HttpResponse(200, {"endpoint": self.database.name})

    async def _run(self, connection: _Connection, body: dict[str, Any]) -> EndpointAnswer:
        self.statements += 1
        action = Action(body["action"])
        if action is Action.RESET:
            self._drop_transaction(connection)
            return EndpointAnswer(body["request_id"], Verdict.RAN, self._report())
        queued_at = trio.current_time()
        async with self._slots:
            await trio.sleep(self.options.service_ms / 1000)
            if action is Action.WRITE and self._writes_released is not None:
                await self._writes_released.wait()
            await self._wait_until_thawed()
            if (trio.current_time() - queued_at) * 1000 > body["deadline_ms"]:
                return self._not_run(body, "its deadline passed in the queue")
            return self._execute(connection, action, body)

    def _execute(
        self, connection: _Connection, action: Action, body: dict[str, Any]
    ) -> EndpointAnswer:
        database = self.database
        self._end_overdue_quiesce()
        request_id, business, term = body["request_id"], body["business"], body["term"]
        statement = body["statement"]
        transaction = connection.transaction
        match action:
            case Action.READ:
                return database.read(request_id, business, statement, term)
            case Action.WRITE if transaction is not None:
                return database.write_in_transaction(request_id, transaction, statement, term)
            case Action.WRITE:
                answer = database.write(request_id, business, statement, term)
            case Action.RESOLVE:
                answer = database.resolve(request_id, business, term)
            case Action.BEGIN:
                return self._begin(connection, body)
            case Action.COMMIT if transaction is not None:
                answer = database.commit(request_id, transaction, term)
                self._drop_transaction(connection)
            case Action.ROLLBACK if transaction is not None:
                self._drop_transaction(connection)
                return EndpointAnswer(request_id, Verdict.RAN, self._report())
            case _:
                return self._not_run(body, "no transaction is open on this connection")
        self._notify_log_grown()
        return answer

    def _begin(self, connection: _Connection, body: dict[str, Any]) -> EndpointAnswer:
        refusal = self.database.begin_refusal(body["term"])
        if refusal:
            return self._not_run(body, refusal)
        connection.transaction = OpenTransaction(body["business"], body["term"])
        self.database.open_transactions += 1
        return EndpointAnswer(
            body["request_id"], Verdict.RAN, self._report(), len(self.database.log)
        )

    def _drop_transaction(self, connection: _Connection) -> None:
        if connection.transaction is not None:
            connection.transaction = None
            self.database.open_transactions -= 1

    def _not_run(self, body: dict[str, Any], why: str) -> EndpointAnswer:
        return EndpointAnswer(body["request_id"], Verdict.NOT_RUN, self._report(), why=why)

    def _report(self) -> Any:
        silent = trio.current_time() - self._last_primary_contact_at
        silent_ms = 0 if self.database.leads else round(min(silent, 3_600) * 1000)
        return self.database.report(silent_ms)

    # Control ------------------------------------------------------------

    async def control_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one control connection."""
        await serve_stream(stream, self._control_call)

    async def _control_call(self, request: HttpRequest) -> HttpResponse:
        body = request.json()
        if request.path == "/fault":
            return self._apply_faults(body)
        await self._wait_until_thawed()
        self._end_overdue_quiesce()
        match request.path:
            case "/report":
                await self._wait_for_position(body["wait_position"], body["wait_ms"])
            case "/fence":
                return self._order_response(self.database.fence(body["term"], body["attempt"]))
            case "/promote":
                return self._promote(body["term"], body["attempt"])
            case "/follow":
                return self._follow(body["term"], body["address"])
            case "/quiesce":
                return self._quiesce(body)
            case "/heartbeat":
                leads = self.database.leads and self.database.leading_term == body["term"]
                return HttpResponse(200 if leads else 409, {})
            case "/pull":
                return await self._serve_pull(body)
            case _:
                raise BadRequestError(f"no control call {request.path!r}")
        return HttpResponse(200, to_json(self._report()))

    def _order_response(self, done: bool) -> HttpResponse:
        self._notify_log_grown()
        return HttpResponse(200 if done else 409, to_json(self._report()))

    def _promote(self, term: int, attempt: str) -> HttpResponse:
        done = self.database.promote(term, attempt)
        if done:
            self._followed = None
        return self._order_response(done)

    def _follow(self, term: int, address: str) -> HttpResponse:
        if term < self.database.promised or self.database.leading_term == term:
            return self._order_response(False)
        self._followed = (term, address)
        self._followed_changed.set()
        return self._order_response(True)

    def _quiesce(self, body: dict[str, Any]) -> HttpResponse:
        if body["term"] != self.database.promised or not self.database.leads:
            return self._order_response(False)
        self.database.quiesce = body["level"]
        self._quiesced_until = trio.current_time() + body["hold_ms"] / 1000
        return self._order_response(True)

    def _end_overdue_quiesce(self) -> None:
        if trio.current_time() > self._quiesced_until:
            self._quiesced_until = math.inf
            self.database.quiesce = 0

    async def _wait_for_position(self, position: int, wait_ms: int) -> None:
        with trio.move_on_after(wait_ms / 1000):
            while len(self.database.log) < position:
                await self._log_grown.wait()

    def _notify_log_grown(self) -> None:
        self._log_grown.set()
        self._log_grown = trio.Event()

    # Replication --------------------------------------------------------

    async def _serve_pull(self, body: dict[str, Any]) -> HttpResponse:
        ends = {int(term): index for term, index in body["ends"]}
        database = self.database
        with trio.move_on_after(body["wait_ms"] / 1000):
            while database.leading_term == body["term"]:
                common, records = database.records_after(ends, MAX_PULL_RECORDS)
                if records or ends.get(database.log_term) != len(database.log):
                    break
                await self._log_grown.wait()
        if not database.leads or database.leading_term != body["term"]:
            return HttpResponse(409, {"error": "does not lead in that term"})
        common, records = database.records_after(ends, MAX_PULL_RECORDS)
        return HttpResponse(
            200, {"common": common, "records": [to_json(record) for record in records]}
        )

    async def replicate(self) -> None:
        """Keep pulling the log of the primary that is followed."""
        while True:
            if self._followed is None or self.database.leads:
                await self._followed_changed.wait()
                self._followed_changed = trio.Event()
                continue
            term, address = self._followed
            client = HttpClient(self._transport, address)
            try:
                await self._pull_from(client, term)
            finally:
                await client.aclose()

    async def _pull_from(self, client: HttpClient, term: int) -> None:
        while self._followed == (term, client.address) and term >= self.database.promised:
            body = {
                "term": term,
                "ends": list(self.database.term_ends.items()),
                "wait_ms": PULL_WAIT_MS,
            }
            try:
                answer = await client.request("POST", "/pull", body, timeout_s=PULL_TIMEOUT_S)
            except ExchangeError:
                await trio.sleep(PULL_RETRY_S)
                continue
            if answer.status != 200:
                await trio.sleep(PULL_RETRY_S)
                continue
            await self._apply_records(term, answer.json())
        if term < self.database.promised:
            self._followed = None

    async def _apply_records(self, term: int, body: dict[str, Any]) -> None:
        records = [from_peer(record, Record) for record in body["records"]]
        if records:
            await trio.sleep(self.options.lag_ms / 1000)
        await self._wait_until_thawed()
        if self.database.follow(term, body["common"], records):
            self._notify_log_grown()

    async def monitor_primary(self) -> None:
        """Keep checking whether the primary that is followed still leads."""
        while True:
            await trio.sleep(HEARTBEAT_S)
            if self._followed is None or self.database.leads:
                continue
            term, address = self._followed
            client = HttpClient(self._transport, address)
            try:
                await self._check_primary(client, term)
            finally:
                await client.aclose()

    async def _check_primary(self, client: HttpClient, term: int) -> None:
        while self._followed == (term, client.address):
            sent_at = trio.current_time()
            body = {"term": term}
            try:
                answer = await client.request("POST", "/heartbeat", body, timeout_s=PULL_TIMEOUT_S)
            except ExchangeError:
                return
            if answer.status == 200:
                self._last_primary_contact_at = sent_at
            await trio.sleep(HEARTBEAT_S)

    # Faults -------------------------------------------------------------

    async def _wait_until_thawed(self) -> None:
        while self._thaw_event is not None:
            await self._thaw_event.wait()

    def freeze(self) -> None:
        """Suspend all processing until `thaw`."""
        if self._thaw_event is None:
            self._thaw_event = trio.Event()

    def thaw(self) -> None:
        """Resume processing."""
        if self._thaw_event is not None:
            self._thaw_event.set()
            self._thaw_event = None

    def hold_writes(self) -> None:
        """Make writes wait in their slots until `release_writes`."""
        self._writes_released = self._writes_released or trio.Event()

    def release_writes(self) -> None:
        """Resume held writes."""
        held, self._writes_released = self._writes_released, None
        if held is not None:
            held.set()

    def _apply_faults(self, body: dict[str, Any]) -> HttpResponse:
        for name, value in body.items():
            match name:
                case "frozen":
                    self.freeze() if value else self.thaw()
                case "leaving":
                    self.database.leaving = value
                case _:
                    setattr(self.options, name, value)
        return HttpResponse(200, {"runs": len(self.database.runs), "statements": self.statements})


async def serve_endpoint(
    endpoint: Endpoint,
    transport: Transport,
    address: str,
    control_address: str,
    task_status: trio.TaskStatus[tuple[str, str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``endpoint`` until cancelled."""
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(transport.serve, address, endpoint.statement_stream)
        control = await nursery.start(transport.serve, control_address, endpoint.control_stream)
        nursery.start_soon(endpoint.replicate)
        nursery.start_soon(endpoint.monitor_primary)
        task_status.started((bound, control))
