"""Server of callers' connections, over the platform's line protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import BadRequestError, BodyTooLargeError
from wharftiller.core.sessions.statements import Malformed, Refusal, RefusalKind, Statement
from wharftiller.core.sessions.workspaces import (
    UnknownKey,
    digest_of_key,
    fingerprint,
    identify,
)
from wharftiller.platform.wire import (
    ABSENT,
    LineReader,
    decode,
    encode_refusal,
    encode_reply,
    parse_statement,
)

if TYPE_CHECKING:
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.statements import Reply
    from wharftiller.daemons.sessions.proxy import SessionProxy
    from wharftiller.daemons.sessions.serving.connection_admission import CallerConnection

GREETING_TIMEOUT_S = 5.0
"""Time limit for a caller's greeting, in seconds."""

REFUSED_GREETING_TIMEOUT_S = 0.3
"""Time limit for the greeting of a caller that is refused for lack of capacity, in seconds."""

MAX_BEING_REFUSED = 32
"""Number of refused callers whose greeting is awaited at once. Beyond it connections are closed
without a refusal, so that a load peak takes few file descriptors."""

CONFIGURATION_TIMEOUT_S = 1.5
"""Time a new session waits for the first configuration, in seconds; callers time out after 2 s."""


class LineChannel:
    """Statements and replies of one caller's connection."""

    def __init__(self, stream: trio.abc.Stream, reader: LineReader) -> None:
        self._stream = stream
        self._reader = reader

    async def receive(self) -> Statement | None:
        """Return the next statement; None when the caller has closed the session."""
        line = await self._reader.line()
        if line is None or line == b"RELEASE":
            return None
        try:
            return parse_statement(line)
        except BadRequestError as error:
            return Statement(ABSENT, decode(line), Malformed(str(error)))

    async def send(self, reply: Reply) -> None:
        """Send the reply to the last statement."""
        await self._stream.send_all(encode_reply(reply))


class CallerServer:
    """Serves callers' connections within the box's connection limit."""

    def __init__(self, proxy: SessionProxy) -> None:
        self._proxy = proxy
        self._being_refused = 0

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side ends it."""
        reader = LineReader(stream)
        caller = self._proxy.admission.admit()
        if caller is None:
            await self._refuse_full(stream, reader)
            return
        try:
            await self._serve(stream, reader, caller)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except BodyTooLargeError as error:
            await self._refuse(stream, RefusalKind.TOO_LARGE, str(error))
        except Exception as error:
            # An error in one session must not end the others.
            self._proxy.state.log.change("session_failed", why=repr(error))
        finally:
            self._proxy.admission.release(caller)

    async def _refuse_full(self, stream: trio.abc.Stream, reader: LineReader) -> None:
        """Refuse a caller after its greeting.

        Closing a connection with unread data resets it, and the refusal would be lost.
        """
        if self._being_refused >= MAX_BEING_REFUSED:
            return
        self._being_refused += 1
        try:
            with trio.move_on_after(REFUSED_GREETING_TIMEOUT_S):
                await reader.line()
            detail = self._proxy.admission.refusal()
            await self._refuse(stream, RefusalKind.TOO_MANY_CONNECTIONS, detail)
        except (trio.BrokenResourceError, trio.ClosedResourceError, BodyTooLargeError):
            return
        finally:
            self._being_refused -= 1

    async def _serve(
        self, stream: trio.abc.Stream, reader: LineReader, caller: CallerConnection
    ) -> None:
        line: bytes | None = None
        with trio.move_on_after(GREETING_TIMEOUT_S) as caller.waiting:
            line = await reader.line()
        if line is None:
            return
        words = line.split()
        if len(words) < 3 or words[0] != b"CONNECT":
            await self._refuse(stream, RefusalKind.MALFORMED, "send CONNECT, a database and a name")
            return
        database, digest = decode(words[1]), digest_of_key(decode(words[2]))
        route = await self._wait_for_route(database)
        if route is None:
            detail = f"no route leads to {database}; check the name"
            await self._refuse(stream, RefusalKind.UNKNOWN_DATABASE, detail)
            return
        state = self._proxy.state
        if isinstance(identify(state.configuration.workspaces, route, digest), UnknownKey):
            state.log.event("key_unknown", key=fingerprint(digest), version=state.version)
            detail = "no workspace holds this key; check it"
            await self._refuse(stream, RefusalKind.UNKNOWN_KEY, detail)
            return
        await stream.send_all(b"READY I -\r\n")
        channel = LineChannel(stream, reader)
        await self._proxy.sessions.serve(channel, database, digest, caller)

    async def _wait_for_route(self, database: str) -> Route | None:
        state = self._proxy.state
        with trio.move_on_after(CONFIGURATION_TIMEOUT_S):
            while state.version == 0:
                await state.wait_for_change()
        return state.configuration.routes.get(database)

    @staticmethod
    async def _refuse(stream: trio.abc.Stream, kind: RefusalKind, detail: str) -> None:
        try:
            await stream.send_all(encode_refusal(Refusal(kind, detail)))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
