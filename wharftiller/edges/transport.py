"""Byte streams to and from other processes; tests put a network in memory in its place."""

from __future__ import annotations

import ipaddress
import struct
import weakref
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from wharftiller.core.errors import ExchangeError

Handler = Callable[[trio.abc.Stream], Awaitable[None]]

BACKLOG = 1024
KEEPALIVE_IDLE_S = 120

CLOSED = -1
"""Descriptor of a closed socket."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Lingering for no time: closing resets the connection."""


class Transport(Protocol):
    """Opens and accepts streams by ``ip:port``."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream.

        Raises
        ------
        ExchangeError
            If nobody listens there.
        """
        ...

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept streams for ever; reports the address that was bound."""
        ...


def split_address(address: str) -> tuple[str, int]:
    """Return the parts of ``ip:port``.

    Raises
    ------
    ValueError
        If it is not an IP number and a port; the message names the remedy.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(
            f"{address!r} is no address; write an IP number and a port, like '10.0.0.7:7000'"
        ) from None
    if not 0 <= number < 65536:
        raise ValueError(f"{address!r} has port {number}; use one from 0 to 65535")
    return host.strip("[]"), number


class TcpTransport:
    """Streams over TCP."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a TCP stream to ``ip:port``."""
        host, port = split_address(address)
        family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
        try:
            sock = trio.socket.socket(family)
        except OSError as error:
            # Descriptors have run out; the caller goes on as if nobody answered.
            raise ExchangeError(f"no socket for {address}: {error.strerror}") from error
        try:
            await sock.connect((host, port))
        except OSError as error:
            sock.close()
            raise ExchangeError(f"{address} cannot be reached: {error.strerror}") from error
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept TCP streams on ``ip:port``; port 0 picks a free one."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        bound = listeners[0].socket.getsockname()
        task_status.started(f"{bound[0]}:{bound[1]}")

        async def guarded(stream: trio.SocketStream) -> None:
            _find_dead_peers(stream)
            async with stream:
                await handler(stream)

        await trio.serve_listeners(guarded, listeners)


class CountedTransport:
    """Streams of another transport, counted while they are open.

    A stream that was opened here counts until nobody keeps it any more.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._connected: weakref.WeakSet[trio.abc.Stream] = weakref.WeakSet()
        self._accepted = 0

    @property
    def open_streams(self) -> int:
        """Streams open now, whichever side opened them."""
        return len(self._connected) + self._accepted

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream; raises as the other transport does."""
        stream = await self._transport.connect(address)
        self._connected.add(stream)
        return stream

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept streams for ever; reports the address that was bound."""

        async def counted(stream: trio.abc.Stream) -> None:
            self._accepted += 1
            try:
                await handler(stream)
            finally:
                self._accepted -= 1

        await self._transport.serve(address, counted, task_status)


def _find_dead_peers(stream: trio.SocketStream) -> None:
    """Have the kernel close a connection whose other side has vanished."""
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1)
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)


async def close_now(stream: trio.abc.AsyncResource) -> None:
    """Close ``stream`` without waiting for the other side.

    A TCP stream is reset: what a cut holds up on the way must not arrive once it
    heals, when nobody waits for an answer any more.
    """
    reset_on_close(stream)
    await trio.aclose_forcefully(stream)


def reset_on_close(stream: trio.abc.AsyncResource) -> None:
    """Have a TCP stream that is still open be reset when it is closed."""
    if isinstance(stream, trio.SocketStream) and stream.socket.fileno() != CLOSED:
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)
