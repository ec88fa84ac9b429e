"""A pooled connection to an endpoint, with its session state."""

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
"""Statements that set up a connection before a caller's statement."""

MAX_PREPARED = 200
"""Maximum of prepared statements on one connection before it is reset."""


@attrs.define(eq=False)
class PooledConnection:
    """A connection and the session state that is set on it.

    Attributes
    ----------
    workspace : str
        Workspace whose statements it runs; empty if it was opened for none.
    via : str or None
        Address of the box that relays it; None if it is direct.
    values : dict of str to str
        Session values set on the endpoint.
    prepared : dict of PreparedStatement to str
        Names of the statements prepared on the endpoint.
    broken : bool
        Whether it must not be used again.
    is_busy : bool
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
        """Run one statement; without a reply the connection is marked broken.

        Raises
        ------
        ExchangeError
            If the connection breaks first.
        """
        (reply,) = await self._exchange([query])
        if reply.refusal is not None and reply.refusal.kind is RefusalKind.NO_CAPACITY:
            self.pool.record_busy()
        else:
            self.pool.record_answer()
        return attrs.evolve(reply, endpoint=self.pool.row.name)

    async def apply_session(
        self, session: Session, needed: PreparedStatement | None, *, may_reset: bool = True
    ) -> None:
        """Set the session's values and prepare the statement that is needed.

        The caller's statement is sent only after all replies, so that it never runs with
        another session's values.

        Parameters
        ----------
        may_reset : bool
            False inside a transaction, where values are only ever added.

        Raises
        ------
        ExchangeError
            If the connection breaks or the endpoint refuses a setup statement.
        """
        setup = self._setup_statements(session, needed, may_reset)
        if setup:
            self._apply_replies(
                setup, await self._exchange([EndpointQuery(body) for body in setup])
            )

    async def begin(self, session: Session, query: EndpointQuery) -> Reply:
        """Set the session's values and open a transaction, in one write.

        No statement of the caller runs yet, so a refused value has no effect on its data.

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
        """Return the statements that set the connection up for ``session``."""
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
        """Record the state that the endpoint has accepted."""
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
        """Send ``queries`` in one write and return their replies."""
        row = self.pool.row
        row.record_sent(self.number, trio.current_time())
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
                row.record_timeout(self.number, trio.current_time())
        # Setup statements use no slot of the endpoint: their times are not service times.
        is_statement = queries[-1].statement is not None
        row.record_reply(
            self.number, trio.current_time(), replies[-1].position, is_statement=is_statement
        )
        return replies

    def close(self) -> None:
        """Close the connection and wake the next waiter."""
        self.broken = True
        self.pool.release(self)

    def release(self, state: SessionState = SessionState.IDLE) -> None:
        """Return it to the pool; it is closed unless ``state`` is idle."""
        if state is not SessionState.IDLE:
            self.broken = True
        self.pool.release(self)
