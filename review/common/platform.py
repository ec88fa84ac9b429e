"""Stand-in of the platform: its store and promotion call, on top of the project's own store."""

from __future__ import annotations

from collections.abc import Callable

import orjson
import trio

from review.common.servers import Group, Server
from standins.object_store import ObjectStoreStandIn
from wharftiller.edges.http_server import HttpRequest, HttpResponse
from wharftiller.edges.transport import TcpTransport

ANSWER_S = 0.004
"""Time that an answer of the store takes, in seconds."""

LATE_MIN_S = 1.0
LATE_MAX_S = 6.0
"""Time after which a call is done that is done late and not answered, in seconds."""

UNREADABLE = "@unreadable@"
"""Stands for half of a surrogate pair in a text that another writer has stored."""

HALF_A_PAIR = rb"\ud83d"
"""Escape of such a half: allowed by JSON's grammar, but no character."""


def _with_unreadable_bytes(response: HttpResponse) -> HttpResponse:
    body = orjson.dumps(response.body)
    if UNREADABLE.encode() in body:
        response.body = body.replace(UNREADABLE.encode(), HALF_A_PAIR)
    return response


class Store(ObjectStoreStandIn):
    """The platform's store and promotion call.

    Attributes
    ----------
    is_late : callable
        Returns whether a writing call is done late and not answered.
    do_late : trio.Event
        Late calls are done once this is set, between `LATE_MIN_S` and `LATE_MAX_S` after they came.
    """

    def __init__(self, groups: list[Group], note: Callable[..., None]) -> None:
        super().__init__([])
        self._line_groups = {group.name: group for group in groups}
        self._note = note
        self._nursery: trio.Nursery | None = None
        self.is_late: Callable[[HttpRequest], bool] = lambda request: False
        self.do_late = trio.Event()
        self.late_done: list[float] = []

    async def run(self, address: str, nursery: trio.Nursery) -> None:
        """Serve at ``address``."""
        self._nursery = nursery
        await nursery.start(self.serve, TcpTransport(), address)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await trio.sleep(ANSWER_S)
        if request.path == "/promotion":
            body = request.json()
            group = self._line_groups[body["Service"]]
            headers = request.headers
            status = await group.promote(
                body["Id"], headers["duty-holder"], int(headers["fence-token"])
            )
            return HttpResponse(status, {})
        if request.method != "GET" and self.is_late(request):
            assert self._nursery is not None
            self._note("answer_lost", call=f"{request.method} {request.path}")
            self._nursery.start_soon(self._do_late, request)
            await trio.sleep_forever()
        return _with_unreadable_bytes(await self._handle_objects(request))

    async def _do_late(self, request: HttpRequest) -> None:
        await trio.sleep(LATE_MIN_S)
        with trio.move_on_after(LATE_MAX_S - LATE_MIN_S):
            await self.do_late.wait()
        await self._handle_objects(request)
        self.late_done.append(trio.current_time())
        self._note("done_late", call=f"{request.method} {request.path}")

    def register(self, server: Server, **changes: object) -> None:
        """Write a server's entry as it says it itself."""
        spec = {
            "Service": server.group.name,
            "Address": server.address,
            "Zone": server.zone,
            "Version": "1",
            "Slots": 3,
            "State": "draining" if server.draining else "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "DbRole": "primary" if server.leads else "replica",
            "born": server.born_ms,
        }
        self.set("servers", server.name, {**spec, **changes})


KINDS = {"booking": "primary", "lookup": "bounded_staleness", "roster": "read_own_writes"}
"""Kinds of the routes of each service; a database is named ``KIND-SERVICE``."""


def configuration(version: int, groups: list[Group]) -> dict[str, object]:
    """Return the operator's configuration, with one database for each kind and service."""
    routes = [
        {
            "Name": f"{name}-{group.name}",
            "Host": f"{name}-{group.name}",
            "PathPrefix": "/",
            "Service": group.name,
            "Kind": kind,
            "MaxStalenessMs": 1500,
            "TimeoutMs": 800,
            "LatencyGoalMs": 250,
            "Priority": 1,
        }
        for group in groups
        for name, kind in KINDS.items()
    ]
    services = [
        {
            "Name": group.name,
            "MaxConns": group.max_connections,
            "SyncReplicas": group.sync_replicas,
        }
        for group in groups
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {"TxIdleMs": 3000},
    }
