"""Ask servers for reports, and take in what they say of terms and positions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.freshness import FreshPoint
from wharftiller.core.messages import Lane, Report, Role, SendReport
from wharftiller.core.positions import LogPosition

if TYPE_CHECKING:
    from wharftiller.core.tables import GroupRow, ServerRow, Tables

HEARTBEAT_S = 0.25
"""Longest time between two reports of a server, in seconds."""

REPLICATION_WAIT_MS = 50
"""How long a server may hold a report back until its log covers a write."""

REPORT_TIMEOUT_S = 0.5
"""Time after which a report is given up, in seconds; kept by the edge."""


def want_report(tables: Tables, server: ServerRow, now: float) -> None:
    """Ask for a report that is begun at or after ``now``."""
    lane = server.lanes[Lane.NOW]
    if lane.sent_at is not None and lane.sent_at < now:
        lane.wanted_since = now
    elif lane.sent_at is None:
        _send(tables, server, Lane.NOW, 0, now)


def request_replication_report(tables: Tables, server: ServerRow, index: int, now: float) -> None:
    """Ask for a report as soon as the server's log has ``index`` records."""
    lane = server.lanes[Lane.COVER]
    if lane.sent_at is None:
        _send(tables, server, Lane.COVER, index, now)


def _send(tables: Tables, server: ServerRow, lane: Lane, index: int, now: float) -> None:
    state = server.lanes[lane]
    state.sent_at = now
    server.asked_at = now
    state.wanted_since = None
    wait_ms = REPLICATION_WAIT_MS if lane is Lane.COVER else 0
    tables.emit(SendReport(server.name, server.control_address, lane, index, wait_ms))


def lane_free(tables: Tables, server: ServerRow, lane: Lane, now: float) -> None:
    """Note that a report has come or is given up, and ask again if one is due."""
    state = server.lanes[lane]
    state.sent_at = None
    if state.wanted_since is not None:
        _send(tables, server, lane, 0, now)


def heartbeat(tables: Tables, now: float) -> None:
    """Ask every server for a report whose last one is ``HEARTBEAT_S`` old."""
    for server in tables.servers.values():
        state = server.lanes[Lane.NOW]
        if state.sent_at is None and now - server.asked_at >= HEARTBEAT_S:
            _send(tables, server, Lane.NOW, 0, now)


def apply_report(tables: Tables, server: ServerRow, report: Report, sent_at: float) -> bool:
    """Take in a report; return True if the group has a new primary by it."""
    server.silent_since = None
    if server.report is None or sent_at >= server.report_sent_at:
        server.report = report
        server.report_sent_at = sent_at
    group = tables.groups[server.group]
    changed = _apply_lead(group, server, report)
    _add_fresh_point(tables, group)
    return changed


def _apply_lead(group: GroupRow, server: ServerRow, report: Report) -> bool:
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
    lead = primary.report
    if lead.role is not Role.PRIMARY or not lead.settled or lead.promised != group.term:
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
    group.fresh.add(FreshPoint(at, LogPosition(group.term, lead.position)))
