"""Forwarding of statements to a gateway box of their group."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.sessions.retry_after import Cause
from wharftiller.core.sessions.session import RemoteTransaction
from wharftiller.core.sessions.statements import Commit, RefusalKind, Reply, SessionState
from wharftiller.daemons.sessions.serving.routed import (
    REPLY_MARGIN_S,
    StatementRefusedError,
    route_statement,
)
from wharftiller.edges.forwarded_json import ForwardedStatement
from wharftiller.edges.http_client import NotSentError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import OpenTransaction, Session
    from wharftiller.core.sessions.statements import Statement
    from wharftiller.daemons.sessions.forwarding.gateway_client import GatewayClient
    from wharftiller.daemons.sessions.forwarding.gateways import Gateways
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.serving.routed import RoutedStatement
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.edges.forwarded_json import ForwardedReply

MAX_GATEWAYS_TRIED = 3
"""Maximum of gateways that a statement is sent to, one after the other."""


class _NotBegunError(Exception):
    """The transaction did not begin on a gateway; another one may be tried."""


def _may_try_another(forwarded: ForwardedReply, routed: RoutedStatement) -> bool:
    """Return whether a gateway ran nothing for lack of a lease that another one may have.

    False once the statement's latency goal has passed: during a partition no gateway may
    have a lease.
    """
    refusal = forwarded.reply.refusal
    ran_nothing = refusal is not None and refusal.has_not_run
    in_time = trio.current_time() < routed.arrived_at + routed.route.latency_goal_s
    return forwarded.lacks_lease and ran_nothing and in_time


class Forwarder:
    """Forwards statements of groups that this box does not serve to their gateways."""

    def __init__(
        self,
        state: SharedState,
        gateways: Gateways,
        directory: BoxDirectory,
        client: GatewayClient,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._gateways = gateways
        self._directory = directory
        self._client = client
        self._nursery = nursery

    async def forward_autocommit(
        self, session: Session, route: Route, statement: Statement, arrived_at: float
    ) -> Reply | None:
        """Forward an autocommit statement; return None if this box is to run it itself."""
        try:
            routed = route_statement(session, route, statement, arrived_at)
            return await self._forward_autocommit(routed)
        except StatementRefusedError as error:
            return error.reply(statement, SessionState.IDLE)

    async def _forward_autocommit(self, routed: RoutedStatement) -> Reply | None:
        may_have_run = False
        why = "no box that serves it answers"
        refusal: Reply | None = None
        tried: set[str] = set()
        for gateway in self._gateways_to_try(routed.route.group, tried):
            try:
                forwarded = await self._send(gateway, routed, self._build_message(routed))
                if not _may_try_another(forwarded, routed):
                    return forwarded.reply
                refusal = forwarded.reply
            except NotSentError as error:
                why = str(error)
            except ExchangeError as error:
                why = str(error)
                if routed.writes:
                    raise self._outcome_unknown(routed, why) from error
                may_have_run = True
        if self._gateways.choose(routed.route.group, tried) is None:
            # This box is a gateway, or becomes one without those that were tried.
            return refusal
        if refusal is not None:
            return refusal
        kind = RefusalKind.ROLLED_BACK if may_have_run else RefusalKind.NO_CAPACITY
        raise StatementRefusedError(kind, why, Cause.BOX_LOST)

    async def forward_in_transaction(
        self,
        session: Session,
        transaction: OpenTransaction,
        statement: Statement,
        arrived_at: float,
    ) -> Reply | None:
        """Forward a statement of ``transaction``; return None if this box is to run it itself."""
        try:
            routed = route_statement(session, transaction.route, statement, arrived_at)
            reply = await self._in_transaction(routed, transaction)
        except StatementRefusedError as error:
            if isinstance(statement.body, Commit):
                self.drop(session, transaction)
                return error.reply(statement, SessionState.IDLE)
            transaction.failed = True
            self.roll_back_remote(transaction)
            reply = error.reply(statement, SessionState.FAILED)
        transaction.used_at = trio.current_time()
        return reply

    async def _in_transaction(
        self, routed: RoutedStatement, transaction: OpenTransaction
    ) -> Reply | None:
        remote = transaction.remote
        if remote is None:
            return await self._begin(routed, transaction)
        gateway = self._directory.boxes.get(remote.box)
        if gateway is None:
            detail = f"{remote.box}, which ran the transaction, is gone"
            raise StatementRefusedError(RefusalKind.ROLLED_BACK, detail, Cause.BOX_LOST)
        return await self._send_in_transaction(gateway, routed, transaction)

    async def _begin(self, routed: RoutedStatement, transaction: OpenTransaction) -> Reply | None:
        """Begin the transaction on a gateway, with its first statement."""
        why = "no box that serves it answers"
        tried: set[str] = set()
        for gateway in self._gateways_to_try(routed.route.group, tried):
            transaction.remote = RemoteTransaction(gateway.name, secrets.token_hex(8))
            try:
                return await self._send_in_transaction(gateway, routed, transaction, begins=True)
            except _NotBegunError as error:
                transaction.remote = None
                why = str(error)
        if self._gateways.choose(routed.route.group, tried) is None:
            return None
        raise StatementRefusedError(RefusalKind.ROLLED_BACK, why, Cause.BOX_LOST)

    async def _send_in_transaction(
        self,
        gateway: Box,
        routed: RoutedStatement,
        transaction: OpenTransaction,
        *,
        begins: bool = False,
    ) -> Reply:
        assert transaction.remote is not None
        is_commit = isinstance(routed.body, Commit)
        message = attrs.evolve(
            self._build_message(routed),
            transaction=transaction.remote.identity,
            begins=begins,
            read_only=transaction.read_only,
            begun_s=trio.current_time() - transaction.begun_at,
        )
        wrote_before = transaction.wrote
        transaction.wrote |= routed.writes
        try:
            forwarded = await self._send(gateway, routed, message)
        except NotSentError as error:
            if begins:
                transaction.wrote = wrote_before
                raise _NotBegunError(str(error)) from error
            raise StatementRefusedError(
                RefusalKind.ROLLED_BACK, str(error), Cause.BOX_LOST
            ) from error
        except ExchangeError as error:
            if is_commit and transaction.wrote:
                raise self._outcome_unknown(routed, str(error)) from error
            raise StatementRefusedError(
                RefusalKind.ROLLED_BACK, str(error), Cause.BOX_LOST
            ) from error
        reply = forwarded.reply
        if begins and _may_try_another(forwarded, routed):
            transaction.wrote = wrote_before
            raise _NotBegunError(f"{gateway.name} may not use the primary now")
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
        """Detach ``transaction`` from its session and roll it back."""
        session.transaction = None
        self.roll_back_remote(transaction)

    def roll_back_remote(self, transaction: OpenTransaction) -> None:
        """Roll the transaction back on its gateway, if it has begun there."""
        remote, transaction.remote = transaction.remote, None
        if remote is not None:
            self._nursery.start_soon(self._send_end, remote)

    async def _send_end(self, remote: RemoteTransaction) -> None:
        gateway = self._directory.boxes.get(remote.box)
        if gateway is None:
            return
        try:
            await self._client.send_end(gateway, remote.identity)
        except ExchangeError as error:
            # The gateway rolls it back once it has been idle for too long.
            self._state.log.event("end_not_told", other=gateway.name, why=str(error))

    # Requests to a gateway ----------------------------------------------

    def _gateways_to_try(self, group: str, tried: set[str]) -> Iterator[Box]:
        """Yield gateways to try in turn, adding each to ``tried``.

        Ends when this box is to run the statement itself.
        """
        while len(tried) < MAX_GATEWAYS_TRIED:
            gateway = self._gateways.choose(group, tried)
            if gateway is None:
                return
            tried.add(gateway.name)
            yield gateway

    def _build_message(self, routed: RoutedStatement) -> ForwardedStatement:
        session = routed.session
        group = routed.route.group
        return ForwardedStatement(
            box=self._state.box,
            workspace=session.workspace,
            route=routed.route,
            statement=routed.statement,
            age_s=trio.current_time() - routed.arrived_at,
            values=session.values,
            needed=routed.needed,
            own_write=session.own_writes.get(group),
            unsettled=group in session.unsettled,
        )

    async def _send(
        self, gateway: Box, routed: RoutedStatement, message: ForwardedStatement
    ) -> ForwardedReply:
        """Return the gateway's reply; raises as `GatewayClient.forward` does."""
        forwarded = await self._client.forward(gateway, message, routed.until + REPLY_MARGIN_S)
        self._apply_reply(routed, forwarded, gateway)
        return forwarded

    def _apply_reply(
        self, routed: RoutedStatement, forwarded: ForwardedReply, gateway: Box
    ) -> None:
        group = routed.route.group
        session = routed.session
        if forwarded.unsettled:
            session.unsettled.add(group)
        elif forwarded.own_write is not None:
            session.wrote(group, forwarded.own_write)
        self._state.gateway_usable[group] = forwarded.primary_usable
        if forwarded.lacks_lease:
            self._gateways.record_lease_missing(gateway.name)
        else:
            self._gateways.record_lease_present(gateway.name)
        self._state.metrics.forwarded[gateway.name, forwarded.reply.outcome] += 1

    @staticmethod
    def _outcome_unknown(routed: RoutedStatement, why: str) -> StatementRefusedError:
        routed.session.unsettled.add(routed.route.group)
        detail = f"{why}; it may have been committed"
        return StatementRefusedError(RefusalKind.OUTCOME_UNKNOWN, detail)
