"""Connections to endpoints over the platform's line protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.statements import EndpointQuery, RefusalKind, StatusQuery
from wharftiller.daemons.sessions.connections.relay import open_via_relay
from wharftiller.edges.transport import reset_on_close
from wharftiller.platform.wire import (
    LineReader,
    decode,
    encode_query,
    parse_refusal,
    parse_status,
    read_reply,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wharftiller.core.sessions.routes import EndpointEntry
    from wharftiller.core.sessions.statements import EndpointStatus, Reply
    from wharftiller.edges.transport import Transport


class LineConnection:
    """A connection to an endpoint."""

    def __init__(self, stream: trio.abc.Stream, reader: LineReader) -> None:
        self._stream = stream
        self._reader = reader

    @property
    def is_usable(self) -> bool:
        """Whether no unexpected bytes arrived; the endpoint may still have closed it."""
        if self._reader.buffered:
            return False
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        return True

    async def ask(self, queries: Sequence[EndpointQuery]) -> list[Reply]:
        """Send statements in one write and return their replies in order."""
        try:
            await self._stream.send_all(b"".join(encode_query(query) for query in queries))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(f"the connection to the endpoint broke: {error}") from None
        return [await read_reply(self._reader) for _ in queries]

    async def status(self) -> EndpointStatus | None:
        """Request the endpoint's status; None if it is too busy to report it."""
        (reply,) = await self.ask([EndpointQuery(StatusQuery())])
        return parse_status(reply)

    def close(self) -> None:
        """Close at once; data held up by a network partition is discarded."""
        if isinstance(self._stream, trio.SocketStream):
            reset_on_close(self._stream)
            self._stream.socket.close()
        else:
            self._stream.close_now()  # type: ignore[attr-defined]


class LineDialer:
    """Opens connections to endpoints.

    Parameters
    ----------
    caller : str
        Name in the greeting of connections that belong to no workspace.
    """

    def __init__(self, transport: Transport, box: str) -> None:
        self._transport = transport
        self._box = box

    async def open(
        self, entry: EndpointEntry, via: str | None = None, workspace: str = ""
    ) -> LineConnection:
        """Open a connection and have the endpoint confirm its identity."""
        if via is None:
            stream = await self._transport.connect(entry.address)
        else:
            stream = await open_via_relay(self._transport, via, entry.address)
        greeting = f"CONNECT {entry.group} {workspace or self._box} {entry.name}\r\n"
        return await self._greet(stream, greeting, entry.name)

    async def open_any(self, group: str, address: str) -> LineConnection:
        """Open a connection to whichever endpoint of ``group`` is at ``address``."""
        stream = await self._transport.connect(address)
        greeting = f"CONNECT {group} {self._box}\r\n"
        return await self._greet(stream, greeting, f"the endpoint at {address}")

    async def _greet(self, stream: trio.abc.Stream, greeting: str, endpoint: str) -> LineConnection:
        """Send the greeting; close the stream unless the endpoint accepts it."""
        connection: LineConnection | None = None
        try:
            connection = await self._handshake(stream, greeting, endpoint)
            return connection
        finally:
            if connection is None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    @staticmethod
    async def _handshake(stream: trio.abc.Stream, greeting: str, endpoint: str) -> LineConnection:
        reader = LineReader(stream)
        try:
            await stream.send_all(greeting.encode())
        except trio.BrokenResourceError as error:
            raise ExchangeError(f"{endpoint} broke the new connection: {error}") from None
        line = await reader.line()
        if line is None:
            raise ExchangeError(f"{endpoint} closed the new connection")
        if line.startswith(b"READY "):
            return LineConnection(stream, reader)
        refusal = parse_refusal(decode(line.removeprefix(b"ERROR ")))
        match refusal.kind:
            case RefusalKind.TOO_MANY_CONNECTIONS:
                raise EndpointRefusedError(f"{endpoint} has too many connections", at_limit=True)
            case RefusalKind.WRONG_ENDPOINT:
                raise EndpointRefusedError(
                    f"another endpoint than {endpoint} answers", at_limit=False
                )
            case _:
                raise ExchangeError(f"{endpoint} refused: {refusal.detail}")
