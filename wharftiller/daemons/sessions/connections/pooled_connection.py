"""One kept connection to an endpoint, and what is set on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.sessions.statements import (
    EndpointQuery,
    Prepare,
    PreparedStatement,
    RefusalKind,
    Reply,
    ResetSession,
    SessionState,
    SetValue,
)

if TYPE_CHECKING:
    from wharftiller.core.sessions.session import Session
    from wharftiller.daemons.sessions.connections.pool import EndpointPool
    from wharftiller.daemons.sessions.interfaces import EndpointConnection

SetupStatement = ResetSession | SetValue | Prepare
"""What a box runs for itself before a caller's statement."""

MAX_PREPARED = 200
"""Prepared names kept on one connection before it is reset."""


@attrs.define(eq=False)
class PooledConnection:
    """A connection and what is known to be set on it.

    Attributes
    ----------
    workspace : str
        Whose statements alone it runs; empty for anybody's and this box's own.
    via : str or None
        Address of the box that it goes through.
    values : dict of str to str
        Session values that are set on it.
    prepared : dict of PreparedStatement to str
        The names that it knows prepared statements by.
    broken : bool
        Whether it must not be used again.
    asking : bool
        Whether a statement runs on it.
    """

    number: int
    pool: EndpointPool
    link: EndpointConnection
    workspace: str = ""
    via: str | None = None
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[PreparedStatement, str] = attrs.field(factory=dict)
    idle_since: float = 0.0
    broken: bool = False
    is_busy: bool = False

    async def ask(self, query: EndpointQuery) -> Reply:
        """Run one statement; the connection is useless unless an answer comes.

        Raises
        ------
        ExchangeError
            If the connection breaks first.
        """
        (reply,) = await self._exchange([query])
        if reply.refusal is not None and reply.refusal.kind is RefusalKind.NO_CAPACITY:
            self.pool.note_busy()
        else:
            self.pool.note_answered()
        return attrs.evolve(reply, endpoint=self.pool.row.name)

    async def take_on(
        self, session: Session, needed: PreparedStatement | None, *, may_reset: bool = True
    ) -> None:
        """Give the connection the session's values and the prepared name that is needed.

        The caller's own statement follows only once all of that was taken: else it could
        run under another session's values.

        Parameters
        ----------
        may_reset : bool
            False inside a transaction, whose session can only have gained values.

        Raises
        ------
        ExchangeError
            If the connection breaks or the endpoint refuses one of them.
        """
        setup = self._setup_statements(session, needed, may_reset)
        if setup:
            self._apply_replies(
                setup, await self._exchange([EndpointQuery(body) for body in setup])
            )

    async def begin(self, session: Session, query: EndpointQuery) -> Reply:
        """Give the connection the session's values and open a transaction, in one write.

        Opening one runs nothing of the caller's, so nothing is lost where a value is refused.

        Raises
        ------
        ExchangeError
            If the connection breaks or the endpoint refuses a value.
        """
        setup = self._setup_statements(session, None, may_reset=True)
        *taken, reply = await self._exchange([*(EndpointQuery(body) for body in setup), query])
        self._apply_replies(setup, taken)
        return attrs.evolve(reply, endpoint=self.pool.row.name)

    def _setup_statements(
        self, session: Session, needed: PreparedStatement | None, may_reset: bool
    ) -> list[SetupStatement]:
        """Return what this box must run so that a statement of ``session`` may follow."""
        setup: list[SetupStatement] = []
        values, prepared = self.values, self.prepared
        if may_reset and (values.keys() - session.values.keys() or len(prepared) > MAX_PREPARED):
            setup.append(ResetSession())
            values, prepared = {}, {}
        setup += [
            SetValue(n, value) for n, value in session.values.items() if values.get(n) != value
        ]
        if needed is not None and needed not in prepared:
            setup.append(Prepare(f"p{len(prepared) + 1}", needed))
        return setup

    def _apply_replies(self, setup: list[SetupStatement], replies: list[Reply]) -> None:
        """Note what the endpoint took."""
        for body, reply in zip(setup, replies, strict=True):
            if reply.refusal is not None:
                self.broken = True
                raise ExchangeError(f"{self.pool.row.name} refused {body}: {reply.refusal}")
            match body:
                case ResetSession():
                    self.values.clear()
                    self.prepared.clear()
                case SetValue(name, value):
                    self.values[name] = value
                case Prepare(name, prepared):
                    self.prepared[prepared] = name

    async def _exchange(self, queries: list[EndpointQuery]) -> list[Reply]:
        """Send ``queries`` in one write and return all replies."""
        row = self.pool.row
        row.sent(self.number, trio.current_time())
        has_replies = False
        self.is_busy = True
        try:
            replies = await self.link.ask(queries)
            has_replies = True
        finally:
            self.is_busy = False
            self.pool.wake_next()
            if not has_replies:
                self.broken = True
                row.given_up(self.number, trio.current_time())
        # What this box runs for itself takes no slot: it says nothing of how long work takes.
        works = queries[-1].statement is not None
        row.answered(self.number, trio.current_time(), replies[-1].position, works=works)
        return replies

    def close(self) -> None:
        """Close it and give its place to another."""
        self.broken = True
        self.pool.release(self)

    def release(self, state: SessionState = SessionState.IDLE) -> None:
        """Give it back; closed unless it stands outside any transaction."""
        if state is not SessionState.IDLE:
            self.broken = True
        self.pool.release(self)
