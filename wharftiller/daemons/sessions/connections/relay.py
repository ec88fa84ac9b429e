"""Relay of connections to an endpoint through another box.

A box that cannot reach a primary sends another box one request line with the endpoint's
address; from then on bytes pass unchanged in both directions. Statements run under the lease
of the box that sends them, not of the relay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.edges.transport import close_now

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.edges.transport import Transport

VERB = "RELAY"
MAX_REQUEST_BYTES = 80
"""Maximum length of a relay request: verb, address and line end."""

CONNECT_TIMEOUT_S = 1.0
"""Time-out for the request line and the connection to the endpoint, in seconds."""

CHUNK_BYTES = 16_384


async def open_via_relay(transport: Transport, via: str, address: str) -> trio.abc.Stream:
    """Open a stream to ``address`` through the box at ``via``.

    Raises
    ------
    ExchangeError
        If the box cannot be reached. If it cannot reach ``address``, the stream ends instead.
    """
    stream = await transport.connect(via)
    try:
        await stream.send_all(f"{VERB} {address}\r\n".encode())
    except trio.BrokenResourceError:
        await close_now(stream)
        raise ExchangeError(f"the relay at {via} closed the connection") from None
    return stream


class RelayServer:
    """Connects other boxes to endpoints.

    Parameters
    ----------
    is_endpoint : callable
        Returns whether an address is a registered endpoint's; others are refused.
    """

    def __init__(self, transport: Transport, is_endpoint: Callable[[str], bool]) -> None:
        self._transport = transport
        self._is_endpoint = is_endpoint

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side closes it."""
        endpoint_stream: trio.abc.Stream | None = None
        received = b""
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                address, received = await self._receive_request(stream)
                if not self._is_endpoint(address):
                    return
                endpoint_stream = await self._transport.connect(address)
            if endpoint_stream is not None:
                await _pipe(stream, endpoint_stream, received)
        except (ExchangeError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The other box sees the end of the stream as a failed connection.
            return
        finally:
            if endpoint_stream is not None:
                with trio.CancelScope(shield=True):
                    await close_now(endpoint_stream)

    @staticmethod
    async def _receive_request(stream: trio.abc.Stream) -> tuple[str, bytes]:
        """Return the requested address and the bytes received after the request."""
        data = b""
        while b"\r\n" not in data:
            more = await stream.receive_some(MAX_REQUEST_BYTES)
            data += more
            if not more or len(data) > CHUNK_BYTES:
                raise ExchangeError(
                    "received no whole relay request line; expected RELAY and an address"
                )
        line, received = data.split(b"\r\n", 1)
        verb, _, address = line.decode("latin-1").partition(" ")
        if verb != VERB or len(line) > MAX_REQUEST_BYTES:
            raise ExchangeError(f"{line[:20]!r} is no relay request; expected RELAY and an address")
        return address, received


async def _pipe(
    box_stream: trio.abc.Stream, endpoint_stream: trio.abc.Stream, received: bytes
) -> None:
    if received:
        await endpoint_stream.send_all(received)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_copy, box_stream, endpoint_stream, nursery.cancel_scope)
        await _copy(endpoint_stream, box_stream, nursery.cancel_scope)


async def _copy(source: trio.abc.Stream, sink: trio.abc.Stream, scope: trio.CancelScope) -> None:
    try:
        while data := await source.receive_some(CHUNK_BYTES):
            await sink.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # One side is closed; cancelling the scope ends the other direction.
        pass
    scope.cancel()
