"""Spread configuration inside a data centre: relays watch the platform, others a relay."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import trio

from wharftiller.core.configuration import Configuration
from wharftiller.core.configuration_changes import ConfigurationHolder, relays
from wharftiller.core.errors import ExchangeError, PlatformUnavailableError
from wharftiller.core.rendezvous import ranked
from wharftiller.edges.codec import from_caller
from wharftiller.edges.configuration_store import HEAD_KEY, ConfigurationStore
from wharftiller.edges.http_server import HttpRequest, HttpResponse
from wharftiller.edges.peers import (
    ConfigurationReply,
    ConfigurationRequest,
    PeerClient,
    check_peer,
    reply,
)
from wharftiller.edges.platform import BoxEntry, ConflictError, PlatformClient
from wharftiller.edges.transport import Transport
from wharftiller.logs import component_log
from wharftiller.settings import Settings

WATCH_S = 5.0
FOLLOW_WAIT_MS = 2_000
RETRY_S = 0.3
MAX_WAIT_MS = 10_000
STATUS_EVERY_S = 1.0
PEERS_ASKED = 4


def status_key(data_centre: str, box: str) -> str:
    """Return the key of the status that a relay sums for its data centre."""
    return f"status/{data_centre}/{box}"


class ConfigurationDistributor:
    """Follows the newest configuration and passes it on.

    Parameters
    ----------
    configured, listed : callable
        Called when a newer configuration, or a list of boxes, is in force here.
    """

    def __init__(
        self,
        settings: Settings,
        transport: Transport,
        randomness: random.Random,
        configured: Callable[[], None],
        listed: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._random = randomness
        self._on_configured = configured
        self._on_listed = listed
        self._log = component_log("steward", settings.box.name)
        self.counters: Counter[str] = Counter()
        address = settings.platform.address
        self._platform = PlatformClient(transport, address, self._count)
        self._store = ConfigurationStore(self._platform)
        self._holder = ConfigurationHolder()
        self._head_version = 0
        self._boxes: list[BoxEntry] = []
        self._list_read_at: float | None = None
        self._changed = trio.Event()
        self._in_force: dict[str, int] = {}
        self._status_written: dict[str, int] = {}
        self._status_version: int | None = None
        self._clients: dict[str, PeerClient] = {}

    @property
    def configuration(self) -> Configuration:
        """The newest configuration of this box."""
        return self._holder.current

    @property
    def generation(self) -> int:
        """Its generation."""
        return self._holder.current.generation

    @property
    def boxes(self) -> list[BoxEntry]:
        """The platform's list of boxes as last known here."""
        return self._boxes

    @property
    def is_relay(self) -> bool:
        """Whether this box watches the platform for its data centre."""
        names = self._relay_names()
        return not names or self._settings.box.name in names

    def _count(self, name: str) -> None:
        self.counters[name] += 1

    def _relay_names(self) -> list[str]:
        data_centre = self._settings.box.data_centre
        names = [
            entry.name
            for entry in self._boxes
            if entry.data_centre == data_centre and not entry.leaving
        ]
        return relays(data_centre, names)

    async def run(self) -> None:
        """Follow for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_for_ever)
            nursery.start_soon(self._list_for_ever)
            nursery.start_soon(self._status_for_ever)

    # Following ----------------------------------------------------------

    async def _follow_for_ever(self) -> None:
        await self._ask_peers()
        while True:
            if not self.is_relay and await self._follow_relays():
                continue
            if not await self._watch_platform():
                await self._ask_peers()
                await trio.sleep(RETRY_S * self._random.uniform(0.5, 1.5))

    async def _watch_platform(self) -> bool:
        wait_s = WATCH_S if self._head_version else 0.0
        try:
            if not self._head_version:
                stored = await self._platform.read(HEAD_KEY)
            else:
                stored = await self._platform.watch(HEAD_KEY, self._head_version, wait_s)
            if stored is not None:
                loaded = await self._store.load_from(stored)
                self._head_version = loaded.head_version
                self._take(self._holder.take(loaded.configuration))
        except PlatformUnavailableError:
            return False
        if stored is None and not self._head_version:
            await trio.sleep(RETRY_S)
        return True

    async def _follow_relays(self) -> bool:
        addresses = {entry.name: entry.steward for entry in self._boxes}
        # Each box has its own order, so that a relay serves a third of them.
        for name in ranked(f"follow/{self._settings.box.name}", self._relay_names()):
            address = addresses.get(name)
            if address and await self._ask(address, FOLLOW_WAIT_MS):
                return True
        return False

    async def _ask_peers(self) -> None:
        """Take the newest configuration that a few other boxes have."""
        places = {entry.steward for entry in self._boxes if entry.steward}
        places.update(self._settings.steward.peers)
        places.discard(self._settings.steward.listen)
        asked = self._random.sample(sorted(places), min(PEERS_ASKED, len(places)))
        # The first to answer sends everything, the others only what is newer.
        while asked and not await self._ask(asked.pop(), 0):
            pass
        async with trio.open_nursery() as nursery:
            for address in asked:
                nursery.start_soon(self._ask, address, 0)

    async def _ask(self, address: str, wait_ms: int) -> bool:
        if address not in self._clients:
            self._clients[address] = PeerClient(self._transport, address, self._settings.keys)
        box = self._settings.box.name
        question = ConfigurationRequest(box, self.generation, wait_ms, dict(self._in_force))
        try:
            answer = await self._clients[address].ask_configuration(question)
        except ExchangeError:
            return False
        if answer.change is not None:
            self._take(self._holder.take_change(answer.change))
        if answer.list_age_s is not None:
            self._take_boxes(answer.boxes, trio.current_time() - answer.list_age_s)
        return True

    def _take(self, newer: bool) -> None:
        if newer:
            self._log.info(f"generation {self.generation} is in force")
            self._on_configured()
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _take_boxes(self, boxes: list[BoxEntry], read_at: float) -> None:
        """Take in a list that was read from the platform at ``read_at``."""
        if self._list_read_at is not None and read_at <= self._list_read_at:
            return
        first = self._list_read_at is None
        self._list_read_at = read_at
        if first or boxes != self._boxes:
            self._boxes = boxes
            self._on_listed()
            self._wake()

    async def _list_for_ever(self) -> None:
        """Read the platform's list of boxes, on relays only once a list is known."""
        every_s = self._settings.platform.list_lag_s / 4
        while True:
            if self.is_relay:
                asked_at = trio.current_time()
                try:
                    self._take_boxes(await self._platform.boxes(), asked_at)
                except PlatformUnavailableError:
                    self._count("list.failed")
            await trio.sleep(min(every_s, 5.0) if self._list_read_at is not None else RETRY_S)

    # Passing on ---------------------------------------------------------

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer another process's question for a newer configuration.

        Raises
        ------
        AuthenticationError
            If it is none of our processes.
        """
        check_peer(request, self._settings.keys)
        question = from_caller(request.json(), ConfigurationRequest)
        self._in_force.update(question.in_force)
        boxes = self._boxes
        with trio.move_on_after(min(question.wait_ms, MAX_WAIT_MS) / 1000):
            while question.generation >= self.generation and boxes is self._boxes:
                await self._changed.wait()
        newer = question.generation < self.generation
        change = self._holder.change_since(question.generation) if newer else None
        return reply(ConfigurationReply(change, self._boxes, self._list_age_s()))

    def _list_age_s(self) -> float | None:
        read_at = self._list_read_at
        return None if read_at is None else trio.current_time() - read_at

    async def _status_for_ever(self) -> None:
        """Write the data centre's summed status, when it has changed, from relays only."""
        while True:
            await trio.sleep(STATUS_EVERY_S)
            if self.is_relay and self._in_force != self._status_written:
                await self._write_status(dict(self._in_force))

    async def _write_status(self, status: dict[str, int]) -> None:
        key = status_key(self._settings.box.data_centre, self._settings.box.name)
        try:
            if self._status_version is None:
                stored = await self._platform.read(key)
                self._status_version = stored.version if stored else 0
            written = await self._platform.update(key, status, self._status_version)
        except (PlatformUnavailableError, ConflictError):
            self._status_version = None
            return
        self._status_version = written.version
        self._status_written = status
