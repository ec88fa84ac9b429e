"""The proxy's core, a state machine: each input is one step that returns outputs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core import admission, answers, lifecycle, membership, transactions
from wharftiller.core.connection_shares import apply_box_list
from wharftiller.core.dispatch import (
    close_connection,
    dispatch,
    remove_connection,
    trim_connections,
)
from wharftiller.core.messages import (
    Action,
    BoxesListed,
    ConfigurationArrived,
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    Input,
    Output,
    PrimaryNoticed,
    ReportArrived,
    ReportLost,
    StatementAnswered,
    StatementArrived,
    StopAsked,
    Tick,
    Verdict,
)
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.reports import apply_report, heartbeat, release_lane
from wharftiller.core.routing import reroute_replica_lookups
from wharftiller.core.tables import ConnectionRow, ConnectionState, Phase, RequestRow, Tables

if TYPE_CHECKING:
    import random

    from wharftiller.core.messages import EndpointAnswer, Request
    from wharftiller.core.tables import GroupRow

CONNECT_RETRY_S = 0.1

DEPOSED_GRACE_S = 0.1
"""Time for a deposed primary to send its outstanding answers, in seconds."""


class ProxyCore:
    """The decisions of one proxy, without I/O and without a clock.

    Parameters
    ----------
    box : str
        Name of the box.
    random : random.Random
        Source of jitter and tie-breaks; a seed makes every decision reproducible.
    list_lag_s : float
        Maximum lag of the platform's list of boxes, in seconds.
    """

    def __init__(self, box: str, random: random.Random, list_lag_s: float = 30.0) -> None:
        self._tables = Tables(box, random, list_lag_s=list_lag_s)

    @property
    def tables(self) -> Tables:
        """The tables, read by the daemon's status pages and by tests."""
        return self._tables

    def handle(self, message: Input, now: float) -> list[Output]:
        """Process one input at ``now`` (monotonic seconds) and return the outputs."""
        tables = self._tables
        match message:
            case StatementArrived(key, request):
                self._handle_statement(key, request, now)
            case ConnectionOpened(number):
                self._handle_opened(number, now)
            case ConnectionRefused(number, _):
                self._handle_connect_refused(number, now)
            case ConnectionLost(number):
                self._handle_lost_connection(number, now)
            case StatementAnswered(number, answer):
                self._handle_answer(number, answer, now)
            case ReportArrived():
                self._handle_report(message, now)
            case ReportLost():
                self._handle_lost_report(message, now)
            case ConfigurationArrived(configuration):
                membership.apply_configuration(tables, configuration, now)
            case BoxesListed(names, read_at):
                apply_box_list(tables, names, read_at)
            case PrimaryNoticed(name, term, endpoint):
                self._handle_announcement(name, term, endpoint, now)
            case StopAsked():
                tables.is_stopping = True
            case Tick():
                self._handle_tick(now)
        return tables.take_outputs()

    def _handle_statement(self, key: int, request: Request, now: float) -> None:
        if request.transaction is not None:
            refusal = admission.placement_refusal(self._tables, request)
            if refusal is not None:
                answers.refuse(self._tables, key, request, refusal, None, now)
                return
            transactions.run_in_transaction(self._tables, key, request, now)
            return
        row = admission.admit(self._tables, key, request, now)
        if row is not None:
            dispatch(self._tables, self._tables.groups[row.group], now)

    def _handle_opened(self, number: int, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is not None:
            connection.state = ConnectionState.IDLE
            self._dispatch_for(connection, now)

    def _dispatch_for(self, connection: ConnectionRow, now: float) -> None:
        server = self._tables.servers.get(connection.endpoint)
        if server is not None:
            dispatch(self._tables, self._tables.groups[server.group], now)

    def _handle_connect_refused(self, number: int, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is None:
            return
        remove_connection(self._tables, connection)
        server = self._tables.servers.get(connection.endpoint)
        if server is not None:
            wait = CONNECT_RETRY_S * self._tables.random.uniform(0.5, 1.5)
            server.retry_connect_at = now + wait
        self._tables.count("connections.refused")

    def _handle_lost_connection(self, number: int, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is None:
            return
        remove_connection(self._tables, connection)
        self._handle_lost_answer(connection, now)
        self._dispatch_for(connection, now)

    def _handle_lost_answer(self, connection: ConnectionRow, now: float) -> None:
        row = self._row_of(connection)
        if connection.transaction is not None:
            transactions.handle_lost_connection(self._tables, connection, row, now)
        elif row is not None:
            lifecycle.handle_lost_answer(self._tables, row, now)

    def _row_of(self, connection: ConnectionRow) -> RequestRow | None:
        if connection.request is None:
            return None
        return self._tables.requests.get(connection.request)

    def _handle_answer(self, number: int, answer: EndpointAnswer, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is None:
            return
        if connection.is_resetting:
            self._handle_reset_answer(connection, answer, now)
            return
        row = self._row_of(connection)
        if row is None or answer.request_id != row.request.request_id:
            self._tables.count("answers.crossed")
            close_connection(self._tables, connection)
            self._handle_lost_answer(connection, now)
            return
        connection.request = None
        server = self._tables.servers[connection.endpoint]
        new_primary = apply_report(self._tables, server, answer.report, row.sent_at)
        self._route_answer(row, connection, answer, now)
        group = self._tables.groups[row.group]
        if new_primary:
            self._handle_primary_change(group, now)
        self._advance_checks(group, now)
        dispatch(self._tables, group, now)

    def _handle_reset_answer(
        self, connection: ConnectionRow, answer: EndpointAnswer, now: float
    ) -> None:
        if answer.verdict is not Verdict.RAN:
            close_connection(self._tables, connection)
            return
        connection.is_resetting = False
        connection.state = ConnectionState.IDLE
        self._dispatch_for(connection, now)

    def _route_answer(
        self, row: RequestRow, connection: ConnectionRow, answer: EndpointAnswer, now: float
    ) -> None:
        if connection.transaction is not None:
            transactions.handle_transaction_answer(self._tables, row, connection, answer, now)
            return
        connection.state = ConnectionState.IDLE
        if row.request.action is Action.BEGIN and answer.verdict is Verdict.RAN:
            self._pin_transaction(row, connection, answer, now)
            return
        lifecycle.handle_answer(self._tables, row, answer, now)

    def _pin_transaction(
        self, row: RequestRow, connection: ConnectionRow, answer: EndpointAnswer, now: float
    ) -> None:
        name = transactions.pin_transaction(self._tables, row, connection, now)
        if name is not None:
            answers.finish_done(self._tables, row, answer, now, provisional=True, transaction=name)
            return
        transactions.reset_connection(self._tables, connection)
        detail = "this box's connections for transactions are all in use; come back shortly"
        reason = Reason(ReasonKind.QUEUE_FULL, detail)
        retry_after_ms = answers.jittered(self._tables, answers.RETRY_AFTER_UNKNOWN_MS)
        answers.finish_not_run(self._tables, row, reason, retry_after_ms, now)

    def _handle_report(self, message: ReportArrived, now: float) -> None:
        server = self._tables.servers.get(message.endpoint)
        if server is None:
            return
        changed = apply_report(self._tables, server, message.report, message.sent_at)
        release_lane(self._tables, server, message.lane, now)
        group = self._tables.groups[server.group]
        if changed:
            self._handle_primary_change(group, now)
        self._advance_checks(group, now)
        reroute_replica_lookups(self._tables, group, now)
        dispatch(self._tables, group, now)

    def _handle_lost_report(self, message: ReportLost, now: float) -> None:
        server = self._tables.servers.get(message.endpoint)
        if server is None:
            return
        if server.silent_since is None:
            server.silent_since = message.sent_at
        release_lane(self._tables, server, message.lane, now)

    def _handle_announcement(self, name: str, term: int, endpoint: str, now: float) -> None:
        group = self._tables.groups.get(name)
        if group is None or term <= group.term or endpoint not in group.servers:
            return
        group.term = term
        group.primary = endpoint
        self._handle_primary_change(group, now)
        dispatch(self._tables, group, now)

    def _handle_primary_change(self, group: GroupRow, now: float) -> None:
        group.hold_until = 0.0
        group.changed_at = now
        self._tables.count("primaries.changed")
        self._advance_checks(group, now)

    def _abandon_deposed(self, group: GroupRow, now: float) -> None:
        """Close connections with answers outstanding from a deposed primary.

        Within ``DEPOSED_GRACE_S`` a healthy fenced primary refuses what it did not
        run, which then runs on the new primary.
        """
        if now - group.changed_at < DEPOSED_GRACE_S:
            return
        for connection in list(self._tables.connections.values()):
            server = self._tables.servers.get(connection.endpoint)
            if server is None or server.group != group.name or server.name == group.primary:
                continue
            row = self._row_of(connection)
            deposed = row is not None and 0 < row.sent_term < group.term
            if deposed or connection.transaction is not None:
                close_connection(self._tables, connection)
                self._handle_lost_answer(connection, now)

    def _advance_checks(self, group: GroupRow, now: float) -> None:
        for key in sorted(group.checking):
            row = self._tables.requests.get(key)
            if row is not None and row.phase is Phase.CHECKING:
                lifecycle.advance_check(self._tables, row, now)

    def _handle_tick(self, now: float) -> None:
        lifecycle.expire_requests(self._tables, now)
        transactions.close_overdue(self._tables, now)
        heartbeat(self._tables, now)
        trim_connections(self._tables, now)
        membership.remove_unconfigured(self._tables)
        for group in self._tables.groups.values():
            self._abandon_deposed(group, now)
            self._advance_checks(group, now)
            reroute_replica_lookups(self._tables, group, now)
            dispatch(self._tables, group, now)
