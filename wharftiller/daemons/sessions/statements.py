"""Run a session's statements: transactions, single reads and single writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.routing import AnyReplica, need_of_read, replica_order
from wharftiller.core.sessions.session import OpenTransaction
from wharftiller.core.sessions.statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Direct,
    EndpointQuery,
    Execute,
    Prepare,
    PreparedStatement,
    RefusalKind,
    Reply,
    Rollback,
    SessionState,
    SetValue,
    refused,
)

if TYPE_CHECKING:
    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session
    from wharftiller.core.sessions.statements import Statement
    from wharftiller.daemons.sessions.pool import PooledConnection
    from wharftiller.daemons.sessions.state import SharedState

HOLD_FOR_PRIMARY_S = 0.7
"""How long a statement waits for a primary while one is being found, in seconds.

Longer than a planned change of primary (0.3 to 0.6 s to promote); below the
statement time-out of the busiest routes (0.8 s), so that a refusal is still in time.
"""

CONFIRM_WAIT_S = 1.5
"""How long a committed write waits for its lease to be checked again, in seconds.

One check that fails (0.7 s) and one that succeeds.
"""

READ_TRIES = 4
"""Endpoints asked for one read before it is refused."""

BUSY_PAUSE_S = 0.02
"""Pause before an endpoint that was too busy is asked again, in seconds: one usual statement."""

BUSY_TRIES = 4
"""Times a statement is offered to an endpoint that is too busy to take it."""

READ_PATIENCE = 0.45
"""Part of a read's time-out after which a silent endpoint is given up for another."""

COME_BACK_MS = 300
"""When to come back after a refusal that passes soon, in milliseconds."""

MARGIN_S = 0.02
"""Time kept to answer before a statement's time-out, in seconds."""


