"""The session proxy: one process a box that serves sessions and replaces primaries."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import PlatformUnavailableError, UnknownPathError
from wharftiller.daemons.sessions.box_server import BoxServer
from wharftiller.daemons.sessions.boxes import ROUND_S, Box, BoxDirectory
from wharftiller.daemons.sessions.callers import SessionServer
from wharftiller.daemons.sessions.drain import LAST_MOMENT_S, Drain
from wharftiller.daemons.sessions.forwarded import ForwardedDesk
from wharftiller.daemons.sessions.forwarding import Forwarder
from wharftiller.daemons.sessions.gauges import believed
from wharftiller.daemons.sessions.home_links import HomeLinks
from wharftiller.daemons.sessions.homes import Homes
from wharftiller.daemons.sessions.isolation import IsolationWatch
from wharftiller.daemons.sessions.mover import PrimaryMover
from wharftiller.daemons.sessions.neighbours import Neighbours
from wharftiller.daemons.sessions.pool import MAINTENANCE_S
from wharftiller.daemons.sessions.probes import Prober
from wharftiller.daemons.sessions.readers import ReaderClient, ReaderDesk
from wharftiller.daemons.sessions.relay import RelayServer
from wharftiller.daemons.sessions.retirement import BoxRetirement
from wharftiller.daemons.sessions.state import SharedState
from wharftiller.daemons.sessions.statements import StatementRunner
from wharftiller.edges.http_server import HttpResponse
from wharftiller.edges.metrics_page import metrics_page

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.core.sessions.routes import SessionConfiguration
    from wharftiller.daemons.sessions.seams import (
        EndpointDialer,
        Feeds,
        Promotions,
        SharedListing,
        SharedObjects,
    )
    from wharftiller.decisions import DecisionLog
    from wharftiller.edges.http_server import HttpRequest
    from wharftiller.edges.transport import Transport

SHARED_READ_S = 5.0
"""Time between reads of the shared objects while rounds renew the leases, in seconds.

Must stay well below the age that a round allows the list of boxes (12 s).
"""

READER_READS_S = 0.8
"""Longest time between reads by the box that reads for all, in seconds.

Leases of 6 s are renewed by what it reads where there are many boxes.
"""

READER_READS_PART = 0.27
"""Longest time between its reads, as a part of that within which a configuration is in force.

Also where the platform's watches do not tell a change: this part, `READ_KNOWN_PART` for a
reader that is cut off, and a read must fit in.
"""

READ_KNOWN_PART = 0.63
"""Age of the newest read of any box from which a box reads for itself, as such a part.

Of 3 s: a reader's pause (0.8 s), the time between rounds (1 s), and a margin.
"""

REGISTERED_S = 0.6
"""Time in which all boxes of a first start register, in seconds: they start within 0.3 s."""

FEEDS_WAIT_S = 1.0
"""Time for the first read of the platform before feeds are followed all the same, in seconds."""

MISSING_LEASE_READ_S = 0.25
"""Time between reads while a primary is recorded that this box may not use yet, in seconds.

After a change of primary, every box's first lease on the new one waits for this.
"""

READ_LOOK_S = 0.1
"""Time between looks at whether to read again, in seconds."""

ROUNDS_AFTER_S = 2.5
"""Age of the newest read from which boxes of a large deployment make rounds, in seconds.

