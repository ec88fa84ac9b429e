"""The platform's object store over HTTP: conditional updates, watches, outages, lost replies."""

from __future__ import annotations

import copy
import enum
from typing import TYPE_CHECKING, Any

import attrs
import orjson
import trio

from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.line_endpoints import LineGroup
    from wharftiller.edges.transport import Transport


class StoreMode(enum.Enum):
    """How the store responds: normally, not at all, or with 503."""

    NORMAL = "well"
    UNAVAILABLE = "away"
    BUSY = "busy"


@attrs.define
class _Change:
    """One change of an object, as delivered to watches."""

    revision: int
    is_removed: bool
    kind: str
    value: dict[str, Any]


OWN_KIND = "wharftiller"
"""Kind of the objects that boxes write; operators and servers write the other kinds."""


@attrs.frozen
class StoreBackup:
    """All objects of a store at one revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class ObjectStoreStandIn:
    """Objects with a store-wide revision, and the promotion call.

    Attributes
    ----------
    lose_answers : int
        How many of the next changes take effect without a reply.
    done_late_s : callable
        Returns for a request after how many seconds it is done without a reply, None if at once.
    watches_suspended : bool
        Whether watches deliver nothing, as during compaction.
    list_delays : dict of str to float
        Delay of list calls per kind, in seconds.
    calls, listed : int
        Number of calls received and of objects returned in lists.
    era : int
        Epoch of the store: rises with each restore; sent in every response.
    """

    def __init__(self, groups: list[LineGroup]) -> None:
        self._groups = {group.name: group for group in groups}
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[_Change] = []
        self._compacted_revision = 0
        self._changed = trio.Event()
        self.revision = 0
        self.mode = StoreMode.NORMAL
        self.lose_answers = 0
        self.done_late_s: Callable[[HttpRequest], float | None] = lambda request: None
        self.watches_suspended = False
        self.list_delays: dict[str, float] = {}
        self.calls = 0
        self.listed = 0
        self.era = 1

    def set(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally."""
        self.revision += 1
        old = self._objects.get((kind, name))
        created_revision = old["meta"]["CreatedRev"] if old else self.revision
        meta: dict[str, Any] = {
            "Name": name,
            "Revision": self.revision,
            "CreatedRev": created_revision,
            "Finalizers": [],
        }
        value = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind, name] = value
        self._changes.append(_Change(self.revision, False, kind, value))
        self._notify_watches()
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self._objects.pop((kind, name), None)
        if value is not None:
            self.revision += 1
            self._changes.append(_Change(self.revision, True, kind, value))
            self._notify_watches()

    def spec(self, kind: str, name: str) -> Any:
        """Return the spec of an object, or None."""
        value = self._objects.get((kind, name))
        return value["spec"] if value else None

    def count_changes(self, kind: str, name: str) -> int:
        """Return how often an object was written or removed."""
        return len(self._changes_of(kind, name))

    def first_revision(self, kind: str, name: str) -> int:
        """Return the revision at which an object was created first."""
        return self._changes_of(kind, name)[0].revision

    def _changes_of(self, kind: str, name: str) -> list[_Change]:
        return [
            change
            for change in self._changes
            if change.kind == kind and change.value["meta"]["Name"] == name
        ]

    def compact_history(self) -> None:
        """Answer watches that start before the current revision with 410."""
        self._compacted_revision = self.revision
        self._notify_watches()

    def copy(self) -> StoreBackup:
        """Return a backup for `restore`."""
        return StoreBackup(self.revision, copy.deepcopy(self._objects))

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup, then write again what operators and servers have written since."""
        foreign = {key: value for key, value in self._objects.items() if key[0] != OWN_KIND}
        self.era += 1
        self.revision = backup.revision
        self._objects = copy.deepcopy(backup.objects)
        self._changes = [each for each in self._changes if each.revision <= backup.revision]
        for (kind, name), value in foreign.items():
            if self.spec(kind, name) != value["spec"]:
                self.set(kind, name, value["spec"])
        for kind, name in list(self._objects):
            if kind != OWN_KIND and (kind, name) not in foreign:
                self.remove(kind, name)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def serve(
        self, transport: Transport, address: str, task_status: trio.TaskStatus[str]
    ) -> None:
        """Serve calls at ``address``."""

        async def handle(stream: trio.abc.Stream) -> None:
            await serve_stream(stream, self._handle)

        await transport.serve(address, handle, task_status)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.mode is StoreMode.UNAVAILABLE:
            await trio.sleep_forever()
        if self.mode is StoreMode.BUSY:
            return HttpResponse(503, {})
        if request.path == "/promotion":
            return await self._promote(request)
        late_s = self.done_late_s(request)
        if late_s is not None:
            await trio.sleep(late_s)
            await self._handle_objects(request)
            await trio.sleep_forever()
        response = await self._handle_objects(request)
        response.headers["Store-Era"] = str(self.era)
        if request.method != "GET" and self.lose_answers:
            self.lose_answers -= 1
            await trio.sleep_forever()
        return response

    async def _promote(self, request: HttpRequest) -> HttpResponse:
        body = request.json()
        group = self._groups[body["Service"]]
        fence = int(request.headers["fence-token"])
        running = await group.promote(body["Id"], request.headers["duty-holder"], fence)
        return HttpResponse(200 if running else 409, {})

    async def _handle_objects(self, request: HttpRequest) -> HttpResponse:
        _, _, _, kind, *rest = request.path.split("/")
        match (request.method, rest):
            case ("GET", []) if "Watch" in request.query:
                return await self._watch(kind, request.query)
            case ("GET", []):
                await trio.sleep(self.list_delays.get(kind, 0.0))
                after = request.query.get("after", "")
                items = [
                    v
                    for (k, name), v in sorted(self._objects.items())
                    if k == kind and name > after
                ]
                self.listed += len(items)
                body = {"items": items, "MorePages": False, "CurrentRev": self.revision}
                return HttpResponse(200, body)
            case ("GET", [name]) if (kind, name) in self._objects:
                return HttpResponse(200, self._objects[kind, name])
            case ("POST", []):
                return self._create(kind, request.json())
            case ("PUT", [name]):
                return self._replace(kind, name, request.json())
            case ("DELETE", [name]):
                return self._delete(kind, name, request.query.get("Revision"))
            case _:
                return HttpResponse(404, {})

    def _create(self, kind: str, value: dict[str, Any]) -> HttpResponse:
        name = value["meta"]["Name"]
        if (kind, name) in self._objects:
            return HttpResponse(409, self._objects[kind, name])
        self.set(kind, name, value["spec"])
        return HttpResponse(200, self._objects[kind, name])

    def _replace(self, kind: str, name: str, value: dict[str, Any]) -> HttpResponse:
        old = self._objects.get((kind, name))
        if old is None:
            return HttpResponse(404, {})
        expected_revision = value["meta"].get("Revision")
        if expected_revision is not None and expected_revision != old["meta"]["Revision"]:
            return HttpResponse(409, old)
        if orjson.dumps(old["spec"]) != orjson.dumps(value["spec"]):
            self.set(kind, name, value["spec"])
        return HttpResponse(200, self._objects[kind, name])

    def _delete(self, kind: str, name: str, expected_revision: str | None) -> HttpResponse:
        old = self._objects.get((kind, name))
        if old is None:
            return HttpResponse(404, {})
        if expected_revision is not None and int(expected_revision) != old["meta"]["Revision"]:
            return HttpResponse(409, old)
        self.remove(kind, name)
        return HttpResponse(200, {})

    async def _watch(self, kind: str, query: dict[str, str]) -> HttpResponse:
        since = int(query["Watch"])
        with trio.move_on_after(int(query.get("WaitMs", "0")) / 1000):
            while True:
                if since < self._compacted_revision or since > self.revision:
                    return HttpResponse(410, {})
                events = self._events(kind, since)
                if events and not self.watches_suspended:
                    return HttpResponse(200, {"events": events, "CurrentRev": self.revision})
                await self._changed.wait()
        return HttpResponse(200, {"events": [], "CurrentRev": self.revision})

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"Tombstone": change.is_removed, "Object": change.value}
            for change in self._changes
            if change.kind == kind and change.revision > since
        ]
