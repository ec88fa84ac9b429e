"""Byte streams to and from other processes; tests replace them by an in-memory network."""

from __future__ import annotations

import ipaddress
import struct
import weakref
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from wharftiller.core.errors import AddressRefusedError, ExchangeError

Handler = Callable[[trio.abc.Stream], Awaitable[None]]

BACKLOG = 1024
KEEPALIVE_IDLE_S = 120

CLOSED_FILENO = -1
"""File descriptor of a closed socket."""

ZERO_LINGER = struct.pack("ii", 1, 0)
"""Linger time of 0 s: closing resets the connection."""


class Transport(Protocol):
    """Opens and accepts streams at addresses ``ip:port``."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream.

        Raises
        ------
        AddressRefusedError
            If the host refuses the connection, as no process listens there.
        ExchangeError
            If the address cannot be reached.
        """
        ...

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept streams until cancelled; report the bound address to ``task_status``."""
        ...


def split_address(address: str) -> tuple[str, int]:
    """Return the parts of ``ip:port``.

    Raises
    ------
    ValueError
        If it is not an IP address and a port; the message shows the expected form.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = _whole_number(port)
        if "%" in host:
            raise ValueError("the scope of an interface means nothing on another host")
    except ValueError:
        raise ValueError(
            f"{address!r} is no address; write an IP number and a port, like '10.0.0.7:7000'"
        ) from None
    if not 0 <= number < 65536:
        raise ValueError(f"{address!r} has port {number}; use one from 0 to 65535")
    return host.strip("[]"), number


def _whole_number(text: str) -> int:
    """Return the number that ASCII digits alone make."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text!r} is no whole number")
    return int(text)


class TcpTransport:
    """Streams over TCP."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a TCP stream to ``ip:port``."""
        host, port = split_address(address)
        family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
        try:
            sock = trio.socket.socket(family)
        except OSError as error:
            # Out of file descriptors: handled like an unreachable address.
            raise ExchangeError(f"no socket for {address}: {error.strerror}") from error
        try:
            await sock.connect((host, port))
        except ConnectionRefusedError as error:
            sock.close()
            raise AddressRefusedError(f"{address} refuses connections") from error
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
        """Accept TCP streams at ``ip:port``; port 0 picks a free one."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        bound = listeners[0].socket.getsockname()
        task_status.started(f"{bound[0]}:{bound[1]}")

        async def handle(stream: trio.SocketStream) -> None:
            _enable_keepalive(stream)
            async with stream:
                await handler(stream)

        await trio.serve_listeners(handle, listeners)


class CountedTransport:
    """Wraps a transport and counts its open streams.

    A stream opened by `connect` counts until it is garbage-collected.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._connected: weakref.WeakSet[trio.abc.Stream] = weakref.WeakSet()
        self._accepted = 0

    @property
    def open_streams(self) -> int:
        """Number of open streams, opened or accepted."""
        return len(self._connected) + self._accepted

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream; raises like the wrapped transport."""
        stream = await self._transport.connect(address)
        self._connected.add(stream)
        return stream

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept streams until cancelled; report the bound address to ``task_status``."""

        async def handle(stream: trio.abc.Stream) -> None:
            self._accepted += 1
            try:
                await handler(stream)
            finally:
                self._accepted -= 1

        await self._transport.serve(address, handle, task_status)


def _enable_keepalive(stream: trio.SocketStream) -> None:
    """Have the kernel close connections to peers that no longer respond."""
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1)
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)


async def close_now(stream: trio.abc.AsyncResource) -> None:
    """Close ``stream`` without waiting for the peer.

    A TCP stream is reset, so that data held up by a network partition is not delivered
    after it heals.
    """
    reset_on_close(stream)
    await trio.aclose_forcefully(stream)


def reset_on_close(stream: trio.abc.AsyncResource) -> None:
    """Make a later close of a TCP stream reset it."""
    if isinstance(stream, trio.SocketStream) and stream.socket.fileno() != CLOSED_FILENO:
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, ZERO_LINGER)
