"""Follow the operator's configuration and the endpoints in the platform's objects."""

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
"""Time before a failed watch or list is asked for again, in seconds; doubles each time."""

MAX_RETRY_S = 1.6
"""Longest time between tries while the platform is away, in seconds."""

LIST_FRACTION = 0.4
"""Time for a list, as a part of that within which a configuration is in force.

A configuration of thousands of routes takes a slow link longer than other calls may take.
"""

GATHER_S = 0.15
"""Time to gather further changes before a watch is asked for again, in seconds."""

MISSED_AFTER_S = 0.2
"""Time after which a change that the watch has not told counts as missed, in seconds."""

Objects = dict[str, "StoredObject"]


class KindWatcher:
    """Follows the objects of one kind by list and watch.

    Parameters
    ----------
    take : callable
        Called with all objects and the revision they stand at; returns whether
        anything changed.
    missed : callable
        Called when a change was found that the watch did not tell.
    account : RevisionTracker
        Where every change read or told is noted.
    list_timeout_s : float
        Time for a list, in seconds: a large one takes long on a slow link.
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
        """Whether this box follows the objects itself."""
        return self._wanted.is_set()

    async def run(self) -> None:
        """Follow for ever."""
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
        # What a starting box reads first is news to nobody: told by each of many that start, it
        # would have every other one look.
        if self._take(objects, self._revision) and followed_before:
            self._missed()
        return objects

    async def _next(self, client: HttpClient, objects: Objects) -> Objects | None:
        """Return the objects after the next change; None if they must be read anew."""
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
        """Follow from now on, or not."""
        if wanted:
            self._wanted.set()
            return
        self._wanted = trio.Event()
        if self._watching is not None:
            self._watching.cancel()

    def read_anew(self, revision: int) -> None:
        """Read anew unless what was read or told stands at ``revision`` already."""
        if not self.wanted or revision <= max(self._verified, self._revision):
            return
        self._verified = revision
        if self._watching is not None:
            self._watching.cancel()


class PlatformWatches:
    """Brings configuration and endpoints into a session proxy's state.

    Parameters
    ----------
    decode_configuration : callable
        Turns the operator's document into the configuration.
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
        """Start to follow both kinds."""
        self._nursery = nursery
        for follower in self._followers:
            nursery.start_soon(follower.run)

    def follow(self, wanted: bool) -> None:
        """Follow both kinds from now on, or not: another box then tells of them."""
        for follower in self._followers:
            if follower.wanted != wanted:
                follower.follow(wanted)

    def noticed(self, listing: PlatformSnapshot) -> None:
        """Read anew what was not heard of up to the platform's revision of ``listing``."""
        assert self._nursery is not None
        self._account.listed(listing.revisions, listing.revision)
        if self._account.misses(listing.revision):
            self._nursery.start_soon(self._look_for, listing.revision)
        else:
            self._account.settle(listing.revision)

    async def _look_for(self, revision: int) -> None:
        """Read anew unless the watches tell of all changes up to ``revision`` shortly."""
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
