"""The one client of the platform's objects: lists, watches, conditional changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import attrs

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError
from wharftiller.edges.http_client import HttpClient

if TYPE_CHECKING:
    from wharftiller.edges.transport import Transport

CALL_TIMEOUT_S = 0.8
"""Time for one call, in seconds: two lost packets are sent again within 0.6 s.

Rounds and reads of a second must notice within their pause that it does not answer.
"""

WATCH_WAIT_MS = 25_000
"""How long a watch waits for a change, in milliseconds; the platform allows 30 s."""

WATCH_SLACK_S = 3.0
"""Time that a watch's answer may take beyond its wait, in seconds."""


@attrs.frozen
class StoredObject:
    """One object of the platform.

    Attributes
    ----------
    revision : int
        The platform's counter at its last change.
    """

    name: str
    revision: int
    spec: Any


@attrs.frozen
class WatchedChanges:
    """What a watch told.

    Attributes
    ----------
    changes : list of (bool, StoredObject)
        Whether the object is gone, and how it stood last.
    revision : int
        The platform's counter after them.
    """

    changes: list[tuple[bool, StoredObject]]
    revision: int


class ObjectStore:
    """Calls to the platform's objects.

    Every method raises `PlatformUnavailableError` if no usable answer came; a
    change may still take effect then.
    """

    def __init__(self, transport: Transport, address: str) -> None:
        self._transport = transport
        self._address = address
        self._client = HttpClient(transport, address)

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        return await self._call_on(self._client, method, path, body, CALL_TIMEOUT_S)

    async def _call_on(
        self, client: HttpClient, method: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        try:
            answer = await client.request(method, path, body, timeout_s=timeout_s)
            value = answer.json() if answer.body else None
        except ExchangeError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        if answer.status in (429, 503) or answer.status >= 500:
            raise PlatformUnavailableError(f"{method} {path}: answered {answer.status}")
        return answer.status, value

    def new_client(self) -> HttpClient:
        """Return a connection of its own, for what takes long."""
        return HttpClient(self._transport, self._address)

    async def list_all(
        self,
        kind: str,
        client: HttpClient | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        after: str = "",
    ) -> tuple[dict[str, StoredObject], int]:
        """Return all objects of a kind by name, and the revision they stand at.

        Parameters
        ----------
        client : HttpClient or None
            A connection of its own, where a large answer must not hold up other calls.
        after : str
            Only objects whose names follow it are returned.
        """
        found: dict[str, StoredObject] = {}
        query = f"?after={quote(after)}" if after else ""
        while True:
            path = f"/v1/objects/{kind}{query}"
            status, value = await self._call_on(
                client or self._client, "GET", path, None, timeout_s
            )
            items, revision, more = _parse_page(status, value)
            found.update({item.name: item for item in items})
            if not more or not items:
                return found, revision
            query = f"?after={quote(items[-1].name)}"

    async def put(self, kind: str, name: str, spec: Any, revision: int | None) -> StoredObject:
        """Replace an object, or create it; return what stands there afterwards.

        Parameters
        ----------
        revision : int or None
            Only the object of this revision is replaced; 0 only creates, None
            replaces whatever stands there.
        """
        meta: dict[str, Any] = {"Name": name, "Finalizers": []}
        if revision:
            meta["Revision"] = revision
        body = {"meta": meta, "spec": spec, "status": None}
        if revision == 0:
            status, value = await self._call("POST", f"/v1/objects/{kind}", body)
        else:
            status, value = await self._call("PUT", f"/v1/objects/{kind}/{name}", body)
        if status in (200, 201, 409) and value is not None:
            return parse_object(value)
        raise PlatformUnavailableError(f"writing {kind}/{name} was answered {status}")

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; it is no error if it is gone already."""
        await self._call("DELETE", f"/v1/objects/{kind}/{name}")

    async def watch(self, client: HttpClient, kind: str, revision: int) -> WatchedChanges | None:
        """Wait for changes after ``revision``; None if the platform has forgotten some."""
        path = f"/v1/objects/{kind}?Watch={revision}&WaitMs={WATCH_WAIT_MS}"
        timeout_s = WATCH_WAIT_MS / 1000 + WATCH_SLACK_S
        status, value = await self._call_on(client, "GET", path, None, timeout_s)
        if status == 410:
            return None
        if status != 200 or not isinstance(value, dict):
            raise PlatformUnavailableError(f"watching {kind} was answered {status}")
        try:
            changes = [
                (bool(event.get("Tombstone")), parse_object(event["Object"]))
                for event in value.get("events") or ()
            ]
            return WatchedChanges(changes, int(value["CurrentRev"]))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformUnavailableError(f"a change of {kind} is unusable: {error!r}") from None


def _parse_page(status: int, value: Any) -> tuple[list[StoredObject], int, bool]:
    """Return a page's objects, the revision they stand at and whether more pages follow."""
    if status == 404:
        return [], 0, False
    try:
        items = [parse_object(item) for item in value.get("items") or ()]
        return items, int(value["CurrentRev"]), bool(value.get("MorePages"))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(f"a list is unusable: {error!r}") from None


def parse_object(value: Any) -> StoredObject:
    """Return the object that ``value`` holds.

    Raises
    ------
    PlatformUnavailableError
        If it is none.
    """
    try:
        meta = value["meta"]
        return StoredObject(str(meta["Name"]), int(meta["Revision"]), value.get("spec"))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(f"an object is unusable: {error!r}") from None
