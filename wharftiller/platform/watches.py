"""Watch the platform's objects of the operator's configuration and of the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from wharftiller.core.errors import ConfigurationError, PlatformUnavailableError
from wharftiller.core.sessions.revisions import RevisionTracker
from wharftiller.platform.endpoint_entries import ENDPOINT_KIND, EndpointDecoder
from wharftiller.platform.objects import CONFIGURATION_KIND, CONFIGURATION_NAME

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.core.sessions.routes import SessionConfiguration
    from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.decisions import DecisionLog
    from wharftiller.edges.http_client import HttpClient
    from wharftiller.platform.answers import StoredObject
    from wharftiller.platform.store import ObjectStore

RETRY_S = 0.4
"""First delay before a failed watch or list is retried, in seconds; doubles each time."""

MAX_RETRY_S = 1.6
"""Longest delay between retries while the platform is unavailable, in seconds."""

LIST_FRACTION = 0.4
"""Time limit of a list, as a fraction of the time within which a configuration must be in force.

A large configuration takes longer over a slow link than the limit of other calls.
"""

BATCH_DELAY_S = 0.15
"""Delay before the next watch, in seconds, so that it returns several changes at once."""

MISSED_CHANGE_DELAY_S = 0.2
"""Time after which a change that the watch has not returned counts as missed, in seconds."""

Objects = dict[str, "StoredObject"]


class KindWatcher:
    """Watches the objects of one kind.

    Parameters
    ----------
    apply : callable
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
        apply: Callable[[Objects, int], bool],
        missed: Callable[[], None],
        tracker: RevisionTracker,
        list_timeout_s: float,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._tracker = tracker
        self._list_timeout_s = list_timeout_s
        self._kind = kind
        self._apply = apply
        self._missed = missed
        self._log = log
        self._watch_scope: trio.CancelScope | None = None
        self._verified_revision = 0
        self._revision = 0
        self._wanted = trio.Event()

    @property
    def is_wanted(self) -> bool:
        """Whether this box watches the objects itself."""
        return self._wanted.is_set()

    async def run(self) -> None:
        """Watch until cancelled, while wanted."""
        client = self._store.new_client()
        delay_s = RETRY_S
        objects: Objects | None = None
        while True:
            if not self.is_wanted:
                objects = None
                await self._wanted.wait()
                continue
            try:
                if objects is None:
                    objects = await self._list(client)
                with trio.CancelScope() as self._watch_scope:
                    objects = await self._watch_next(client, objects)
                if self._watch_scope.cancelled_caught:
                    objects = None
                self._watch_scope = None
                delay_s = RETRY_S
            except PlatformUnavailableError as error:
                self._log.event("watch_failed", kind=self._kind, why=str(error))
                await trio.sleep(delay_s)
                delay_s = min(MAX_RETRY_S, delay_s * 2)

    async def _list(self, client: HttpClient) -> Objects:
        was_listed = self._revision > 0
        objects, self._revision = await self._store.list_all(
            self._kind, client, self._list_timeout_s
        )
        self._verified_revision = max(self._verified_revision, self._revision)
        self._tracker.record_seen(stored.revision for stored in objects.values())
        # The first list of a starting box reports no missed change: otherwise each start would
        # make all other boxes list the objects again.
        if self._apply(objects, self._revision) and was_listed:
            self._missed()
        return objects

    async def _watch_next(self, client: HttpClient, objects: Objects) -> Objects | None:
        """Return the objects after the next change; None if they must be listed again."""
        watched = await self._store.watch(client, self._kind, self._revision)
        if watched is None:
            self._log.change("watch_history_lost", kind=self._kind)
            return None
        self._revision = watched.revision
        self._tracker.record_seen(changed.revision for _, changed in watched.changes)
        for is_deleted, changed in watched.changes:
            if is_deleted:
                objects.pop(changed.name, None)
            else:
                objects[changed.name] = changed
        if watched.changes:
            self._apply(dict(objects), watched.revision)
            await trio.sleep(BATCH_DELAY_S)
        return objects

    def follow(self, wanted: bool) -> None:
        """Start or stop watching."""
        if wanted:
            self._wanted.set()
            return
        self._wanted = trio.Event()
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def list_again(self, revision: int) -> None:
        """List the objects again unless they are known up to ``revision``."""
        if not self.is_wanted or revision <= max(self._verified_revision, self._revision):
            return
        self._verified_revision = revision
        if self._watch_scope is not None:
            self._watch_scope.cancel()


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
        self._store = store
        self._decoder = EndpointDecoder(bounds, log)
        self._decode_configuration = decode_configuration
        self._state = state
        self._log = log
        self._nursery: trio.Nursery | None = None
        self._tracker = RevisionTracker()
        list_s = LIST_FRACTION * bounds.configuration_in_force_s
        kinds = [
            (CONFIGURATION_KIND, self._apply_configuration),
            (ENDPOINT_KIND, self._apply_endpoints),
        ]
        self._watchers = [
            KindWatcher(store, kind, apply, missed, self._tracker, list_s, log)
            for kind, apply in kinds
        ]

    def start(self, nursery: trio.Nursery) -> None:
        """Start the watchers of both kinds."""
        self._nursery = nursery
        for watcher in self._watchers:
            nursery.start_soon(watcher.run)

    def follow(self, wanted: bool) -> None:
        """Start or stop watching both kinds; while stopped, another box sends their changes."""
        for watcher in self._watchers:
            if watcher.is_wanted != wanted:
                watcher.follow(wanted)

    async def list_endpoints(self) -> None:
        """Read the list of endpoints now; raises `PlatformUnavailableError` without an answer."""
        self._apply_endpoints(*await self._store.list_all(ENDPOINT_KIND))

    def read_missed(self, snapshot: PlatformSnapshot) -> None:
        """List the objects again if changes up to the snapshot's revision were missed."""
        assert self._nursery is not None
        self._tracker.record_list(snapshot.revisions, snapshot.revision)
        if self._tracker.misses(snapshot.revision):
            self._nursery.start_soon(self._list_missed, snapshot.revision)
        else:
            self._tracker.settle(snapshot.revision)

    async def _list_missed(self, revision: int) -> None:
        """List again unless the watches return all changes up to ``revision`` shortly."""
        await trio.sleep(MISSED_CHANGE_DELAY_S)
        if self._tracker.misses(revision):
            for watcher in self._watchers:
                watcher.list_again(revision)
        self._tracker.settle(revision)

    def _apply_configuration(self, objects: Objects, revision: int) -> bool:
        stored = objects.get(CONFIGURATION_NAME)
        if stored is None:
            return False
        try:
            configuration = self._decode_configuration(stored.spec)
        except ConfigurationError as error:
            self._log.change("configuration_not_understood", revision=revision, why=str(error))
            return False
        return self._state.take_configuration(configuration, "platform")

    def _apply_endpoints(self, objects: Objects, revision: int) -> bool:
        return self._state.endpoints.take(self._decoder.decode(objects), revision)
