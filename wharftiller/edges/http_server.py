"""HTTP/1.1 server for JSON on trio streams, parsed by httptools.

Used by every HTTP interface (see docs/design/http.md). It also runs in virtual time over an
in-memory network.
"""

from __future__ import annotations

import http
import zlib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import attrs
import httptools
import orjson
import trio

from wharftiller.core.errors import (
    BadRequestError,
    BodyTooLargeError,
    WharfError,
)

MAX_BODY_BYTES = 1_048_576
MAX_HEADER_BYTES = 16_384
MAX_HEADERS = 64
READ_BYTES = 16_384
MAX_PIPELINED = 32
HEADER_TIMEOUT_S = 20.0
"""Limit of the pause between two reads of one request, in seconds."""


@attrs.define(slots=True)
class HttpRequest:
    """One request.

    Attributes
    ----------
    headers : dict of str to str
        Names in lower case.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body's JSON.

        Raises
        ------
        BadRequestError
            If the body is not complete JSON.
        """
        try:
            return orjson.loads(self.body) if self.body else {}
        except orjson.JSONDecodeError as error:
            raise BadRequestError(
                f"the body is not JSON: {error}. Send one whole JSON object"
            ) from None


MIN_COMPRESSED_BYTES = 4_096
"""Size from which bodies are compressed, in bytes: this saves two or more packets."""

COMPRESSION_LEVEL = 1
"""Lowest effort of zlib; a configuration of 2,000 routes shrinks to a tenth with it already."""


@attrs.define(slots=True)
class HttpResponse:
    """One response; ``body`` is encoded as JSON unless it is bytes.

    Attributes
    ----------
    compressed : bool
        Whether a large body is compressed; only for clients of this system.
    """

    status: int = 200
    body: Any = None
    headers: dict[str, str] = attrs.field(factory=dict)
    close: bool = False
    compressed: bool = False

    def encode(self) -> bytes:
        """Return the bytes to send."""
        body = self.body if isinstance(self.body, bytes) else orjson.dumps(self.body)
        phrase = http.HTTPStatus(self.status).phrase
        if self.compressed and len(body) >= MIN_COMPRESSED_BYTES:
            body = zlib.compress(body, COMPRESSION_LEVEL)
            self.headers["content-encoding"] = "deflate"
        head = f"HTTP/1.1 {self.status} {phrase}\r\ncontent-length: {len(body)}\r\n"
        head += "content-type: application/json\r\n"
        for name, value in self.headers.items():
            head += f"{name}: {value}\r\n"
        if self.close:
            head += "connection: close\r\n"
        return head.encode() + b"\r\n" + body


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def error_response(error: WharfError, *, close: bool = False) -> HttpResponse:
    """Return the response that reports ``error`` to a client."""
    body = {"error": error.kind, "message": str(error)}
    return HttpResponse(error.status, body, close=close)


class _RequestCollector:
    """Builds requests from the parser's callbacks."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.in_request = False
        self.method: Callable[[], str] = str
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._header_count = 0
        self._head_size = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def on_message_begin(self) -> None:
        self.in_request = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._add_to_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_to_head(len(name) + len(value))
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise BodyTooLargeError(f"more than {MAX_HEADERS} headers. Send fewer")
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _add_to_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEADER_BYTES:
            raise BodyTooLargeError(
                f"the request's head passes {MAX_HEADER_BYTES} bytes. Shorten its path and headers"
            )

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > MAX_BODY_BYTES:
            raise BodyTooLargeError(
                f"the body passes {MAX_BODY_BYTES} bytes. Send less in one request"
            )
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.in_request = False
        url = httptools.parse_url(self._url)
        query = dict(parse_qsl(url.query.decode("latin-1"))) if url.query else {}
        path = url.path.decode("latin-1")
        body = b"".join(self._body)
        self.requests.append(HttpRequest(self.method(), path, query, self._headers, body))
        self._reset()


async def serve_stream(stream: trio.abc.Stream, handler: HttpHandler) -> None:
    """Answer the requests of one connection, in order, until it closes.

    The parser is released between requests, so that idle connections need little memory.
    """
    reader: _RequestReader | None = None
    try:
        while True:
            data = await _receive(stream, reader is not None)
            if not data:
                return
            reader = reader or _RequestReader()
            requests, error = reader.read(data)
            if not reader.in_request:
                reader = None
            if await _answer_all(stream, handler, requests):
                return
            if error is not None:
                await stream.send_all(error_response(error, close=True).encode())
                return
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


class _RequestReader:
    """Parses requests incrementally."""

    def __init__(self) -> None:
        self._collector = _RequestCollector()
        self._parser = httptools.HttpRequestParser(self._collector)
        self._collector.method = self._method

    @property
    def in_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._collector.in_request

    def _method(self) -> str:
        method: bytes = self._parser.get_method()
        return method.decode("latin-1")

    def read(self, data: bytes) -> tuple[list[HttpRequest], WharfError | None]:
        """Return the requests that ``data`` completes, and the error of the rest, if any."""
        error = _parse(self._parser, data)
        requests, self._collector.requests = self._collector.requests, []
        if len(requests) <= MAX_PIPELINED:
            return requests, error
        message = f"{len(requests)} requests came at once; pipeline at most {MAX_PIPELINED}"
        return [], BadRequestError(message)


async def _answer_all(
    stream: trio.abc.Stream, handler: HttpHandler, requests: list[HttpRequest]
) -> bool:
    """Answer ``requests``; return whether to close the connection."""
    for request in requests:
        response = await _respond(handler, request)
        await stream.send_all(response.encode())
        if response.close:
            return True
    return False


async def _receive(stream: trio.abc.Stream, in_request: bool) -> bytes:
    if not in_request:
        return bytes(await stream.receive_some(READ_BYTES))
    with trio.move_on_after(HEADER_TIMEOUT_S):
        return bytes(await stream.receive_some(READ_BYTES))
    return b""


def _parse(parser: Any, data: bytes) -> WharfError | None:
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        return BadRequestError("this server changes no protocols; send HTTP/1.1")
    except httptools.HttpParserError as error:
        if isinstance(error.__context__, WharfError):
            return error.__context__
        return BadRequestError(f"the request is not HTTP/1.1: {error}. Check the client")
    return None


async def _respond(handler: HttpHandler, request: HttpRequest) -> HttpResponse:
    try:
        response = await handler(request)
    except WharfError as error:
        response = error_response(error)
    if request.headers.get("connection", "").lower() == "close":
        response.close = True
    return response
