"""Client of the platform's object store: lists, watches, conditional writes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import attrs

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError
from wharftiller.edges.http_client import HttpClient
from wharftiller.platform.answers import (
    ERA_REVISIONS,
    decode_object,
    era_of,
    parse_changes,
    parse_object,
    parse_page,
)

if TYPE_CHECKING:
    from wharftiller.decisions import DecisionLog
    from wharftiller.edges.transport import Transport
    from wharftiller.platform.answers import StoredObject, WatchedChanges

CALL_TIMEOUT_S = 0.8
"""Time limit of a call, in seconds.

Two lost packets are retransmitted within 0.6 s. The limit is below the interval of one second of
renewals and reads, so that they detect within it that the platform does not answer.
"""

WATCH_WAIT_MS = 25_000
"""Time that a watch waits for a change, in milliseconds; the platform allows 30 s."""

ERA_HEADER = "store-era"
"""Response header with the epoch of the platform's store (`era`), which increases whenever the
platform is restored from a backup of its objects."""

MAX_REASON = 200
"""Characters kept of the reason why objects were left out."""

WATCH_MARGIN_S = 3.0
"""Time limit of a watch's response beyond its wait, in seconds."""


@attrs.frozen
class _Answer:
    """A response of the platform.

    Attributes
    ----------
    era : int
        Era of the store at the time of the response.
    """

    status: int
    body: bytes
    era: int

    def object(self) -> StoredObject:
        """Return the object in its body; raises `PlatformUnavailableError` if there is none."""
        return parse_object(decode_object(self.body), self.era)


