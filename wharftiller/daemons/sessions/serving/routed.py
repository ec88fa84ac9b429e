"""A caller's statement on its way to an endpoint, and what ends it with a refusal."""

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

MARGIN_S = 0.02
"""Time kept to answer before a statement's time-out, in seconds."""

BUSY_RETRY_S = 0.02
"""Pause before an endpoint that was too busy is asked again, in seconds: one usual statement."""

BUSY_TRIES = 4
"""Times a statement is offered to an endpoint that is too busy to take it."""

READ_TRIES = 4
"""Endpoints asked for one read before it is refused."""

SentBody = Direct | Execute | Commit
"""What of a caller's statements goes to an endpoint as it is."""


class StatementRefusedError(Exception):
    """A statement that ends with a refusal by this box.

    Parameters
    ----------
    cause : Cause or None
        What stood in its way and passes by itself; nothing of the statement is kept then.
    after_s : float
        In how many seconds that has probably passed.
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
        """Return what the caller of ``statement`` is told."""
        detail = self.why
        if self.cause is not None:
            detail = retry_later(self.why, self.after_s, statement)
        return Reply(state, refusal=Refusal(self.kind, detail, self.cause))


class NoCapacityError(StatementRefusedError):
    """An endpoint has no place for a statement within its goal; nothing was sent."""

    def __init__(self, why: str, cause: Cause, after_s: float) -> None:
        super().__init__(RefusalKind.NO_CAPACITY, why, cause, after_s)


class RateLimitedError(StatementRefusedError):
    """The workspace's allowance has no room for an operation; nothing was sent."""

    def __init__(self, why: str, cause: Cause, after_s: float) -> None:
        super().__init__(RefusalKind.NO_CAPACITY, why, cause, after_s)


@attrs.frozen
class RoutedStatement:
    """One statement with everything that decides where it runs and until when.

    Attributes
    ----------
    needed : PreparedStatement or None
        What its endpoint's connection must have a name for.
    arrived_at, until : float
        When it came and when its endpoint's answer is too late, in seconds.
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
        """Whether it changes data itself; a commit does not."""
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
        """Return what is sent on ``connection``, which may know a prepared name by another."""
        body = self.body
        if isinstance(body, Execute) and self.needed is not None:
            body = attrs.evolve(body, name=connection.prepared[self.needed])
        return EndpointQuery(body, self.statement, after)


def route_statement(
    session: Session, route: Route, statement: Statement, arrived_at: float
) -> RoutedStatement:
    """Return ``statement`` with what it needs to run on ``route``.

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
    until = arrived_at + route.timeout_s - MARGIN_S
    return RoutedStatement(session, route, statement, statement.body, needed, arrived_at, until)


def retry_later(why: str, after_s: float, statement: Statement) -> str:
    """Return the detail of a refusal after which nothing is kept and that passes."""
    retry_after_ms = retry_after_s(after_s, statement.request_id) * 1000
    return f"{why}; nothing is kept, come back in {retry_after_ms:.0f} ms"
