"""Watch the platform's objects of the operator's configuration and of the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from wharftiller.core.errors import ConfigurationError, PlatformUnavailableError
from wharftiller.core.sessions.revisions import RevisionTracker
from wharftiller.platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINT_KIND,
    EndpointDecoder,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.core.sessions.routes import SessionConfiguration
    from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.decisions import DecisionLog
    from wharftiller.edges.http_client import HttpClient
    from wharftiller.platform.store import ObjectStore, StoredObject

RETRY_S = 0.4
"""First delay before a failed watch or list is retried, in seconds; doubles each time."""

MAX_RETRY_S = 1.6
"""Longest delay between retries while the platform is unavailable, in seconds."""

LIST_FRACTION = 0.4
"""Time limit of a list, as a fraction of the time within which a configuration must be in force.

A large configuration takes longer over a slow link than the limit of other calls.
"""

GATHER_S = 0.15
"""Delay before the next watch, in seconds, so that it returns several changes at once."""

MISSED_AFTER_S = 0.2
"""Time after which a change that the watch has not returned counts as missed, in seconds."""

Objects = dict[str, "StoredObject"]


class KindWatcher:
    """Watches the objects of one kind.

    Parameters
    ----------
    take : callable
        Called with all objects and their revision; returns whether anything changed.
    missed : callable
        Called when a list shows a change that the watch did not return.
    account : RevisionTracker
        Records the revisions of all objects listed or returned by watches.
    list_timeout_s : float
        Time limit of a list, in seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        take: Callable[[Objects, int], bool],
        missed: Callable[[], None],
        account: RevisionTracker,
        list_timeout_s: float,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._account = account
        self._list_timeout_s = list_timeout_s
        self._kind = kind
        self._take = take
        self._missed = missed
        self._log = log
        self._watching: trio.CancelScope | None = None
        self._verified = 0
        self._revision = 0
        self._wanted = trio.Event()

    @property
    def wanted(self) -> bool:
        """Whether this box watches the objects itself."""
        return self._wanted.is_set()

    async def run(self) -> None:
        """Watch until cancelled, while wanted."""
        client = self._store.new_client()
        pause_s = RETRY_S
        objects: Objects | None = None
        while True:
            if not self.wanted:
                objects = None
                await self._wanted.wait()
                continue
            try:
                if objects is None:
                    objects = await self._list(client)
                with trio.CancelScope() as self._watching:
                    objects = await self._next(client, objects)
                if self._watching.cancelled_caught:
                    objects = None
                self._watching = None
                pause_s = RETRY_S
            except PlatformUnavailableError as error:
                self._log.event("watch_failed", kind=self._kind, why=str(error))
                await trio.sleep(pause_s)
                pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _list(self, client: HttpClient) -> Objects:
        followed_before = self._revision > 0
        objects, self._revision = await self._store.list_all(
            self._kind, client, self._list_timeout_s
        )
        self._verified = max(self._verified, self._revision)
        self._account.saw(stored.revision for stored in objects.values())
        # The first list of a starting box reports no missed change: otherwise each start would
        # make all other boxes list the objects again.
        if self._take(objects, self._revision) and followed_before:
            self._missed()
        return objects

    async def _next(self, client: HttpClient, objects: Objects) -> Objects | None:
        """Return the objects after the next change; None if they must be listed again."""
        told = await self._store.watch(client, self._kind, self._revision)
        if told is None:
            self._log.change("watch_history_lost", kind=self._kind)
            return None
        self._revision = told.revision
        self._account.saw(changed.revision for _, changed in told.changes)
        for gone, changed in told.changes:
            if gone:
                objects.pop(changed.name, None)
            else:
                objects[changed.name] = changed
        if told.changes:
            self._take(dict(objects), told.revision)
            await trio.sleep(GATHER_S)
        return objects

    def follow(self, wanted: bool) -> None:
        """Start or stop watching."""
        if wanted:
            self._wanted.set()
            return
        self._wanted = trio.Event()
        if self._watching is not None:
            self._watching.cancel()

    def read_anew(self, revision: int) -> None:
        """List the objects again unless they are known up to ``revision``."""
        if not self.wanted or revision <= max(self._verified, self._revision):
            return
        self._verified = revision
        if self._watching is not None:
            self._watching.cancel()


class PlatformWatches:
    """Applies the configuration and endpoints to a session proxy's state.

    Parameters
    ----------
    decode_configuration : callable
        Decodes the operator's document.
    """

    def __init__(
        self,
        store: ObjectStore,
        bounds: PlatformBounds,
        decode_configuration: Callable[[Any], SessionConfiguration],
        state: SharedState,
        missed: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        self._decoder = EndpointDecoder(bounds, log)
        self._decode_configuration = decode_configuration
        self._state = state
        self._log = log
        self._nursery: trio.Nursery | None = None
        self._account = RevisionTracker()
        list_s = LIST_FRACTION * bounds.configuration_in_force_s
        kinds = [
            (CONFIGURATION_KIND, self._take_configuration),
            (ENDPOINT_KIND, self._take_endpoints),
        ]
        self._followers = [
            KindWatcher(store, kind, take, missed, self._account, list_s, log)
            for kind, take in kinds
        ]

    def start(self, nursery: trio.Nursery) -> None:
        """Start the watchers of both kinds."""
        self._nursery = nursery
        for follower in self._followers:
            nursery.start_soon(follower.run)

    def follow(self, wanted: bool) -> None:
        """Start or stop watching both kinds; while stopped, another box sends their changes."""
        for follower in self._followers:
            if follower.wanted != wanted:
                follower.follow(wanted)

    def noticed(self, listing: PlatformSnapshot) -> None:
        """List the objects again if changes up to the snapshot's revision were missed."""
        assert self._nursery is not None
        self._account.listed(listing.revisions, listing.revision)
        if self._account.misses(listing.revision):
            self._nursery.start_soon(self._look_for, listing.revision)
        else:
            self._account.settle(listing.revision)

    async def _look_for(self, revision: int) -> None:
        """List again unless the watches return all changes up to ``revision`` shortly."""
        await trio.sleep(MISSED_AFTER_S)
        if self._account.misses(revision):
            for follower in self._followers:
                follower.read_anew(revision)
        self._account.settle(revision)

    def _take_configuration(self, objects: Objects, revision: int) -> bool:
        stored = objects.get(CONFIGURATION_NAME)
        if stored is None:
            return False
        try:
            configuration = self._decode_configuration(stored.spec)
        except ConfigurationError as error:
            self._log.change("configuration_not_understood", revision=revision, why=str(error))
            return False
        return self._state.take_configuration(configuration, "platform")

    def _take_endpoints(self, objects: Objects, revision: int) -> bool:
        return self._state.endpoints.take(self._decoder.decode(objects), revision)
