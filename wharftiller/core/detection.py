"""Detect a lost primary or a due planned failover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.watch_tables import PlannedFailover

if TYPE_CHECKING:
    from wharftiller.core.watch_tables import WatchedGroup, WatchTables

MAJORITY = 2
"""Servers of a group of three that form a quorum."""

RECENT_FRACTION = 0.5
"""Maximum age of a report that counts as contact, as a fraction of the detection time."""

MAX_TARGET_LAG_RECORDS = 1_000
"""Maximum lag of a planned failover's target at its start, in log records."""


def _is_reachable(tables: WatchTables, name: str, now: float) -> bool:
    server = tables.servers[name]
    recent_s = tables.detect_s * RECENT_FRACTION
    return server.report is not None and now - server.last_contact_at <= recent_s


def primary_is_lost(tables: WatchTables, group: WatchedGroup, now: float, delay: float) -> bool:
    """Return whether ``group`` has lost its primary, or its replicas cannot reach it.

    Parameters
    ----------
    delay : float
        Extra time this steward waits so that one of lower rank acts first, in seconds.
    """
    silent_s = now - group.last_led_at
    answering_primary = group.primary if silent_s <= tables.detect_s * RECENT_FRACTION else None
    reachable = [
        name
        for name in group.names
        if name != answering_primary and _is_reachable(tables, name, now)
    ]
    if len(reachable) < MAJORITY:
        return False
    without_primary = [name for name in reachable if _misses_primary(tables, name)]
    if len(without_primary) == len(reachable):
        return silent_s >= tables.detect_s + delay or _all_miss_primary(
            tables, group, reachable, delay
        )
    return silent_s >= 3 * tables.detect_s + delay


def _misses_primary(tables: WatchTables, name: str) -> bool:
    report = tables.servers[name].report
    return (
        report is not None and report.primary_silent_ms >= tables.detect_s * RECENT_FRACTION * 1000
    )


def _all_miss_primary(
    tables: WatchTables, group: WatchedGroup, reachable: list[str], delay: float
) -> bool:
    """Return whether all replicas have lost the primary, even if this box still reaches it."""
    if group.primary is None:
        return False
    min_silent_ms = (2 * tables.detect_s + delay) * 1000
    reports = [tables.servers[name].report for name in reachable]
    return all(
        report is not None
        and report.settled
        and report.log_term == group.term
        and report.primary_silent_ms >= min_silent_ms
        for report in reports
    )


def find_planned_failover(tables: WatchTables, group: WatchedGroup) -> PlannedFailover | None:
    """Return the failover that an operator's plan or a leaving primary calls for, if any."""
    primary = tables.server(group.primary)
    if primary is None or primary.report is None:
        return None
    wanted = group.spec.wanted_primary
    if wanted is not None and wanted.plan not in group.done_plans:
        if wanted.endpoint == group.primary:
            group.done_plans.add(wanted.plan)
        elif _may_lead(tables, group, wanted.endpoint):
            return PlannedFailover(wanted.endpoint, wanted.plan)
    if primary.leaving or primary.report.leaving:
        targets = [name for name in group.names if _may_lead(tables, group, name)]
        if targets:
            return PlannedFailover(max(targets, key=lambda name: _position(tables, name)), "")
    return None


def _position(tables: WatchTables, name: str) -> int:
    report = tables.servers[name].report
    return report.position if report else 0


def _may_lead(tables: WatchTables, group: WatchedGroup, name: str) -> bool:
    server = tables.servers[name]
    report = server.report
    if name == group.primary or server.leaving or report is None or report.leaving:
        return False
    is_close = _position(tables, group.primary or "") - report.position <= MAX_TARGET_LAG_RECORDS
    return report.settled and report.log_term == group.term and is_close
