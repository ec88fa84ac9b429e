"""What all tasks of a session proxy share: endpoints, pools, leases, fresh points."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.freshness import FreshPoint, FreshPoints
from wharftiller.core.leadership.lease import LEASE_S, LeaseTable
from wharftiller.core.leadership.record import Leading, Moving
from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.come_back import PrimaryOutlook
from wharftiller.core.sessions.endpoints import EndpointRow
from wharftiller.core.sessions.figures import Figures
from wharftiller.core.sessions.routes import EndpointEntry, SessionConfiguration
from wharftiller.core.sessions.statements import EndpointQuery, RefusalKind, Rollback
from wharftiller.daemons.sessions.connections.pool import EndpointPool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wharftiller.core.sessions.statements import Refusal
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
    from wharftiller.daemons.sessions.seams import EndpointDialer
    from wharftiller.decisions import DecisionLog

ROLL_BACK_TIMEOUT_S = 1.0
"""Time to roll a transaction back before its connection is closed instead, in seconds."""

PRIMARY_EXPECTED_S = 2.5
"""How long after a primary fell silent another is still expected soon, in seconds.

Detection (1.2 s), every box's word and the promotion itself (0.3 to 0.6 s).
"""

FIRST_CHANGE_S = 1.0
"""Time that a change of primary is taken to need before one was seen, in seconds.

