"""Run autocommit statements: reads and writes outside any transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.sessions.retry_after import Cause
from wharftiller.core.sessions.statements import RefusalKind, Reply, SessionState
from wharftiller.daemons.sessions.serving.answer_log import record_skipped
from wharftiller.daemons.sessions.serving.confirmation import confirm_write
from wharftiller.daemons.sessions.serving.routed import (
    BUSY_RETRY_S,
    BUSY_TRIES,
    READ_TRIES,
    NoCapacityError,
    RateLimitedError,
    StatementRefusedError,
    route_statement,
)

if TYPE_CHECKING:
    from collections.abc import Set

    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session
    from wharftiller.core.sessions.statements import Statement
    from wharftiller.daemons.sessions.allowances.rate_limiter import Admission, RateLimiter
    from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
    from wharftiller.daemons.sessions.serving.endpoint_selection import EndpointSelector
    from wharftiller.daemons.sessions.serving.read_timeouts import ReadTimeouts
    from wharftiller.daemons.sessions.serving.routed import RoutedStatement
    from wharftiller.daemons.sessions.state import SharedState

READ_TIMEOUT_FRACTION = 0.45
"""Fraction of a read's time-out after which it may be retried on another endpoint."""


class AutocommitRunner:
    """Runs the autocommit statements of every session of this box."""

    def __init__(
        self,
        state: SharedState,
        rate_limiter: RateLimiter,
        selector: EndpointSelector,
        read_timeouts: ReadTimeouts,
    ) -> None:
        self._state = state
        self._rate_limiter = rate_limiter
        self._selector = selector
        self._read_timeouts = read_timeouts

    async def run(
        self, session: Session, route: Route, statement: Statement, arrived_at: float
    ) -> Reply:
        """Return the answer to a statement outside any transaction."""
        try:
            routed = route_statement(session, route, statement, arrived_at)
            admission = await self._rate_limiter.admit(session.workspace)
        except StatementRefusedError as error:
            return error.reply(statement, SessionState.IDLE)
        reply = await self._run_admitted(routed, admission)
        self._rate_limiter.refund(admission)
        return reply

    async def _run_admitted(self, routed: RoutedStatement, admission: Admission) -> Reply:
        try:
            if routed.writes:
                return await self._write(routed, admission)
            return await self._read(routed, admission)
        except StatementRefusedError as error:
            return error.reply(routed.statement, SessionState.IDLE)

    async def _write(self, routed: RoutedStatement, admission: Admission) -> Reply:
        group = routed.route.group
        self._state.work.write_began(group)
        try:
            for _ in range(BUSY_TRIES):
                row = await self._selector.primary(routed)
                reply = await self._write_once(routed, row, admission)
                if reply.refusal is None or not reply.refusal.has_not_run:
                    return reply
                admission.did_not_run()
                self._state.learn_refusal(row, reply.refusal, None)
                if trio.current_time() > routed.until - BUSY_RETRY_S:
                    break
                await trio.sleep(BUSY_RETRY_S)
            detail = f"{row.name} did not take it"
            raise StatementRefusedError(
                RefusalKind.NO_CAPACITY, detail, Cause.ENDPOINT_REFUSED, BUSY_RETRY_S
            )
        finally:
            self._state.work.write_ended(group)

    async def _write_once(
        self, routed: RoutedStatement, row: EndpointRow, admission: Admission
    ) -> Reply:
        """Return the primary's answer.

        Raises
        ------
        StatementRefusedError
            If no answer came in time, or the write could not be confirmed.
        """
        sent = False
        state = SessionState.IDLE
        connection: PooledConnection | None = None
        try:
            with trio.move_on_at(routed.until):
                connection = await self._selector.connect(routed, row)
                await connection.apply_session(routed.session, routed.needed)
                await self._rate_limiter.ensure_token(admission)
                self._check_still_primary(routed, row, admission)
                query = routed.query(connection)
                sent = True
                asked_at = trio.current_time()
                reply = await connection.ask(query)
                state = reply.state
                if reply.refusal is None:
                    self._state.learn_position(row, reply.position, asked_at)
                    routed.session.wrote(routed.route.group, reply.position)
                    await confirm_write(self._state, routed.session, row, reply.position)
                return attrs.evolve(reply, state=SessionState.IDLE)
        except ExchangeError as error:
            kind = RefusalKind.OUTCOME_UNKNOWN
            raise _write_refusal(routed, sent, kind, str(error)) from error
        finally:
            if connection is not None:
                connection.release(state)
        why = "no answer in time" if sent else "no connection in time"
        raise _write_refusal(routed, sent, RefusalKind.TIMED_OUT, why)

    def _check_still_primary(
        self, routed: RoutedStatement, row: EndpointRow, admission: Admission
    ) -> None:
        """Refuse the write if ``row`` is no longer the primary once its connection is prepared."""
        if self._state.usable_primary(routed.route.group) is not row:
            admission.did_not_run()
            detail = "the primary is being replaced"
            raise StatementRefusedError(RefusalKind.NO_CAPACITY, detail, Cause.CHANGE_OF_PRIMARY)

    async def _read(self, routed: RoutedStatement, admission: Admission) -> Reply:
        tried: set[str] = set()
        last_reply: Reply | None = None
        no_capacity: NoCapacityError | None = None
        may_have_run = False
        for _ in range(READ_TRIES):
            try:
                row, after = await self._selector.for_read(routed, routed.arrived_at, tried)
                tried.add(row.name)
                reply = await self._read_once(routed, row, after, tried, admission)
            except NoCapacityError as error:
                if not self._selector.can_read_elsewhere(routed, tried):
                    raise _read_refusal(error, may_have_run) from None
                no_capacity = error
                continue
            except StatementRefusedError as error:
                raise _read_refusal(error, may_have_run) from None
            if reply is None:
                may_have_run = True
                continue
            if reply.refusal is None:
                return reply
            last_reply = reply
            self._state.learn_refusal(row, reply.refusal, after)
            if not reply.refusal.has_not_run:
                if reply.refusal.kind is not RefusalKind.STATEMENT_FAILED:
                    return reply
                continue
            admission.did_not_run()
            if reply.refusal.kind is RefusalKind.NO_CAPACITY:
                await trio.sleep(BUSY_RETRY_S)
        if (
            last_reply is not None
            and last_reply.refusal is not None
            and not last_reply.refusal.has_not_run
        ):
            return last_reply
        if no_capacity is not None and not may_have_run:
            raise no_capacity
        detail = (
            "no endpoint answered the read" if may_have_run else "no endpoint could run the read"
        )
        cause = Cause.NO_ANSWER if may_have_run else Cause.ENDPOINT_REFUSED
        refusal = StatementRefusedError(RefusalKind.NO_CAPACITY, detail, cause)
        raise _read_refusal(refusal, may_have_run)

    async def _read_once(
        self,
        routed: RoutedStatement,
        row: EndpointRow,
        after: LogPosition | None,
        tried: Set[str],
        admission: Admission,
    ) -> Reply | None:
        """Return the endpoint's answer, or None if the read may be tried on another endpoint."""
        soft_deadline = trio.current_time() + READ_TIMEOUT_FRACTION * routed.route.timeout_s

        def can_run_elsewhere() -> bool:
            return self._selector.can_read_elsewhere(routed, tried)

        connection: PooledConnection | None = None
        state = SessionState.IDLE
        try:
            with self._read_timeouts.limit(routed.until, soft_deadline, can_run_elsewhere):
                connection = await self._selector.connect(routed, row)
                await connection.apply_session(routed.session, routed.needed)
                await self._rate_limiter.ensure_token(admission)
                asked_at = trio.current_time()
                reply = await connection.ask(routed.query(connection, after))
                state = reply.state
                if reply.refusal is None:
                    self._state.learn_position(row, reply.position, asked_at)
                return attrs.evolve(reply, state=SessionState.IDLE)
        except (NoCapacityError, RateLimitedError) as error:
            record_skipped(self._state, row, routed.statement, str(error))
            raise
        except (ExchangeError, StatementRefusedError) as error:
            record_skipped(self._state, row, routed.statement, str(error))
            return None
        finally:
            if connection is not None:
                connection.release(state)
        record_skipped(self._state, row, routed.statement, "no answer in time")
        return None


def _read_refusal(error: StatementRefusedError, may_have_run: bool) -> StatementRefusedError:
    """Return the refusal of a read, as rolled back if an endpoint may have run it."""
    if not may_have_run:
        return error
    return StatementRefusedError(RefusalKind.ROLLED_BACK, error.why, error.cause, error.after_s)


def _write_refusal(
    routed: RoutedStatement, sent: bool, kind: RefusalKind, why: str
) -> StatementRefusedError:
    """Return the refusal of an unanswered write, of ``kind`` if it had been sent."""
    if sent:
        routed.session.unsettled.add(routed.route.group)
        return StatementRefusedError(kind, f"{why}; it may have been committed")
    return StatementRefusedError(RefusalKind.NO_CAPACITY, why, Cause.NO_CONNECTION)
