"""Check whether an answer is safe: writes replicated, reads confirmed.

A write is safe when a second server, whose promised term and log term are both
the write's term, reports a position at or past it (docs/design/acknowledgement.md).
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from wharftiller.core.messages import Action, EndpointAnswer, Report, Role
from wharftiller.core.positions import LogPosition
from wharftiller.core.tables import safe_position

if TYPE_CHECKING:
    from wharftiller.core.tables import GroupRow, RequestRow, Tables


class AnswerCheck(enum.Enum):
    """Result of checking an answer."""

    GOOD = "good"
    WAIT = "wait"
    BEHIND = "behind"
    DEPOSED = "deposed"


def is_replicated(
    tables: Tables, group: GroupRow, by: str, target: LogPosition, since: float = -math.inf
) -> bool:
    """Return whether a server other than ``by`` reported that it holds ``target``.

    Parameters
    ----------
    since : float
        Only reports requested at or after this time count, in seconds.
    """
    for name in group.servers:
        server = tables.servers[name]
        report = server.report
        if name == by or report is None or server.report_sent_at < since:
            continue
        if has_replicated(report, target):
            return True
    return False


def has_replicated(report: Report, target: LogPosition) -> bool:
    """Return whether ``report`` proves that a server holds the log up to ``target``.

    Both terms must equal the target's: a server that promised a later term may
    count towards another primary, and one whose log is of an earlier term may
    hold other records at the same positions.
    """
    if report.promised != target.term or report.log_term != target.term:
        return False
    return report.position >= target.index


def replication_target(answer: EndpointAnswer) -> LogPosition:
    """Return the position that must be replicated before a primary's answer is sent."""
    report = answer.report
    return safe_position(report.log_term, answer.position, report.opened)


def answer_position(answer: EndpointAnswer) -> LogPosition:
    """Return the position that the session holds after a safe answer."""
    if answer.report.role is Role.PRIMARY:
        return replication_target(answer)
    return answer.report.log_position


def check_answer(tables: Tables, row: RequestRow, now: float) -> AnswerCheck:
    """Return whether the answer of ``row`` may be sent to the caller now."""
    answer = row.answer
    assert answer is not None
    group = tables.groups[row.group]
    report = answer.report
    if row.action is not Action.READ:
        return _check_primary_answer(tables, row, group, now)
    if not report.settled:
        return AnswerCheck.BEHIND
    if report.log_position < row.request.session.position(row.group):
        return AnswerCheck.BEHIND
    if report.role is Role.PRIMARY:
        return _check_primary_answer(tables, row, group, now)
    return _check_replica_answer(tables, row, group, now)


def _check_primary_answer(
    tables: Tables, row: RequestRow, group: GroupRow, now: float
) -> AnswerCheck:
    answer = row.answer
    assert answer is not None
    since = -math.inf
    if row.action is Action.READ and row.request.transaction is None:
        allowed = row.allowed_age_s
        since = row.arrived_at if allowed is None else now - allowed
    target = replication_target(answer)
    if is_replicated(tables, group, answer.report.endpoint, target, since):
        return AnswerCheck.GOOD
    if group.term > target.term:
        return AnswerCheck.DEPOSED
    return AnswerCheck.WAIT


def _check_replica_answer(
    tables: Tables, row: RequestRow, group: GroupRow, now: float
) -> AnswerCheck:
    answer = row.answer
    allowed = row.allowed_age_s
    assert answer is not None
    assert allowed is not None
    position = answer.report.log_position
    oldest = now - allowed
    if group.fresh_points.fresh_as_of(position) >= oldest:
        return AnswerCheck.GOOD
    newest = group.fresh_points.newest
    if newest is not None and newest.at >= oldest:
        return AnswerCheck.BEHIND
    return AnswerCheck.WAIT
