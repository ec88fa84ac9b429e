"""Put waiting requests on connections, and open connections within the box's share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core import answers
from wharftiller.core.messages import CloseConnection, OpenConnection, SendStatement
from wharftiller.core.queueing import Line
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.reports import want_report
from wharftiller.core.routing import replica_objection, replicas_of
from wharftiller.core.shares import connection_share
from wharftiller.core.tables import ConnectionRow, ConnectionState, Phase

if TYPE_CHECKING:
    from wharftiller.core.tables import GroupRow, RequestRow, ServerRow, Tables

MINIMUM_SEND_MS = 1


def dispatch(tables: Tables, group: GroupRow, now: float) -> None:
    """Send what can be sent for ``group`` and open the connections that are missed."""
    _dispatch_replicas(tables, group, now)
    _dispatch_primary(tables, group, now)


def _dispatch_replicas(tables: Tables, group: GroupRow, now: float) -> None:
    line = group.queue.lines[Line.REPLICA_LOOKUP]
    if not line:
        return
    servers = _least_loaded_first(tables, replicas_of(tables, group))
    for server in servers:
        if not line:
            return

        def fits(key: int, server: ServerRow = server) -> bool:
            return replica_objection(tables, server, tables.requests[key], now) is None

        while (connection := _idle_connection(tables, server)) is not None:
            key = line.pop(fits)
            if key is None:
                break
            group.queue.drains[Line.REPLICA_LOOKUP].take(now, len(line))
            _send_or_give_up(tables, tables.requests[key], server, connection, 0, now)
        if line and any(fits(key) for key in line.items()[:8]):
            _open_missing(tables, server, len(line), now)


def _least_loaded_first(tables: Tables, servers: list[ServerRow]) -> list[ServerRow]:
    """Return ``servers`` by how many of this box's statements they run, ties at random."""
    return sorted(servers, key=lambda server: (_busy(tables, server), tables.random.random()))


def _busy(tables: Tables, server: ServerRow) -> int:
    return _count_in_state(tables, server, ConnectionState.BUSY)


def _count_in_state(tables: Tables, server: ServerRow, state: ConnectionState) -> int:
    """Return how many of this box's connections to ``server`` are in ``state``."""
    return sum(1 for number in server.connections if tables.connections[number].state is state)


def _dispatch_primary(tables: Tables, group: GroupRow, now: float) -> None:
    server = tables.primary_of(group)
    if server is None or now < group.hold_until:
        return
    if server.is_quiescing:
        want_report(tables, server, now)
    lines = group.queue.lines
    while True:
        line = _next_primary_line(tables, group, server)
        if line is None:
            return
        connection = _idle_connection(tables, server)
        if connection is None:
            waiting = sum(len(lines[each]) for each in _PRIMARY_LINES)
            _open_missing(tables, server, waiting, now)
            return
        key = lines[line].pop()
        assert key is not None
        group.queue.drains[line].take(now, len(lines[line]))
        _send_or_give_up(tables, tables.requests[key], server, connection, group.term, now)


_PRIMARY_LINES = (Line.SETTLING, Line.BOOKING, Line.PRIMARY_LOOKUP)


def _next_primary_line(tables: Tables, group: GroupRow, server: ServerRow) -> Line | None:
    for line in _PRIMARY_LINES:
        if not group.queue.lines[line]:
            continue
        if line is not Line.PRIMARY_LOOKUP and server.is_quiescing:
            continue
        if line is Line.PRIMARY_LOOKUP and not _lookup_may_use(tables, group, server):
            return None
        return line
    return None


def _lookup_may_use(tables: Tables, group: GroupRow, server: ServerRow) -> bool:
    """Return whether one more lookup may run on the primary.

    One connection is kept free of lookups, where there are two, and all boxes'
    lookups together are kept near the primary's slots, so that a booking finds
    few of them before it.
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
    """Return whether one more connection to ``server`` may be held by a transaction."""
    share = connection_share(tables, group.spec.max_connections)
    pinned = _count_in_state(tables, server, ConnectionState.PINNED)
    return pinned < max(1, share - 1)


def _idle_connection(tables: Tables, server: ServerRow) -> ConnectionRow | None:
    for number in server.connections:
        connection = tables.connections[number]
        if connection.state is ConnectionState.IDLE:
            return connection
    return None


def _open_missing(tables: Tables, server: ServerRow, waiting: int, now: float) -> None:
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


def forget_connection(tables: Tables, connection: ConnectionRow) -> None:
    """Drop the row of a connection that is gone, and of the transaction it was pinned to."""
    tables.connections.pop(connection.number, None)
    tables.transactions.pop(connection.transaction or "", None)
    server = tables.servers.get(connection.endpoint)
    if server is not None and connection.number in server.connections:
        server.connections.remove(connection.number)


def close_connection(tables: Tables, connection: ConnectionRow) -> None:
    """Close a connection at once; an answer owed on it is never delivered."""
    forget_connection(tables, connection)
    tables.emit(CloseConnection(connection.number))


def _send_or_give_up(
    tables: Tables,
    row: RequestRow,
    server: ServerRow,
    connection: ConnectionRow,
    term: int,
    now: float,
) -> None:
    """Send ``row`` unless it has waited and can no longer be answered in time."""
    left_s = row.deadline_at - now
    waited = now > row.arrived_at
    if not waited or row.uncertain or left_s >= server.likely_service_s:
        _send(tables, row, server, connection, term, now)
        return
    detail = (
        f"{left_s * 1000:.0f} ms are left, {server.name} takes about "
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
        _want_fresh_point(tables, row, now)
    elif not row.is_booking:
        _want_confirmation(tables, row, server, now)


def send_on(
    tables: Tables, row: RequestRow, connection: ConnectionRow, term: int, now: float
) -> None:
    """Send ``row`` on ``connection`` and wait for the answer."""
    connection.request = row.key
    row.phase = Phase.SENT
    row.connection = connection.number
    row.endpoint = connection.endpoint
    row.sent_at = now
    row.sent_term = term
    row.answer = None
    kind = ReasonKind.PRIMARY_CHOSEN if term else ReasonKind.REPLICA_CHOSEN
    row.note(kind, f"sent to {connection.endpoint}, term {term}", connection.endpoint)
    deadline_ms = max(MINIMUM_SEND_MS, round((row.deadline_at - now) * 1000))
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


def _want_fresh_point(tables: Tables, row: RequestRow, now: float) -> None:
    """Have a fresh point ready by the time a replica's answer comes."""
    assert row.allowed_age_s is not None
    group = tables.groups[row.group]
    newest = group.fresh.newest
    if newest is not None and now - newest.at <= row.allowed_age_s / 2:
        return
    for name in group.servers:
        want_report(tables, tables.servers[name], now)


def _want_confirmation(tables: Tables, row: RequestRow, server: ServerRow, now: float) -> None:
    group = tables.groups[row.group]
    for name in group.servers:
        if name != server.name:
            want_report(tables, tables.servers[name], now)


def trim_connections(tables: Tables, now: float) -> None:
    """Close idle connections beyond the box's share, and those to leaving servers."""
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
