"""Take a request in, or refuse it at once with when to come back."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from wharftiller.core.answers import RETRY_AFTER_FAILOVER_MS, jittered, refuse
from wharftiller.core.queueing import Line
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.routing import allowed_age_s, choose_line, replicas_of
from wharftiller.core.shares import connection_share
from wharftiller.core.tables import RequestRow

if TYPE_CHECKING:
    from wharftiller.core.messages import Request
    from wharftiller.core.tables import GroupRow, ServerRow, Tables


DEADLINE_FRACTION = 0.8
"""Part of its deadline that a request may be expected to take when it is let in."""


def placement_fault(tables: Tables, request: Request) -> Reason | None:
    """Return why the configuration has no place for ``request``, or None."""
    configuration = tables.configuration
    if configuration.generation == 0:
        detail = "this box has no configuration yet; come back shortly or ask another box"
        return Reason(ReasonKind.NO_CONFIGURATION, detail)
    pool = configuration.pools.get(request.pool)
    if pool is None:
        detail = (
            f"pool {request.pool!r} is not configured; this box knows "
            f"{sorted(configuration.pools)}. Check the spelling, or confirm a plan that creates it"
        )
        return Reason(ReasonKind.UNKNOWN_POOL, detail)
    if request.business not in pool.businesses:
        detail = (
            f"business {request.business!r} has no place in pool {request.pool!r}. "
            "Confirm a plan that places it on a group"
        )
        return Reason(ReasonKind.UNKNOWN_BUSINESS, detail)
    return None


def admit(tables: Tables, key: int, request: Request, now: float) -> RequestRow | None:
    """Put ``request`` in its line, or refuse it and return None."""
    if tables.stopping:
        detail = "this box is stopping; ask again, the balancer picks another"
        refuse(tables, key, request, Reason(ReasonKind.BOX_STOPPING, detail), 1, now)
        return None
    fault = placement_fault(tables, request)
    if fault is not None:
        unready = fault.kind is ReasonKind.NO_CONFIGURATION
        retry_after_ms = RETRY_AFTER_FAILOVER_MS if unready else None
        refuse(tables, key, request, fault, retry_after_ms, now)
        return None
    row = new_row(tables, key, request, now)
    group = tables.groups[row.group]
    line = choose_line(tables, row, now)
    refusal = _bound_refusal(tables, group, row, line)
    if refusal is not None:
        wait_s = _expected_wait_s(tables, group, row, line)
        refuse(tables, key, request, refusal, jittered(tables, wait_s * 1000), now)
        return None
    take_in(tables, row)
    group.queue.lines[line].push(request.business, key)
    return row


def new_row(tables: Tables, key: int, request: Request, now: float) -> RequestRow:
    """Return a row for ``request`` with its configuration's rules."""
    pool = tables.configuration.pools[request.pool]
    age = allowed_age_s(request, pool)
    row = RequestRow(
        key=key,
        request=request,
        group=pool.businesses[request.business],
        arrived_at=now,
        deadline_at=now + request.deadline_ms / 1000,
        to_primary=False,
        replica_until=now + pool.read_rule.replica_wait_ms / 1000,
        allowed_age_s=age,
        primary_fallback=pool.read_rule.primary_fallback,
        write_rule=pool.write_rule,
        generation=tables.configuration.generation,
    )
    row.to_primary = row.is_booking or age is None
    if age is None and not row.is_booking:
        row.note(ReasonKind.LATEST_WANTED, "the read accepts no age, so the primary answers")
    return row


def take_in(tables: Tables, row: RequestRow) -> None:
    """Enter ``row`` in the tables."""
    tables.requests[row.key] = row
    heapq.heappush(tables.deadlines, (row.deadline_at, row.key))


def _bound_refusal(tables: Tables, group: GroupRow, row: RequestRow, line: Line) -> Reason | None:
    rule = tables.configuration.pools[row.request.pool].queue_rule
    queue = group.queue.lines[line]
    bound = rule.bookings if row.is_booking else rule.lookups
    if len(queue) >= bound:
        detail = f"{len(queue)} requests wait, {bound} may; come back after retry_after_ms"
        return Reason(ReasonKind.QUEUE_FULL, detail)
    own = queue.waiting(row.request.business)
    own_bound = max(1, int(bound * rule.business_share))
    if own >= own_bound:
        detail = f"{own} of this business wait, {own_bound} may; come back after retry_after_ms"
        return Reason(ReasonKind.BUSINESS_QUEUE_FULL, detail)
    wait_s = _expected_wait_s(tables, group, row, line)
    if len(queue) and wait_s > DEADLINE_FRACTION * (row.deadline_at - row.arrived_at):
        detail = (
            f"about {wait_s * 1000:.0f} ms are needed, the deadline is "
            f"{row.request.deadline_ms} ms; come back after retry_after_ms"
        )
        return Reason(ReasonKind.DEADLINE_OUT_OF_REACH, detail)
    return None


def _expected_wait_s(tables: Tables, group: GroupRow, row: RequestRow, line: Line) -> float:
    """Return the time until an answer, from what waits ahead and what servers take lately."""
    ahead = group.queue.ahead(line, row.request.business)
    if line is Line.REPLICA_LOOKUP:
        servers = replicas_of(tables, group)
    else:
        servers = [tables.servers[group.primary or group.servers[0]]]
    share = connection_share(tables, group.spec.max_connections)
    running_s = max(_longest_running_s(tables, server, row.arrived_at) for server in servers)
    service_s = max(running_s, *(server.service_s for server in servers))
    likely_s = max(running_s, *(server.likely_service_s for server in servers))
    interval_s = max(service_s / (share * len(servers)), group.queue.drains[line].interval_s)
    return ahead * interval_s + likely_s


def _longest_running_s(tables: Tables, server: ServerRow, now: float) -> float:
    """Return how long the oldest statement on ``server`` has run, in seconds.

    It tells of a server that has become slow before any answer does.
    """
    longest_s = 0.0
    for number in server.connections:
        key = tables.connections[number].request
        row = tables.requests.get(key) if key is not None else None
        if row is not None:
            longest_s = max(longest_s, now - row.sent_at)
    return longest_s
