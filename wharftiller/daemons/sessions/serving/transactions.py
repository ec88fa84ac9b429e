"""Run transactions, each on one connection from its first statement to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.sessions.retry_after import Cause
from wharftiller.core.sessions.session import OpenTransaction
from wharftiller.core.sessions.statements import (
    Begin,
    Commit,
    EndpointQuery,
    RefusalKind,
    Reply,
    SessionState,
)
from wharftiller.daemons.sessions.serving.confirmation import confirm_write
from wharftiller.daemons.sessions.serving.routed import (
    BUSY_RETRY_S,
    BUSY_TRIES,
    READ_TRIES,
    RateLimitedError,
    StatementRefusedError,
    route_statement,
)

if TYPE_CHECKING:
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session
    from wharftiller.core.sessions.statements import Statement
    from wharftiller.daemons.sessions.allowances.rate_limiter import Admission, RateLimiter
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
    from wharftiller.daemons.sessions.serving.endpoint_selection import EndpointSelector
    from wharftiller.daemons.sessions.serving.routed import RoutedStatement
    from wharftiller.daemons.sessions.state import SharedState


class TransactionRunner:
    """Runs the transactions of every session of this box."""

    def __init__(
        self, state: SharedState, rate_limiter: RateLimiter, selector: EndpointSelector
    ) -> None:
        self._state = state
        self._rate_limiter = rate_limiter
        self._selector = selector

    def begin(self, session: Session, route: Route, read_only: bool, arrived_at: float) -> Reply:
        """Open a transaction; its first statement selects the endpoint."""
        session.transaction = OpenTransaction(route, read_only, arrived_at, arrived_at)
        return Reply(SessionState.IN_TRANSACTION)

    def end(self, session: Session) -> None:
        """End the open transaction and roll it back."""
        transaction, session.transaction = session.transaction, None
        if transaction is None:
            return
        self._stop_counting(transaction)
        connection, transaction.connection = transaction.connection, None
        if connection is not None:
            self._state.roll_back(connection)

    def _stop_counting(self, transaction: OpenTransaction) -> None:
        """Remove ``transaction`` from those that a planned failover waits for."""
        if transaction.counted:
            transaction.counted = False
            self._state.work.transaction_ended(transaction.route.group)

    def fail(self, session: Session) -> None:
        """Fail the open transaction and close its connection."""
        transaction = session.transaction
        assert transaction is not None
        transaction.failed = True
        self._stop_counting(transaction)
        connection, transaction.connection = transaction.connection, None
        if connection is not None:
            connection.close()

    async def run(
        self,
        session: Session,
        transaction: OpenTransaction,
        statement: Statement,
        arrived_at: float,
    ) -> Reply:
        """Return the answer to a statement inside ``transaction``."""
        try:
            routed = route_statement(session, transaction.route, statement, arrived_at)
            if transaction.connection is None:
                await self._bind_admitted(routed, transaction)
            reply = await self._execute(routed, transaction)
        except StatementRefusedError as error:
            reply = error.reply(statement, SessionState.FAILED)
            if isinstance(statement.body, Commit):
                self.end(session)
                return attrs.evolve(reply, state=SessionState.IDLE)
            self.fail(session)
        transaction.used_at = trio.current_time()
        return reply

    async def _bind_admitted(self, routed: RoutedStatement, transaction: OpenTransaction) -> None:
        """Open the transaction if the allowance admits it; it counts as one operation."""
        admission = await self._rate_limiter.admit(routed.session.workspace)
        try:
            await self._bind(routed, transaction, admission)
        finally:
            self._rate_limiter.refund(admission)

    async def _bind(
        self, routed: RoutedStatement, transaction: OpenTransaction, admission: Admission
    ) -> None:
        """Open the transaction on an endpoint."""
        begin = Begin(transaction.read_only)
        tried: set[str] = set()
        for _ in range(READ_TRIES):
            if transaction.read_only:
                row, after = await self._selector.for_read(routed, transaction.begun_at, tried)
                tried.add(row.name)
            else:
                row, after = await self._selector.primary(routed), None
            with trio.move_on_at(routed.until):
                connection = await self._selector.connect(routed, row)
                try:
                    await self._rate_limiter.ensure_token(admission)
                    asked_at = trio.current_time()
                    query = EndpointQuery(begin, after=after)
                    reply = await connection.begin(routed.session, query)
                except ExchangeError:
                    connection.close()
                    continue
                except RateLimitedError:
                    connection.release()
                    raise
                except BaseException:
                    connection.close()
                    raise
                if reply.refusal is None:
                    self._state.learn_position(row, reply.position, asked_at)
                    transaction.connection = connection
                    if not transaction.read_only:
                        transaction.counted = True
                        self._state.work.transaction_began(transaction.route.group)
                    return
                connection.release(reply.state)
                admission.did_not_run()
                self._state.learn_refusal(row, reply.refusal, after)
                if reply.refusal.kind is RefusalKind.NOT_PRIMARY:
                    await trio.sleep(BUSY_RETRY_S)
        raise StatementRefusedError(
            RefusalKind.ROLLED_BACK, "no endpoint began it in time", Cause.NO_ANSWER
        )

    async def _execute(self, routed: RoutedStatement, transaction: OpenTransaction) -> Reply:
        """Run a statement on the transaction's connection."""
        connection: PooledConnection = transaction.connection
        commits = isinstance(routed.body, Commit)
        if commits and transaction.wrote and not self._state.may_acknowledge(connection.pool.row):
            detail = "the primary it ran on may have been replaced; nothing is kept"
            raise StatementRefusedError(RefusalKind.ROLLED_BACK, detail, Cause.NO_LEASE)
        sent = False
        try:
            with trio.move_on_at(routed.until):
                await connection.apply_session(routed.session, routed.needed, may_reset=False)
                query = routed.query(connection)
                transaction.wrote |= routed.writes
                sent = True
                asked_at = trio.current_time()
                reply = await self._send_until_accepted(connection, query, routed.until)
                return await self._handle_reply(routed, transaction, reply, asked_at)
        except ExchangeError as error:
            raise _lost_reply_refusal(
                routed.session, transaction, commits and sent, str(error)
            ) from error
        if commits and sent:
            raise _lost_reply_refusal(routed.session, transaction, True, "no answer in time")
        raise StatementRefusedError(
            RefusalKind.ROLLED_BACK, "the endpoint did not answer in time", Cause.NO_ANSWER
        )

    @staticmethod
    async def _send_until_accepted(
        connection: PooledConnection, query: EndpointQuery, until: float
    ) -> Reply:
        """Send the query, with retries while the endpoint is too busy to run it."""
        for _ in range(BUSY_TRIES):
            reply = await connection.ask(query)
            if reply.refusal is None or reply.refusal.kind is not RefusalKind.NO_CAPACITY:
                return reply
            if reply.state is SessionState.FAILED or trio.current_time() > until - BUSY_RETRY_S:
                return reply
            await trio.sleep(BUSY_RETRY_S)
        return reply

    async def _handle_reply(
        self, routed: RoutedStatement, transaction: OpenTransaction, reply: Reply, asked_at: float
    ) -> Reply:
        """Process an endpoint's reply; return the reply to the caller."""
        session = routed.session
        connection: PooledConnection = transaction.connection
        row = connection.pool.row
        if reply.refusal is None:
            self._state.learn_position(row, reply.position, asked_at)
        if not isinstance(routed.body, Commit):
            transaction.failed = reply.state is not SessionState.IN_TRANSACTION
            return attrs.evolve(reply, state=session.state)
        if reply.refusal is None and transaction.wrote:
            session.wrote(transaction.route.group, reply.position)
            await confirm_write(self._state, session, row, reply.position)
        if reply.state is not SessionState.IDLE:
            self.end(session)
            if reply.refusal is not None and reply.refusal.has_not_run:
                detail = f"{row.name} did not run the commit; it was rolled back"
                error = StatementRefusedError(
                    RefusalKind.ROLLED_BACK, detail, Cause.ENDPOINT_REFUSED
                )
                return error.reply(routed.statement, SessionState.IDLE)
            return attrs.evolve(reply, state=SessionState.IDLE)
        session.transaction = None
        self._stop_counting(transaction)
        connection.release()
        return reply


def _lost_reply_refusal(
    session: Session, transaction: OpenTransaction, commits: bool, why: str
) -> StatementRefusedError:
    """Return the refusal of a statement whose reply was lost."""
    if commits and transaction.wrote:
        session.unsettled.add(transaction.route.group)
        detail = f"{why}; it may have been committed"
        return StatementRefusedError(RefusalKind.OUTCOME_UNKNOWN, detail)
    return StatementRefusedError(RefusalKind.ROLLED_BACK, why, Cause.NO_CONNECTION)
