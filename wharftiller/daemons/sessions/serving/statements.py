"""Answer the statements of sessions, each by the runner of its kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.sessions.statements import (
    Begin,
    Commit,
    Deallocate,
    Malformed,
    Prepare,
    RefusalKind,
    Reply,
    Rollback,
    SessionState,
    SetValue,
    refused,
)
from wharftiller.core.sessions.workspaces import Anonymous, Member, UnknownKey, identify
from wharftiller.daemons.sessions.serving.answer_log import record_answer, record_forwarded
from wharftiller.daemons.sessions.serving.autocommit import AutocommitRunner
from wharftiller.daemons.sessions.serving.endpoint_selection import EndpointSelector
from wharftiller.daemons.sessions.serving.read_timeouts import ReadTimeouts
from wharftiller.daemons.sessions.serving.transactions import TransactionRunner

if TYPE_CHECKING:
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import OpenTransaction, Session
    from wharftiller.core.sessions.statements import Statement
    from wharftiller.daemons.sessions.allowances.rate_limiter import RateLimiter
    from wharftiller.daemons.sessions.forwarding.forwarder import Forwarder
    from wharftiller.daemons.sessions.state import SharedState


class StatementRunner:
    """Runs statements for every session of this box.

    Parameters
    ----------
    rate_limiter : RateLimiter
        Admits operations that run on this box.
    forwarder : Forwarder or None
        Forwards statements to other boxes; without one, all run on this box.
    """

    def __init__(
        self, state: SharedState, rate_limiter: RateLimiter, forwarder: Forwarder | None = None
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        selector = EndpointSelector(state)
        self.read_timeouts = ReadTimeouts()
        self._autocommit = AutocommitRunner(state, rate_limiter, selector, self.read_timeouts)
        self._transactions = TransactionRunner(state, rate_limiter, selector)

    async def run(self, session: Session, statement: Statement, arrived_at: float) -> Reply:
        """Return the answer to ``statement``, a refusal if it fails."""
        reply = await self._run(session, statement, arrived_at)
        record_answer(self._state, session, statement, reply, arrived_at)
        return reply

    async def _run(self, session: Session, statement: Statement, arrived_at: float) -> Reply:
        transaction = session.transaction
        if transaction is not None and transaction.failed:
            return self._after_failure(session, statement)
        match statement.body:
            case Malformed(why):
                return refused(RefusalKind.MALFORMED, why, session.state)
            case SetValue(name, value):
                session.values[name] = value
            case Prepare(name, prepared):
                session.prepared[name] = prepared
            case Deallocate(name):
                session.prepared.pop(name, None)
            case Begin(read_only):
                return self._begin(session, read_only, arrived_at)
            case Rollback():
                self.end_transaction(session)
            case Commit() if transaction is None:
                return refused(RefusalKind.MALFORMED, "no transaction is open", session.state)
            case _ if transaction is not None:
                return await self._in_transaction(session, transaction, statement, arrived_at)
            case _:
                return await self._run_autocommit(session, statement, arrived_at)
        return Reply(session.state)

    def _after_failure(self, session: Session, statement: Statement) -> Reply:
        match statement.body:
            case Rollback():
                self.end_transaction(session)
                return Reply(SessionState.IDLE)
            case Commit():
                self.end_transaction(session)
                detail = "the transaction had failed and was rolled back"
                return refused(RefusalKind.ROLLED_BACK, detail, SessionState.IDLE)
            case _:
                detail = "the transaction has failed; end it first"
                return refused(RefusalKind.MALFORMED, detail, SessionState.FAILED)

    def _begin(self, session: Session, read_only: bool, arrived_at: float) -> Reply:
        if session.transaction is not None:
            return refused(RefusalKind.MALFORMED, "a transaction is open already", session.state)
        route = self._route(session)
        if route is None:
            return self._refuse_unknown_database(session)
        if not self._bind_workspace(session, route):
            return self._refuse_unknown_key(session)
        return self._transactions.begin(session, route, read_only, arrived_at)

    async def _run_autocommit(
        self, session: Session, statement: Statement, arrived_at: float
    ) -> Reply:
        route = self._route(session)
        if route is None:
            return self._refuse_unknown_database(session)
        if not self._bind_workspace(session, route):
            return self._refuse_unknown_key(session)
        if self._forwarder is not None:
            reply = await self._forwarder.forward_autocommit(session, route, statement, arrived_at)
            if reply is not None:
                return reply
        return await self._autocommit.run(session, route, statement, arrived_at)

    async def _in_transaction(
        self,
        session: Session,
        transaction: OpenTransaction,
        statement: Statement,
        arrived_at: float,
    ) -> Reply:
        if self._forwarder is not None and transaction.connection is None:
            reply = await self._forwarder.forward_in_transaction(
                session, transaction, statement, arrived_at
            )
            if reply is not None:
                return reply
        return await self._transactions.run(session, transaction, statement, arrived_at)

    async def run_forwarded(
        self, session: Session, route: Route, statement: Statement, arrived_at: float
    ) -> Reply:
        """Run a statement that another box forwarded; return the answer."""
        if session.transaction is not None:
            reply = await self._transactions.run(
                session, session.transaction, statement, arrived_at
            )
        else:
            reply = await self._autocommit.run(session, route, statement, arrived_at)
        record_forwarded(self._state, session, statement, reply, arrived_at)
        return reply

    def begin_forwarded(
        self, session: Session, route: Route, read_only: bool, begun_at: float
    ) -> None:
        """Open another box's transaction; its first statement selects the endpoint."""
        self._transactions.begin(session, route, read_only, begun_at)

    def _route(self, session: Session) -> Route | None:
        return self._state.configuration.routes.get(session.database)

    def _bind_workspace(self, session: Session, route: Route) -> bool:
        """Set the session's workspace by its key; return False if no workspace has the key."""
        match identify(self._state.configuration.workspaces, route, session.key_digest):
            case Member(workspace):
                session.workspace = workspace
            case Anonymous():
                session.workspace = None
            case UnknownKey():
                return False
        return True

    def _refuse_unknown_key(self, session: Session) -> Reply:
        detail = f"no workspace holds this session's key in version {self._state.version}"
        return refused(RefusalKind.UNKNOWN_KEY, detail, session.state)

    def _refuse_unknown_database(self, session: Session) -> Reply:
        detail = f"no route leads to {session.database} in version {self._state.version}"
        return refused(RefusalKind.UNKNOWN_DATABASE, detail, session.state)

    def end_transaction(self, session: Session) -> None:
        """End the open transaction and roll it back."""
        transaction = session.transaction
        if self._forwarder is not None and transaction is not None and transaction.remote:
            self._forwarder.drop(session, transaction)
        else:
            self._transactions.end(session)

    def fail_transaction(self, session: Session) -> None:
        """Fail the open transaction; its caller learns of it at the next statement."""
        transaction = session.transaction
        self._transactions.fail(session)
        if self._forwarder is not None and transaction is not None:
            self._forwarder.roll_back_remote(transaction)
