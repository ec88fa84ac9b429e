"""An in-memory network in virtual time: latency, partitions, frozen and killed hosts."""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs
import trio

from wharftiller.core.errors import AddressRefusedError
from wharftiller.edges.transport import Handler

Latency = Callable[[str, str], float]


class FakeStream(trio.abc.Stream):
    """One end of a connection; bytes wait while the link is cut or a host is frozen."""

    def __init__(self, network: FakeNetwork, local_ip: str, remote_ip: str) -> None:
        self._network = network
        self.local_ip = local_ip
        self.remote_ip = remote_ip
        self.peer: FakeStream | None = None
        self._queue: collections.deque[tuple[float, bytes]] = collections.deque()
        self._received = trio.Event()
        self._closed = False

    def _deliver(self, data: bytes) -> None:
        at = trio.current_time() + self._network.latency(self.remote_ip, self.local_ip)
        if self._queue:
            at = max(at, self._queue[-1][0])
        self._queue.append((at, data))
        self._notify()

    def _notify(self) -> None:
        self._received.set()
        self._received = trio.Event()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; they arrive after the link's latency."""
        await trio.lowlevel.checkpoint()
        await self._network.wait_until_thawed(self.local_ip)
        if self._closed:
            raise trio.ClosedResourceError
        if self.peer is None or self.peer._closed:
            raise trio.BrokenResourceError
        self.peer._deliver(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once: sending never blocks."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes once they have arrived and the link is not cut."""
        await trio.lowlevel.checkpoint()
        while True:
            await self._network.wait_until_thawed(self.local_ip)
            if self._closed:
                raise trio.ClosedResourceError
            if not self._queue:
                await self._received.wait()
            elif self._network.is_cut(self.remote_ip, self.local_ip):
                await self._network.changed.wait()
            elif self._queue[0][0] > trio.current_time():
                await trio.sleep_until(self._queue[0][0])
            else:
                return self._queue.popleft()[1]

    async def aclose(self) -> None:
        """Close this end."""
        self.close_now()
        await trio.lowlevel.checkpoint()

    def close_now(self) -> None:
        """Close this end; the other end notices after the link's latency."""
        if not self._closed:
            self._closed = True
            self._notify()
            self._network.streams.pop(self, None)
            if self.peer is not None and not self.peer._closed:
                self.peer._deliver(b"")


@attrs.define
class _Listener:
    handler: Handler
    nursery: trio.Nursery


class FakeNetwork:
    """Hosts by IP address; ``latency(a, b)`` is the one-way delay in seconds."""

    def __init__(self, latency: Latency) -> None:
        self.latency = latency
        # A dict keeps the order of opening; the order of a set differs between runs.
        self.streams: dict[FakeStream, None] = {}
        self.changed = trio.Event()
        self._listeners: dict[str, _Listener] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._frozen: set[str] = set()

    def host(self, ip: str) -> FakeTransport:
        """Return the transport of the host with this IP address."""
        return FakeTransport(self, ip)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link from ``source`` to ``target`` is cut."""
        return (source, target) in self._cuts

    def cut(self, hosts: list[str], other_hosts: list[str]) -> None:
        """Cut the links between two lists of hosts in both directions."""
        for a in hosts:
            for b in other_hosts:
                if a != b:
                    self._cuts |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Undo every cut; held bytes are delivered."""
        self._cuts.clear()
        self._change()

    def freeze(self, ip: str) -> None:
        """Stop a host from sending and receiving until `thaw`."""
        self._frozen.add(ip)

    def thaw(self, ip: str) -> None:
        """Resume a frozen host."""
        self._frozen.discard(ip)
        self._change()

    async def wait_until_thawed(self, ip: str) -> None:
        """Wait until a host is not frozen."""
        while ip in self._frozen:
            await self.changed.wait()

    def kill(self, ip: str) -> None:
        """Close every connection and listener of ``ip``."""
        for address in [each for each in self._listeners if each.startswith(f"{ip}:")]:
            del self._listeners[address]
        for stream in [each for each in self.streams if each.local_ip == ip]:
            stream.close_now()

    def break_streams(self, ip: str) -> None:
        """Break every connection to ``ip`` at its remote end; ``ip`` does not notice yet."""
        for stream in [each for each in self.streams if each.remote_ip == ip]:
            stream.peer = None
            stream._deliver(b"")

    def _change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def connect(self, source: str, address: str) -> FakeStream:
        """Open a connection from a host to ``ip:port``.

        Raises
        ------
        AddressRefusedError
            If no listener exists at the address.
        """
        target = address.rpartition(":")[0]
        await self.wait_until_thawed(source)
        while self.is_cut(source, target):
            await self.changed.wait()
        await trio.sleep(self.latency(source, target))
        listener = self._listeners.get(address)
        if listener is None:
            raise AddressRefusedError(f"{address} cannot be reached: connection refused")
        local, remote = FakeStream(self, source, target), FakeStream(self, target, source)
        local.peer, remote.peer = remote, local
        self.streams |= {local: None, remote: None}
        listener.nursery.start_soon(self._serve, listener, remote)
        await trio.sleep(self.latency(target, source))
        return local

    async def _serve(self, listener: _Listener, stream: FakeStream) -> None:
        try:
            await listener.handler(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.close_now()

    async def listen(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept connections on ``ip:port`` until cancelled."""
        async with trio.open_nursery() as nursery:
            self._listeners[address] = _Listener(handler, nursery)
            task_status.started(address)
            try:
                await trio.sleep_forever()
            finally:
                self._listeners.pop(address, None)


@attrs.define
class FakeTransport:
    """The transport of one host."""

    network: FakeNetwork
    ip: str

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream from this host."""
        return await self.network.connect(self.ip, address)

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str]
    ) -> None:
        """Accept streams on this host."""
        await self.network.listen(address, handler, task_status)
