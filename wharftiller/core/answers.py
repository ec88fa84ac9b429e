"""Build final answers, record their decisions and send them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wharftiller.core.messages import Answer, AnswerCaller, Outcome, Request, Role
from wharftiller.core.positions import LogPosition
from wharftiller.core.reasons import Decision, Reason, ReasonKind
from wharftiller.core.replication import answer_position

if TYPE_CHECKING:
    from wharftiller.core.messages import EndpointAnswer
    from wharftiller.core.tables import RequestRow, Tables

RETRY_AFTER_FAILOVER_MS = 500
RETRY_AFTER_UNKNOWN_MS = 300
RETRY_TOKENS_PER_SUCCESS = 0.1
MAX_RETRY_TOKENS = 10.0


def jittered(tables: Tables, milliseconds: float) -> int:
    """Return ``milliseconds`` with a random jitter of up to 20% either way, at least 1."""
    return max(1, round(milliseconds * tables.random.uniform(0.8, 1.2)))


def refuse(
    tables: Tables,
    key: int,
    request: Request,
    reason: Reason,
    retry_after_ms: int | None,
    now: float,
) -> None:
    """Answer ``NOT_RUN`` to a request that was not admitted."""
    answer = Answer(
        Outcome.NOT_RUN,
        reason,
        request.request_id,
        retry_after_ms=retry_after_ms,
        session=request.session,
        generation=tables.configuration.generation,
        steps=(reason,),
    )
    _emit_answer(tables, key, request, answer, now, 0.0)


def finish_not_run(
    tables: Tables, row: RequestRow, reason: Reason, retry_after_ms: int | None, now: float
) -> None:
    """Answer ``NOT_RUN``: the request certainly did not run."""
    _finish(tables, row, Outcome.NOT_RUN, reason, now, retry_after_ms=retry_after_ms)


def finish_unknown(tables: Tables, row: RequestRow, reason: Reason, now: float) -> None:
    """Answer ``UNKNOWN``: a retry with the same request id returns the outcome."""
    retry_after_ms = jittered(tables, RETRY_AFTER_UNKNOWN_MS)
    _finish(tables, row, Outcome.UNKNOWN, reason, now, retry_after_ms=retry_after_ms)


def finish_done(
    tables: Tables,
    row: RequestRow,
    answer: EndpointAnswer,
    now: float,
    *,
    provisional: bool = False,
    transaction: str | None = None,
) -> None:
    """Answer ``DONE`` with a result.

    Parameters
    ----------
    provisional : bool
        True inside a transaction: only its commit advances the session.
    """
    report = answer.report
    by_primary = report.role is Role.PRIMARY
    position = None if provisional else answer_position(answer)
    kind = ReasonKind.COVERED if row.is_booking else ReasonKind.CONFIRMED
    detail = f"{report.endpoint} at {LogPosition(report.log_term, answer.position)}"
    reason = row.add_step(kind, detail, report.endpoint)
    session = row.request.session
    if position is not None:
        session = session.advanced(row.group, position)
    tables.retry_tokens = min(MAX_RETRY_TOKENS, tables.retry_tokens + RETRY_TOKENS_PER_SUCCESS)
    if not row.is_booking:
        _count_read(tables, row, by_primary)
    _finish(
        tables,
        row,
        Outcome.DONE,
        reason,
        now,
        result=answer.result,
        session=session,
        position=position,
        transaction=transaction,
        endpoint=report.endpoint,
    )


def _count_read(tables: Tables, row: RequestRow, by_primary: bool) -> None:
    tables.count("reads.primary" if by_primary else "reads.replica")
    if row.allowed_age_s is not None:
        tables.count("reads.allowed_primary" if by_primary else "reads.allowed_replica")


def _finish(
    tables: Tables, row: RequestRow, outcome: Outcome, reason: Reason, now: float, **fields: Any
) -> None:
    row.add_step(reason.kind, reason.detail, reason.endpoint)
    tables.requests.pop(row.key, None)
    tables.groups[row.group].checking.discard(row.key)
    fields.setdefault("session", row.request.session)
    answer = Answer(
        outcome,
        reason,
        row.request.request_id,
        generation=row.generation,
        steps=tuple(row.steps),
        **fields,
    )
    _emit_answer(tables, row.key, row.request, answer, now, now - row.arrived_at)


def _emit_answer(
    tables: Tables, key: int, request: Request, answer: Answer, now: float, took_s: float
) -> None:
    tables.count(f"answers.{answer.outcome.value}")
    tables.decisions.append(
        Decision(
            request.request_id,
            request.business,
            now,
            took_s * 1000,
            answer.outcome.value,
            answer.steps,
        )
    )
    tables.emit(AnswerCaller(key, answer))
