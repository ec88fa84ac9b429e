"""Choose the queue and the server of a request, with the reasons for exclusions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.queueing import QueueKind
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.reports import request_report
from wharftiller.core.tables import Phase

if TYPE_CHECKING:
    from wharftiller.core.configuration import PoolSpec
    from wharftiller.core.messages import Request
    from wharftiller.core.tables import GroupRow, RequestRow, ServerRow, Tables


def replica_exclusion(
    tables: Tables, server: ServerRow, row: RequestRow, now: float
) -> Reason | None:
    """Return why ``server`` is excluded for ``row``, or None if it is eligible.

    The last report of a replica is only a hint: its answer is checked again
    (see `wharftiller.core.replication.check_answer`).
    """
    name = server.name
    if name in row.tried_replicas:
        return Reason(ReasonKind.REPLICA_TRIED, f"{name} was asked already", name)
    if server.is_leaving:
        return Reason(ReasonKind.ENDPOINT_LEAVING, f"{name} is leaving", name)
    report = server.report
    if report is None or server.silent_since is not None:
        return Reason(ReasonKind.REPLICA_SILENT, f"{name} does not report", name)
    if not report.settled:
        detail = f"{name} promised term {report.promised}, its log is in {report.log_term}"
        return Reason(ReasonKind.REPLICA_BETWEEN_TERMS, detail, name)
    needed = row.request.session.position(row.group)
    if report.log_position < needed:
        detail = f"{name} is at {report.log_position}, the session needs {needed}"
        return Reason(ReasonKind.REPLICA_BEHIND, detail, name)
    return _age_exclusion(tables, server, row, now)


def _age_exclusion(tables: Tables, server: ServerRow, row: RequestRow, now: float) -> Reason | None:
    allowed = row.allowed_age_s
    fresh_points = tables.groups[row.group].fresh_points
    newest = fresh_points.newest
    report = server.report
    if allowed is None or report is None or newest is None:
        return None
    if report.log_position >= newest.position:
        return None
    age = now - fresh_points.fresh_as_of(report.log_position)
    if age <= allowed:
        return None
    detail = f"{server.name} is {age * 1000:.0f} ms old, {allowed * 1000:.0f} ms are allowed"
    return Reason(ReasonKind.REPLICA_TOO_OLD, detail, server.name)


def replicas_of(tables: Tables, group: GroupRow) -> list[ServerRow]:
    """Return the servers of ``group`` other than its primary."""
    return [tables.servers[name] for name in group.servers if name != group.primary]


def choose_queue(tables: Tables, row: RequestRow, now: float) -> QueueKind:
    """Return the queue for ``row``, recording the reasons as steps."""
    if row.is_settling:
        return QueueKind.SETTLING
    if row.is_booking:
        return QueueKind.BOOKING
    if row.needs_primary:
        return QueueKind.PRIMARY_LOOKUP
    group = tables.groups[row.group]
    exclusions = [
        exclusion
        for server in replicas_of(tables, group)
        if (exclusion := replica_exclusion(tables, server, row, now)) is not None
    ]
    if len(exclusions) < len(replicas_of(tables, group)):
        return QueueKind.REPLICA_LOOKUP
    for exclusion in exclusions:
        row.add_step(exclusion.kind, exclusion.detail, exclusion.endpoint)
    if _may_catch_up(exclusions) and now < row.replica_wait_until:
        row.add_step(ReasonKind.WAITING_FOR_REPLICA, "a replica may catch up shortly")
        _request_replica_reports(tables, group, row, now)
        return QueueKind.REPLICA_LOOKUP
    if not row.primary_fallback:
        return QueueKind.REPLICA_LOOKUP
    row.needs_primary = True
    return QueueKind.PRIMARY_LOOKUP


def _request_replica_reports(tables: Tables, group: GroupRow, row: RequestRow, now: float) -> None:
    """Request a report of each replica without a request since ``row`` arrived."""
    for server in replicas_of(tables, group):
        if server.report_requested_at < row.arrived_at:
            request_report(tables, server, now)


def _may_catch_up(exclusions: list[Reason]) -> bool:
    transient_kinds = (ReasonKind.REPLICA_BEHIND, ReasonKind.REPLICA_TOO_OLD)
    return any(exclusion.kind in transient_kinds for exclusion in exclusions)


def reroute_replica_lookups(tables: Tables, group: GroupRow, now: float) -> None:
    """Move lookups that no replica may serve any more to the primary's queue."""
    queue = group.queues.by_kind[QueueKind.REPLICA_LOOKUP]
    for key in queue.items():
        row = tables.requests[key]
        if row.phase is Phase.QUEUED and choose_queue(tables, row, now) is QueueKind.PRIMARY_LOOKUP:
            queue.remove(row.request.business, key)
            group.queues.by_kind[QueueKind.PRIMARY_LOOKUP].push(row.request.business, key)


def allowed_age_s(request: Request, pool: PoolSpec) -> float | None:
    """Return the maximum data age that a read accepts, in seconds; None for the latest."""
    if request.latest or request.transaction is not None:
        return None
    age_ms = pool.read_rule.max_age_ms if request.max_age_ms is None else request.max_age_ms
    return None if age_ms is None else age_ms / 1000
