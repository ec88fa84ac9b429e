"""Statements routed to an endpoint, and the errors that refuse them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.sessions.retry_after import SHORT_RETRY_AFTER_S, retry_after_s
from wharftiller.core.sessions.statements import (
    Access,
    Commit,
    Direct,
    EndpointQuery,
    Execute,
    PreparedStatement,
    Refusal,
    RefusalKind,
    Reply,
    Statement,
)

if TYPE_CHECKING:
    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.retry_after import Cause
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session
    from wharftiller.core.sessions.statements import SessionState
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection

REPLY_MARGIN_S = 0.02
"""Time reserved for the reply before a statement's time-out, in seconds."""

BUSY_RETRY_S = 0.02
"""Pause before a retry on a busy endpoint, in seconds; about one statement's duration."""

BUSY_TRIES = 4
"""Maximum number of times that a statement is sent to a busy endpoint."""

READ_TRIES = 4
"""Maximum number of endpoints tried for one read."""

SentBody = Direct | Execute | Commit
"""Bodies of statements that are sent to an endpoint."""


class StatementRefusedError(Exception):
    """A statement was refused by this box.

    Parameters
    ----------
    cause : Cause or None
        The temporary condition behind it, if any; the statement had no effect then.
    after_s : float
        Expected duration of that condition, in seconds.
    """

    def __init__(
        self,
        kind: RefusalKind,
        why: str,
        cause: Cause | None = None,
        after_s: float = SHORT_RETRY_AFTER_S,
    ) -> None:
        super().__init__(why)
        self.kind = kind
        self.why = why
        self.cause = cause
        self.after_s = after_s

    def reply(self, statement: Statement, state: SessionState) -> Reply:
        """Return the reply to the caller of ``statement``."""
        detail = self.why
        if self.cause is not None:
            detail = retry_later(self.why, self.after_s, statement)
        return Reply(state, refusal=Refusal(self.kind, detail, self.cause))


class NoCapacityError(StatementRefusedError):
    """An endpoint has no capacity within the latency goal; nothing was sent."""

    def __init__(self, why: str, cause: Cause, after_s: float) -> None:
        super().__init__(RefusalKind.NO_CAPACITY, why, cause, after_s)


class RateLimitedError(StatementRefusedError):
    """The workspace's allowance is used up; nothing was sent."""

    def __init__(self, why: str, cause: Cause, after_s: float) -> None:
        super().__init__(RefusalKind.NO_CAPACITY, why, cause, after_s)


@attrs.frozen
class RoutedStatement:
    """A statement with all that determines its endpoint and its deadline.

    Attributes
    ----------
    needed : PreparedStatement or None
        What must be prepared on the endpoint's connection before it runs.
    arrived_at, until : float
        Its arrival and the deadline of its endpoint's answer, in seconds.
    """

    session: Session
    route: Route
    statement: Statement
    body: SentBody
    needed: PreparedStatement | None
    arrived_at: float
    until: float

    @property
    def writes(self) -> bool:
        """Whether it changes data itself; False for a commit."""
        match self.body:
            case Direct(access):
                return access is Access.WRITE
            case Execute():
                return self.needed is not None and self.needed.access is Access.WRITE
            case Commit():
                return False

    def query(
        self, connection: PooledConnection, after: LogPosition | None = None
    ) -> EndpointQuery:
        """Return the query for ``connection``, with its own name of a prepared statement."""
        body = self.body
        if isinstance(body, Execute) and self.needed is not None:
            body = attrs.evolve(body, name=connection.prepared[self.needed])
        return EndpointQuery(body, self.statement, after)


def route_statement(
    session: Session, route: Route, statement: Statement, arrived_at: float
) -> RoutedStatement:
    """Return ``statement`` routed on ``route``.

    Raises
    ------
    StatementRefusedError
        If it cannot be sent to an endpoint.
    """
    needed: PreparedStatement | None = None
    match statement.body:
        case Execute(name):
            needed = session.prepared.get(name)
            if needed is None:
                detail = f"nothing is prepared under the name {name}"
                raise StatementRefusedError(RefusalKind.UNKNOWN_PREPARED, detail)
        case Direct() | Commit():
            pass
        case _:
            detail = "this cannot be sent to an endpoint"
            raise StatementRefusedError(RefusalKind.MALFORMED, detail)
    until = arrived_at + route.timeout_s - REPLY_MARGIN_S
    return RoutedStatement(session, route, statement, statement.body, needed, arrived_at, until)


def retry_later(why: str, after_s: float, statement: Statement) -> str:
    """Return the detail of a temporary refusal of a statement that had no effect."""
    retry_after_ms = retry_after_s(after_s, statement.request_id) * 1000
    return f"{why}; nothing is kept, come back in {retry_after_ms:.0f} ms"
