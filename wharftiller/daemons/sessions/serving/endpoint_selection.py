"""Select the endpoint for a statement and acquire a connection to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.retry_after import (
    SHORT_RETRY_AFTER_S,
    Cause,
    primary_retry_after_s,
    queue_retry_after_s,
)
from wharftiller.core.sessions.routing import AnyReplica, need_of_read, replica_order
from wharftiller.core.sessions.statements import RefusalKind
from wharftiller.core.sessions.wait_limits import wait_limit
from wharftiller.daemons.sessions.serving.routed import NoCapacityError, StatementRefusedError

if TYPE_CHECKING:
    from collections.abc import Set

    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
    from wharftiller.daemons.sessions.serving.routed import RoutedStatement
    from wharftiller.daemons.sessions.state import SharedState

HOLD_FOR_PRIMARY_S = 0.7
"""Maximum time that a statement waits for a primary during a failover, in seconds.

Covers a promotion and the update of its record; a route's time-out may end it sooner.
"""


class EndpointSelector:
    """Selects endpoints by this box's view of the groups."""

    def __init__(self, state: SharedState) -> None:
        self._state = state

    async def for_read(
        self, routed: RoutedStatement, begun_at: float, tried: Set[str] = frozenset()
    ) -> tuple[EndpointRow, LogPosition | None]:
        """Return the endpoint for a read and the log position that it must have reached.

        Parameters
        ----------
        begun_at : float
            When the read or its transaction began, in seconds.
        tried : set of str
            Names of replicas to exclude.

        Raises
        ------
        StatementRefusedError
            If the read needs the primary and it cannot be used.
        """
        route = routed.route
        need = need_of_read(
            route, routed.session, self._state.positions.of_group(route.group), begun_at
        )
        if isinstance(need, AnyReplica):
            row = self._replica(routed, need, tried)
            if row is not None:
                primary = self._state.usable_primary(route.group)
                return row, None if row is primary else need.position
        return await self.primary(routed), None

    def _replica(
        self, routed: RoutedStatement, need: AnyReplica, tried: Set[str]
    ) -> EndpointRow | None:
        state = self._state
        route = routed.route
        now = trio.current_time()
        ordered = replica_order(
            state.endpoints.of_group(route.group),
            need.position,
            state.lead(route.group),
            state.data_centre,
            state.endpoints.in_use(route.group),
            state.endpoints.with_idle_connection(route.group, routed.session.workspace_name),
            now,
        )
        return next((row for row in ordered if row.name not in tried), None)

    def can_read_elsewhere(self, routed: RoutedStatement, tried: Set[str]) -> bool:
        """Return whether an endpoint outside ``tried`` can probably run a read now."""
        state = self._state
        route = routed.route
        need = need_of_read(
            route, routed.session, state.positions.of_group(route.group), routed.arrived_at
        )
        if isinstance(need, AnyReplica) and self._replica(routed, need, tried) is not None:
            return True
        primary = state.usable_primary(route.group)
        return (
            primary is not None and primary.name not in tried and state.endpoints.is_usable(primary)
        )

    async def primary(self, routed: RoutedStatement) -> EndpointRow:
        """Return the primary, waiting up to `HOLD_FOR_PRIMARY_S` during a failover.

        Raises
        ------
        StatementRefusedError
            If no primary can be used in time.
        """
        state = self._state
        group = routed.route.group
        hold_until = min(routed.until, trio.current_time() + HOLD_FOR_PRIMARY_S)
        with trio.move_on_at(hold_until):
            while True:
                row = state.usable_primary(group)
                if row is not None and state.endpoints.is_usable(row):
                    return row
                if not state.primary_expected(group):
                    break
                await state.wait_for_change()
        availability = state.primary_availability(group)
        after_s = primary_retry_after_s(availability, state.failover_s)
        detail = f"no primary of {group} can be used now"
        raise StatementRefusedError(RefusalKind.NO_CAPACITY, detail, availability.cause, after_s)

    async def connect(self, routed: RoutedStatement, row: EndpointRow) -> PooledConnection:
        """Return a connection to ``row``.

        Raises
        ------
        StatementRefusedError
            If no connection is available.
        """
        try:
            route = routed.route
            limit = wait_limit(routed.arrived_at, route.latency_goal_s, trio.current_time())
            return await self._state.endpoints.pool(row).acquire(
                routed.session, route.priority, routed.arrived_at, limit
            )
        except EndpointRefusedError as error:
            if error.at_limit and error.queue_s is not None:
                after_s = queue_retry_after_s(error.queue_s)
                raise NoCapacityError(str(error), Cause.QUEUE, after_s) from error
            if error.at_limit:
                raise NoCapacityError(
                    str(error), Cause.ENDPOINT_FULL, SHORT_RETRY_AFTER_S
                ) from error
            raise StatementRefusedError(
                RefusalKind.NO_CAPACITY, str(error), Cause.ENDPOINT_REFUSED
            ) from error
        except ExchangeError as error:
            raise StatementRefusedError(
                RefusalKind.NO_CAPACITY, str(error), Cause.NO_CONNECTION
            ) from error
