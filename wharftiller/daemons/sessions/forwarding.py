"""Pass statements to a group's home box, where this box keeps no connections to the group."""

from __future__ import annotations

import math
import secrets
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.sessions.session import RemoteTransaction
from wharftiller.core.sessions.statements import Commit, RefusalKind, Reply, SessionState, refused
from wharftiller.daemons.sessions.routed import (
    MARGIN_S,
    StatementRefusedError,
    come_back,
    route_statement,
)
from wharftiller.edges.forwarded_json import (
    ForwardedReply,
    ForwardedStatement,
    reply_from_json,
    statement_to_json,
)
from wharftiller.edges.http_client import HttpPool, NotSentError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import OpenTransaction, Session
    from wharftiller.core.sessions.statements import Statement
    from wharftiller.daemons.sessions.boxes import Box, BoxDirectory
    from wharftiller.daemons.sessions.homes import Homes
    from wharftiller.daemons.sessions.routed import RoutedStatement
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.edges.transport import Transport

HOMES_TRIED = 3
"""Homes that a statement is passed to, one after the other, before it is refused."""

CONNECT_TIMEOUT_S = 0.3
"""Time to connect to a home, in seconds: far more than a round trip within a data centre."""

ANSWER_SLACK_S = 0.05
"""Time beyond a statement's time-out that a home's answer may take to get here, in seconds."""

SILENT_S = 0.3
"""Time for which a home may owe an answer before it is asked whether it lives, in seconds."""

ALIVE_TIMEOUT_S = 0.25
"""Time that it then has, in seconds."""

WATCH_S = 0.1
"""Time between looks at homes that owe answers, in seconds."""


class HomeLostError(ExchangeError):
    """The home stopped answering while it ran a statement."""


@attrs.define(eq=False)
class _HomeLink:
    """What this box knows of one home from passing statements to it.

    Attributes
    ----------
    owed : dict
        Scope of every statement that it has not answered, with the sending time.
    asked_at : float
        When it was last asked whether it lives, in seconds.
    """

    box: Box
    pool: HttpPool
    owed: dict[trio.CancelScope, float] = attrs.field(factory=dict)
    heard_at: float = -math.inf
    asked_at: float = -math.inf
    lost: bool = False


