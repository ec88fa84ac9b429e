"""Admission control: queue a request, or refuse it at once with a retry-after time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from wharftiller.core.answers import RETRY_AFTER_FAILOVER_MS, jittered, refuse
from wharftiller.core.connection_shares import connection_share
from wharftiller.core.queueing import QueueKind
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.routing import allowed_age_s, choose_queue, replicas_of
from wharftiller.core.tables import RequestRow

if TYPE_CHECKING:
    from wharftiller.core.messages import Request
    from wharftiller.core.tables import GroupRow, ServerRow, Tables


DEADLINE_FRACTION = 0.8
"""Largest fraction of its deadline that a request may be expected to take on admission."""


def placement_refusal(tables: Tables, request: Request) -> Reason | None:
    """Return why the configuration does not place ``request`` on a group, or None."""
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
    """Add ``request`` to its queue, or refuse it and return None."""
    if tables.is_stopping:
        detail = "this box is stopping; ask again, the balancer picks another"
        refuse(tables, key, request, Reason(ReasonKind.BOX_STOPPING, detail), 1, now)
        return None
    refusal = placement_refusal(tables, request)
    if refusal is not None:
        unready = refusal.kind is ReasonKind.NO_CONFIGURATION
        retry_after_ms = RETRY_AFTER_FAILOVER_MS if unready else None
        refuse(tables, key, request, refusal, retry_after_ms, now)
        return None
    row = new_request_row(tables, key, request, now)
    group = tables.groups[row.group]
    queue_kind = choose_queue(tables, row, now)
    refusal = _queue_refusal(tables, group, row, queue_kind)
    if refusal is not None:
        wait_s = _expected_wait_s(tables, group, row, queue_kind)
        refuse(tables, key, request, refusal, jittered(tables, wait_s * 1000), now)
        return None
    insert_request(tables, row)
    group.queues.by_kind[queue_kind].push(request.business, key)
    return row


def new_request_row(tables: Tables, key: int, request: Request, now: float) -> RequestRow:
    """Return a row for ``request`` with the rules of the configuration in force."""
    pool = tables.configuration.pools[request.pool]
    age = allowed_age_s(request, pool)
    row = RequestRow(
        key=key,
        request=request,
        group=pool.businesses[request.business],
        arrived_at=now,
        deadline_at=now + request.deadline_ms / 1000,
        needs_primary=False,
        replica_wait_until=now + pool.read_rule.replica_wait_ms / 1000,
        allowed_age_s=age,
        primary_fallback=pool.read_rule.primary_fallback,
        write_rule=pool.write_rule,
        generation=tables.configuration.generation,
    )
    row.needs_primary = row.is_booking or age is None
    if age is None and not row.is_booking:
        row.add_step(ReasonKind.LATEST_WANTED, "the read accepts no age, so the primary answers")
    return row


def insert_request(tables: Tables, row: RequestRow) -> None:
    """Add ``row`` to the tables."""
    tables.requests[row.key] = row
    heapq.heappush(tables.deadlines, (row.deadline_at, row.key))


def _queue_refusal(
    tables: Tables, group: GroupRow, row: RequestRow, queue_kind: QueueKind
) -> Reason | None:
    rule = tables.configuration.pools[row.request.pool].queue_rule
    queue = group.queues.by_kind[queue_kind]
    bound = rule.bookings if row.is_booking else rule.lookups
    if len(queue) >= bound:
        detail = f"{len(queue)} requests wait, {bound} may; come back after retry_after_ms"
        return Reason(ReasonKind.QUEUE_FULL, detail)
    business_waiting = queue.count_of(row.request.business)
    business_bound = max(1, int(bound * rule.business_share))
    if business_waiting >= business_bound:
        detail = (
            f"{business_waiting} of this business wait, {business_bound} may; "
            "come back after retry_after_ms"
        )
        return Reason(ReasonKind.BUSINESS_QUEUE_FULL, detail)
    wait_s = _expected_wait_s(tables, group, row, queue_kind)
    if len(queue) and wait_s > DEADLINE_FRACTION * (row.deadline_at - row.arrived_at):
        detail = (
            f"about {wait_s * 1000:.0f} ms are needed, the deadline is "
            f"{row.request.deadline_ms} ms; come back after retry_after_ms"
        )
        return Reason(ReasonKind.DEADLINE_OUT_OF_REACH, detail)
    return None


def _expected_wait_s(
    tables: Tables, group: GroupRow, row: RequestRow, queue_kind: QueueKind
) -> float:
    """Return the estimated time until an answer, from queue length and recent service times."""
    ahead = group.queues.count_ahead(queue_kind, row.request.business)
    if queue_kind is QueueKind.REPLICA_LOOKUP:
        servers = replicas_of(tables, group)
    else:
        servers = [tables.servers[group.primary or group.servers[0]]]
    share = connection_share(tables, group.spec.max_connections)
    running_s = max(_longest_running_s(tables, server, row.arrived_at) for server in servers)
    service_s = max(running_s, *(server.service_s for server in servers))
    likely_s = max(running_s, *(server.likely_service_s for server in servers))
    interval_s = max(
        service_s / (share * len(servers)), group.queues.service_intervals[queue_kind].interval_s
    )
    return ahead * interval_s + likely_s


def _longest_running_s(tables: Tables, server: ServerRow, now: float) -> float:
    """Return how long the oldest statement on ``server`` has run, in seconds.

    It reveals a server that has become slow before any of its answers does.
    """
    longest_s = 0.0
    for number in server.connections:
        key = tables.connections[number].request
        row = tables.requests.get(key) if key is not None else None
        if row is not None:
            longest_s = max(longest_s, now - row.sent_at)
    return longest_s
