"""The known endpoints and this box's connections to each."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.sessions.endpoints import EndpointRow
from wharftiller.core.sessions.state_versions import digest_of
from wharftiller.daemons.sessions.connections.pool import EndpointPool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wharftiller.core.sessions.metrics import SessionMetrics
    from wharftiller.core.sessions.routes import EndpointEntry
    from wharftiller.daemons.sessions.interfaces import EndpointDialer
    from wharftiller.decisions import DecisionLog


class EndpointTable:
    """The endpoints that this box knows, including removed ones.

    Parameters
    ----------
    changed : callable
        Called when the list changes.

    Attributes
    ----------
    rows, pools : dict
        Every endpoint, and the connections to it, by name.
    revision, digest : int
        The platform's revision of the list in force, and its checksum.
    share_of_group : callable
        Returns how many connections this box may keep to an endpoint of a group; set by
        `Gateways`.
    """

    def __init__(
        self,
        dialer: EndpointDialer,
        log: DecisionLog,
        metrics: SessionMetrics,
        on_change: Callable[[], None],
    ) -> None:
        self._dialer = dialer
        self._metrics = metrics
        self._log = log
        self._on_change = on_change
        self.rows: dict[str, EndpointRow] = {}
        self.pools: dict[str, EndpointPool] = {}
        self.revision = 0
        self.digest = digest_of(())
        self.share_of_group: Callable[[str], int] = lambda group: 1

    # The list -----------------------------------------------------------

    def take(self, entries: Iterable[EndpointEntry], revision: int) -> bool:
        """Apply the complete list of registered endpoints as of the platform's ``revision``.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if revision <= self.revision:
            return False
        listed = {entry.name: entry for entry in entries}
        digest = digest_of(listed.values())
        has_returned = any(row.gone for name, row in self.rows.items() if name in listed)
        if digest == self.digest and not has_returned:
            return False
        self.revision = revision
        for name, entry in listed.items():
            self._update_entry(name, entry)
        now = trio.current_time()
        for name, row in self.rows.items():
            if name not in listed and row.missing_since is None:
                row.missing_since = now
        self.digest = digest
        self.expire(now)
        self._on_change()
        return True

    def expire(self, now: float) -> None:
        """Mark as gone the endpoints that have been missing from the list for long enough."""
        for name, row in self.rows.items():
            if not row.gone and row.is_presumed_removed(now):
                row.gone = True
                row.leaving_since = row.leaving_since or row.missing_since or now
                self._log.change("endpoint_gone", endpoint=name, group=row.entry.group)
                self._on_change()

    def _update_entry(self, name: str, entry: EndpointEntry) -> None:
        row = self.rows.get(name)
        if row is None:
            row = self.rows[name] = EndpointRow(entry)
            pool = EndpointPool(row, self._dialer, self._share_of(row))
            self.pools[name] = pool
            self._metrics.connections[name] = pool.counts
            self._log.change("endpoint_found", endpoint=name, group=entry.group, leads=entry.leads)
        if row.update_entry(entry):
            self._log.change("endpoint_started_again", endpoint=name, group=entry.group)
            self.pools[name].drop_idle()
        row.gone = False
        row.missing_since = None
        if entry.leaving and row.leaving_since is None:
            row.leaving_since = trio.current_time()
            self._log.change("endpoint_leaving", endpoint=name, group=entry.group)
        elif not entry.leaving:
            row.leaving_since = None

    def _share_of(self, row: EndpointRow) -> Callable[[], int]:
        def share() -> int:
            return self.share_of_group(row.entry.group)

        return share

    # Looking up ---------------------------------------------------------

    def of_group(self, group: str) -> list[EndpointRow]:
        """Return the endpoints of ``group`` that are registered."""
        return [row for row in self.rows.values() if row.entry.group == group and not row.gone]

    def is_endpoint(self, address: str) -> bool:
        """Return whether a registered endpoint listens at ``address``."""
        return any(row.entry.address == address for row in self.rows.values() if not row.gone)

    def pool(self, row: EndpointRow) -> EndpointPool:
        """Return the connection pool of an endpoint."""
        return self.pools[row.name]

    def in_use(self, group: str) -> dict[str, int]:
        """Return this box's count of running and waiting statements per endpoint of ``group``."""
        return {row.name: self.pools[row.name].in_use for row in self.of_group(group)}

    def with_idle_connection(self, group: str, workspace: str) -> set[str]:
        """Return the endpoints of ``group`` that have an idle connection for ``workspace``.

        With an empty name, for connections shared by all callers, returns every endpoint.
        """
        rows = self.of_group(group)
        if not workspace:
            return {row.name for row in rows}
        return {row.name for row in rows if self.pools[row.name].has_idle_for(workspace)}

    def relay_for(self, row: EndpointRow) -> str | None:
        """Return the address of the box that relays connections to ``row``, or None."""
        return self.pools[row.name].via

    def is_usable(self, row: EndpointRow) -> bool:
        """Return whether ``row`` would probably answer a statement sent now."""
        return not row.is_suspect(trio.current_time()) or self.relay_for(row) is not None
