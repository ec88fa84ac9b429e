"""The session proxy: one process per box that serves sessions and fails over primaries."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import PlatformUnavailableError, UnknownPathError
from wharftiller.core.leadership.read_schedule import ReadIntervals
from wharftiller.daemons.sessions.allowances.rate_limiter import RateLimiter
from wharftiller.daemons.sessions.allowances.token_client import TokenClient
from wharftiller.daemons.sessions.allowances.token_server import TokenServer
from wharftiller.daemons.sessions.connections.address_probe import AddressProbe
from wharftiller.daemons.sessions.connections.pool import MAINTENANCE_S
from wharftiller.daemons.sessions.connections.probes import Prober
from wharftiller.daemons.sessions.connections.relay import RelayServer
from wharftiller.daemons.sessions.forwarding.executor import ForwardedExecutor
from wharftiller.daemons.sessions.forwarding.forwarder import Forwarder
from wharftiller.daemons.sessions.forwarding.gateway_client import GatewayClient
from wharftiller.daemons.sessions.forwarding.gateways import Gateways
from wharftiller.daemons.sessions.gauges import state_gauges
from wharftiller.daemons.sessions.leadership.absent_holders import AbsentHolders
from wharftiller.daemons.sessions.leadership.attempts import FailoverAttempts
from wharftiller.daemons.sessions.leadership.complete_replicas import CompleteReplicaFinder
from wharftiller.daemons.sessions.leadership.failover_monitor import FailoverMonitor
from wharftiller.daemons.sessions.leadership.failover_runner import FailoverRunner
from wharftiller.daemons.sessions.leadership.holder_keeper import HolderKeeper
from wharftiller.daemons.sessions.leadership.lease_revocation import LeaseRevoker
from wharftiller.daemons.sessions.leadership.record_writer import RecordWriter
from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
from wharftiller.daemons.sessions.leadership.verification import UnverifiedPrimaries
from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.box_server import BoxServer
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.daemons.sessions.membership.isolation import IsolationWatch
from wharftiller.daemons.sessions.membership.lease_renewal import LeaseRenewer
from wharftiller.daemons.sessions.membership.peer_sync import PeerSync
from wharftiller.daemons.sessions.membership.readers import SnapshotClient, SnapshotServer
from wharftiller.daemons.sessions.membership.retirement import BoxRetirement
from wharftiller.daemons.sessions.membership.shared_reads import SharedReads
from wharftiller.daemons.sessions.membership.snapshots import SnapshotApplier
from wharftiller.daemons.sessions.membership.tombstones import Tombstones
from wharftiller.daemons.sessions.serving.callers import SessionServer
from wharftiller.daemons.sessions.serving.connection_admission import ConnectionAdmission
from wharftiller.daemons.sessions.serving.drain import KILL_MARGIN_S, Drain
from wharftiller.daemons.sessions.serving.statements import StatementRunner
from wharftiller.daemons.sessions.state import SharedState
from wharftiller.edges.http_server import HttpResponse
from wharftiller.edges.metrics_page import metrics_page

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.core.sessions.connection_limits import BoxLimits
    from wharftiller.core.sessions.routes import SessionConfiguration
    from wharftiller.daemons.sessions.interfaces import (
        EndpointDialer,
        HolderObjects,
        Promotions,
        SharedObjects,
        Watches,
    )
    from wharftiller.decisions import DecisionLog
    from wharftiller.edges.http_server import HttpRequest
    from wharftiller.edges.transport import Transport


@attrs.frozen
class BoxIdentity:
    """Identity of this box.

    Attributes
    ----------
    address : str
        Where other boxes reach it.
    relay : str
        Where it relays other boxes' connections to endpoints.
    seeds : tuple of str
        Addresses of boxes to sync from at a start.
    bounds : PlatformBounds
        Bounds that the platform guarantees and requires.
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
        Decodes a configuration's document.
    limits : BoxLimits
        Resources that this process may use.
    open_streams : callable
        Returns the number of open connections other than callers'.
    """

    def __init__(
        self,
        identity: BoxIdentity,
        transport: Transport,
        dialer: EndpointDialer,
        shared: SharedObjects,
        holder_objects: HolderObjects,
        watches: Callable[[SharedState, Callable[[], None]], Watches],
        promotions: Promotions,
        log: DecisionLog,
        decode_configuration: Callable[[Any], SessionConfiguration],
        nursery: trio.Nursery,
        limits: BoxLimits,
        open_streams: Callable[[], int],
    ) -> None:
        self._identity = identity
        self._shared = shared
        self._log = log
        self._nursery = nursery
        incarnation = f"{identity.name}/{secrets.token_hex(6)}"
        self._box = Box(
            identity.name, identity.address, identity.relay, incarnation, identity.data_centre
        )
        self.state = SharedState(identity.name, identity.data_centre, dialer, log, nursery)
        self._directory = BoxDirectory(self.state, transport, self._box)
        tombstones = Tombstones(self._directory)
        snapshots = SnapshotApplier(self.state, self._directory, tombstones, self._box)
        self._gateways = Gateways(self.state, self._directory)
        self._gateway_client = GatewayClient(
            self.state, self._gateways, self._directory, transport, nursery
        )
        forwarder = Forwarder(
            self.state, self._gateways, self._directory, self._gateway_client, nursery
        )
        token_client = TokenClient(transport)
        self._token_server = TokenServer(
            self.state, self._directory, token_client, identity.bounds.allowances, nursery
        )
        rate_limiter = RateLimiter(self.state, self._directory, token_client, self._token_server)
        self._runner = StatementRunner(self.state, rate_limiter, forwarder)
        self.admission = ConnectionAdmission(self.state, limits, open_streams)
        self.sessions = SessionServer(self.state, self._runner, self.admission)
        self._executor = ForwardedExecutor(self.state, rate_limiter)
        self._drain = Drain(self.sessions, self._executor)
        snapshot_server = SnapshotServer(self.state, incarnation)
        snapshot_client = self._snapshot_client = SnapshotClient(
            self.state, self._directory, self._box, snapshots.apply
        )
        self._prober = Prober(self.state, self._directory, dialer, nursery)
        address_probe = AddressProbe(dialer, log)
        absent_holders = AbsentHolders(self.state, self._directory, address_probe)
        self._peer_sync = PeerSync(
            self.state,
            self._directory,
            [seed for seed in identity.seeds if seed != identity.address],
            decode_configuration,
            identity.bounds,
            nursery,
        )
        self._box_server = BoxServer(
            self.state,
            self._directory,
            tombstones,
            snapshot_server,
            self._peer_sync.state_for,
            self._prober.check,
            absent_holders.handle_question,
            self._executor,
            self._token_server,
            self._gateway_client,
            identity.bounds.grace_s,
        )
        self.relay = RelayServer(transport, self.state.endpoints.is_endpoint)
        self._watches = watches(self.state, self._notify_watchers)
        writer = RecordWriter(self.state, shared, incarnation)
        successors = SuccessorFinder(self.state, self._prober)
        self._holder_keeper = HolderKeeper(
            self.state,
            self._directory,
            self._gateways,
            holder_objects,
            absent_holders,
            successors,
        )
        revoker = LeaseRevoker(
            self.state, self._directory, tombstones, self._box_server, shared, snapshots
        )
        complete_replicas = CompleteReplicaFinder(
            self.state, successors, self._holder_keeper, address_probe
        )
        failover_runner = FailoverRunner(
            self.state,
            self._directory,
            self._gateways,
            writer,
            revoker,
            successors,
            complete_replicas,
            promotions,
            self._prober,
            self._watches.list_endpoints,
        )
        self._failover_monitor = FailoverMonitor(
            self.state,
            self._directory,
            self._gateways,
            writer,
            successors,
            failover_runner,
            UnverifiedPrimaries(self.state, writer, successors, complete_replicas),
            self._holder_keeper,
            FailoverAttempts(self.state, complete_replicas),
        )
        self._isolation = IsolationWatch(self.state, self._directory, self.sessions)
        self._lease_renewer = LeaseRenewer(
            self.state,
            self._directory,
            snapshot_client,
            self._peer_sync,
            self._gateways.may_receive_forwarded,
            nursery,
        )
        self._reads = SharedReads(
            self.state,
            self._directory,
            self._box,
            shared,
            snapshots,
            snapshot_client,
            snapshot_server,
            BoxRetirement(
                self.state,
                self._directory,
                shared,
                snapshot_server,
                snapshot_client,
                tombstones,
                nursery,
            ),
            self._lease_renewer,
            self._peer_sync,
            self._watches,
            ReadIntervals.within(identity.bounds),
            identity.first_start,
        )
        self._unready = False

    @property
    def incarnation(self) -> str:
        """Id of this process."""
        return self._box.incarnation

    @property
    def is_ready(self) -> bool:
        """Whether this box should receive new sessions."""
        if self._unready or self._isolation.is_isolated or self.admission.is_nearly_full:
            return False
        knows_boxes = self._directory.listed_since is not None or bool(self._directory.boxes)
        return self.state.version > 0 and bool(self.state.endpoints.rows) and knows_boxes

    def start(self) -> None:
        """Start every task."""
        self._watches.start(self._nursery)
        for task in (
            self._lease_renewer.run,
            self._reads.run,
            self._reads.choose_watches,
            self._peer_sync.sync_at_start,
            self._maintain,
            self._prober.run,
            self._failover_monitor.run,
            self._holder_keeper.run,
            self._isolation.run,
            self._runner.read_timeouts.run,
            self._gateway_client.watch_gateways,
            self._executor.run_maintenance,
            self._log.flush_periodically,
        ):
            self._nursery.start_soon(task)

    async def handle_box(self, request: HttpRequest) -> HttpResponse:
        """Handle another box's request."""
        return await self._box_server.handle(request)

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics page."""
        if request.path != "/metrics":
            raise UnknownPathError(f"no {request.path}; the metrics are at /metrics")
        gauges = state_gauges(
            self.state, self._directory, self.admission, self._token_server.bucket_count
        )
        page = metrics_page(self.state.metrics, gauges)
        return HttpResponse(200, page)

    def _notify_watchers(self) -> None:
        """Notify the boxes that follow this one of a change that the watches had missed."""
        self._nursery.start_soon(self._directory.notify_change, self._snapshot_client.watchers())

    # Maintenance and stopping -------------------------------------------

    async def _maintain(self) -> None:
        while True:
            await trio.sleep(MAINTENANCE_S)
            now = trio.current_time()
            self.state.endpoints.expire(now)
            self._token_server.maintain(now)
            self.admission.maintain(now)
            for pool in self.state.endpoints.pools.values():
                pool.trim(now)

    async def stop(self) -> None:
        """Become unready, drain the sessions, withdraw from the list of boxes, then return."""
        started = trio.current_time()
        self._unready = True
        self._log.change("stopping", sessions=self.sessions.count)
        self._nursery.start_soon(self._directory.send_leaving)
        await self._drain.run(started, self._identity.bounds.grace_s)
        self._log.change("stopped", sessions=self.sessions.count)
        await self._withdraw()
        self._log.flush()

    async def _withdraw(self) -> None:
        """Give up all leases, then remove this process from the list of boxes."""
        self.state.leases.end()
        with trio.move_on_after(KILL_MARGIN_S / 2) as scope:
            try:
                if not await self._shared.withdraw(self._box):
                    self._log.event("not_withdrawn", why="its entry changed")
            except PlatformUnavailableError as error:
                self._log.event("not_withdrawn", why=str(error))
        if scope.cancelled_caught:
            self._log.event("not_withdrawn", why="the platform did not answer in time")
