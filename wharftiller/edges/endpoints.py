"""Connections to endpoints: for statements, and control connections for reports."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.messages import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    EndpointAnswer,
    Input,
    Lane,
    OpenConnection,
    Report,
    ReportArrived,
    ReportLost,
    SendReport,
    SendStatement,
    StatementAnswered,
)
from wharftiller.core.reports import REPORT_TIMEOUT_S
from wharftiller.edges.codec import from_peer
from wharftiller.edges.http_client import HttpClient, HttpConnection
from wharftiller.edges.transport import Transport

CONNECT_TIMEOUT_S = 1.0
LOST_REPORT_DELAY_S = 0.05

Feed = Callable[[Input], None]


@attrs.define
class _Connection:
    """The task of a statement connection: its queue of statements and its cancel scope."""

    statements: trio.MemorySendChannel[SendStatement]
    scope: trio.CancelScope


class StatementConnections:
    """Executes the core's outputs for statement connections.

    Parameters
    ----------
    feed : callable
        Receives the resulting inputs.
    """

    def __init__(self, transport: Transport, box: str, nursery: trio.Nursery, feed: Feed) -> None:
        self._transport = transport
        self._box = box
        self._nursery = nursery
        self._feed = feed
        self._connections: dict[int, _Connection] = {}

    def open(self, order: OpenConnection) -> None:
        """Open a connection; the result is fed back as an input."""
        send, receive = trio.open_memory_channel[SendStatement](2)
        connection = _Connection(send, trio.CancelScope())
        self._connections[order.connection] = connection
        self._nursery.start_soon(self._run, order, connection.scope, receive)

    def send(self, order: SendStatement) -> None:
        """Send a statement; ignored on a lost connection, which was reported already."""
        connection = self._connections.get(order.connection)
        if connection is not None:
            connection.statements.send_nowait(order)

    def close(self, number: int) -> None:
        """Close a connection without feeding back an input."""
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.scope.cancel()

    async def _run(
        self,
        order: OpenConnection,
        scope: trio.CancelScope,
        statements: trio.MemoryReceiveChannel[SendStatement],
    ) -> None:
        with scope:
            opened = await self._connect(order)
            if opened is None:
                return
            try:
                await self._run_statements(order.connection, opened, statements)
            finally:
                await opened.aclose()

    async def _connect(self, order: OpenConnection) -> HttpConnection | None:
        at_limit = False
        opened: HttpConnection | None = None
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                opened = HttpConnection(await self._transport.connect(order.address))
                greeting = await opened.request("POST", "/connect", {"box": self._box})
                if greeting.status == 200:
                    self._feed(ConnectionOpened(order.connection))
                    return opened
                at_limit = True
        except ExchangeError:
            pass
        if opened is not None:
            await opened.aclose()
        self._connections.pop(order.connection, None)
        self._feed(ConnectionRefused(order.connection, at_limit))
        return None

    async def _run_statements(
        self,
        number: int,
        opened: HttpConnection,
        statements: trio.MemoryReceiveChannel[SendStatement],
    ) -> None:
        try:
            async for statement in statements:
                answer = await opened.request("POST", "/statement", _encode_statement(statement))
                parsed = from_peer(answer.json(), EndpointAnswer)
                self._feed(StatementAnswered(number, parsed))
        except ExchangeError:
            self._connections.pop(number, None)
            self._feed(ConnectionLost(number))


def _encode_statement(order: SendStatement) -> dict[str, Any]:
    return {
        "request_id": order.request_id,
        "business": order.business,
        "action": order.action.value,
        "statement": order.statement,
        "term": order.term,
        "deadline_ms": order.deadline_ms,
    }


class ReportLanes:
    """Control connections: one per server and lane, kept open between requests."""

    def __init__(self, transport: Transport, nursery: trio.Nursery, feed: Feed) -> None:
        self._transport = transport
        self._nursery = nursery
        self._feed = feed
        self._clients: dict[tuple[str, Lane], HttpClient] = {}

    def send(self, order: SendReport) -> None:
        """Request a report; it, or its loss, is fed back as an input."""
        self._nursery.start_soon(self._request_report, order, trio.current_time())

    def _client(self, order: SendReport) -> HttpClient:
        key = (order.endpoint, order.lane)
        client = self._clients.get(key)
        if client is None or client.address != order.address:
            client = HttpClient(self._transport, order.address)
            self._clients[key] = client
        return client

    async def _request_report(self, order: SendReport, sent_at: float) -> None:
        body = {"wait_position": order.wait_position, "wait_ms": order.wait_ms}
        timeout_s = REPORT_TIMEOUT_S + order.wait_ms / 1000
        try:
            answer = await self._client(order).request("POST", "/report", body, timeout_s=timeout_s)
            report = from_peer(answer.json(), Report)
        except ExchangeError:
            await trio.sleep(LOST_REPORT_DELAY_S)
            self._feed(ReportLost(order.endpoint, order.lane, sent_at))
        else:
            self._feed(ReportArrived(order.endpoint, order.lane, sent_at, report))
