"""What all tasks of a session proxy share: configuration, endpoints, leases, positions, work."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from wharftiller.core.leadership.lease import LEASE_S, LeaseTable
from wharftiller.core.leadership.record import FailingOver, Leading
from wharftiller.core.sessions.metrics import SessionMetrics
from wharftiller.core.sessions.retry_after import PrimaryAvailability
from wharftiller.core.sessions.routes import SessionConfiguration
from wharftiller.core.sessions.state_versions import StateVersions
from wharftiller.core.sessions.statements import EndpointQuery, RefusalKind, Rollback
from wharftiller.daemons.sessions.endpoint_table import EndpointTable
from wharftiller.daemons.sessions.in_flight import InFlightWork
from wharftiller.daemons.sessions.primary_positions import PrimaryPositions

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.statements import Refusal
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
    from wharftiller.daemons.sessions.interfaces import EndpointDialer
    from wharftiller.decisions import DecisionLog

ROLL_BACK_TIMEOUT_S = 1.0
"""Time to roll a transaction back before its connection is closed instead, in seconds."""

PRIMARY_EXPECTED_S = 2.5
"""How long after a primary fell silent another is still expected soon, in seconds.

Detection (1.2 s), every box's word and the promotion itself (0.3 to 0.6 s).
"""

INITIAL_FAILOVER_S = 1.0
"""Time that a change of primary is taken to need before one was seen, in seconds.

The promotion (0.3 to 0.6 s), every box's word and two updates of the record.
"""

FAILOVER_WEIGHT = 0.3
"""Weight of the newest change of primary in the smoothed time that one takes."""

RECORD_EXPECTED_S = 1.0
"""How long after a change was recorded, or a lease ran out, the next is expected, in seconds."""


class SharedState:
    """The state of one session proxy.

    Parameters
    ----------
    box, data_centre : str
        This box's name and where it stands.
    nursery : trio.Nursery
        Where work goes on that no statement waits for.

    Attributes
    ----------
    check_soon : trio.Event
        Set to have the leases checked without waiting for the next time.
    serves_group : callable
        Whether this box runs a group's statements by itself; `Gateways` sets it.
    failover_s : float
        How long changes of primary took lately, from the first record to the last, in seconds.
    platform_away : bool
        Whether the platform did not answer this box's last read.
    told_usable : dict of str to bool
        For groups whose statements are passed on, whether their home said last that it
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
        self.work = InFlightWork(self.wake)
        self.check_soon = trio.Event()
        self.serves_group: Callable[[str], bool] = lambda group: True
        self.told_usable: dict[str, bool] = {}
        self.platform_away = False
        log.counts = self.metrics.events

    # Configuration ------------------------------------------------------

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.configuration.version

    @property
    def knowledge(self) -> StateVersions:
        """What this box knows of configuration and endpoints."""
        return StateVersions(self.version, self.endpoints.revision, self.endpoints.digest)

    def take_configuration(self, configuration: SessionConfiguration, source: str) -> bool:
        """Put a newer configuration in force; an older one is passed over."""
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
        """Return the primary that the record names, even while it is being replaced."""
        return self.leases.record.lead(group)

    def startable(self, group: str) -> EndpointRow | None:
        """Return the primary that new writes and primary reads may be sent to now."""
        lease = self.leases.may_start(group, trio.current_time())
        row = self.endpoints.rows.get(lease.endpoint) if lease is not None else None
        if row is None or not row.may_still_lead(trio.current_time()):
            return None
        return row

    def lacks_lease(self, group: str) -> bool:
        """Return whether a primary is recorded that this box may not use, though others may.

        So it is for a box that starts while the platform is away.
        """
        leads = isinstance(self.leases.record.groups.get(group), Leading)
        return leads and self.leases.may_start(group, trio.current_time()) is None

    def may_acknowledge(self, row: EndpointRow) -> bool:
        """Return whether ``row`` surely is the only primary of its group now."""
        return self.leases.may_acknowledge(row.entry.group, row.name, trio.current_time())

    async def confirm_primary(self, row: EndpointRow, timeout_s: float) -> bool:
        """Wait until a check shows that ``row`` still leads; False if none does in time."""
        self.check_soon.set()
        with trio.move_on_after(timeout_s):
            while not self.may_acknowledge(row):
                lease = self.leases.last_lease(row.entry.group)
                if lease is None or lease.endpoint != row.name or lease.given_up:
                    return False
                await self.leadership_changed()
            return True
        return False

    def primary_expected(self, group: str) -> bool:
        """Return whether a usable primary is likely to be known within a second or so."""
        now = trio.current_time()
        match self.leases.record.groups.get(group):
            case FailingOver(planned=True) | FailingOver(ordered=True):
                return True
            case FailingOver():
                # Decided within moments, or else a silent box's lease is waited for.
                return now - self._record_at < RECORD_EXPECTED_S
            case Leading(is_unverified=True):
                return False
            case Leading(endpoint):
                row = self.endpoints.rows.get(endpoint)
                if row is not None and row.unreachable_since is not None:
                    return now - row.unreachable_since < PRIMARY_EXPECTED_S
                lease = self.leases.last_lease(group)
                if lease is None:
                    return not self.platform_away
                return now - lease.checked_at < LEASE_S + RECORD_EXPECTED_S
            case None:
                return True

    def primary_availability(self, group: str) -> PrimaryAvailability:
        """Return what is known of a primary that cannot be used now."""
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
        """Learn how long changes of primary take."""
        now = trio.current_time()
        if self.leases.record.moving:
            self._failover_since = now if self._failover_since is None else self._failover_since
        elif self._failover_since is not None:
            took_s = now - self._failover_since
            self.failover_s += FAILOVER_WEIGHT * (took_s - self.failover_s)
            self._failover_since = None

    async def leadership_changed(self) -> None:
        """Wait until something about endpoints, leases or the configuration changes."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake everyone who waits for a change."""
        if self._record_seen != self.leases.record.revision:
            self._record_seen = self.leases.record.revision
            self._record_at = trio.current_time()
            self._measure_failovers()
        self._changed.set()
        self._changed = trio.Event()

    # What answers tell --------------------------------------------------

    def learn_position(
        self, row: EndpointRow, position: LogPosition | None, asked_at: float
    ) -> None:
        """Note the primary's log position in an answer to what was asked at ``asked_at``."""
        self.metrics.statements[row.name, "done"] += 1
        if position is not None and self.may_acknowledge(row):
            self.positions.learn(row.entry.group, position, asked_at)

    def learn_refusal(self, row: EndpointRow, refusal: Refusal, after: LogPosition | None) -> None:
        """Note what an endpoint's refusal tells of it."""
        self.metrics.statements[row.name, refusal.kind.value] += 1
        match refusal.kind:
            case RefusalKind.REPLICA_BEHIND if after is not None:
                row.refused_as_behind(after, trio.current_time())
            case RefusalKind.NOT_PRIMARY:
                self.check_soon.set()
            case _:
                pass

    def roll_back(self, connection: PooledConnection) -> None:
        """Roll back in the background, then give the connection back."""
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
