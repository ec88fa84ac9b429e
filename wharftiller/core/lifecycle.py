"""Requests after they were sent: answer checks, retries, settling and expiry."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from wharftiller.core import answers
from wharftiller.core.dispatch import close_connection
from wharftiller.core.messages import Action, EndpointAnswer, Lane, Role, Verdict
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.replication import AnswerCheck, check_answer, replication_target
from wharftiller.core.reports import request_replication_report, request_report
from wharftiller.core.routing import choose_queue
from wharftiller.core.tables import Phase

if TYPE_CHECKING:
    from wharftiller.core.tables import RequestRow, Tables

PRIMARY_HOLD_S = 0.01
"""Pause in statements to a group's primary after it refused one, in seconds."""


def requeue(tables: Tables, row: RequestRow, now: float) -> None:
    """Return ``row`` to a queue."""
    group = tables.groups[row.group]
    group.checking.discard(row.key)
    row.phase = Phase.QUEUED
    row.connection = None
    row.endpoint = None
    row.answer = None
    queue_kind = choose_queue(tables, row, now)
    group.queues.by_kind[queue_kind].push(row.request.business, row.key)


def handle_answer(tables: Tables, row: RequestRow, answer: EndpointAnswer, now: float) -> None:
    """Handle an endpoint's answer to ``row``; its connection is free again."""
    _record_service_time(tables, row, now)
    match answer.verdict:
        case Verdict.RAN | Verdict.RECORDED | Verdict.BARRED:
            if answer.verdict is Verdict.RECORDED:
                row.add_step(ReasonKind.RECORDED_BEFORE, "its id is in the group's log already")
            row.answer = answer
            row.answered_at = now
            row.phase = Phase.CHECKING
            tables.groups[row.group].checking.add(row.key)
            advance_check(tables, row, now)
        case Verdict.NOT_RUN:
            _handle_refusal(tables, row, answer, now)
        case Verdict.REJECTED:
            _handle_rejection(tables, row, answer, now)


def _record_service_time(tables: Tables, row: RequestRow, now: float) -> None:
    server = tables.servers.get(row.endpoint or "")
    if server is not None:
        server.record_service_time(now - row.sent_at)


def _handle_refusal(tables: Tables, row: RequestRow, answer: EndpointAnswer, now: float) -> None:
    name = answer.report.endpoint
    row.add_step(ReasonKind.REFUSED_BY_ENDPOINT, f"{name}: {answer.why}", name)
    group = tables.groups[row.group]
    if row.sent_term:
        group.hold_until = now + PRIMARY_HOLD_S
        for server in group.servers:
            request_report(tables, tables.servers[server], now)
    else:
        row.tried_replicas.add(name)
    requeue(tables, row, now)


def _handle_rejection(tables: Tables, row: RequestRow, answer: EndpointAnswer, now: float) -> None:
    if row.may_have_run:
        settle(tables, row, now)
        return
    reason = Reason(ReasonKind.STATEMENT_REJECTED, answer.why, answer.report.endpoint)
    answers.finish_not_run(tables, row, reason, None, now)


def advance_check(tables: Tables, row: RequestRow, now: float) -> None:
    """Check the answer of ``row``: return it to the caller, wait for reports, or retry."""
    answer = row.answer
    if row.phase is not Phase.CHECKING or answer is None:
        return
    match check_answer(tables, row, now):
        case AnswerCheck.GOOD:
            _finish_checked(tables, row, answer, now)
        case AnswerCheck.WAIT:
            _request_missing_reports(tables, row, answer, now)
        case AnswerCheck.BEHIND:
            _discard_stale_answer(tables, row, answer, now)
        case AnswerCheck.DEPOSED:
            detail = f"{answer.report.endpoint} no longer leads; its answer is not kept"
            row.add_step(ReasonKind.ANSWER_UNCOVERED, detail, answer.report.endpoint)
            handle_unknown_outcome(tables, row, now)


def _finish_checked(tables: Tables, row: RequestRow, answer: EndpointAnswer, now: float) -> None:
    if answer.verdict is not Verdict.BARRED:
        answers.finish_done(tables, row, answer, now)
        return
    detail = "its id is barred, so it did not run and never will; use a new request id"
    answers.finish_not_run(tables, row, Reason(ReasonKind.BARRED, detail), None, now)


def _request_missing_reports(
    tables: Tables, row: RequestRow, answer: EndpointAnswer, now: float
) -> None:
    group = tables.groups[row.group]
    answered_by = answer.report.endpoint
    for name in group.servers:
        server = tables.servers[name]
        if row.is_booking and name != answered_by:
            request_replication_report(tables, server, replication_target(answer).index, now)
        elif not row.is_booking and (name != answered_by or answer.report.role is Role.REPLICA):
            _request_recent_report(tables, row, name, now)