Less than half of the lease (6 s): several rounds fit in before it runs out.
"""


@attrs.frozen
class BoxIdentity:
    """Who this box is.

    Attributes
    ----------
    address : str
        Where other boxes reach it.
    relay : str
        Where it connects other boxes to endpoints.
    seeds : tuple of str
        Addresses of boxes that may be asked at a start.
    bounds : PlatformBounds
        What the platform promises and asks.
    first_start : bool
        Whether the whole deployment starts for the first time.
    """

    name: str
    data_centre: str
    address: str
    relay: str
    seeds: tuple[str, ...]
    bounds: PlatformBounds
    first_start: bool = False


class SessionProxy:
    """One session proxy.

    Parameters
    ----------
    decode_configuration : callable
        Turns a configuration's document into the configuration.
    """

    def __init__(
        self,
        identity: BoxIdentity,
        transport: Transport,
        dialer: EndpointDialer,
        shared: SharedObjects,
        feeds: Callable[[SharedState, Callable[[], None]], Feeds],
        promotions: Promotions,
        log: DecisionLog,
        decode_configuration: Callable[[Any], SessionConfiguration],
        nursery: trio.Nursery,
    ) -> None:
        self._identity = identity
        self._shared = shared
        self._log = log
        self._nursery = nursery
        in_force_s = identity.bounds.configuration_in_force_s
        self._reader_reads_s = min(READER_READS_S, READER_READS_PART * in_force_s)
        self._read_known_s = READ_KNOWN_PART * in_force_s
        incarnation = f"{identity.name}/{secrets.token_hex(6)}"
        self._box = Box(
            identity.name, identity.address, identity.relay, incarnation, identity.data_centre
        )
        self.state = SharedState(identity.name, identity.data_centre, dialer, log, nursery)
        self._directory = BoxDirectory(self.state, transport, self._box)
        self._homes = Homes(self.state, self._directory)
        self._links = HomeLinks(self.state, self._homes, self._directory, transport, nursery)
        forwarder = Forwarder(self.state, self._homes, self._directory, self._links, nursery)
        self._runner = StatementRunner(self.state, forwarder)
        self.sessions = SessionServer(self.state, self._runner)
        self._for_others = ForwardedDesk(self.state)
        self._drain = Drain(self.sessions, self._for_others)
        self._desk = ReaderDesk(self.state, incarnation)
        self._readers = ReaderClient(self.state, self._directory, self._box, self.take_listing)
        self._prober = Prober(self.state, self._directory, dialer, nursery)
        self._neighbours = Neighbours(
            self.state,
            self._directory,
            [seed for seed in identity.seeds if seed != identity.address],
            decode_configuration,
            nursery,
        )
        self._box_server = BoxServer(
            self.state,
            self._directory,
            self._desk,
            self._neighbours.known,
            self._prober.check,
            self._for_others,
            self._links,
        )
        self.relay = RelayServer(transport, self.state.is_endpoint)
        self._mover = PrimaryMover(
            self.state,
            self._directory,
            self._box_server,
            shared,
            promotions,
            self._prober,
            incarnation,
            self._homes,
            self.take_listing,
        )
        self._retirement = BoxRetirement(
            self.state, self._directory, shared, self._desk, self._readers, nursery
        )
        self._isolation = IsolationWatch(self.state, self._directory, self.sessions)
        self._feeds = feeds(self.state, self._missed_change_found)
        self._renewed = False
        self._platform_answers: bool | None = None
        self._unready = False

    @property
    def is_ready(self) -> bool:
        """Whether new sessions should come to this box."""
        if self._unready or self._isolation.is_isolated:
            return False
        knows_boxes = self._directory.listed_since is not None or bool(self._directory.boxes)
        return self.state.version > 0 and bool(self.state.rows) and knows_boxes

    def start(self) -> None:
        """Start every task."""
        self._feeds.start(self._nursery)
        for task in (
            self._renew_for_ever,
            self._read_for_ever,
            self._choose_feeds,
            self._neighbours.learn_at_start,
            self._maintain_for_ever,
            self._prober.run,
            self._mover.run,
            self._isolation.run,
            self._runner.patience.run,
            self._links.watch_for_ever,
            self._for_others.run_for_ever,
            self._log.flush_for_ever,
        ):
            self._nursery.start_soon(task)

    async def handle_box(self, request: HttpRequest) -> HttpResponse:
        """Answer another box's question."""
        return await self._box_server.handle(request)

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Answer with the page of metrics."""
        if request.path != "/metrics":
            raise UnknownPathError(f"no {request.path}; the metrics are at /metrics")
        gauges = believed(self.state, self._directory, self.sessions.count)
        page = metrics_page(self.state.figures, gauges)
        return HttpResponse(200, page)

    # Leases, the list of boxes and the record ---------------------------

    async def _renew_for_ever(self) -> None:
        """Renew the leases by rounds; look for news that other boxes have."""
        while True:
            self.state.check_soon = trio.Event()
            if self._readers.applies:
                self._renewed = await self._renew_by_reader()
            elif self._directory.boxes:
                self._renewed = await self._directory.round()
                self._neighbours.learn_newer()
            with trio.move_on_after(ROUND_S):
                await self.state.check_soon.wait()

    async def _renew_by_reader(self) -> bool:
        """Renew the leases through a reader; by a round once that has failed for a while."""
        renewed = self._readers.is_reader or await self._readers.ask()
        if self._readers.newer_at is not None:
            self._nursery.start_soon(self._neighbours.learn_from, self._readers.newer_at)
            self._readers.newer_at = None
        if trio.current_time() - self._directory.platform_read_at > ROUNDS_AFTER_S:
            await self._directory.round()
            self._neighbours.learn_newer()
        return renewed

    async def _read_for_ever(self) -> None:
        """Read the shared objects: often where no other box does it for this one."""
        while True:
            started = trio.current_time()
            await self._read_shared()
            while not self._read_is_due(trio.current_time() - started):
                await trio.sleep(READ_LOOK_S)

    def _read_is_due(self, since_s: float) -> bool:
        """Return whether to read again, ``since_s`` seconds after the last try."""
        if since_s >= MISSING_LEASE_READ_S and self.state.leases.misses_lease(trio.current_time()):
            return True
        if since_s < self._reader_reads_s:
            return False
        if self._readers.applies:
            return self._readers.is_reader or not self._renewed
        if since_s >= SHARED_READ_S:
            return True
        read_at = self._directory.platform_read_at
        return (
            self._is_reader
            or not self._renewed
            or trio.current_time() - read_at > self._read_known_s
        )

    @property
    def _is_reader(self) -> bool:
        """Whether this box reads the platform for all that answer it."""
        if self._readers.applies:
            return self._readers.is_reader
        return self._directory.is_reading_box

    async def _choose_feeds(self) -> None:
        """Follow configuration and endpoints where no reader tells of them."""
        started = trio.current_time()
        while True:
            known = self._directory.platform_answers
            if known or trio.current_time() - started > FEEDS_WAIT_S:
                told = self._readers.applies and not self._readers.is_reader and self._renewed
                self._feeds.follow(not told)
            await trio.sleep(READ_LOOK_S)

    async def _read_shared(self) -> None:
        asked_at = trio.current_time()
        try:
            listing = await self._shared.read()
            if listing.boxes.get(self._box.name) != self._box:
                # A lease counts only from a read made after the registration.
                self._directory.listed_since = None
                await self._shared.register(self._box)
                if self._identity.first_start:
                    # All boxes register now: one read later shows them all.
                    await trio.sleep(REGISTERED_S)
                asked_at = trio.current_time()
                listing = await self._shared.read()
        except PlatformUnavailableError as error:
            self._platform_answered(False, str(error))
            return
        self._platform_answered(True)
        self._desk.note(listing, asked_at)
        self.take_listing(listing, asked_at)
        reads_for_others = self._is_reader or not self._renewed
        if reads_for_others or asked_at - self._directory.platform_read_at > self._read_known_s:
            self._feeds.noticed(listing.revision)
        self._directory.platform_read_at = max(self._directory.platform_read_at, asked_at)

    def take_listing(self, listing: SharedListing, asked_at: float) -> bool:
        """Take in what was read from the platform, asked for at ``asked_at`` (seconds).

        Returns
        -------
        bool
            Whether this process stands in the list; only then does the read count.
        """
        others = {n: box for n, box in listing.boxes.items() if n != self._box.name}
        self._retirement.look(others, asked_at)
        self._directory.take_list(others)
        self._directory.take_marks(listing.marks)
        if listing.boxes.get(self._box.name) != self._box:
            # Others' lists may lack this box now: it counts as a newcomer once it is listed.
            self._directory.listed_since = None
            return False
        self.state.leases.listed(others, asked_at)
        if self._directory.listed_since is None:
            self._directory.listed_since = asked_at
        before = self.state.leases.record.revision
        self.state.leases.read(listing.record, asked_at)
        record = self.state.leases.record
        if record.revision != before:
            self._log.change("record_adopted", revision=record.revision, source="platform")
        self.state.wake()
        return True

    def _platform_answered(self, answers: bool, why: str = "") -> None:
        self._directory.platform_answers = answers
        if self._platform_answers != answers:
            self._platform_answers = answers
            self._log.change("platform_back" if answers else "platform_lost", why=why)

    def _missed_change_found(self) -> None:
        """Tell the other boxes of a change that the platform's watches did not tell."""
        self._nursery.start_soon(self._directory.tell_news)

    # Maintenance and stopping -------------------------------------------

    async def _maintain_for_ever(self) -> None:
        while True:
            await trio.sleep(MAINTENANCE_S)
            now = trio.current_time()
            self.state.expire_endpoints(now)
            for pool in self.state.pools.values():
                pool.trim(now)

    async def stop(self) -> None:
        """Turn unready, let sessions end, leave the list of boxes, then return."""
        started = trio.current_time()
        self._unready = True
        self._log.change("stopping", sessions=self.sessions.count)
        self._nursery.start_soon(self._directory.tell_leaving)
        await self._drain.run(started, self._identity.bounds.grace_s)
        self._log.change("stopped", sessions=self.sessions.count)
        with trio.move_on_after(LAST_MOMENT_S / 2):
            try:
                await self._shared.withdraw(self._box)
            except PlatformUnavailableError as error:
                self._log.event("not_withdrawn", why=str(error))
        self._log.flush()
