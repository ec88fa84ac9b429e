"""Client of the platform: versioned objects, conditional updates, watches, boxes."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import attrs

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError, WharfError
from wharftiller.edges.codec import from_peer
from wharftiller.edges.http_client import HttpAnswer, HttpClient
from wharftiller.edges.transport import Transport

CALL_TIMEOUT_S = 1.0
MAX_UPDATE_ATTEMPTS = 3


@attrs.frozen
class StoredObject:
    """An object of the platform.

    Attributes
    ----------
    version : int
        Increases with every update; 0 means that the object does not exist.
    attempt : str
        Id of the update that wrote it.
    """

    key: str
    value: Any
    version: int
    attempt: str = ""


@attrs.frozen
class BoxEntry:
    """One box of the platform's list, which lags behind."""

    name: str
    data_centre: str
    steward: str = ""
    proxy: str = ""
    leaving: bool = False


class ConflictError(WharfError):
    """An object is at another version than the update expects."""

    kind = "conflict"
    status = 409

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(
            f"object {key!r} is at version {found}, the update expects {expected}. "
            "Read it again and retry"
        )
        self.found = found


def new_attempt() -> str:
    """Return a unique id for an update."""
    return uuid.uuid4().hex


class PlatformClient:
    """Client of the platform; calls raise `PlatformUnavailableError` while it is unavailable.

    Parameters
    ----------
    count : callable
        Called with the name of every call, for metrics.
    """

    def __init__(
        self, transport: Transport, address: str, count_call: Callable[[str], None] = lambda _: None
    ) -> None:
        self._client = HttpClient(transport, address)
        self._watch_client = HttpClient(transport, address)
        self._count_call = count_call

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        answer = await self._call("GET", f"/objects/{quote(key)}")
        return None if answer.status == 404 else from_peer(answer.json(), StoredObject)

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with ``prefix``, by key."""
        answer = await self._call("GET", f"/objects?prefix={quote(prefix)}")
        return from_peer(answer.json(), list[StoredObject])

    async def delete(self, key: str) -> None:
        """Delete an unreferenced object; it stays if the platform is unavailable."""
        try:
            await self._call("DELETE", f"/objects/{quote(key)}")
        except PlatformUnavailableError:
            return

    async def boxes(self) -> list[BoxEntry]:
        """Return the platform's lagging list of boxes."""
        answer = await self._call("GET", "/boxes")
        return from_peer(answer.json(), list[BoxEntry])

    async def watch(self, key: str, after: int, wait_s: float) -> StoredObject | None:
        """Return the object once its version exceeds ``after``; None after ``wait_s`` seconds."""
        self._count_call("platform.watch")
        path = f"/watch/{quote(key)}?after={after}&wait_ms={round(wait_s * 1000)}"
        answer = await self._exchange(
            self._watch_client, "GET", path, None, wait_s + CALL_TIMEOUT_S
        )
        return None if answer.status in (204, 404) else from_peer(answer.json(), StoredObject)

    async def update(
        self, key: str, value: Any, if_version: int, attempt: str | None = None
    ) -> StoredObject:
        """Write an object that is at ``if_version`` (0: that does not exist).

        An update whose response is lost is retried; if that conflicts, the object
        is read back, and its attempt id shows whether this update took effect.

        Raises
        ------
        ConflictError
            If the object is at another version.
        PlatformUnavailableError
            If the outcome stays unknown; a retry with the same attempt is safe.
        """
        attempt = attempt or new_attempt()
        body = {"value": value, "if_version": if_version, "attempt": attempt}
        for attempts_left in reversed(range(MAX_UPDATE_ATTEMPTS)):
            try:
                answer = await self._call("PUT", f"/objects/{quote(key)}", body)
            except PlatformUnavailableError:
                if not attempts_left:
                    raise
                continue
            if answer.status == 409:
                return await self._read_own_update(key, if_version, attempt)
            return from_peer(answer.json(), StoredObject)
        raise AssertionError("unreachable")

    async def _read_own_update(self, key: str, if_version: int, attempt: str) -> StoredObject:
        """Return the object if this attempt wrote it and the response was lost."""
        written = await self.read(key)
        if written is not None and written.attempt == attempt:
            return written
        raise ConflictError(key, if_version, written.version if written else 0)

    async def _call(self, method: str, path: str, body: Any = None) -> HttpAnswer:
        self._count_call("platform.call")
        return await self._exchange(self._client, method, path, body, CALL_TIMEOUT_S)

    async def _exchange(
        self, client: HttpClient, method: str, path: str, body: Any, timeout_s: float
    ) -> HttpAnswer:
        try:
            answer = await client.request(method, path, body, timeout_s=timeout_s)
        except ExchangeError as error:
            raise PlatformUnavailableError(f"the platform did not answer: {error}") from None
        if answer.status == 429 or answer.status >= 500:
            raise PlatformUnavailableError(
                f"the platform answered {answer.status} to {method}; its rate limit is exceeded, "
                "or it is unavailable. Try again shortly"
            )
        return answer
