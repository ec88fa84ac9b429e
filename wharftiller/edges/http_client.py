"""HTTP/1.1 client for JSON requests over persistent connections."""

from __future__ import annotations

import zlib
from typing import Any

import attrs
import httptools
import orjson
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.edges.http_server import READ_BYTES
from wharftiller.edges.transport import Transport, close_now

MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
"""Limit of a decompressed response; a configuration has at most one million bytes."""

RETRIED_METHODS = ("GET", "PUT")
"""Idempotent methods, retried when a persistent connection turns out to be closed."""


class _ResponseCollector:
    """Builds one response from the parser's callbacks."""

    def __init__(self) -> None:
        self.is_complete = False
        self.close = False
        self.body: list[bytes] = []
        self.headers: dict[str, str] = {}
        self.has_extra = False

    def on_message_begin(self) -> None:
        self.has_extra = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


@attrs.define
class HttpAnswer:
    """A response with its body not yet decoded."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body's JSON.

        Raises
        ------
        ExchangeError
            If it is not JSON.
        """
        try:
            return orjson.loads(self.content())
        except orjson.JSONDecodeError as error:
            raise ExchangeError(f"the answer is not JSON: {error}. Check the peer") from None

    def content(self) -> bytes:
        """Return the decompressed body.

        Raises
        ------
        ExchangeError
            If it cannot be decompressed.
        """
        if self.headers.get("content-encoding") != "deflate":
            return self.body
        try:
            return zlib.decompressobj().decompress(self.body, MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise ExchangeError(f"the answer is not compressed: {error}. Check the peer") from None


class HttpConnection:
    """A client connection that carries one request at a time."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    @property
    def is_usable(self) -> bool:
        """Whether no unexpected bytes arrived; the peer may still have closed it."""
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        return True

    async def request(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> HttpAnswer:
        """Send a request and return the response.

        Raises
        ------
        ExchangeError
            If the connection breaks or the response is not HTTP; the connection
            cannot be used again.
        """
        try:
            await self._stream.send_all(_encode_request(method, path, body, headers or {}))
            return await self._read_answer()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(f"the connection broke during {method} {path}") from error

    async def _read_answer(self) -> HttpAnswer:
        collector = _ResponseCollector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.is_complete:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise ExchangeError("the peer closed the connection before answering")
            try:
                parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise ExchangeError(f"the answer is not HTTP/1.1: {error}") from None
        if collector.has_extra:
            raise ExchangeError("the peer sent more than one answer to a request")
        return HttpAnswer(parser.get_status_code(), collector.headers, b"".join(collector.body))

    async def aclose(self) -> None:
        """Close at once."""
        await close_now(self._stream)


def _encode_request(method: str, path: str, body: Any, headers: dict[str, str]) -> bytes:
    payload = b"" if body is None else body if isinstance(body, bytes) else orjson.dumps(body)
    head = f"{method} {path} HTTP/1.1\r\nhost: wharftiller\r\ncontent-length: {len(payload)}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return head.encode() + b"\r\n" + payload


class HttpClient:
    """Sends requests to one address over a persistent connection, reopened when lost."""

    def __init__(self, transport: Transport, address: str) -> None:
        self._transport = transport
        self._address = address
        self._connection: HttpConnection | None = None
        self._lock = trio.Lock()

    @property
    def address(self) -> str:
        """Address that requests are sent to."""
        return self._address

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float,
    ) -> HttpAnswer:
        """Send a request within ``timeout_s`` seconds.

        Raises
        ------
        ExchangeError
            If no response came; the request may or may not have taken effect.
        """
        with trio.move_on_after(timeout_s):
            async with self._lock:
                was_open = self._connection is not None
                try:
                    return await self._exchange(method, path, body, headers)
                except ExchangeError:
                    if not was_open or method not in RETRIED_METHODS:
                        raise
                return await self._exchange(method, path, body, headers)
        raise NoAnswerInTimeError(f"{self._address} did not answer within {timeout_s} s")

    async def _exchange(
        self, method: str, path: str, body: Any, headers: dict[str, str] | None
    ) -> HttpAnswer:
        is_reusable = False
        try:
            if self._connection is None:
                self._connection = HttpConnection(await self._transport.connect(self._address))
            answer = await self._connection.request(method, path, body, headers)
            is_reusable = answer.headers.get("connection") != "close"
            return answer
        finally:
            if not is_reusable:
                await self.aclose()

    async def aclose(self) -> None:
        """Close the persistent connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.aclose()


class NoAnswerInTimeError(ExchangeError):
    """No response within the timeout; the peer may be slow."""


class NotSentError(ExchangeError):
    """No connection could be opened, so nothing was sent."""


class HttpPool:
    """Sends concurrent requests to one address over a pool of persistent connections."""

    def __init__(self, transport: Transport, address: str, connect_timeout_s: float) -> None:
        self._transport = transport
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[HttpConnection] = []

    async def post(self, path: str, body: Any) -> HttpAnswer:
        """Send a request without retries and return the response.

        Raises
        ------
        NotSentError
            If no connection could be opened.
        ExchangeError
            If no response came; the request may or may not have taken effect.
        """
        connection = await self._connection()
        is_reusable = False
        try:
            answer = await connection.request("POST", path, body)
            is_reusable = answer.headers.get("connection") != "close"
            return answer
        finally:
            if is_reusable:
                self._idle.append(connection)
            else:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

    async def _connection(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            await connection.aclose()
        try:
            with trio.fail_after(self._connect_timeout_s):
                return HttpConnection(await self._transport.connect(self._address))
        except trio.TooSlowError:
            raise NotSentError(f"{self._address} took no connection in time") from None
        except ExchangeError as error:
            raise NotSentError(str(error)) from error

    async def aclose(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()
