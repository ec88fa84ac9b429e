"""Client of the platform's object store: lists, watches, conditional writes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import attrs

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError
from wharftiller.edges.http_client import HttpClient

if TYPE_CHECKING:
    from wharftiller.decisions import DecisionLog
    from wharftiller.edges.transport import Transport

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

ERA_REVISIONS = 2**40
"""Number of revisions reserved for one era.

After a restoration the platform continues from the backup's revision and assigns the same numbers
to other changes. Combined with the era, a revision is unique and increases over restorations.
"""

WATCH_MARGIN_S = 3.0
"""Time limit of a watch's response beyond its wait, in seconds."""


@attrs.frozen
class StoredObject:
    """One object of the platform.

    Attributes
    ----------
    revision : int
        Revision of its last change, combined with the era; see `ERA_REVISIONS`.
    """

    name: str
    revision: int
    spec: Any


@attrs.frozen
class WatchedChanges:
    """The changes returned by a watch.

    Attributes
    ----------
    changes : list of (bool, StoredObject)
        Whether the object was deleted, and its last state.
    revision : int
        Revision after the changes.
    """

    changes: list[tuple[bool, StoredObject]]
    revision: int


@attrs.frozen
class _Answer:
    """A response of the platform.

    Attributes
    ----------
    era : int
        Era of the store at the time of the response.
    """

    status: int
    value: Any
    era: int


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
            value = answer.json() if answer.body else None
        except ExchangeError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        if answer.status in (429, 503) or answer.status >= 500:
            raise PlatformUnavailableError(f"{method} {path}: answered {answer.status}")
        return _Answer(answer.status, value, self._record_era(answer.headers.get(ERA_HEADER)))

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
            items, revision, has_more = _parse_page(answer)
            objects.update({item.name: item for item in items})
            if not has_more or not items:
                return objects, revision
            query = f"?after={quote(items[-1].name)}"

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
        if answer.status in (200, 201, 409) and answer.value is not None:
            return parse_object(answer.value, answer.era)
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
        value = answer.value
        if answer.status != 200 or not isinstance(value, dict):
            raise PlatformUnavailableError(f"watching {kind} was answered {answer.status}")
        try:
            changes = [
                (bool(event.get("Tombstone")), parse_object(event["Object"], era))
                for event in value.get("events") or ()
            ]
            return WatchedChanges(changes, _revision(value["CurrentRev"], era))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformUnavailableError(f"invalid change of {kind}: {error!r}") from None


def _object_path(kind: str, name: str) -> str:
    """Return the path of one object, whose name may contain any character."""
    return f"/v1/objects/{kind}/{quote(name, safe='')}"


def _expect_object(path: str, answer: _Answer) -> StoredObject:
    """Return the object that a read of ``path`` was answered with."""
    if answer.status != 200:
        raise PlatformUnavailableError(f"reading {path} was answered {answer.status}")
    return parse_object(answer.value, answer.era)


def _revision(number: Any, era: int) -> int:
    """Return the platform's revision combined with its era."""
    return era * ERA_REVISIONS + int(number)


def era_of(revision: int) -> int:
    """Return the era of ``revision``."""
    return revision // ERA_REVISIONS


def _parse_page(answer: _Answer) -> tuple[list[StoredObject], int, bool]:
    """Return a page's objects, the revision of the list and whether more pages follow."""
    if answer.status == 404:
        return [], 0, False
    value, era = answer.value, answer.era
    try:
        items = [parse_object(item, era) for item in value.get("items") or ()]
        return items, _revision(value["CurrentRev"], era), bool(value.get("MorePages"))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(f"invalid list of objects: {error!r}") from None


def parse_object(value: Any, era: int = 0) -> StoredObject:
    """Decode an object of the platform, read in ``era``.

    Raises
    ------
    PlatformUnavailableError
        If ``value`` is not a valid object.
    """
    try:
        meta = value["meta"]
        revision = _revision(meta["Revision"], era)
        return StoredObject(str(meta["Name"]), revision, value.get("spec"))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(f"invalid object: {error!r}") from None
