"""Distribute configuration in a data centre: relays watch the platform, others poll a relay."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import trio

from wharftiller.core.configuration import Configuration
from wharftiller.core.configuration_changes import ConfigurationHolder, choose_relays
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

WATCH_TIMEOUT_S = 5.0
LONG_POLL_MS = 2_000
RETRY_S = 0.3
MAX_WAIT_MS = 10_000
STATUS_INTERVAL_S = 1.0
MAX_PEERS_POLLED = 4


def status_key(data_centre: str, box: str) -> str:
    """Return the key of the status that a relay writes for its data centre."""
    return f"status/{data_centre}/{box}"


class ConfigurationDistributor:
    """Keeps the newest configuration and list of boxes and serves them to other processes.

    Parameters
    ----------
    on_configuration, on_boxes : callable
        Called when this box adopts a newer configuration, or another list of boxes.
    """

    def __init__(
        self,
        settings: Settings,
        transport: Transport,
        randomness: random.Random,
        on_configuration: Callable[[], None],
        on_boxes: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._random = randomness
        self._on_configuration = on_configuration
        self._on_boxes = on_boxes
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
        """Generation of the newest configuration."""
        return self._holder.current.generation

    @property
    def boxes(self) -> list[BoxEntry]:
        """The newest known list of the platform's boxes."""
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
        return choose_relays(data_centre, names)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_ever)
            nursery.start_soon(self._list_for_ever)
            nursery.start_soon(self._status_for_ever)

    # Watching -----------------------------------------------------------

    async def _watch_for_ever(self) -> None:
        await self._poll_peers()
        while True:
            if not self.is_relay and await self._poll_relays():
                continue
            if not await self._watch_platform():
                await self._poll_peers()
                await trio.sleep(RETRY_S * self._random.uniform(0.5, 1.5))

    async def _watch_platform(self) -> bool:
        wait_s = WATCH_TIMEOUT_S if self._head_version else 0.0
        try:
            if not self._head_version:
                stored = await self._platform.read(HEAD_KEY)
            else:
                stored = await self._platform.watch(HEAD_KEY, self._head_version, wait_s)
            if stored is not None:
                loaded = await self._store.load_from(stored)
                self._head_version = loaded.head_version
                self._notify_configuration(self._holder.take(loaded.configuration))
        except PlatformUnavailableError:
            return False
        if stored is None and not self._head_version:
            await trio.sleep(RETRY_S)
        return True

    async def _poll_relays(self) -> bool:
        addresses = {entry.name: entry.steward for entry in self._boxes}
        # Each box ranks the relays differently, which spreads the load over them.
        for name in ranked(f"follow/{self._settings.box.name}", self._relay_names()):
            address = addresses.get(name)
            if address and await self._poll(address, LONG_POLL_MS):
                return True
        return False

    async def _poll_peers(self) -> None:
        """Adopt the newest configuration of a few other boxes."""
        addresses = {entry.steward for entry in self._boxes if entry.steward}
        addresses.update(self._settings.steward.peers)
        addresses.discard(self._settings.steward.listen)
        polled = self._random.sample(sorted(addresses), min(MAX_PEERS_POLLED, len(addresses)))
        # The first reply is the whole configuration, later ones hold only newer changes.
        while polled and not await self._poll(polled.pop(), 0):
            pass
        async with trio.open_nursery() as nursery:
            for address in polled:
                nursery.start_soon(self._poll, address, 0)

    async def _poll(self, address: str, wait_ms: int) -> bool:
        if address not in self._clients:
            self._clients[address] = PeerClient(self._transport, address, self._settings.keys)
        box = self._settings.box.name
        request = ConfigurationRequest(box, self.generation, wait_ms, dict(self._in_force))
        try:
            response = await self._clients[address].request_configuration(request)
        except ExchangeError:
            return False
        if response.change is not None:
            self._notify_configuration(self._holder.take_change(response.change))
        if response.list_age_s is not None:
            self._update_boxes(response.boxes, trio.current_time() - response.list_age_s)
        return True

    def _notify_configuration(self, is_newer: bool) -> None:
        if is_newer:
            self._log.info(f"generation {self.generation} is in force")
            self._on_configuration()
            self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _update_boxes(self, boxes: list[BoxEntry], read_at: float) -> None:
        """Adopt a list that was read from the platform at ``read_at``, if it is newer."""
        if self._list_read_at is not None and read_at <= self._list_read_at:
            return
        is_first = self._list_read_at is None
        self._list_read_at = read_at
        if is_first or boxes != self._boxes:
            self._boxes = boxes
            self._on_boxes()
            self._wake_waiters()

    async def _list_for_ever(self) -> None:
        """Read the platform's list of boxes; once a list is known, only on relays."""
        every_s = self._settings.platform.list_lag_s / 4
        while True:
            if self.is_relay:
                requested_at = trio.current_time()
                try:
                    self._update_boxes(await self._platform.boxes(), requested_at)
                except PlatformUnavailableError:
                    self._count("list.failed")
            await trio.sleep(min(every_s, 5.0) if self._list_read_at is not None else RETRY_S)

    # Serving ------------------------------------------------------------

    async def handle_request(self, http_request: HttpRequest) -> HttpResponse:
        """Answer a long poll for a newer configuration or list of boxes.

        Raises
        ------
        AuthenticationError
            If the sender is no process of this deployment.
        """
        check_peer(http_request, self._settings.keys)
        request = from_caller(http_request.json(), ConfigurationRequest)
        self._in_force.update(request.in_force)
        boxes = self._boxes
        with trio.move_on_after(min(request.wait_ms, MAX_WAIT_MS) / 1000):
            while request.generation >= self.generation and boxes is self._boxes:
                await self._changed.wait()
        is_newer = request.generation < self.generation
        change = self._holder.change_since(request.generation) if is_newer else None
        return reply(ConfigurationReply(change, self._boxes, self._list_age_s()))

    def _list_age_s(self) -> float | None:
        read_at = self._list_read_at
        return None if read_at is None else trio.current_time() - read_at

    async def _status_for_ever(self) -> None:
        """Write the status of this data centre's boxes when it has changed; on relays only."""
        while True:
            await trio.sleep(STATUS_INTERVAL_S)
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
