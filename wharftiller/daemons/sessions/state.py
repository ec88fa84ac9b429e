"""State shared by all tasks of a session proxy: configuration, endpoints, leases, positions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from wharftiller.core.leadership.completeness import AcknowledgementReport
from wharftiller.core.leadership.lease import LEASE_S, LeaseTable
from wharftiller.core.leadership.record import FailingOver, Leading
from wharftiller.core.positions import LOG_START
from wharftiller.core.sessions.metrics import SessionMetrics
from wharftiller.core.sessions.retry_after import PrimaryAvailability
from wharftiller.core.sessions.routes import SessionConfiguration
from wharftiller.core.sessions.state_versions import StateVersions
from wharftiller.core.sessions.statements import EndpointQuery, RefusalKind, Rollback
from wharftiller.daemons.sessions.endpoint_table import EndpointTable
from wharftiller.daemons.sessions.in_flight import InFlightWork
from wharftiller.daemons.sessions.primary_positions import PrimaryPositions

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.statements import Refusal
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
    from wharftiller.daemons.sessions.interfaces import EndpointDialer
    from wharftiller.decisions import DecisionLog

ROLL_BACK_TIMEOUT_S = 1.0
"""Timeout of a rollback, in seconds; the connection is closed after it."""

PRIMARY_EXPECTED_S = 2.5
"""Time after a primary became unresponsive during which a new one is expected, in seconds.

Covers detection, the release of every box's lease, and the promotion.
"""

INITIAL_FAILOVER_S = 1.0
"""Assumed duration of a failover until one has been observed, in seconds.

