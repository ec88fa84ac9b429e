"""A loopback proxy: connections that are delayed, reset, or silenced one way or both."""

from __future__ import annotations

import attrs
import trio

CHUNK_BYTES = 16_384

HELD_LOOK_S = 0.05
"""Time between looks at whether a silenced direction passes again, in seconds."""


@attrs.define(eq=False)
class Link:
    """One address that stands for another.

    Attributes
    ----------
    delay_s : float
        Time by which each direction holds bytes up, in seconds.
    silent_there, silent_back : bool
        Whether nothing passes towards the target, or back from it.
    """

    name: str
    address: str
    target: str
    delay_s: float = 0.0
    silent_there: bool = False
    silent_back: bool = False
    _streams: set[trio.SocketStream] = attrs.field(factory=set)

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections for ever."""
        host, port = self.address.split(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._pass, listeners)

    async def _pass(self, near: trio.SocketStream) -> None:
        host, port = self.target.split(":")
        self._streams.add(near)
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            # Nobody listens at the target: the caller sees its connection close.
            self._streams.discard(near)
            return
        self._streams.add(far)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, True, nursery.cancel_scope)
                nursery.start_soon(self._copy, far, near, False, nursery.cancel_scope)
        finally:
            self._streams -= {near, far}
            for stream in (near, far):
                stream.socket.close()

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        there: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await trio.sleep(self.delay_s)
                while self.silent_there if there else self.silent_back:
                    await trio.sleep(HELD_LOOK_S)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side is gone; cancelling the scope closes the other.
            pass
        scope.cancel()

    def reset(self) -> None:
        """Close every connection that passes here."""
        for stream in list(self._streams):
            stream.socket.close()

    def heal(self) -> None:
        """Pass everything again at once."""
        self.delay_s = 0.0
        self.silent_there = self.silent_back = False