def _request_recent_report(tables: Tables, row: RequestRow, name: str, now: float) -> None:
    server = tables.servers[name]
    sent_at = server.lanes[Lane.NOW].sent_at
    if sent_at is None or sent_at < row.arrived_at:
        request_report(tables, server, now)


def _discard_stale_answer(
    tables: Tables, row: RequestRow, answer: EndpointAnswer, now: float
) -> None:
    report = answer.report
    detail = f"{report.endpoint} answered at {report.log_position}"
    row.add_step(ReasonKind.ANSWER_BEHIND, detail, report.endpoint)
    tables.count("answers.thrown_away")
    if report.role is Role.PRIMARY:
        tables.groups[row.group].hold_until = now + PRIMARY_HOLD_S
    else:
        row.tried_replicas.add(report.endpoint)
    requeue(tables, row, now)


def handle_lost_answer(tables: Tables, row: RequestRow, now: float) -> None:
    """Handle the loss of a connection before the answer to ``row`` arrived."""
    row.add_step(ReasonKind.ANSWER_LOST, f"{row.endpoint} broke off", row.endpoint)
    if row.endpoint and not row.sent_term:
        row.tried_replicas.add(row.endpoint)
    handle_unknown_outcome(tables, row, now)


def handle_unknown_outcome(tables: Tables, row: RequestRow, now: float) -> None:
    """Retry or settle a request that was sent and has no usable answer."""
    action = row.request.action
    if row.is_settling:
        requeue(tables, row, now)
    elif action in (Action.READ, Action.BEGIN):
        _retry(tables, row, now)
    elif row.request.repeatable and action is Action.WRITE:
        row.may_have_run = True
        _retry(tables, row, now)
    else:
        row.may_have_run = True
        settle(tables, row, now)


def _retry(tables: Tables, row: RequestRow, now: float) -> None:
    if tables.retry_tokens < 1:
        detail = "retries are a tenth of successes and used up; come back after retry_after_ms"
        reason = Reason(ReasonKind.RETRY_BUDGET_SPENT, detail)
        answers.finish_unknown(tables, row, reason, now)
        return
    tables.retry_tokens -= 1
    tables.count("retries")
    requeue(tables, row, now)


def settle(tables: Tables, row: RequestRow, now: float) -> None:
    """Resolve the outcome of a write that may not be sent again from the group's log."""
    if not tables.groups[row.group].spec.capabilities.recorded_ids:
        detail = f"group {row.group!r} records no request ids, so its fate cannot be asked for"
        answers.finish_unknown(tables, row, Reason(ReasonKind.ANSWER_LOST, detail), now)
        return
    row.is_settling = True
    row.add_step(ReasonKind.SETTLING, "asking the log; the id is barred unless recorded")
    requeue(tables, row, now)


def _deadline_reason(tables: Tables, row: RequestRow) -> Reason:
    passed = f"{row.request.deadline_ms} ms have passed"
    primary = tables.primary_of(tables.groups[row.group])
    is_silent = primary is None or primary.silent_since is not None
    if row.phase is Phase.QUEUED and row.needs_primary and is_silent:
        detail = f"no primary of {row.group} answers and {passed}; come back after retry_after_ms"
        return Reason(ReasonKind.NO_PRIMARY, detail, primary.name if primary else None)
    return Reason(ReasonKind.DEADLINE_PASSED, f"{passed} in phase {row.phase.value}")


def rolled_back_reason(row: RequestRow) -> Reason:
    """Return the reason for a statement whose transaction lost its connection."""
    detail = "its connection was closed, so the server rolls it back; begin a new one"
    return Reason(ReasonKind.TRANSACTION_LOST, detail, row.endpoint)


def expire_requests(tables: Tables, now: float) -> None:
    """Answer every request whose deadline has passed."""
    while tables.deadlines and tables.deadlines[0][0] <= now:
        _, key = heapq.heappop(tables.deadlines)
        row = tables.requests.get(key)
        if row is not None:
            _expire_request(tables, row, now)


def _expire_request(tables: Tables, row: RequestRow, now: float) -> None:
    group = tables.groups[row.group]
    for queue in group.queues.by_kind.values():
        queue.remove(row.request.business, row.key)
    if row.phase is Phase.SENT and row.connection is not None:
        _record_service_time(tables, row, now)
        connection = tables.connections.get(row.connection)
        if connection is not None:
            close_connection(tables, connection)
    reason = _deadline_reason(tables, row)
    if row.request.transaction is not None and row.request.action is not Action.COMMIT:
        retry_after_ms = answers.jittered(tables, answers.RETRY_AFTER_UNKNOWN_MS)
        answers.finish_not_run(tables, row, rolled_back_reason(row), retry_after_ms, now)
    elif row.phase is Phase.QUEUED and not row.may_have_run:
        retry_after_ms = answers.jittered(tables, answers.RETRY_AFTER_FAILOVER_MS)
        answers.finish_not_run(tables, row, reason, retry_after_ms, now)
    else:
        answers.finish_unknown(tables, row, reason, now)