Covers the release of every box's lease, the promotion, and two updates of the record.
"""

FAILOVER_WEIGHT = 0.3
"""Weight of the newest failover in the smoothed duration of failovers."""

RECORD_EXPECTED_S = 1.0
"""Time within which an update follows a recorded failover or an expired lease, in seconds."""


class SharedState:
    """The state of one session proxy.

    Parameters
    ----------
    box, data_centre : str
        This box's name and data centre.
    nursery : trio.Nursery
        Runs background work that no statement waits for.

    Attributes
    ----------
    check_soon : trio.Event
        Set to renew the leases now instead of at the next interval.
    serves_group : callable
        Returns whether this box runs a group's statements itself; set by `Gateways`.
    acknowledged : dict of str to LogPosition
        By group, the end of the primary's log after the newest write acknowledged by this process.
    failover_s : float
        Smoothed duration of failovers, from the first record to the last, in seconds.
    is_platform_unavailable : bool
        Whether the platform failed to answer this box's last read.
    gateway_usable : dict of str to bool
        For groups whose statements are forwarded, whether the gateway last reported that it
        can use the primary.
    """

    def __init__(
        self,
        box: str,
        data_centre: str,
        dialer: EndpointDialer,
        log: DecisionLog,
        nursery: trio.Nursery,
    ) -> None:
        self._nursery = nursery
        self._changed = trio.Event()
        self._record_seen = 0
        self._record_at = -math.inf
        self._failover_since: float | None = None
        self.failover_s = INITIAL_FAILOVER_S
        self.box = box
        self.data_centre = data_centre
        self.log = log
        self.configuration = SessionConfiguration()
        self.leases = LeaseTable()
        self.metrics = SessionMetrics()
        self.endpoints = EndpointTable(dialer, log, self.metrics, self.wake)
        self.positions = PrimaryPositions(self.leases)
        self.acknowledged: dict[str, LogPosition] = {}
        self.work = InFlightWork(self.wake)
        self.check_soon = trio.Event()
        self.serves_group: Callable[[str], bool] = lambda group: True
        self.gateway_usable: dict[str, bool] = {}
        self.is_platform_unavailable = False
        log.counts = self.metrics.events

    # Configuration ------------------------------------------------------

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.configuration.version

    @property
    def state_versions(self) -> StateVersions:
        """Versions of the configuration and the endpoints that this box has."""
        return StateVersions(self.version, self.endpoints.revision, self.endpoints.digest)

    def take_configuration(self, configuration: SessionConfiguration, source: str) -> bool:
        """Put a newer configuration in force; ignore an older one."""
        if configuration.version <= self.configuration.version:
            return False
        old, self.configuration = self.configuration.version, configuration
        self.log.change(
            "configuration_in_force", version=configuration.version, old=old, source=source
        )
        self.wake()
        return True

    # Leadership ---------------------------------------------------------

    def lead(self, group: str) -> str | None:
        """Return the recorded primary, the old one during a failover."""
        return self.leases.record.lead(group)

    def usable_primary(self, group: str) -> EndpointRow | None:
        """Return the primary if new writes and primary reads may be sent to it now."""
        lease = self.leases.may_start(group, trio.current_time())
        row = self.endpoints.rows.get(lease.endpoint) if lease is not None else None
        if row is None or not row.may_still_lead(trio.current_time()):
            return None
        return row

    def lacks_lease(self, group: str) -> bool:
        """Return whether a primary is recorded but this box has no lease to use it.

        This is so for a box that starts while the platform is unavailable.
        """
        leads = isinstance(self.leases.record.groups.get(group), Leading)
        return leads and self.leases.may_start(group, trio.current_time()) is None

    def may_acknowledge(self, row: EndpointRow) -> bool:
        """Return whether ``row`` is guaranteed to be the only primary of its group now."""
        return self.leases.may_acknowledge(row.entry.group, row.name, trio.current_time())

    def has_sync_replicas(self, group: str) -> bool:
        """Return whether ``group``'s writes are replicated before they are acknowledged."""
        limits = self.configuration.groups.get(group)
        return limits is not None and limits.sync_replicas > 0

    def acknowledgement_report(
        self, incarnation: str, groups: Collection[str]
    ) -> AcknowledgementReport:
        """Return what this process has acknowledged in ``groups``."""
        return AcknowledgementReport(
            incarnation,
            {group: self.acknowledged[group] for group in groups if group in self.acknowledged},
        )

    def record_acknowledged(self, row: EndpointRow, position: LogPosition | None) -> None:
        """Record that a write is acknowledged, with the end of its primary's log after it."""
        group = row.entry.group
        if position is not None and position > self.acknowledged.get(group, LOG_START):
            self.acknowledged[group] = position

    async def confirm_primary(self, row: EndpointRow, timeout_s: float) -> bool:
        """Wait until a lease check confirms ``row`` as primary; False if none does in time."""
        self.check_soon.set()
        with trio.move_on_after(timeout_s):
            while not self.may_acknowledge(row):
                lease = self.leases.last_lease(row.entry.group)
                if lease is None or lease.endpoint != row.name or lease.is_released:
                    return False
                await self.wait_for_change()
            return True
        return False

    def primary_expected(self, group: str) -> bool:
        """Return whether a usable primary is expected within about a second."""
        now = trio.current_time()
        match self.leases.record.groups.get(group):
            case FailingOver(planned=True) | FailingOver(ordered=True):
                return True
            case FailingOver():
                # Decided soon, unless it waits for the lease of an unresponsive box to expire.
                return now - self._record_at < RECORD_EXPECTED_S
            case Leading(is_unverified=True):
                return False
            case Leading(endpoint):
                row = self.endpoints.rows.get(endpoint)
                if row is not None and row.unreachable_since is not None:
                    return now - row.unreachable_since < PRIMARY_EXPECTED_S
                lease = self.leases.last_lease(group)
                if lease is None:
                    return not self.is_platform_unavailable
                return now - lease.checked_at < LEASE_S + RECORD_EXPECTED_S
            case None:
                return True

    def primary_availability(self, group: str) -> PrimaryAvailability:
        """Return why ``group``'s primary cannot be used now, as far as known."""
        now = trio.current_time()
        match self.leases.record.groups.get(group):
            case FailingOver(planned=planned, ordered=ordered):
                since = self._record_at if self._failover_since is None else self._failover_since
                return PrimaryAvailability(now - since, planned or ordered)
            case Leading(is_unverified=True):
                return PrimaryAvailability(unverified_s=now - self._record_at)
            case Leading(endpoint) if endpoint in self.endpoints.rows:
                silent_at = self.endpoints.rows[endpoint].unreachable_since
                return PrimaryAvailability(silent_s=None if silent_at is None else now - silent_at)
            case _:
                return PrimaryAvailability()

    def _measure_failovers(self) -> None:
        """Update the smoothed duration of failovers."""
        now = trio.current_time()
        if self.leases.record.failovers:
            self._failover_since = now if self._failover_since is None else self._failover_since
        elif self._failover_since is not None:
            took_s = now - self._failover_since
            self.failover_s += FAILOVER_WEIGHT * (took_s - self.failover_s)
            self._failover_since = None

    async def wait_for_change(self) -> None:
        """Wait until the endpoints, the leases or the configuration change."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake all tasks that wait for a change."""
        if self._record_seen != self.leases.record.revision:
            self._record_seen = self.leases.record.revision
            self._record_at = trio.current_time()
            self._measure_failovers()
        self._changed.set()
        self._changed = trio.Event()

    # Replies of endpoints -----------------------------------------------

    def learn_position(
        self, row: EndpointRow, position: LogPosition | None, asked_at: float
    ) -> None:
        """Record the primary's log position from the reply to a request of ``asked_at``."""
        self.metrics.statements[row.name, "done"] += 1
        if position is not None and self.may_acknowledge(row):
            self.positions.learn(row.entry.group, position, asked_at)

    def learn_refusal(self, row: EndpointRow, refusal: Refusal, after: LogPosition | None) -> None:
        """Record an endpoint's refusal and what it implies."""
        self.metrics.statements[row.name, refusal.kind.value] += 1
        match refusal.kind:
            case RefusalKind.REPLICA_BEHIND if after is not None:
                row.record_behind(after, trio.current_time())
            case RefusalKind.NOT_PRIMARY:
                self.check_soon.set()
            case _:
                pass

    def roll_back(self, connection: PooledConnection) -> None:
        """Roll back in the background, then release the connection."""
        self._nursery.start_soon(self._roll_back, connection)

    async def _roll_back(self, connection: PooledConnection) -> None:
        with trio.move_on_after(ROLL_BACK_TIMEOUT_S):
            try:
                reply = await connection.ask(EndpointQuery(Rollback()))
            except Exception as error:
                self.log.event("rollback_failed", endpoint=connection.pool.row.name, why=str(error))
            else:
                connection.release(reply.state)
                return
        connection.close()
