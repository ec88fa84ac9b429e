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
    from wharftiller.daemons.sessions.pool import EndpointPool
    from wharftiller.daemons.sessions.seams import EndpointConnection

PREPARED_KEPT = 200
"""Prepared names kept on one connection before it is reset."""


@attrs.define(eq=False)
class PooledConnection:
    """A connection and what is known to be set on it.

    Attributes
    ----------
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
    via: str | None = None
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[PreparedStatement, str] = attrs.field(factory=dict)
    idle_since: float = 0.0
    broken: bool = False
    asking: bool = False

    async def ask(self, query: EndpointQuery) -> Reply:
        """Run one statement; the connection is useless unless an answer comes.

        Raises
        ------
        ExchangeError
            If the connection breaks first.
        """
        row = self.pool.row
        row.sent(self.number, trio.current_time())
        done = False
        self.asking = True
        try:
            reply = await self.link.ask(query)
            done = True
        finally:
            self.asking = False
            self.pool.wake_next()
            if not done:
                self.broken = True
                row.given_up(self.number, trio.current_time())
        row.answered(self.number, trio.current_time(), reply.position)
        if reply.refusal is not None and reply.refusal.kind is RefusalKind.NO_CAPACITY:
            self.pool.note_busy()
        else:
            self.pool.note_answered()
        return attrs.evolve(reply, endpoint=row.name)

    async def take_on(
        self, session: Session, needed: PreparedStatement | None, *, may_reset: bool = True
    ) -> None:
        """Give the connection the session's values and the prepared name that is needed.

        Parameters
        ----------
        may_reset : bool
            False inside a transaction, whose session can only have gained values.
        """
        extra = self.values.keys() - session.values.keys()
        if may_reset and (extra or len(self.prepared) > PREPARED_KEPT):
            await self._run_own(ResetSession())
            self.values.clear()
            self.prepared.clear()
        for name, value in session.values.items():
            if self.values.get(name) != value:
                await self._run_own(SetValue(name, value))
                self.values[name] = value
        if needed is not None and needed not in self.prepared:
            name = f"p{len(self.prepared) + 1}"
            await self._run_own(Prepare(name, needed))
            self.prepared[needed] = name

    async def _run_own(self, body: ResetSession | SetValue | Prepare) -> None:
        """Run a statement of this box's own."""
        reply = await self.ask(EndpointQuery(body))
        if reply.refusal is not None:
            self.broken = True
            raise ExchangeError(f"{self.pool.row.name} refused {body}: {reply.refusal}")

    def close(self) -> None:
        """Close it and give its place to another."""
        self.broken = True
        self.pool.release(self)

    def release(self, state: SessionState = SessionState.IDLE) -> None:
        """Give it back; closed unless it stands outside any transaction."""
        if state is not SessionState.IDLE:
            self.broken = True
        self.pool.release(self)
