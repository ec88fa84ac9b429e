"""A loopback proxy that delays, resets or blocks connections, in one or both directions."""

from __future__ import annotations

import attrs
import trio

CHUNK_BYTES = 16_384

BLOCKED_POLL_S = 0.05
"""Time between checks whether a blocked direction is open again, in seconds."""


@attrs.define(eq=False)
class Link:
    """A proxy from one address to another.

    Attributes
    ----------
    delay_s : float
        Delay of the bytes in each direction, in seconds.
    blocks_to_target, blocks_from_target : bool
        Whether bytes to the target, or from it, are held back.
    """

    name: str
    address: str
    target: str
    delay_s: float = 0.0
    blocks_to_target: bool = False
    blocks_from_target: bool = False
    _streams: set[trio.SocketStream] = attrs.field(factory=set)

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        host, port = self.address.split(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client: trio.SocketStream) -> None:
        host, port = self.target.split(":")
        self._streams.add(client)
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The target refused the connection: close that of the client.
            self._streams.discard(client)
            return
        self._streams.add(server)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, True, nursery.cancel_scope)
                nursery.start_soon(self._copy, server, client, False, nursery.cancel_scope)
        finally:
            self._streams -= {client, server}
            for stream in (client, server):
                stream.socket.close()

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_to_target: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await trio.sleep(self.delay_s)
                while self.blocks_to_target if is_to_target else self.blocks_from_target:
                    await trio.sleep(BLOCKED_POLL_S)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has closed; cancelling the scope closes the other.
            pass
        scope.cancel()

    def reset(self) -> None:
        """Close every connection."""
        for stream in list(self._streams):
            stream.socket.close()

    def heal(self) -> None:
        """Forward everything again without delay."""
        self.delay_s = 0.0
        self.blocks_to_target = self.blocks_from_target = False