class _Failed(Exception):
    """A statement that ends with a refusal."""

    def __init__(self, kind: RefusalKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class StatementRunner:
    """Runs statements for every session of this box."""

    def __init__(self, state: SharedState) -> None:
        self._state = state

    async def run(self, session: Session, statement: Statement, arrived_at: float) -> Reply:
        """Return the one answer to ``statement``; always an answer, whatever fails."""
        reply = await self._run(session, statement, arrived_at)
        self._state.note(session, statement, reply, arrived_at)
        return reply

    async def _run(self, session: Session, statement: Statement, arrived_at: float) -> Reply:
        transaction = session.transaction
        if transaction is not None and transaction.failed:
            return self._after_failure(session, statement)
        match statement.body:
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
                return await self._single(session, statement, arrived_at)
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

    def _route(self, session: Session) -> Route | None:
        return self._state.configuration.routes.get(session.database)

    def _no_route(self, session: Session) -> Reply:
        detail = f"no route leads to {session.database} in version {self._state.version}"
        return refused(RefusalKind.UNKNOWN_DATABASE, detail, session.state)

    # Transactions -------------------------------------------------------

    def _begin(self, session: Session, read_only: bool, arrived_at: float) -> Reply:
        if session.transaction is not None:
            return refused(RefusalKind.MALFORMED, "a transaction is open already", session.state)
        route = self._route(session)
        if route is None:
            return self._no_route(session)
        session.transaction = OpenTransaction(route, read_only, arrived_at, arrived_at)
        self._state.transaction_began(route.group)
        return Reply(SessionState.IN_TRANSACTION)

    def end_transaction(self, session: Session) -> None:
        """Forget the open transaction; what it wrote is rolled back."""
        transaction, session.transaction = session.transaction, None
        if transaction is None:
            return
        self._state.transaction_ended(transaction.route.group)
        connection, transaction.connection = transaction.connection, None
        if connection is not None:
            self._state.roll_back(connection)

    def fail_transaction(self, session: Session) -> None:
        """Give up the open transaction's connection; the caller is told at its next statement."""
        transaction = session.transaction
        assert transaction is not None
        transaction.failed = True
        connection, transaction.connection = transaction.connection, None
        if connection is not None:
            connection.close()

    async def _in_transaction(
        self,
        session: Session,
        transaction: OpenTransaction,
        statement: Statement,
        arrived_at: float,
    ) -> Reply:
        until = arrived_at + transaction.route.timeout_s - MARGIN_S
        try:
            body = self._endpoint_body(session, statement)
            needed = self._prepared(session, statement)
            if transaction.connection is None:
                await self._bind(session, transaction, arrived_at, until)
            reply = await self._pinned(session, transaction, statement, body, needed, until)
        except _Failed as failed:
            reply = refused(failed.kind, failed.detail, SessionState.FAILED)
            if isinstance(statement.body, Commit):
                self.end_transaction(session)
                return attrs.evolve(reply, state=SessionState.IDLE)
            self.fail_transaction(session)
        transaction.used_at = trio.current_time()
        return reply

    async def _bind(
        self, session: Session, transaction: OpenTransaction, arrived_at: float, until: float
    ) -> None:
        """Open the transaction on an endpoint."""
        route = transaction.route
        begin = Begin(transaction.read_only)
        for _ in range(READ_TRIES):
            if transaction.read_only:
                row, after = await self._row_for_read(
                    session, route, transaction.begun_at, until, set()
                )
            else:
                row, after = await self._primary(route, until), None
            with trio.move_on_at(until):
                connection = await self._connect(row, session, route)
                try:
                    await connection.take_on(session, None)
                    asked_at = trio.current_time()
                    reply = await connection.ask(EndpointQuery(begin, after=after))
                except ExchangeError:
                    connection.close()
                    continue
                except BaseException:
                    connection.close()
                    raise
                if reply.refusal is None:
                    self._state.learn_point(row, reply.position, asked_at)
                    transaction.connection = connection
                    return
                connection.release(reply.state)
                self._learn_refusal(row, reply, after)
                if reply.refusal.kind is RefusalKind.NOT_PRIMARY:
                    await trio.sleep(BUSY_PAUSE_S)
        raise _Failed(RefusalKind.ROLLED_BACK, self._come_back("no endpoint began it in time"))

    async def _pinned(
        self,
        session: Session,
        transaction: OpenTransaction,
        statement: Statement,
        body: Direct | Execute | Commit,
        needed: PreparedStatement | None,
        until: float,
    ) -> Reply:
        connection: PooledConnection = transaction.connection
        row = connection.pool.row
        commits = isinstance(body, Commit)
        if commits and transaction.wrote and not self._state.may_acknowledge(row):
            detail = "the primary it ran on may have been replaced; nothing is kept"
            raise _Failed(RefusalKind.ROLLED_BACK, self._come_back(detail))
        sent = False
        try:
            with trio.move_on_at(until):
                await connection.take_on(session, needed, may_reset=False)
                query = EndpointQuery(self._renamed(connection, body, needed), statement)
                transaction.wrote |= self._writes(session, statement)
                sent = True
                asked_at = trio.current_time()
                reply = await self._offered(connection, query, until)
                return await self._pinned_reply(session, transaction, reply, commits, asked_at)
        except ExchangeError as error:
            raise self._pinned_lost(session, transaction, commits and sent, str(error)) from error
        if commits and sent:
            raise self._pinned_lost(session, transaction, True, "no answer in time")
        raise _Failed(RefusalKind.ROLLED_BACK, "the endpoint did not answer in time")

    async def _offered(
        self, connection: PooledConnection, query: EndpointQuery, until: float
    ) -> Reply:
        """Ask until the endpoint is not too busy to run the query."""
        for _ in range(BUSY_TRIES):
            reply = await connection.ask(query)
            if reply.refusal is None or reply.refusal.kind is not RefusalKind.NO_CAPACITY:
                return reply
            if reply.state is SessionState.FAILED or trio.current_time() > until - BUSY_PAUSE_S:
                return reply
            await trio.sleep(BUSY_PAUSE_S)
        return reply

    def _pinned_lost(
        self, session: Session, transaction: OpenTransaction, commits: bool, why: str
    ) -> _Failed:
        if commits and transaction.wrote:
            session.unsettled.add(transaction.route.group)
            return _Failed(RefusalKind.OUTCOME_UNKNOWN, f"{why}; it may have been committed")
        return _Failed(RefusalKind.ROLLED_BACK, self._come_back(why))

    async def _pinned_reply(
        self,
        session: Session,
        transaction: OpenTransaction,
        reply: Reply,
        commits: bool,
        asked_at: float,
    ) -> Reply:
        connection: PooledConnection = transaction.connection
        group = transaction.route.group
        row = connection.pool.row
        if reply.refusal is None:
            self._state.learn_point(row, reply.position, asked_at)
        if not commits:
            transaction.failed = reply.state is not SessionState.IN_TRANSACTION
            return attrs.evolve(reply, state=session.state)
        if reply.refusal is None and transaction.wrote:
            session.wrote(group, reply.position)
            await self._confirm(session, row)
        if reply.state is not SessionState.IDLE:
            self.end_transaction(session)
            if reply.refusal is not None and reply.refusal.has_not_run:
                detail = f"{row.name} did not run the commit; it was rolled back"
                return refused(RefusalKind.ROLLED_BACK, self._come_back(detail), SessionState.IDLE)
            return attrs.evolve(reply, state=SessionState.IDLE)
        session.transaction = None
        self._state.transaction_ended(group)
        connection.release()
        return reply

    async def _confirm(self, session: Session, row: EndpointRow) -> None:
        """Wait until it is certain that no other primary led when the write was committed."""
        if self._state.may_acknowledge(row):
            return
        if await self._state.confirmed(row, CONFIRM_WAIT_S):
            return
        session.unsettled.add(row.entry.group)
        detail = "committed on a primary that may have been replaced meanwhile"
        raise _Failed(RefusalKind.OUTCOME_UNKNOWN, detail)

    # Single statements --------------------------------------------------

    async def _single(self, session: Session, statement: Statement, arrived_at: float) -> Reply:
        route = self._route(session)
        if route is None:
            return self._no_route(session)
        until = arrived_at + route.timeout_s - MARGIN_S
        try:
            body = self._endpoint_body(session, statement)
            needed = self._prepared(session, statement)
            if self._writes(session, statement):
                return await self._write(session, route, statement, body, needed, until)
            return await self._read(session, route, statement, body, needed, arrived_at, until)
        except _Failed as failed:
            return refused(failed.kind, failed.detail, SessionState.IDLE)

    async def _write(
        self,
        session: Session,
        route: Route,
        statement: Statement,
        body: Direct | Execute | Commit,
        needed: PreparedStatement | None,
        until: float,
    ) -> Reply:
        self._state.write_began(route.group)
        try:
            for _ in range(BUSY_TRIES):
                row = await self._primary(route, until)
                reply = await self._write_once(session, route, statement, body, needed, row, until)
                if reply.refusal is None or not reply.refusal.has_not_run:
                    return reply
                self._learn_refusal(row, reply, None)
                if trio.current_time() > until - BUSY_PAUSE_S:
                    break
                await trio.sleep(BUSY_PAUSE_S)
            detail = f"{row.name} did not take it"
            raise _Failed(RefusalKind.NO_CAPACITY, self._come_back(detail))
        finally:
            self._state.write_ended(route.group)

    async def _write_once(
        self,
        session: Session,
        route: Route,
        statement: Statement,
        body: Direct | Execute | Commit,
        needed: PreparedStatement | None,
        row: EndpointRow,
        until: float,
    ) -> Reply:
        sent = False
        state = SessionState.IDLE
        connection: PooledConnection | None = None
        try:
            with trio.move_on_at(until):
                connection = await self._connect(row, session, route)
                await connection.take_on(session, needed)
                if self._state.startable(route.group) is not row:
                    raise _Failed(
                        RefusalKind.NO_CAPACITY, self._come_back("the primary is being replaced")
                    )
                query = EndpointQuery(self._renamed(connection, body, needed), statement)
                sent = True
                asked_at = trio.current_time()
                reply = await connection.ask(query)
                state = reply.state
                if reply.refusal is None:
                    self._state.learn_point(row, reply.position, asked_at)
                    session.wrote(route.group, reply.position)
                    await self._confirm(session, row)
                return attrs.evolve(reply, state=SessionState.IDLE)
        except ExchangeError as error:
            if sent:
                session.unsettled.add(route.group)
                detail = f"{error}; it may have been committed"
                raise _Failed(RefusalKind.OUTCOME_UNKNOWN, detail) from error
            raise _Failed(RefusalKind.NO_CAPACITY, self._come_back(str(error))) from error
        finally:
            if connection is not None:
                connection.release(state)
        if sent:
            session.unsettled.add(route.group)
            raise _Failed(RefusalKind.TIMED_OUT, "no answer in time; it may have been committed")
        raise _Failed(RefusalKind.NO_CAPACITY, self._come_back("no connection in time"))

    async def _read(
        self,
        session: Session,
        route: Route,
        statement: Statement,
        body: Direct | Execute | Commit,
        needed: PreparedStatement | None,
        arrived_at: float,
        until: float,
    ) -> Reply:
        tried: set[str] = set()
        last: Reply | None = None
        for _ in range(READ_TRIES):
            row, after = await self._row_for_read(session, route, arrived_at, until, tried)
            tried.add(row.name)
            patience = min(until, trio.current_time() + READ_PATIENCE * route.timeout_s)
            reply = await self._read_once(
                session, route, statement, body, needed, row, after, patience
            )
            if reply is None:
                continue
            if reply.refusal is None:
                return reply
            last = reply
            self._learn_refusal(row, reply, after)
            if not reply.refusal.has_not_run:
                if reply.refusal.kind is not RefusalKind.STATEMENT_FAILED:
                    return reply
            elif reply.refusal.kind is RefusalKind.NO_CAPACITY:
                await trio.sleep(BUSY_PAUSE_S)
        if last is not None and last.refusal is not None and not last.refusal.has_not_run:
            return last
        raise _Failed(RefusalKind.NO_CAPACITY, self._come_back("no endpoint could run the read"))

    async def _read_once(
        self,
        session: Session,
        route: Route,
        statement: Statement,
        body: Direct | Execute | Commit,
        needed: PreparedStatement | None,
        row: EndpointRow,
        after: LogPosition | None,
        until: float,
    ) -> Reply | None:
        """Return the endpoint's answer, or None if none came by ``until``."""
        connection: PooledConnection | None = None
        state = SessionState.IDLE
        try:
            with trio.move_on_at(until):
                connection = await self._connect(row, session, route)
                await connection.take_on(session, needed)
                asked_at = trio.current_time()
                query = EndpointQuery(self._renamed(connection, body, needed), statement, after)
                reply = await connection.ask(query)
                state = reply.state
                if reply.refusal is None:
                    self._state.learn_point(row, reply.position, asked_at)
                return attrs.evolve(reply, state=SessionState.IDLE)
        except (ExchangeError, _Failed) as error:
            self._state.log_passed_over(row, statement, str(error))
            return None
        finally:
            if connection is not None:
                connection.release(state)
        self._state.log_passed_over(row, statement, "no answer in time")
        return None

    # Choosing and connecting --------------------------------------------

    async def _row_for_read(
        self, session: Session, route: Route, begun_at: float, until: float, tried: set[str]
    ) -> tuple[EndpointRow, LogPosition | None]:
        need = need_of_read(route, session, self._state.points(route.group), begun_at)
        if isinstance(need, AnyReplica):
            row = self._replica(route, need, tried)
            if row is not None:
                primary = self._state.startable(route.group)
                return row, None if row is primary else need.position
        return await self._primary(route, until), None

    def _replica(self, route: Route, need: AnyReplica, tried: set[str]) -> EndpointRow | None:
        state = self._state
        now = trio.current_time()
        ordered = replica_order(
            state.rows_of(route.group),
            need.position,
            state.lead(route.group),
            state.data_centre,
            state.busy(route.group),
            now,
        )
        return next((row for row in ordered if row.name not in tried), None)

    async def _primary(self, route: Route, until: float) -> EndpointRow:
        """Return the primary, waiting a little for one while it is being replaced."""
        state = self._state
        hold_until = min(until, trio.current_time() + HOLD_FOR_PRIMARY_S)
        with trio.move_on_at(hold_until):
            while True:
                row = state.startable(route.group)
                if row is not None and state.is_usable(row):
                    return row
                if not state.primary_expected(route.group):
                    break
                await state.leadership_changed()
        detail = f"no primary of {route.group} can be used now"
        raise _Failed(RefusalKind.NO_CAPACITY, self._come_back(detail))

    async def _connect(self, row: EndpointRow, session: Session, route: Route) -> PooledConnection:
        try:
            return await self._state.pool(row).acquire(session, route.priority)
        except (EndpointRefusedError, ExchangeError) as error:
            raise _Failed(RefusalKind.NO_CAPACITY, self._come_back(str(error))) from error

    def _learn_refusal(self, row: EndpointRow, reply: Reply, after: LogPosition | None) -> None:
        assert reply.refusal is not None
        self._state.learn_refusal(row, reply.refusal, after)

    @staticmethod
    def _come_back(why: str) -> str:
        return f"{why}; nothing was run, come back in {COME_BACK_MS} ms"

    # Bodies -------------------------------------------------------------

    @staticmethod
    def _prepared(session: Session, statement: Statement) -> PreparedStatement | None:
        if isinstance(statement.body, Execute):
            return session.prepared[statement.body.name]
        return None

    @staticmethod
    def _endpoint_body(session: Session, statement: Statement) -> Direct | Execute | Commit:
        match statement.body:
            case Execute(name) if name not in session.prepared:
                detail = f"nothing is prepared under the name {name}"
                raise _Failed(RefusalKind.UNKNOWN_PREPARED, detail)
            case Direct() | Execute() | Commit() as body:
                return body
            case _:
                raise _Failed(RefusalKind.MALFORMED, "this cannot be sent to an endpoint")

    @staticmethod
    def _renamed(
        connection: PooledConnection,
        body: Direct | Execute | Commit,
        needed: PreparedStatement | None,
    ) -> Direct | Execute | Commit:
        if isinstance(body, Execute) and needed is not None:
            return attrs.evolve(body, name=connection.prepared[needed])
        return body

    @staticmethod
    def _writes(session: Session, statement: Statement) -> bool:
        match statement.body:
            case Direct(access):
                return access is Access.WRITE
            case Execute(name):
                return session.prepared[name].access is Access.WRITE
            case _:
                return False
