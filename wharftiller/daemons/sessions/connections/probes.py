"""Probes of unresponsive endpoints and of primaries without recent contact."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.statements import Demote, EndpointQuery
from wharftiller.daemons.sessions.membership.boxes import CONTACT_RECENT_S

if TYPE_CHECKING:
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.statements import EndpointStatus
    from wharftiller.daemons.sessions.interfaces import EndpointDialer
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

PROBE_POLL_S = 0.3
"""Interval between searches for endpoints to probe, in seconds."""

STATUS_TIMEOUT_S = 0.6
"""Time-out for a connection and a status request, in seconds."""

DIRECT_RETRY_S = 0.7
"""Interval between direct connection attempts while a relay is in use, in seconds."""

QUIET_PRIMARY_S = 0.8
"""Time without known contact of any box after which a primary is probed, in seconds."""

CHECK_TIMEOUT_S = 0.4
"""Time-out for a status that another box waits for, in seconds; within its renewal time-out."""

PROBE_PRIORITY = 0
"""Priority of probes: before statements that wait for a connection."""


class Prober:
    """Probes endpoints of which this box has no recent contact."""

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        dialer: EndpointDialer,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._dialer = dialer
        self._nursery = nursery
        self._probing: set[str] = set()

    async def run(self) -> None:
        """Probe endpoints until cancelled."""
        while True:
            await trio.sleep(PROBE_POLL_S)
            now = trio.current_time()
            primaries = {self._state.lead(group) for group in self._state.leases.record.groups}
            for row in list(self._state.endpoints.rows.values()):
                if (row.gone and row.name not in primaries) or row.name in self._probing:
                    continue
                if not self._state.serves_group(row.entry.group):
                    # Probed by its gateways: its connections are scarce.
                    continue
                is_quiet_primary = row.name in primaries and self._lacks_contact(row, now)
                if row.is_suspect(now) or is_quiet_primary:
                    self._probing.add(row.name)
                    self._nursery.start_soon(self._probe, row, row.name in primaries)
                elif self._state.endpoints.relay_for(row) is not None:
                    self._probing.add(row.name)
                    self._nursery.start_soon(self._try_direct, row)

    def _lacks_contact(self, row: EndpointRow, now: float) -> bool:
        """Return whether no recent contact with the primary is known, by this or another box."""
        newest = self._state.positions.of_group(row.entry.group).newest
        reported_at = -math.inf if newest is None else newest.at
        return now - max(row.last_contact_at, reported_at) > QUIET_PRIMARY_S

    async def check(self, names: list[str]) -> None:
        """Request the state of endpoints without recent contact, on behalf of another box.

        Endpoints that have been unresponsive for a while are left out: they are probed
        regularly, and the other box need not wait for one more time-out.
        """
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for name in names:
                row = self._state.endpoints.rows.get(name)
                if row is None or now - row.last_contact_at <= CONTACT_RECENT_S / 2:
                    continue
                if not self._state.serves_group(row.entry.group):
                    continue
                unreachable_since = row.unreachable_since
                if unreachable_since is None or now - unreachable_since < STATUS_TIMEOUT_S:
                    nursery.start_soon(self._check, row)

    async def _check(self, row: EndpointRow) -> None:
        try:
            with trio.move_on_after(CHECK_TIMEOUT_S):
                await self.status(row)
        except (ExchangeError, EndpointRefusedError) as error:
            self._state.log.event("no_status", endpoint=row.name, why=str(error))

    async def _probe(self, row: EndpointRow, is_primary: bool) -> None:
        unreachable_before = row.unreachable_since
        try:
            await self.status(row)
        except (ExchangeError, EndpointRefusedError) as error:
            if unreachable_before is None:
                self._state.log.event("endpoint_silent", endpoint=row.name, why=str(error))
            if is_primary:
                self._switch_relay(row)
        else:
            if unreachable_before is not None:
                self._state.log.change("endpoint_answers", endpoint=row.name)
                self._state.wake()
        finally:
            self._probing.discard(row.name)

    def _switch_relay(self, row: EndpointRow) -> None:
        """Switch an unresponsive primary to a relay, or back to direct connections."""
        pool = self._state.endpoints.pool(row)
        relay = None if pool.via is not None else self._directory.relay_to(row.name)
        if relay != pool.via:
            pool.set_relay(relay)
            self._state.log.change("way_changed", endpoint=row.name, via=relay)
            self._state.wake()

    async def _try_direct(self, row: EndpointRow) -> None:
        """Switch back to direct connections if one can be opened."""
        try:
            with trio.move_on_after(STATUS_TIMEOUT_S):
                link = await self._dialer.open(row.entry)
                link.close()
                self._state.endpoints.pool(row).set_relay(None)
                self._state.log.change("way_changed", endpoint=row.name, via=None)
        except (ExchangeError, EndpointRefusedError) as error:
            self._state.log.event("direct_way_fails", endpoint=row.name, why=str(error))
        finally:
            await trio.sleep(DIRECT_RETRY_S)
            self._probing.discard(row.name)

    async def status(self, row: EndpointRow) -> EndpointStatus | None:
        """Return the endpoint's state, or None if it is too busy to report it.

        Raises
        ------
        ExchangeError
            If it does not answer in time.
        EndpointRefusedError
            If it refuses the connection.
        """
        started = trio.current_time()
        pool = self._state.endpoints.pool(row)
        had_idle = pool.has_idle
        with trio.move_on_after(STATUS_TIMEOUT_S):
            try:
                status = await self._fetch_status(row)
            except ExchangeError:
                if not had_idle:
                    raise
                # The idle connection may be stale: retry once on a new one.
                pool.drop_idle()
                status = await self._fetch_status(row)
            row.record_contact(trio.current_time())
            if status is not None and status.leads and self._state.may_acknowledge(row):
                self._state.positions.learn(row.entry.group, status.received, started)
            return status
        row.record_unreachable(started)
        pool.drop_idle()
        raise ExchangeError(f"{row.name} reported no state within {STATUS_TIMEOUT_S} s")

    async def _fetch_status(self, row: EndpointRow) -> EndpointStatus | None:
        started = trio.current_time()
        pool = self._state.endpoints.pool(row)
        connection = await pool.acquire_for_box(PROBE_PRIORITY, STATUS_TIMEOUT_S)
        try:
            status = await connection.link.status()
        except BaseException:
            connection.close()
            row.record_unreachable(started)
            raise
        connection.release()
        return status

    def start_demotion(self, endpoint: str, term: int) -> None:
        """Start demoting a former primary; an unreachable one is only logged."""
        self._nursery.start_soon(self._demote, endpoint, term)

    async def _demote(self, endpoint: str, term: int) -> None:
        row = self._state.endpoints.rows.get(endpoint)
        if row is None or row.gone:
            return
        try:
            with trio.move_on_after(STATUS_TIMEOUT_S):
                pool = self._state.endpoints.pool(row)
                connection = await pool.acquire_for_box(PROBE_PRIORITY, STATUS_TIMEOUT_S)
                try:
                    await connection.ask(EndpointQuery(Demote(term)))
                finally:
                    connection.release()
                self._state.log.change("old_primary_demoted", endpoint=endpoint, term=term)
        except (ExchangeError, EndpointRefusedError) as error:
            self._state.log.event("demote_failed", endpoint=endpoint, why=str(error))
