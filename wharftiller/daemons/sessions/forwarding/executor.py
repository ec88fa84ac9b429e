"""Run statements that other boxes pass to this one, a home of their group."""

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

REAP_S = 0.5
"""Time between looks for transactions that nobody uses any more, in seconds."""

ABANDONED_S = 1.0
"""Time beyond a transaction's longest rest after which its box must be gone, in seconds."""


@attrs.define(eq=False)
class _Held:
    """A transaction of another box.

    Attributes
    ----------
    running : bool
        Whether a statement of it runs now.
    ended : bool
        Whether its box gave it up meanwhile.
    """

    session: Session
    used_at: float
    running: bool = False
    ended: bool = False


class ForwardedExecutor:
    """Runs other boxes' statements and holds their open transactions."""

    def __init__(self, state: SharedState, gate: RateLimiter) -> None:
        self._state = state
        self._runner = StatementRunner(state, gate)
        self._held: dict[str, _Held] = {}
        self._running = 0

    @property
    def count(self) -> int:
        """Statements that run and transactions that are open."""
        return self._running + len(self._held)

    async def run(self, value: Any) -> dict[str, Any]:
        """Run one statement; return its reply as JSON.

        Raises
        ------
        BadRequestError
            If the question holds none.
        """
        asked = statement_from_json(value)
        self._running += 1
        try:
            told = await self._run(asked)
        finally:
            self._running -= 1
        return reply_to_json(told)

    async def _run(self, asked: ForwardedStatement) -> ForwardedReply:
        now = trio.current_time()
        session = self._session(asked, now)
        if self._lacks_workspace(asked):
            detail = f"{asked.box} told no workspace of it; every box must know workspaces"
            reply = refused(RefusalKind.UNKNOWN_KEY, detail, SessionState.IDLE)
        elif session is None:
            detail = f"{self._state.box} does not know the transaction; it was rolled back"
            error = StatementRefusedError(RefusalKind.ROLLED_BACK, detail, Cause.BOX_LOST)
            reply = error.reply(asked.statement, SessionState.FAILED)
        else:
            reply = await self._run_in(session, asked, now - asked.age_s)
        return self._told(asked, session, reply)

    def _lacks_workspace(self, asked: ForwardedStatement) -> bool:
        """Return whether it needs a workspace and none is told, as by boxes that know of none."""
        configuration = self._state.configuration
        if asked.workspace is not None or configuration.workspaces is None:
            return False
        route = configuration.routes.get(asked.route.database)
        return route is not None and not route.needs_no_key

    def _session(self, asked: ForwardedStatement, now: float) -> Session | None:
        """Return the session that the statement runs in; None if its transaction is unknown."""
        held = self._held.get(asked.transaction)
        if held is not None:
            session = held.session
        elif asked.transaction and not asked.begins:
            return None
        else:
            session = Session(0, asked.route.database, "", asked.workspace)
        group = asked.route.group
        session.values = asked.values
        if asked.own_write is not None:
            session.wrote(group, asked.own_write)
        if asked.unsettled:
            session.unsettled.add(group)
        if asked.begins:
            self._runner.begin_for_box(session, asked.route, asked.read_only, now - asked.begun_s)
            self._held[asked.transaction] = _Held(session, now)
        return session

    async def _run_in(
        self, session: Session, asked: ForwardedStatement, arrived_at: float
    ) -> Reply:
        self._name_prepared(session, asked)
        held = self._held.get(asked.transaction)
        if held is not None:
            held.running = True
        try:
            return await self._runner.run_for_box(session, asked.route, asked.statement, arrived_at)
        finally:
            if held is not None:
                held.running = False
                held.used_at = trio.current_time()
                if held.ended or session.state is not SessionState.IN_TRANSACTION:
                    self._forget(asked.transaction)

    @staticmethod
    def _name_prepared(session: Session, asked: ForwardedStatement) -> None:
        match asked.statement.body:
            case Execute(name) if asked.needed is not None:
                session.prepared[name] = asked.needed

    def _told(
        self, asked: ForwardedStatement, session: Session | None, reply: Reply
    ) -> ForwardedReply:
        group = asked.route.group
        primary = self._state.startable(group)
        usable = primary is not None and not primary.is_suspect(trio.current_time())
        lacks = self._state.lacks_lease(group)
        if session is None:
            return ForwardedReply(reply, asked.own_write, asked.unsettled, usable, lacks)
        unsettled = group in session.unsettled
        return ForwardedReply(reply, session.own_writes.get(group), unsettled, usable, lacks)

    def end(self, value: Any) -> dict[str, Any]:
        """Roll back a transaction that its box gave up."""
        try:
            identity = str(value["transaction"])
        except (KeyError, TypeError) as error:
            raise BadRequestError(f"no transaction is named: {error!r}; run one version") from None
        held = self._held.get(identity)
        if held is not None:
            held.ended = True
            if not held.running:
                self._forget(identity)
        return {}

    def _forget(self, identity: str) -> None:
        held = self._held.pop(identity, None)
        if held is not None:
            self._runner.end_transaction(held.session)

    async def run_for_ever(self) -> None:
        """Roll back transactions whose box is gone, and watch the reads."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runner.patience.run)
            while True:
                await trio.sleep(REAP_S)
                self._reap(trio.current_time())

    def _reap(self, now: float) -> None:
        longest_s = self._state.configuration.transaction_idle_s + ABANDONED_S
        for identity, held in list(self._held.items()):
            if not held.running and now - held.used_at > longest_s:
                self._state.log.event("transaction_abandoned", transaction=identity)
                self._forget(identity)
