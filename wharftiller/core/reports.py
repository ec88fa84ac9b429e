"""Request reports from servers and apply their terms and positions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.freshness import FreshPoint
from wharftiller.core.messages import Lane, Report, Role, SendReport
from wharftiller.core.positions import LogPosition

if TYPE_CHECKING:
    from wharftiller.core.tables import GroupRow, ServerRow, Tables

HEARTBEAT_S = 0.25
"""Maximum time between two report requests to a server, in seconds."""

REPLICATION_WAIT_MS = 50
"""Maximum delay of a report until the server's log includes a write."""

REPORT_TIMEOUT_S = 0.5
"""Timeout of a report request, in seconds; applied by `wharftiller.edges.endpoints`."""


def request_report(tables: Tables, server: ServerRow, now: float) -> None:
    """Request a report that is made at or after ``now``."""
    lane = server.lanes[Lane.NOW]
    if lane.sent_at is not None and lane.sent_at < now:
        lane.due_since = now
    elif lane.sent_at is None:
        _send(tables, server, Lane.NOW, 0, now)


def request_replication_report(tables: Tables, server: ServerRow, index: int, now: float) -> None:
    """Request a report for when the server's log has ``index`` records."""
    lane = server.lanes[Lane.COVER]
    if lane.sent_at is None:
        _send(tables, server, Lane.COVER, index, now)


def _send(tables: Tables, server: ServerRow, lane: Lane, index: int, now: float) -> None:
    state = server.lanes[lane]
    state.sent_at = now
    server.report_requested_at = now
    state.due_since = None
    wait_ms = REPLICATION_WAIT_MS if lane is Lane.COVER else 0
    tables.emit(SendReport(server.name, server.control_address, lane, index, wait_ms))


def release_lane(tables: Tables, server: ServerRow, lane: Lane, now: float) -> None:
    """Mark a lane free after a report arrived or timed out; send the next if one is due."""
    state = server.lanes[lane]
    state.sent_at = None
    if state.due_since is not None:
        _send(tables, server, lane, 0, now)


def heartbeat(tables: Tables, now: float) -> None:
    """Request reports from servers whose last request is ``HEARTBEAT_S`` old or older."""
    for server in tables.servers.values():
        state = server.lanes[Lane.NOW]
        if state.sent_at is None and now - server.report_requested_at >= HEARTBEAT_S:
            _send(tables, server, Lane.NOW, 0, now)


def apply_report(tables: Tables, server: ServerRow, report: Report, sent_at: float) -> bool:
    """Apply a report; return True if it shows a new primary of the group."""
    server.silent_since = None
    if server.report is None or sent_at >= server.report_sent_at:
        server.report = report
        server.report_sent_at = sent_at
    group = tables.groups[server.group]
    changed = _apply_leadership(group, server, report)
    _add_fresh_point(tables, group)
    return changed


def _apply_leadership(group: GroupRow, server: ServerRow, report: Report) -> bool:
    leads = report.role is Role.PRIMARY and report.settled
    if not leads or report.promised <= group.term:
        return False
    group.term = report.promised
    group.primary = server.name
    return True


def _add_fresh_point(tables: Tables, group: GroupRow) -> None:
    primary = tables.primary_of(group)
    if primary is None or primary.report is None:
        return
    primary_report = primary.report
    if (
        primary_report.role is not Role.PRIMARY
        or not primary_report.settled
        or primary_report.promised != group.term
    ):
        return
    promised_at = [
        row.report_sent_at
        for name in group.servers
        if (row := tables.servers[name]) is not primary
        and row.report is not None
        and row.report.promised == group.term
    ]
    if not promised_at:
        return
    at = min(primary.report_sent_at, max(promised_at))
    group.fresh_points.add(FreshPoint(at, LogPosition(group.term, primary_report.position)))
