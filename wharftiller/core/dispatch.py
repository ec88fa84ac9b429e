"""Send queued requests on connections, opened within the box's connection share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core import answers
from wharftiller.core.connection_shares import connection_share
from wharftiller.core.messages import CloseConnection, OpenConnection, SendStatement
from wharftiller.core.queueing import QueueKind
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.reports import request_report
from wharftiller.core.routing import replica_exclusion, replicas_of
from wharftiller.core.tables import ConnectionRow, ConnectionState, Phase

if TYPE_CHECKING:
    from wharftiller.core.tables import GroupRow, RequestRow, ServerRow, Tables

MIN_STATEMENT_DEADLINE_MS = 1


def dispatch(tables: Tables, group: GroupRow, now: float) -> None:
    """Send the requests of ``group`` that can be sent and open missing connections."""
    _dispatch_replicas(tables, group, now)
    _dispatch_primary(tables, group, now)


def _dispatch_replicas(tables: Tables, group: GroupRow, now: float) -> None:
    queue = group.queues.by_kind[QueueKind.REPLICA_LOOKUP]
    if not queue:
        return
    servers = _least_loaded_first(tables, replicas_of(tables, group))
    for server in servers:
        if not queue:
            return

        def is_eligible(key: int, server: ServerRow = server) -> bool:
            return replica_exclusion(tables, server, tables.requests[key], now) is None

        while (connection := _idle_connection(tables, server)) is not None:
            key = queue.pop(is_eligible)
            if key is None:
                break
            group.queues.service_intervals[QueueKind.REPLICA_LOOKUP].record_served(now, len(queue))
            _send_or_refuse(tables, tables.requests[key], server, connection, 0, now)
        if queue and any(is_eligible(key) for key in queue.items()[:8]):
            _open_connections(tables, server, len(queue), now)


def _least_loaded_first(tables: Tables, servers: list[ServerRow]) -> list[ServerRow]:
    """Return ``servers`` by the number of this box's running statements, ties at random."""
    return sorted(servers, key=lambda server: (_count_busy(tables, server), tables.random.random()))


def _count_busy(tables: Tables, server: ServerRow) -> int:
    return _count_in_state(tables, server, ConnectionState.BUSY)


def _count_in_state(tables: Tables, server: ServerRow, state: ConnectionState) -> int:
    """Return how many of this box's connections to ``server`` are in ``state``."""
    return sum(1 for number in server.connections if tables.connections[number].state is state)


def _dispatch_primary(tables: Tables, group: GroupRow, now: float) -> None:
    server = tables.primary_of(group)
    if server is None or now < group.hold_until:
        return
    if server.is_quiescing:
        request_report(tables, server, now)
    queues = group.queues.by_kind
    while True:
        queue_kind = _next_primary_queue(tables, group, server)
        if queue_kind is None:
            return
        connection = _idle_connection(tables, server)
        if connection is None:
            waiting = sum(len(queues[each]) for each in _PRIMARY_QUEUES)
            _open_connections(tables, server, waiting, now)
            return
        key = queues[queue_kind].pop()
        assert key is not None
        group.queues.service_intervals[queue_kind].record_served(now, len(queues[queue_kind]))
        _send_or_refuse(tables, tables.requests[key], server, connection, group.term, now)


_PRIMARY_QUEUES = (QueueKind.SETTLING, QueueKind.BOOKING, QueueKind.PRIMARY_LOOKUP)


def _next_primary_queue(tables: Tables, group: GroupRow, server: ServerRow) -> QueueKind | None:
    for queue_kind in _PRIMARY_QUEUES:
        if not group.queues.by_kind[queue_kind]:
            continue
        if queue_kind is not QueueKind.PRIMARY_LOOKUP and server.is_quiescing:
            continue
        if queue_kind is QueueKind.PRIMARY_LOOKUP and not _may_run_lookup(tables, group, server):
            return None
        return queue_kind
    return None


def _may_run_lookup(tables: Tables, group: GroupRow, server: ServerRow) -> bool:
    """Return whether one more lookup may run on the primary.

    Of two or more connections, one is reserved for bookings. The lookups of all
    boxes together are limited to about the primary's slots, so that few run
    ahead of a booking.
    """
    spec = group.spec
    share = connection_share(tables, spec.max_connections)
    slots = spec.slots // max(len(tables.boxes_seen), 1)
    lookups = 0
    for number in server.connections:
        key = tables.connections[number].request
        row = tables.requests.get(key) if key is not None else None
        if row is not None and not row.is_booking:
            lookups += 1
    return lookups < max(1, min(share - 1, slots))


def may_pin(tables: Tables, group: GroupRow, server: ServerRow) -> bool:
    """Return whether a transaction may pin one more connection to ``server``."""
    share = connection_share(tables, group.spec.max_connections)
    pinned = _count_in_state(tables, server, ConnectionState.PINNED)
    return pinned < max(1, share - 1)


