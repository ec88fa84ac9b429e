"""The callers' interface: statements over HTTP with JSON, one final answer each."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from wharftiller.core.errors import BadRequestError
from wharftiller.core.messages import Action, Answer, Outcome, Request
from wharftiller.core.positions import Session
from wharftiller.edges.codec import from_caller
from wharftiller.edges.http_server import HttpRequest, HttpResponse
from wharftiller.keys import KeyRing, bearer

MAX_ID_LENGTH = 128
MAX_DEADLINE_MS = 60_000
MAX_AGE_MS = 86_400_000

Execute = Callable[[Request], Awaitable[Answer]]


@attrs.frozen
class CallerStatement:
    """The body of ``POST /statements``; see docs/design/caller-protocol.md.

    Attributes
    ----------
    kind : str
        ``read``, ``write``, ``begin``, ``commit`` or ``rollback``.
    max_age_ms : int or None
        0 requests the latest data; None applies the pool's rule.
    explain : bool
        Whether the answer includes the steps of the decision.
    """

    pool: str
    business: str
    request_id: str
    kind: str
    statement: Any = None
    repeatable: bool = False
    max_age_ms: int | None = None
    deadline_ms: int = 5_000
    session: str | None = None
    transaction: str | None = None
    explain: bool = False


_ACTIONS = {
    action.value: action
    for action in (Action.READ, Action.WRITE, Action.BEGIN, Action.COMMIT, Action.ROLLBACK)
}


async def answer_statement(request: HttpRequest, keys: KeyRing, execute: Execute) -> HttpResponse:
    """Answer one ``POST /statements``.

    Raises
    ------
    WharfError
        If the request is malformed or not authenticated, or its session token was not issued for
        its pool and business.
    """
    body = from_caller(request.json(), CallerStatement)
    _check_fields(body)
    keys.check("business", f"{body.pool}/{body.business}", bearer(request.headers))
    answer = await execute(_to_request(body, keys))
    return _to_response(answer, keys, explain=body.explain)


def _check_fields(body: CallerStatement) -> None:
    if not 0 < len(body.request_id) <= MAX_ID_LENGTH:
        raise BadRequestError(
            f"request_id has {len(body.request_id)} characters; use 1 to {MAX_ID_LENGTH}, unique "
            "within the business"
        )
    if not 1 <= body.deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequestError(f"deadline_ms is {body.deadline_ms}; use 1 to {MAX_DEADLINE_MS}")
    if body.max_age_ms is not None and not 0 <= body.max_age_ms <= MAX_AGE_MS:
        raise BadRequestError(
            f"max_age_ms is {body.max_age_ms}; use 0 (the latest) to {MAX_AGE_MS}"
        )
    if body.kind not in _ACTIONS:
        raise BadRequestError(f"kind is {body.kind!r}; use one of {sorted(_ACTIONS)}")
    if body.kind in ("commit", "rollback") and body.transaction is None:
        raise BadRequestError(f"a {body.kind} names no transaction; send the one 'begin' gave")
    if body.kind == "begin" and body.transaction is not None:
        raise BadRequestError("a begin names a transaction; transactions do not nest")


def _to_request(body: CallerStatement, keys: KeyRing) -> Request:
    if body.session is None:
        session = Session(body.pool, body.business)
    else:
        session = keys.read_session(body.session, body.pool, body.business)
    return Request(
        request_id=body.request_id,
        pool=body.pool,
        business=body.business,
        action=_ACTIONS[body.kind],
        session=session,
        statement=body.statement,
        repeatable=body.repeatable,
        max_age_ms=body.max_age_ms,
        latest=body.max_age_ms == 0,
        deadline_ms=body.deadline_ms,
        transaction=body.transaction,
    )


def _to_response(answer: Answer, keys: KeyRing, *, explain: bool) -> HttpResponse:
    body = {
        "request_id": answer.request_id,
        "outcome": answer.outcome.value,
        "reason": answer.reason.kind.value,
        "message": answer.reason.detail,
        "result": answer.result,
        "retry_after_ms": answer.retry_after_ms,
        "session": keys.sign_session(answer.session) if answer.session else None,
        "transaction": answer.transaction,
        "endpoint": answer.endpoint,
        "generation": answer.generation,
    }
    if explain:
        body["decision"] = [
            {"kind": step.kind.value, "detail": step.detail, "endpoint": step.endpoint}
            for step in answer.steps
        ]
    return HttpResponse(_http_status(answer), body, _retry_after_header(answer))


def _http_status(answer: Answer) -> int:
    match answer.outcome:
        case Outcome.DONE:
            return 200
        case Outcome.UNKNOWN:
            return 202
        case Outcome.NOT_RUN:
            return 422 if answer.retry_after_ms is None else 503


def _retry_after_header(answer: Answer) -> dict[str, str]:
    if answer.retry_after_ms is None:
        return {}
    return {"retry-after": str(math.ceil(answer.retry_after_ms / 1000))}
