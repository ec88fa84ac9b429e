"""Which server may run a request, and why the others were passed over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.queueing import Line
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.reports import want_report
from wharftiller.core.tables import Phase

if TYPE_CHECKING:
    from wharftiller.core.configuration import PoolSpec
    from wharftiller.core.messages import Request
    from wharftiller.core.tables import GroupRow, RequestRow, ServerRow, Tables


def replica_objection(
    tables: Tables, server: ServerRow, row: RequestRow, now: float
) -> Reason | None:
    """Return why ``server`` should not be asked, or None if it may be.

    What is known of a replica is a hint: the answer itself is checked again
    (see `wharftiller.core.replication.check_answer`).
    """
    name = server.name
    if name in row.tried:
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
    return _age_objection(tables, server, row, now)


def _age_objection(tables: Tables, server: ServerRow, row: RequestRow, now: float) -> Reason | None:
    allowed = row.allowed_age_s
    fresh = tables.groups[row.group].fresh
    newest = fresh.newest
    report = server.report
    if allowed is None or report is None or newest is None:
        return None
    if report.log_position >= newest.position:
        return None
    age = now - fresh.fresh_as_of(report.log_position)
    if age <= allowed:
        return None
    detail = f"{server.name} is {age * 1000:.0f} ms old, {allowed * 1000:.0f} ms are allowed"
    return Reason(ReasonKind.REPLICA_TOO_OLD, detail, server.name)


def replicas_of(tables: Tables, group: GroupRow) -> list[ServerRow]:
    """Return the servers of ``group`` that do not lead it."""
    return [tables.servers[name] for name in group.servers if name != group.primary]


def choose_line(tables: Tables, row: RequestRow, now: float) -> Line:
    """Return the line in which ``row`` waits, noting the reasons."""
    if row.settling:
        return Line.SETTLING
    if row.is_booking:
        return Line.BOOKING
    if row.to_primary:
        return Line.PRIMARY_LOOKUP
    group = tables.groups[row.group]
    objections = [
        objection
        for server in replicas_of(tables, group)
        if (objection := replica_objection(tables, server, row, now)) is not None
    ]
    if len(objections) < len(replicas_of(tables, group)):
        return Line.REPLICA_LOOKUP
    for objection in objections:
        row.note(objection.kind, objection.detail, objection.endpoint)
    if _worth_waiting(objections) and now < row.replica_until:
        row.note(ReasonKind.WAITING_FOR_REPLICA, "a replica may catch up shortly")
        _ask_replicas_once(tables, group, row, now)
        return Line.REPLICA_LOOKUP
    if not row.primary_fallback:
        return Line.REPLICA_LOOKUP
    row.to_primary = True
    return Line.PRIMARY_LOOKUP


def _ask_replicas_once(tables: Tables, group: GroupRow, row: RequestRow, now: float) -> None:
    """Learn where the replicas are now; what is known may be as old as a heartbeat."""
    for server in replicas_of(tables, group):
        if server.asked_at < row.arrived_at:
            want_report(tables, server, now)


def _worth_waiting(objections: list[Reason]) -> bool:
    passing = (ReasonKind.REPLICA_BEHIND, ReasonKind.REPLICA_TOO_OLD)
    return any(objection.kind in passing for objection in objections)


def review_replica_lookups(tables: Tables, group: GroupRow, now: float) -> None:
    """Send on to the primary the lookups that no replica may serve any more."""
    line = group.queue.lines[Line.REPLICA_LOOKUP]
    for key in line.items():
        row = tables.requests[key]
        if row.phase is Phase.QUEUED and choose_line(tables, row, now) is Line.PRIMARY_LOOKUP:
            line.remove(row.request.business, key)
            group.queue.lines[Line.PRIMARY_LOOKUP].push(row.request.business, key)


def allowed_age_s(request: Request, pool: PoolSpec) -> float | None:
    """Return the age of data that a read accepts, in seconds; None for the latest."""
    if request.latest or request.transaction is not None:
        return None
    age_ms = pool.read_rule.max_age_ms if request.max_age_ms is None else request.max_age_ms
    return None if age_ms is None else age_ms / 1000