def _idle_connection(tables: Tables, server: ServerRow) -> ConnectionRow | None:
    for number in server.connections:
        connection = tables.connections[number]
        if connection.state is ConnectionState.IDLE:
            return connection
    return None


def _open_connections(tables: Tables, server: ServerRow, waiting: int, now: float) -> None:
    if now < server.retry_connect_at:
        return
    spec = tables.groups[server.group].spec
    share = connection_share(tables, spec.max_connections)
    opening = _count_in_state(tables, server, ConnectionState.OPENING)
    missing = min(share - len(server.connections), waiting - opening)
    for _ in range(missing):
        open_connection(tables, server)


def open_connection(tables: Tables, server: ServerRow) -> None:
    """Open one connection to ``server``."""
    number = tables.next_number()
    tables.connections[number] = ConnectionRow(number, server.name)
    server.connections.append(number)
    tables.emit(OpenConnection(number, server.name, server.address))
    tables.count("connections.opened")


def remove_connection(tables: Tables, connection: ConnectionRow) -> None:
    """Remove a closed connection and the transaction that pinned it from the tables."""
    tables.connections.pop(connection.number, None)
    tables.transactions.pop(connection.transaction or "", None)
    server = tables.servers.get(connection.endpoint)
    if server is not None and connection.number in server.connections:
        server.connections.remove(connection.number)


def close_connection(tables: Tables, connection: ConnectionRow) -> None:
    """Close a connection at once; an answer outstanding on it is discarded."""
    remove_connection(tables, connection)
    tables.emit(CloseConnection(connection.number))


def _send_or_refuse(
    tables: Tables,
    row: RequestRow,
    server: ServerRow,
    connection: ConnectionRow,
    term: int,
    now: float,
) -> None:
    """Send ``row``, or refuse it if it waited and can no longer meet its deadline."""
    remaining_s = row.deadline_at - now
    has_waited = now > row.arrived_at
    if not has_waited or row.may_have_run or remaining_s >= server.likely_service_s:
        _send(tables, row, server, connection, term, now)
        return
    detail = (
        f"{remaining_s * 1000:.0f} ms are left, {server.name} takes about "
        f"{server.likely_service_s * 1000:.0f} ms; come back after retry_after_ms"
    )
    reason = Reason(ReasonKind.DEADLINE_OUT_OF_REACH, detail, server.name)
    retry_after_ms = answers.jittered(tables, server.likely_service_s * 1000)
    answers.finish_not_run(tables, row, reason, retry_after_ms, now)


def _send(
    tables: Tables,
    row: RequestRow,
    server: ServerRow,
    connection: ConnectionRow,
    term: int,
    now: float,
) -> None:
    connection.state = ConnectionState.BUSY
    send_on(tables, row, connection, term, now)
    if row.allowed_age_s is not None:
        _request_fresh_point(tables, row, now)
    elif not row.is_booking:
        _request_confirmation(tables, row, server, now)


def send_on(
    tables: Tables, row: RequestRow, connection: ConnectionRow, term: int, now: float
) -> None:
    """Send the statement of ``row`` on ``connection``."""
    connection.request = row.key
    row.phase = Phase.SENT
    row.connection = connection.number
    row.endpoint = connection.endpoint
    row.sent_at = now
    row.sent_term = term
    row.answer = None
    kind = ReasonKind.PRIMARY_CHOSEN if term else ReasonKind.REPLICA_CHOSEN
    row.add_step(kind, f"sent to {connection.endpoint}, term {term}", connection.endpoint)
    deadline_ms = max(MIN_STATEMENT_DEADLINE_MS, round((row.deadline_at - now) * 1000))
    tables.emit(
        SendStatement(
            connection.number,
            row.request.request_id,
            row.request.business,
            row.action,
            row.request.statement,
            term,
            deadline_ms,
        )
    )


def _request_fresh_point(tables: Tables, row: RequestRow, now: float) -> None:
    """Request reports, so that a recent fresh point is known when the answer arrives."""
    assert row.allowed_age_s is not None
    group = tables.groups[row.group]
    newest = group.fresh_points.newest
    if newest is not None and now - newest.at <= row.allowed_age_s / 2:
        return
    for name in group.servers:
        request_report(tables, tables.servers[name], now)


def _request_confirmation(tables: Tables, row: RequestRow, server: ServerRow, now: float) -> None:
    group = tables.groups[row.group]
    for name in group.servers:
        if name != server.name:
            request_report(tables, tables.servers[name], now)


def trim_connections(tables: Tables, now: float) -> None:
    """Close idle connections beyond the box's share and idle ones to leaving replicas."""
    for server in tables.servers.values():
        spec = tables.groups[server.group].spec
        share = connection_share(tables, spec.max_connections)
        if server.is_leaving and tables.groups[server.group].primary != server.name:
            share = 0
        excess = len(server.connections) - share
        for number in list(server.connections):
            connection = tables.connections[number]
            if excess > 0 and connection.state is ConnectionState.IDLE:
                close_connection(tables, connection)
                excess -= 1
