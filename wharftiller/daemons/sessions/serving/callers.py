"""Serve callers' sessions from their first statement to their end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs
import trio

from wharftiller.core.sessions.session import Session

if TYPE_CHECKING:
    from collections.abc import Collection

    from wharftiller.core.sessions.statements import Reply, Statement
    from wharftiller.daemons.sessions.serving.connection_admission import (
        CallerConnection,
        ConnectionAdmission,
    )
    from wharftiller.daemons.sessions.serving.statements import StatementRunner
    from wharftiller.daemons.sessions.state import SharedState


class CallerChannel(Protocol):
    """A caller's connection, as decoded statements and replies."""

    async def receive(self) -> Statement | None:
        """Return the next statement, or None when the caller has disconnected."""
        ...

    async def send(self, reply: Reply) -> None:
        """Send the answer to the last statement."""
        ...


@attrs.define(eq=False)
class _OpenSession:
    """An open session and its caller's connection."""

    session: Session
    caller: CallerConnection


class SessionServer:
    """Serves callers' sessions; stops without interrupting a statement."""

    def __init__(
        self, state: SharedState, runner: StatementRunner, admission: ConnectionAdmission
    ) -> None:
        self._state = state
        self._runner = runner
        self._admission = admission
        self._open_sessions: set[_OpenSession] = set()
        self._last_number = 0
        self._closing_idle = False
        self._closing_all = False

    @property
    def count(self) -> int:
        """Number of open sessions."""
        return len(self._open_sessions)

    async def serve(
        self, channel: CallerChannel, database: str, key_digest: str, caller: CallerConnection
    ) -> None:
        """Serve one session until its caller disconnects, the box stops or the session is shed."""
        self._last_number += 1
        open_session = _OpenSession(Session(self._last_number, database, key_digest), caller)
        self._open_sessions.add(open_session)
        try:
            while (statement := await self._next(open_session, channel)) is not None:
                reply = await self._runner.run(open_session.session, statement, trio.current_time())
                await channel.send(reply)
        finally:
            self._open_sessions.discard(open_session)
            self._runner.end_transaction(open_session.session)

    async def _next(self, open_session: _OpenSession, channel: CallerChannel) -> Statement | None:
        """Return the next statement; None at the session's end."""
        caller = open_session.caller
        while not self._must_close(open_session):
            self._mark_idle(open_session)
            with trio.CancelScope(deadline=self._idle_deadline(open_session.session)) as waiting:
                caller.waiting = waiting
                statement = await channel.receive()
                caller.waiting = None
                self._admission.mark_busy(caller)
                return statement
            caller.waiting = None
            self._expire_idle_transaction(open_session.session)
        return None

    def _mark_idle(self, open_session: _OpenSession) -> None:
        if open_session.session.transaction is None:
            self._admission.mark_idle(open_session.caller)

    def _must_close(self, open_session: _OpenSession) -> bool:
        if self._closing_all:
            return True
        return open_session.session.transaction is None and (
            self._closing_idle or open_session.caller.is_shed
        )

    def _idle_deadline(self, session: Session) -> float:
        """Return the time until which the session may stay idle, in seconds."""
        transaction = session.transaction
        if transaction is None or transaction.failed:
            return float("inf")
        return transaction.used_at + self._state.configuration.transaction_idle_s

    def _expire_idle_transaction(self, session: Session) -> None:
        transaction = session.transaction
        if transaction is None or transaction.failed:
            return
        if trio.current_time() >= self._idle_deadline(session):
            self._state.log.event("transaction_rested_too_long", session=session.number)
            self._runner.fail_transaction(session)

    def close_idle(self) -> None:
        """Close every session outside a transaction, and every other when its transaction ends."""
        self._closing_idle = True
        self._cancel_waiting()

    def shed(self, groups: Collection[str]) -> int:
        """Close the idle sessions on ``groups`` that are outside a transaction; return how many."""
        routes = self._state.configuration.routes
        shed = 0
        for open_session in self._open_sessions:
            route = routes.get(open_session.session.database)
            is_idle = (
                open_session.caller.waiting is not None and open_session.session.transaction is None
            )
            if is_idle and route is not None and route.group in groups:
                open_session.caller.shed()
                shed += 1
        return shed

    def close_all(self) -> None:
        """Close every session after its current statement; roll back open transactions."""
        self._closing_all = True
        self._cancel_waiting()

    def _cancel_waiting(self) -> None:
        for open_session in self._open_sessions:
            waiting = open_session.caller.waiting
            if waiting is not None and self._must_close(open_session):
                waiting.cancel()
