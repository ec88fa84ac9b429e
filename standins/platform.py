"""A stand-in for the platform: objects, watches and a lagging list of boxes.

The assumptions about the real one are listed in docs/operators/platform.md.
"""

from __future__ import annotations

import math
from typing import Any
from urllib.parse import unquote

import attrs
import trio

from wharftiller.edges.codec import from_peer, to_json
from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.platform import BoxEntry, StoredObject
from wharftiller.edges.transport import Transport

MAX_VALUE_BYTES = 1_048_576


@attrs.define
class Faults:
    """Faults that are injected into the platform.

    Attributes
    ----------
    outage : bool
        Whether every call is refused.
    slow_ms : int
        Delay added to every call.
    lose_answers : int
        How many of the next updates take effect without a reply.
    reads_per_s, writes_per_s : float
        Rate limits.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    reads_per_s: float = 2_000.0
    writes_per_s: float = 400.0


@attrs.define
class _TokenBucket:
    """A token bucket that holds the calls of one second."""

    tokens: float = 0.0
    filled_at: float = -math.inf

    def try_take(self, rate: float, now: float) -> bool:
        """Take one token if available, and return whether it was."""
        self.tokens = min(rate, self.tokens + (now - self.filled_at) * rate)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@attrs.define
class Platform:
    """State of the platform."""

    latency_s: float = 0.002
    list_lag_s: float = 1.0
    faults: Faults = attrs.field(factory=Faults)
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    calls: dict[str, int] = attrs.field(factory=dict)
    _boxes: list[tuple[float, list[BoxEntry]]] = attrs.field(factory=list)
    _objects_changed: trio.Event = attrs.field(factory=trio.Event)
    _read_bucket: _TokenBucket = attrs.field(factory=_TokenBucket)
    _write_bucket: _TokenBucket = attrs.field(factory=_TokenBucket)

    def set_boxes(self, boxes: list[BoxEntry]) -> None:
        """Set the list of boxes; it becomes visible ``list_lag_s`` later."""
        visible_at = trio.current_time() + self.list_lag_s if self._boxes else -math.inf
        self._boxes.append((visible_at, boxes))

    def visible_boxes(self) -> list[BoxEntry]:
        """Return the list of boxes that is visible now."""
        now = trio.current_time()
        visible: list[BoxEntry] = []
        for visible_at, boxes in self._boxes:
            if visible_at <= now:
                visible = boxes
        return visible

    def put(self, key: str, value: Any, if_version: int, attempt: str) -> tuple[bool, StoredObject]:
        """Update an object if its version is ``if_version``."""
        current = self.objects.get(key, StoredObject(key, None, 0))
        if current.version != if_version:
            return False, current
        stored = StoredObject(key, value, current.version + 1, attempt)
        self.objects[key] = stored
        self._objects_changed.set()
        self._objects_changed = trio.Event()
        return True, stored

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one call."""
        if request.path == "/control":
            return self._handle_control(request.json())
        kind = "watch" if request.path.startswith("/watch/") else request.method.lower()
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await trio.sleep(self.latency_s + self.faults.slow_ms / 1000)
        if self.faults.outage:
            return HttpResponse(503, {"error": "outage"}, close=True)
        bucket, rate = (
            (self._write_bucket, self.faults.writes_per_s)
            if request.method in ("PUT", "DELETE")
            else (self._read_bucket, self.faults.reads_per_s)
        )
        if not bucket.try_take(rate, trio.current_time()):
            return HttpResponse(429, {"error": "over the rate"})
        return await self._route(request)

    async def _route(self, request: HttpRequest) -> HttpResponse:
        _, kind, *rest = request.path.split("/", 2)
        key = unquote(rest[0]) if rest else ""
        match (request.method, kind):
            case ("GET", "boxes"):
                return HttpResponse(200, [to_json(box) for box in self.visible_boxes()])
            case ("GET", "watch"):
                return await self._watch(key, request.query)
            case ("GET", "objects") if key:
                stored = self.objects.get(key)
                return HttpResponse(200, to_json(stored)) if stored else HttpResponse(404, {})
            case ("GET", "objects"):
                prefix = request.query.get("prefix", "")
                found = [
                    to_json(self.objects[k]) for k in sorted(self.objects) if k.startswith(prefix)
                ]
                return HttpResponse(200, found)
            case ("DELETE", "objects"):
                self.objects.pop(key, None)
                return HttpResponse(200, {})
            case ("PUT", "objects"):
                return self._put(key, request)
            case _:
                return HttpResponse(404, {"error": "no such call"})

    def _put(self, key: str, request: HttpRequest) -> HttpResponse:
        if len(request.body) > MAX_VALUE_BYTES:
            return HttpResponse(413, {"error": "values hold at most a megabyte"})
        body = request.json()
        is_updated, stored = self.put(key, body["value"], body["if_version"], body["attempt"])
        if is_updated and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return HttpResponse(504, {"error": "answer lost"}, close=True)
        return HttpResponse(200 if is_updated else 409, to_json(stored))

    async def _watch(self, key: str, query: dict[str, str]) -> HttpResponse:
        after = int(query.get("after", "0"))
        with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
            while True:
                stored = self.objects.get(key)
                if self.faults.outage:
                    return HttpResponse(503, {"error": "outage"}, close=True)
                if stored is not None and stored.version > after:
                    return HttpResponse(200, to_json(stored))
                await self._objects_changed.wait()
        return HttpResponse(204, b"")

    def _handle_control(self, body: Any) -> HttpResponse:
        if "boxes" in body:
            self.set_boxes(from_peer(body.pop("boxes"), list[BoxEntry]))
        for name, value in body.items():
            setattr(self.faults, name, value)
        if self.faults.outage:
            self._objects_changed.set()
            self._objects_changed = trio.Event()
        return HttpResponse(200, {"calls": self.calls})


async def serve_platform(
    platform: Platform, transport: Transport, address: str, task_status: trio.TaskStatus[str]
) -> None:
    """Serve ``platform`` until cancelled."""

    async def handle(stream: trio.abc.Stream) -> None:
        await serve_stream(stream, platform.handle)

    await transport.serve(address, handle, task_status)