class Forwarder:
    """Has home boxes run the statements of groups that this box does not serve itself."""

    def __init__(
        self,
        state: SharedState,
        homes: Homes,
        directory: BoxDirectory,
        transport: Transport,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._homes = homes
        self._directory = directory
        self._transport = transport
        self._nursery = nursery
        self._links: dict[str, _HomeLink] = {}

    async def single(
        self, session: Session, route: Route, statement: Statement, arrived_at: float
    ) -> Reply | None:
        """Return the answer to a statement outside any transaction; None if none is to be asked."""
        try:
            routed = route_statement(session, route, statement, arrived_at)
            return await self._single(routed)
        except StatementRefusedError as error:
            return refused(error.kind, error.detail, SessionState.IDLE)

    async def _single(self, routed: RoutedStatement) -> Reply | None:
        group = routed.route.group
        tried: set[str] = set()
        may_have_run = False
        why = "no box that serves it answers"
        while len(tried) < HOMES_TRIED:
            home = self._homes.choose(group, tried)
            if home is None:
                if not tried:
                    return None
                break
            tried.add(home.name)
            try:
                return await self._ask(home, routed, self._message(routed))
            except NotSentError as error:
                why = str(error)
            except ExchangeError as error:
                why = str(error)
                if routed.writes:
                    raise self._unknown(routed, why) from error
                may_have_run = True
        kind = RefusalKind.ROLLED_BACK if may_have_run else RefusalKind.NO_CAPACITY
        raise StatementRefusedError(kind, come_back(why))

    async def in_transaction(
        self,
        session: Session,
        transaction: OpenTransaction,
        statement: Statement,
        arrived_at: float,
    ) -> Reply | None:
        """Return the answer to a statement inside ``transaction``; None if none is to be asked."""
        try:
            routed = route_statement(session, transaction.route, statement, arrived_at)
            reply = await self._in_transaction(routed, transaction)
        except StatementRefusedError as error:
            if isinstance(statement.body, Commit):
                self.drop(session, transaction)
                return refused(error.kind, error.detail, SessionState.IDLE)
            transaction.failed = True
            self.end_remote(transaction)
            reply = refused(error.kind, error.detail, SessionState.FAILED)
        transaction.used_at = trio.current_time()
        return reply

    async def _in_transaction(
        self, routed: RoutedStatement, transaction: OpenTransaction
    ) -> Reply | None:
        remote = transaction.remote
        if remote is None:
            return await self._begin(routed, transaction)
        home = self._directory.boxes.get(remote.box)
        if home is None:
            detail = f"{remote.box}, which ran the transaction, is gone"
            raise StatementRefusedError(RefusalKind.ROLLED_BACK, come_back(detail))
        return await self._ask_transaction(home, routed, transaction)

    async def _begin(self, routed: RoutedStatement, transaction: OpenTransaction) -> Reply | None:
        """Have a home begin the transaction with its first statement."""
        tried: set[str] = set()
        why = "no box that serves it answers"
        while len(tried) < HOMES_TRIED:
            home = self._homes.choose(routed.route.group, tried)
            if home is None:
                if not tried:
                    return None
                break
            tried.add(home.name)
            transaction.remote = RemoteTransaction(home.name, secrets.token_hex(8))
            try:
                return await self._ask_transaction(home, routed, transaction, begins=True)
            except _NotBegunError as error:
                transaction.remote = None
                why = str(error)
        raise StatementRefusedError(RefusalKind.ROLLED_BACK, come_back(why))

    async def _ask_transaction(
        self,
        home: Box,
        routed: RoutedStatement,
        transaction: OpenTransaction,
        *,
        begins: bool = False,
    ) -> Reply:
        assert transaction.remote is not None
        commits = isinstance(routed.body, Commit)
        message = attrs.evolve(
            self._message(routed),
            transaction=transaction.remote.identity,
            begins=begins,
            read_only=transaction.read_only,
            begun_s=trio.current_time() - transaction.begun_at,
        )
        wrote_before = transaction.wrote
        transaction.wrote |= routed.writes
        try:
            reply = await self._ask(home, routed, message)
        except NotSentError as error:
            if begins:
                transaction.wrote = wrote_before
                raise _NotBegunError(str(error)) from error
            raise StatementRefusedError(RefusalKind.ROLLED_BACK, come_back(str(error))) from error
        except ExchangeError as error:
            if commits and transaction.wrote:
                raise self._unknown(routed, str(error)) from error
            raise StatementRefusedError(RefusalKind.ROLLED_BACK, come_back(str(error))) from error
        match reply.state:
            case SessionState.IDLE:
                routed.session.transaction = None
            case SessionState.FAILED:
                transaction.failed = True
                transaction.remote = None
            case SessionState.IN_TRANSACTION:
                pass
        return reply

    def drop(self, session: Session, transaction: OpenTransaction) -> None:
        """Forget ``transaction``; its home rolls it back."""
        session.transaction = None
        self.end_remote(transaction)

    def end_remote(self, transaction: OpenTransaction) -> None:
        """Have the transaction's home roll it back, if one runs it."""
        remote, transaction.remote = transaction.remote, None
        if remote is not None:
            self._nursery.start_soon(self._tell_end, remote)

    async def _tell_end(self, remote: RemoteTransaction) -> None:
        home = self._directory.boxes.get(remote.box)
        if home is None:
            return
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                await self._link(home).pool.post("/peer/end", {"transaction": remote.identity})
        except ExchangeError as error:
            # The home ends it by itself once it has rested for too long.
            self._state.log.event("end_not_told", other=home.name, why=str(error))

    # Asking a home ------------------------------------------------------

    def _message(self, routed: RoutedStatement) -> ForwardedStatement:
        session = routed.session
        group = routed.route.group
        return ForwardedStatement(
            box=self._state.box,
            caller=session.caller,
            route=routed.route,
            statement=routed.statement,
            age_s=trio.current_time() - routed.arrived_at,
            values=session.values,
            needed=routed.needed,
            own_write=session.own_writes.get(group),
            unsettled=group in session.unsettled,
        )

    def _link(self, home: Box) -> _HomeLink:
        link = self._links.get(home.name)
        if link is None or link.box.incarnation != home.incarnation:
            pool = HttpPool(self._transport, home.address, CONNECT_TIMEOUT_S)
            link = self._links[home.name] = _HomeLink(home, pool)
        return link

    async def _ask(self, home: Box, routed: RoutedStatement, message: ForwardedStatement) -> Reply:
        """Return the home's reply.

        Raises
        ------
        NotSentError
            If the statement surely did not reach it.
        ExchangeError
            If no usable answer came.
        """
        link = self._link(home)
        body = statement_to_json(message)
        with self._owed(link, routed) as scope:
            try:
                answer = await link.pool.post("/peer/run", body)
            except NotSentError:
                self._lose(link, "it takes no connection")
                raise
        if scope.cancelled_caught:
            if link.lost:
                raise HomeLostError(f"{home.name}, which ran it, stopped answering")
            raise HomeLostError(f"{home.name} did not answer in time")
        link.heard_at = trio.current_time()
        if answer.status != 200:
            detail = f"{home.name} could not run it: {answer.body[:80]!r}"
            raise NotSentError(detail)
        try:
            told = reply_from_json(answer.json())
        except BadRequestError as error:
            raise ExchangeError(str(error)) from error
        self._take(routed, told, home)
        return told.reply

    @contextmanager
    def _owed(self, link: _HomeLink, routed: RoutedStatement) -> Iterator[trio.CancelScope]:
        """Note that ``link`` owes an answer; cancelled when it is lost or time is out."""
        until = routed.until + MARGIN_S + ANSWER_SLACK_S
        link.lost = False
        with trio.CancelScope(deadline=until) as scope:
            link.owed[scope] = trio.current_time()
            try:
                yield scope
            finally:
                del link.owed[scope]

    def _take(self, routed: RoutedStatement, told: ForwardedReply, home: Box) -> None:
        group = routed.route.group
        session = routed.session
        if told.unsettled:
            session.unsettled.add(group)
        elif told.own_write is not None:
            session.wrote(group, told.own_write)
        self._state.told_usable[group] = told.primary_usable
        outcome = "done" if told.reply.refusal is None else told.reply.refusal.kind.value
        self._state.figures.forwarded[home.name, outcome] += 1

    @staticmethod
    def _unknown(routed: RoutedStatement, why: str) -> StatementRefusedError:
        routed.session.unsettled.add(routed.route.group)
        detail = f"{why}; it may have been committed"
        return StatementRefusedError(RefusalKind.OUTCOME_UNKNOWN, detail)

    # Homes that fall silent ---------------------------------------------

    async def watch_for_ever(self) -> None:
        """Find homes that owe answers and do not live; what they owe is given up at once."""
        while True:
            await trio.sleep(WATCH_S)
            now = trio.current_time()
            for link in list(self._links.values()):
                oldest = min(link.owed.values(), default=now)
                since = max(oldest, link.heard_at, link.asked_at)
                if now - since > SILENT_S:
                    link.asked_at = now
                    self._nursery.start_soon(self._ask_alive, link)

    async def _ask_alive(self, link: _HomeLink) -> None:
        if not await self._directory.is_alive(link.box, ALIVE_TIMEOUT_S):
            self._lose(link, "it owes answers and does not say that it lives")

    def _lose(self, link: _HomeLink, why: str) -> None:
        self._homes.avoid(link.box.name)
        self._state.log.event("home_lost", other=link.box.name, owed=len(link.owed), why=why)
        link.lost = True
        for scope in link.owed:
            scope.cancel()

    async def leave(self, name: str, for_s: float) -> None:
        """Pass nothing new to a box that is stopping."""
        self._homes.avoid(name, for_s)
        link = self._links.get(name)
        if link is not None:
            await link.pool.aclose()


class _NotBegunError(Exception):
    """The transaction did not begin at a home; another may be asked."""