class ObjectStore:
    """Client of the platform's object store.

    Every method raises `PlatformUnavailableError` if no valid response came; a
    write may still take effect then.

    Attributes
    ----------
    era : int
        Latest era of any response; 0 before the first.
    """

    def __init__(self, transport: Transport, address: str, log: DecisionLog | None = None) -> None:
        self._transport = transport
        self._address = address
        self._client = HttpClient(transport, address)
        self._log = log
        self.era = 0

    async def _call(self, method: str, path: str, body: Any = None) -> _Answer:
        return await self._call_on(self._client, method, path, body, CALL_TIMEOUT_S)

    async def _call_on(
        self, client: HttpClient, method: str, path: str, body: Any, timeout_s: float
    ) -> _Answer:
        try:
            answer = await client.request(method, path, body, timeout_s=timeout_s)
            content = answer.content()
        except ExchangeError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        if answer.status in (429, 503) or answer.status >= 500:
            raise PlatformUnavailableError(f"{method} {path}: answered {answer.status}")
        return _Answer(answer.status, content, self._record_era(answer.headers.get(ERA_HEADER)))

    def _record_era(self, header: str | None) -> int:
        """Record and return the era in a response's header; the last known one if it is missing."""
        if header is None or not header.isdecimal():
            return self.era
        era = int(header)
        if era < self.era:
            raise PlatformUnavailableError(f"a response of era {era} came in era {self.era}")
        if era > self.era:
            if self.era and self._log is not None:
                self._log.change("platform_restored", era=era, before=self.era)
            self.era = era
        return era

    def new_client(self) -> HttpClient:
        """Return a client with a separate connection, for calls that take long."""
        return HttpClient(self._transport, self._address)

    async def list_all(
        self,
        kind: str,
        client: HttpClient | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        after: str = "",
    ) -> tuple[dict[str, StoredObject], int]:
        """Return all objects of a kind by name, and the revision of the list.

        Parameters
        ----------
        client : HttpClient or None
            Client with a separate connection, for large lists that would delay other calls.
        after : str
            Return only objects whose names sort after it.
        """
        objects: dict[str, StoredObject] = {}
        query = f"?after={quote(after)}" if after else ""
        first_era: int | None = None
        while True:
            path = f"/v1/objects/{kind}{query}"
            answer = await self._call_on(client or self._client, "GET", path, None, timeout_s)
            first_era = answer.era if first_era is None else first_era
            if answer.era != first_era:
                raise PlatformUnavailableError(f"the platform was restored during a list of {kind}")
            if answer.status == 404:
                return objects, 0
            page = parse_page(answer.body, answer.era)
            self._log_left_out(kind, page.left_out)
            objects.update({item.name: item for item in page.items})
            if not page.has_more or not page.items:
                return objects, page.revision
            query = f"?after={quote(page.items[-1].name)}"

    def _log_left_out(self, kind: str, reasons: tuple[str, ...]) -> None:
        if reasons and self._log is not None:
            why = reasons[0][:MAX_REASON]
            self._log.event("objects_left_out", kind=kind, count=len(reasons), why=why)

    async def get(self, kind: str, name: str, *, may_be_old: bool = False) -> StoredObject | None:
        """Return one object; None if there is none.

        Parameters
        ----------
        may_be_old : bool
            Whether an answer that is seconds old will do; such reads are not counted by the rate.
        """
        path = _object_path(kind, name) + ("?AllowStale=1" if may_be_old else "")
        answer = await self._call("GET", path)
        if answer.status == 404:
            return None
        return _expect_object(path, answer)

    async def put(self, kind: str, name: str, spec: Any, revision: int | None) -> StoredObject:
        """Replace or create an object; return the one stored afterwards.

        Parameters
        ----------
        revision : int or None
            Replace the object only if it is at this revision; 0 only creates it,
            None replaces it unconditionally.
        """
        meta: dict[str, Any] = {"Name": name, "Finalizers": []}
        path = _object_path(kind, name)
        if revision:
            if era_of(revision) != self.era:
                return await self._read_one(path)
            meta["Revision"] = revision % ERA_REVISIONS
        body = {"meta": meta, "spec": spec, "status": None}
        if revision == 0:
            answer = await self._call("POST", f"/v1/objects/{kind}", body)
        else:
            answer = await self._call("PUT", path, body)
        if revision and answer.era != era_of(revision):
            raise PlatformUnavailableError(f"the platform was restored during a write of {path}")
        if answer.status in (200, 201, 409) and answer.body:
            return answer.object()
        raise PlatformUnavailableError(f"writing {kind}/{name} was answered {answer.status}")

    async def _read_one(self, path: str) -> StoredObject:
        """Return the stored object: the revision to be replaced belongs to an earlier era."""
        return _expect_object(path, await self._call("GET", path))

    async def delete(self, kind: str, name: str, revision: int) -> bool:
        """Delete an object if it is at ``revision``; return whether it is gone."""
        if era_of(revision) != self.era:
            return False
        path = f"{_object_path(kind, name)}?Revision={revision % ERA_REVISIONS}"
        answer = await self._call("DELETE", path)
        if answer.status in (200, 204, 404):
            return True
        if answer.status == 409:
            return False
        raise PlatformUnavailableError(f"deleting {kind}/{name} was answered {answer.status}")

    async def watch(self, client: HttpClient, kind: str, revision: int) -> WatchedChanges | None:
        """Wait for changes after ``revision``; None if some are no longer available."""
        era = era_of(revision)
        if era != self.era:
            return None
        path = f"/v1/objects/{kind}?Watch={revision % ERA_REVISIONS}&WaitMs={WATCH_WAIT_MS}"
        timeout_s = WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S
        answer = await self._call_on(client, "GET", path, None, timeout_s)
        if answer.status == 410 or answer.era != era:
            # The events of another era lack the changes up to the reused revision.
            return None
        if answer.status != 200:
            raise PlatformUnavailableError(f"watching {kind} was answered {answer.status}")
        watched = parse_changes(answer.body, era)
        self._log_left_out(kind, watched.left_out)
        return watched


def _object_path(kind: str, name: str) -> str:
    """Return the path of one object, whose name may contain any character."""
    return f"/v1/objects/{kind}/{quote(name, safe='')}"


def _expect_object(path: str, answer: _Answer) -> StoredObject:
    """Return the object that a read of ``path`` was answered with."""
    if answer.status != 200:
        raise PlatformUnavailableError(f"reading {path} was answered {answer.status}")
    return answer.object()
