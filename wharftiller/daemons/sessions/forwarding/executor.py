"""Execution of statements that other boxes forward to this gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import BadRequestError
from wharftiller.core.sessions.retry_after import Cause
from wharftiller.core.sessions.session import Session
from wharftiller.core.sessions.statements import Execute, RefusalKind, SessionState, refused
from wharftiller.daemons.sessions.serving.routed import StatementRefusedError
from wharftiller.daemons.sessions.serving.statements import StatementRunner
from wharftiller.edges.forwarded_json import ForwardedReply, reply_to_json, statement_from_json

if TYPE_CHECKING:
    from wharftiller.core.sessions.statements import Reply
    from wharftiller.daemons.sessions.allowances.rate_limiter import RateLimiter
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.edges.forwarded_json import ForwardedStatement

REAP_POLL_S = 0.5
"""Interval between searches for abandoned transactions, in seconds."""

ABANDONED_MARGIN_S = 1.0
"""Time beyond the idle limit of transactions after which one is abandoned, in seconds."""


@attrs.define(eq=False)
class _ForwardedTransaction:
    """An open transaction that another box forwards.

    Attributes
    ----------
    used_at : float
        Start, or end of its last statement, in seconds.
    is_running : bool
        Whether one of its statements runs now.
    has_ended : bool
        Whether its box has asked for a rollback.
    """

    session: Session
    used_at: float
    is_running: bool = False
    has_ended: bool = False


class ForwardedExecutor:
    """Runs statements of other boxes and keeps their open transactions."""

    def __init__(self, state: SharedState, rate_limiter: RateLimiter) -> None:
        self._state = state
        self._runner = StatementRunner(state, rate_limiter)
        self._transactions: dict[str, _ForwardedTransaction] = {}
        self._running = 0

    @property
    def count(self) -> int:
        """Running statements and open transactions."""
        return self._running + len(self._transactions)

    async def run(self, value: Any) -> dict[str, Any]:
        """Run one statement; return its reply as JSON.

        Raises
        ------
        BadRequestError
            If ``value`` is no forwarded statement.
        """
        message = statement_from_json(value)
        self._running += 1
        try:
            forwarded = await self._run(message)
        finally:
            self._running -= 1
        return reply_to_json(forwarded)

    async def _run(self, message: ForwardedStatement) -> ForwardedReply:
        now = trio.current_time()
        session = self._session(message, now)
        if self._lacks_workspace(message):
            detail = f"{message.box} told no workspace of it; every box must know workspaces"
            reply = refused(RefusalKind.UNKNOWN_KEY, detail, SessionState.IDLE)
        elif session is None:
            detail = f"{self._state.box} does not know the transaction; it was rolled back"
            error = StatementRefusedError(RefusalKind.ROLLED_BACK, detail, Cause.BOX_LOST)
            reply = error.reply(message.statement, SessionState.FAILED)
        else:
            reply = await self._run_in_session(session, message, now - message.age_s)
        return self._forwarded_reply(message, session, reply)

    def _lacks_workspace(self, message: ForwardedStatement) -> bool:
        """Return whether a required workspace is missing, as from a box of an old version."""
        configuration = self._state.configuration
        if message.workspace is not None or configuration.workspaces is None:
            return False
        route = configuration.routes.get(message.route.database)
        return route is not None and not route.needs_no_key

    def _session(self, message: ForwardedStatement, now: float) -> Session | None:
        """Return the session of the statement, or None if its transaction is unknown."""
        transaction = self._transactions.get(message.transaction)
        if transaction is not None:
            session = transaction.session
        elif message.transaction and not message.begins:
            return None
        else:
            session = Session(0, message.route.database, "", message.workspace)
        group = message.route.group
        session.values = message.values
        if message.own_write is not None:
            session.wrote(group, message.own_write)
        if message.unsettled:
            session.unsettled.add(group)
        if message.begins:
            self._runner.begin_forwarded(
                session, message.route, message.read_only, now - message.begun_s
            )
            self._transactions[message.transaction] = _ForwardedTransaction(session, now)
        return session

    async def _run_in_session(
        self, session: Session, message: ForwardedStatement, arrived_at: float
    ) -> Reply:
        self._register_prepared(session, message)
        transaction = self._transactions.get(message.transaction)
        if transaction is not None:
            transaction.is_running = True
        try:
            return await self._runner.run_forwarded(
                session, message.route, message.statement, arrived_at
            )
        finally:
            if transaction is not None:
                transaction.is_running = False
                transaction.used_at = trio.current_time()
                if transaction.has_ended or session.state is not SessionState.IN_TRANSACTION:
                    self._remove(message.transaction)

    @staticmethod
    def _register_prepared(session: Session, message: ForwardedStatement) -> None:
        match message.statement.body:
            case Execute(name) if message.needed is not None:
                session.prepared[name] = message.needed

    def _forwarded_reply(
        self, message: ForwardedStatement, session: Session | None, reply: Reply
    ) -> ForwardedReply:
        group = message.route.group
        primary = self._state.usable_primary(group)
        usable = primary is not None and not primary.is_suspect(trio.current_time())
        lacks = self._state.lacks_lease(group)
        if session is None:
            return ForwardedReply(reply, message.own_write, message.unsettled, usable, lacks)
        unsettled = group in session.unsettled
        return ForwardedReply(reply, session.own_writes.get(group), unsettled, usable, lacks)

    def end(self, value: Any) -> dict[str, Any]:
        """Roll back a transaction on request of its box."""
        try:
            identity = str(value["transaction"])
        except (KeyError, TypeError) as error:
            raise BadRequestError(f"no transaction is named: {error!r}; run one version") from None
        transaction = self._transactions.get(identity)
        if transaction is not None:
            transaction.has_ended = True
            if not transaction.is_running:
                self._remove(identity)
        return {}

    def _remove(self, identity: str) -> None:
        transaction = self._transactions.pop(identity, None)
        if transaction is not None:
            self._runner.end_transaction(transaction.session)

    async def run_maintenance(self) -> None:
        """Roll back abandoned transactions and enforce read time-outs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runner.read_timeouts.run)
            while True:
                await trio.sleep(REAP_POLL_S)
                self._reap(trio.current_time())

    def _reap(self, now: float) -> None:
        max_unused_s = self._state.configuration.transaction_idle_s + ABANDONED_MARGIN_S
        for identity, transaction in list(self._transactions.items()):
            if not transaction.is_running and now - transaction.used_at > max_unused_s:
                self._state.log.event("transaction_abandoned", transaction=identity)
                self._remove(identity)
