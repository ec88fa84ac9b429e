"""Serve one caller's session from its first statement to its end."""

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
    """A caller's connection, decoded."""

    async def receive(self) -> Statement | None:
        """Return the next statement, or None when the caller has left."""
        ...

    async def send(self, reply: Reply) -> None:
        """Send the answer to the last statement."""
        ...


@attrs.define(eq=False)
class _Served:
    """A session being served, and its caller's connection."""

    session: Session
    caller: CallerConnection


class SessionServer:
    """Serves callers' sessions; can stop without cutting a request."""

    def __init__(
        self, state: SharedState, runner: StatementRunner, door: ConnectionAdmission
    ) -> None:
        self._state = state
        self._runner = runner
        self._door = door
        self._served: set[_Served] = set()
        self._numbers = 0
        self._closing_idle = False
        self._closing_all = False

    @property
    def count(self) -> int:
        """Sessions open."""
        return len(self._served)

    async def serve(
        self, channel: CallerChannel, database: str, key_digest: str, caller: CallerConnection
    ) -> None:
        """Serve one session until the caller leaves, this box stops or it needs the room."""
        self._numbers += 1
        served = _Served(Session(self._numbers, database, key_digest), caller)
        self._served.add(served)
        try:
            while (statement := await self._next(served, channel)) is not None:
                reply = await self._runner.run(served.session, statement, trio.current_time())
                await channel.send(reply)
        finally:
            self._served.discard(served)
            self._runner.end_transaction(served.session)

    async def _next(self, served: _Served, channel: CallerChannel) -> Statement | None:
        """Return the next statement; None at the session's end."""
        caller = served.caller
        while not self._must_close(served):
            self._note_rest(served)
            with trio.CancelScope(deadline=self._rest_until(served.session)) as waiting:
                caller.waiting = waiting
                statement = await channel.receive()
                caller.waiting = None
                self._door.works(caller)
                return statement
            caller.waiting = None
            self._end_rested(served.session)
        return None

    def _note_rest(self, served: _Served) -> None:
        if served.session.transaction is None:
            self._door.rests(served.caller)

    def _must_close(self, served: _Served) -> bool:
        if self._closing_all:
            return True
        return served.session.transaction is None and (
            self._closing_idle or served.caller.sent_away
        )

    def _rest_until(self, session: Session) -> float:
        """Return until when the session may rest, in seconds."""
        transaction = session.transaction
        if transaction is None or transaction.failed:
            return float("inf")
        return transaction.used_at + self._state.configuration.transaction_idle_s

    def _end_rested(self, session: Session) -> None:
        transaction = session.transaction
        if transaction is None or transaction.failed:
            return
        if trio.current_time() >= self._rest_until(session):
            self._state.log.event("transaction_rested_too_long", session=session.number)
            self._runner.fail_transaction(session)

    def close_idle(self) -> None:
        """Close every session outside a transaction, now and from here on."""
        self._closing_idle = True
        self._cancel_waiting()

    def send_away(self, groups: Collection[str]) -> int:
        """Close the sessions on ``groups`` that rest outside a transaction; return how many."""
        routes = self._state.configuration.routes
        sent = 0
        for served in self._served:
            route = routes.get(served.session.database)
            resting = served.caller.waiting is not None and served.session.transaction is None
            if resting and route is not None and route.group in groups:
                served.caller.send_away()
                sent += 1
        return sent

    def close_all(self) -> None:
        """Close every session at its next rest; open transactions are rolled back."""
        self._closing_all = True
        self._cancel_waiting()

    def _cancel_waiting(self) -> None:
        for served in self._served:
            waiting = served.caller.waiting
            if waiting is not None and self._must_close(served):
                waiting.cancel()