The promotion (0.3 to 0.6 s), every box's word and two updates of the record.
"""

CHANGE_WEIGHT = 0.3
"""Weight of the newest change of primary in the smoothed time that one takes."""

RECORD_EXPECTED_S = 1.0
"""How long after a change was recorded, or a lease ran out, the next is expected, in seconds."""


@attrs.define
class _GroupActivity:
    """Writes and writing transactions of this box that are under way in a group."""

    writes: int = 0
    transactions: int = 0


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
    endpoints_revision : int
        The platform's revision of the list of endpoints in force.
    rows, pools : dict
        Every endpoint ever listed, and the connections to it, by name.
    check_soon : trio.Event
        Set to have the leases checked without waiting for the next time.
    share_of_group, serves_group : callable
        How many connections to an endpoint of a group this box may keep, and whether it
        runs the group's statements by itself; `Homes` sets both.
    change_s : float
        How long changes of primary took lately, from the first record to the last, in seconds.
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
        self._dialer = dialer
        self._nursery = nursery
        self._points: dict[str, tuple[str, FreshPoints]] = {}
        self._activity: dict[str, _GroupActivity] = collections.defaultdict(_GroupActivity)
        self._changed = trio.Event()
        self._record_seen = 0
        self._record_at = -math.inf
        self._changing_since: float | None = None
        self.change_s = FIRST_CHANGE_S
        self.box = box
        self.data_centre = data_centre
        self.log = log
        self.configuration = SessionConfiguration()
        self.endpoints_revision = 0
        self.leases = LeaseTable()
        self.rows: dict[str, EndpointRow] = {}
        self.pools: dict[str, EndpointPool] = {}
        self.check_soon = trio.Event()
        self.share_of_group: Callable[[str], int] = lambda group: 1
        self.serves_group: Callable[[str], bool] = lambda group: True
        self.told_usable: dict[str, bool] = {}
        self.figures = Figures()
        log.counts = self.figures.events

    # Configuration and endpoints ----------------------------------------

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.configuration.version

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

    def take_endpoints(
        self, entries: Iterable[EndpointEntry], revision: int, *, told: bool = False
    ) -> bool:
        """Take in the whole list of registered endpoints as of the platform's ``revision``.

        Parameters
        ----------
        told : bool
            Whether another box told it; else this box read it.
        """
        if revision <= self.endpoints_revision:
            return False
        listed = {entry.name: entry for entry in entries}
        same = listed == {name: row.entry for name, row in self.rows.items() if row.is_listed}
        if same and not told:
            # Others would fetch all that this box knows for nothing: with 1,800 routes a
            # reader of 20 boxes then answered none of them in time.
            return False
        # Where a box told the same list too: else it is asked for it in every round again
        # (4 kB each; 0.8 times a second and box in a test of seven).
        self.endpoints_revision = revision
        if same:
            return False
        for name, entry in listed.items():
            self._take_entry(name, entry)
        now = trio.current_time()
        for name, row in self.rows.items():
            if name not in listed and row.missing_since is None:
                row.missing_since = now
        self.expire_endpoints(now)
        self.wake()
        return True

    def expire_endpoints(self, now: float) -> None:
        """Give up the endpoints that have been missing from the list for long enough."""
        for name, row in self.rows.items():
            if not row.gone and row.is_taken_as_gone(now):
                row.gone = True
                row.leaving_since = row.leaving_since or row.missing_since or now
                self.log.change("endpoint_gone", endpoint=name, group=row.entry.group)
                self.wake()

    def _take_entry(self, name: str, entry: EndpointEntry) -> None:
        row = self.rows.get(name)
        if row is None:
            row = self.rows[name] = EndpointRow(entry)
            share = self._share_of(row)
            self.pools[name] = EndpointPool(row, self._dialer, share)
            self.log.change("endpoint_found", endpoint=name, group=entry.group, leads=entry.leads)
        row.entry = entry
        row.gone = False
        row.missing_since = None
        if entry.leaving and row.leaving_since is None:
            row.leaving_since = trio.current_time()
            self.log.change("endpoint_leaving", endpoint=name, group=entry.group)
        elif not entry.leaving:
            row.leaving_since = None

    def _share_of(self, row: EndpointRow) -> Callable[[], int]:
        def share() -> int:
            return self.share_of_group(row.entry.group)

        return share

    def rows_of(self, group: str) -> list[EndpointRow]:
        """Return the endpoints of ``group`` that are registered."""
        return [row for row in self.rows.values() if row.entry.group == group and not row.gone]

    def is_endpoint(self, address: str) -> bool:
        """Return whether a registered endpoint listens at ``address``."""
        return any(row.entry.address == address for row in self.rows.values() if not row.gone)

    def pool(self, row: EndpointRow) -> EndpointPool:
        """Return the connections to an endpoint."""
        return self.pools[row.name]

    def busy(self, group: str) -> dict[str, int]:
        """Return this box's statements per endpoint of ``group``, running or waiting."""
        return {row.name: self.pools[row.name].in_use for row in self.rows_of(group)}

    # Leadership ---------------------------------------------------------

    def lead(self, group: str) -> str | None:
        """Return the primary that the record names, even while it is being replaced."""
        match self.leases.record.groups.get(group):
            case Leading(endpoint):
                return endpoint
            case Moving(old):
                return old.endpoint
            case _:
                return None

    def startable(self, group: str) -> EndpointRow | None:
        """Return the primary that new writes and primary reads may be sent to now."""
        lease = self.leases.may_start(group, trio.current_time())
        row = self.rows.get(lease.endpoint) if lease is not None else None
        if row is None or not row.may_still_lead(trio.current_time()):
            return None
        return row

    def may_acknowledge(self, row: EndpointRow) -> bool:
        """Return whether ``row`` surely is the only primary of its group now."""
        return self.leases.may_acknowledge(row.entry.group, row.name, trio.current_time())

    async def confirmed(self, row: EndpointRow, timeout_s: float) -> bool:
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
            case Moving(planned=True) | Moving(ordered=True):
                return True
            case Moving():
                # Decided within moments, or else a silent box's lease is waited for.
                return now - self._record_at < RECORD_EXPECTED_S
            case Leading(endpoint):
                row = self.rows.get(endpoint)
                if row is not None and row.unreachable_since is not None:
                    return now - row.unreachable_since < PRIMARY_EXPECTED_S
                lease = self.leases.last_lease(group)
                return lease is None or now - lease.checked_at < LEASE_S + RECORD_EXPECTED_S
            case None:
                return True

    def primary_outlook(self, group: str) -> PrimaryOutlook:
        """Return what is known of a primary that cannot be used now."""
        now = trio.current_time()
        match self.leases.record.groups.get(group):
            case Moving(planned=planned, ordered=ordered):
                since = self._record_at if self._changing_since is None else self._changing_since
                return PrimaryOutlook(now - since, planned or ordered)
            case Leading(endpoint) if endpoint in self.rows:
                silent_at = self.rows[endpoint].unreachable_since
                return PrimaryOutlook(silent_s=None if silent_at is None else now - silent_at)
            case _:
                return PrimaryOutlook()

    def _time_changes(self) -> None:
        """Learn how long changes of primary take."""
        now = trio.current_time()
        if self.leases.record.moving:
            self._changing_since = now if self._changing_since is None else self._changing_since
        elif self._changing_since is not None:
            took_s = now - self._changing_since
            self.change_s += CHANGE_WEIGHT * (took_s - self.change_s)
            self._changing_since = None

    def is_usable(self, row: EndpointRow) -> bool:
        """Return whether a statement sent to ``row`` now is likely to be answered."""
        return not row.is_suspect(trio.current_time()) or self.way_to(row) is not None

    def way_to(self, row: EndpointRow) -> str | None:
        """Return the address of a box through which ``row`` is reached, if one is known."""
        return self.pools[row.name].via

    async def leadership_changed(self) -> None:
        """Wait until something about endpoints, leases or the configuration changes."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake everyone who waits for a change."""
        if self._record_seen != self.leases.record.revision:
            self._record_seen = self.leases.record.revision
            self._record_at = trio.current_time()
            self._time_changes()
        self._changed.set()
        self._changed = trio.Event()

    # Fresh points -------------------------------------------------------

    def points(self, group: str) -> FreshPoints:
        """Return the log positions known of ``group``'s present primary."""
        lead = self.lead(group) or ""
        known = self._points.get(group)
        if known is None or known[0] != lead:
            known = self._points[group] = (lead, FreshPoints())
        return known[1]

    def learn_point(self, row: EndpointRow, position: LogPosition | None, asked_at: float) -> None:
        """Note the primary's log position in an answer to what was asked at ``asked_at``."""
        self.figures.statements[row.name, "done"] += 1
        if position is not None and self.may_acknowledge(row):
            self.points(row.entry.group).add(FreshPoint(asked_at, position))

    def told_points(self) -> dict[str, tuple[str, int, int, int]]:
        """Return each primary's newest known log position, with its age, for another box."""
        now = trio.current_time()
        told = {}
        for group, state in self.leases.record.groups.items():
            newest = self.points(group).newest
            if isinstance(state, Leading) and newest is not None:
                position = newest.position
                age_ms = int((now - newest.at) * 1000) + 1
                told[group] = (state.endpoint, position.term, position.index, age_ms)
        return told

    def take_points(self, told: dict[str, tuple[str, int, int, int]], asked_at: float) -> None:
        """Take in the log positions that another box told when asked at ``asked_at``."""
        for group, (lead, term, index, age_ms) in told.items():
            if lead == self.lead(group):
                # The age counts back from the answer, which came after the question.
                at = asked_at - age_ms / 1000
                self.points(group).add(FreshPoint(at, LogPosition(term, index)))

    def learn_refusal(self, row: EndpointRow, refusal: Refusal, after: LogPosition | None) -> None:
        """Note what an endpoint's refusal tells of it."""
        self.figures.statements[row.name, refusal.kind.value] += 1
        match refusal.kind:
            case RefusalKind.REPLICA_BEHIND if after is not None:
                row.refused_as_behind(after, trio.current_time())
            case RefusalKind.NOT_PRIMARY:
                self.check_soon.set()
            case _:
                pass

    # Work under way -----------------------------------------------------

    def transaction_began(self, group: str) -> None:
        """Count a transaction that may write and is open on the primary."""
        self._activity[group].transactions += 1

    def transaction_ended(self, group: str) -> None:
        """Count a transaction's end."""
        self._activity[group].transactions -= 1
        self.wake()

    def write_began(self, group: str) -> None:
        """Count a single write of this box."""
        self._activity[group].writes += 1

    def write_ended(self, group: str) -> None:
        """Count a single write's end."""
        self._activity[group].writes -= 1
        self.wake()

    def is_quiet(self, group: str) -> bool:
        """Return whether no write or transaction of this box is under way in ``group``."""
        activity = self._activity[group]
        return activity.writes == 0 and activity.transactions == 0

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
