"""The proxy's core: one step per input, returning what is to be done."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core import admission, answers, lifecycle, membership, transactions
from wharftiller.core.dispatch import (
    close_connection,
    dispatch,
    forget_connection,
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
from wharftiller.core.reports import apply_report, heartbeat, lane_free
from wharftiller.core.routing import review_replica_lookups
from wharftiller.core.shares import apply_listing
from wharftiller.core.tables import ConnectionRow, ConnectionState, Phase, RequestRow, Tables

if TYPE_CHECKING:
    import random

    from wharftiller.core.messages import EndpointAnswer, Request
    from wharftiller.core.tables import GroupRow

RETRY_CONNECT_S = 0.1

DEPOSED_GRACE_S = 0.1
"""Time an older primary has to answer what it owes once a new one leads, in seconds."""


class ProxyCore:
    """Decides for one proxy; holds no socket and no clock.

    Parameters
    ----------
    box : str
        Name of the box.
    random : random.Random
        Source of jitter, so that a seed repeats every decision.
    list_lag_s : float
        Greatest lag of the platform's list of boxes, in seconds.
    """

    def __init__(self, box: str, random: random.Random, list_lag_s: float = 30.0) -> None:
        self._tables = Tables(box, random, list_lag_s=list_lag_s)

    @property
    def tables(self) -> Tables:
        """The rows, for the shell's views and for tests."""
        return self._tables

    def handle(self, message: Input, now: float) -> list[Output]:
        """Take one input at ``now`` (monotonic seconds) and return what is to be done."""
        tables = self._tables
        match message:
            case StatementArrived(key, request):
                self._arrived(key, request, now)
            case ConnectionOpened(number):
                self._opened(number, now)
            case ConnectionRefused(number, _):
                self._connect_refused(number, now)
            case ConnectionLost(number):
                self._connection_lost(number, now)
            case StatementAnswered(number, answer):
                self._answered(number, answer, now)
            case ReportArrived():
                self._reported(message, now)
            case ReportLost():
                self._report_lost(message, now)
            case ConfigurationArrived(configuration):
                membership.apply_configuration(tables, configuration, now)
            case BoxesListed(names, read_at):
                apply_listing(tables, names, read_at)
            case PrimaryNoticed(name, term, endpoint):
                self._noticed(name, term, endpoint, now)
            case StopAsked():
                tables.stopping = True
            case Tick():
                self._tick(now)
        return tables.take_outputs()

    def _arrived(self, key: int, request: Request, now: float) -> None:
        if request.transaction is not None:
            fault = admission.placement_fault(self._tables, request)
            if fault is not None:
                answers.refuse(self._tables, key, request, fault, None, now)
                return
            transactions.run_in_transaction(self._tables, key, request, now)
            return
        row = admission.admit(self._tables, key, request, now)
        if row is not None:
            dispatch(self._tables, self._tables.groups[row.group], now)

    def _opened(self, number: int, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is not None:
            connection.state = ConnectionState.IDLE
            self._dispatch_for(connection, now)

    def _dispatch_for(self, connection: ConnectionRow, now: float) -> None:
        server = self._tables.servers.get(connection.endpoint)
        if server is not None:
            dispatch(self._tables, self._tables.groups[server.group], now)

    def _connect_refused(self, number: int, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is None:
            return
        forget_connection(self._tables, connection)
        server = self._tables.servers.get(connection.endpoint)
        if server is not None:
            wait = RETRY_CONNECT_S * self._tables.random.uniform(0.5, 1.5)
            server.retry_connect_at = now + wait
        self._tables.count("connections.refused")

    def _connection_lost(self, number: int, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is None:
            return
        forget_connection(self._tables, connection)
        self._owed_answer_lost(connection, now)
        self._dispatch_for(connection, now)

    def _owed_answer_lost(self, connection: ConnectionRow, now: float) -> None:
        row = self._row_of(connection)
        if connection.transaction is not None:
            transactions.connection_lost(self._tables, connection, row, now)
        elif row is not None:
            lifecycle.lost(self._tables, row, now)

    def _row_of(self, connection: ConnectionRow) -> RequestRow | None:
        if connection.request is None:
            return None
        return self._tables.requests.get(connection.request)

    def _answered(self, number: int, answer: EndpointAnswer, now: float) -> None:
        connection = self._tables.connections.get(number)
        if connection is None:
            return
        if connection.resetting:
            self._reset_done(connection, answer, now)
            return
        row = self._row_of(connection)
        if row is None or answer.request_id != row.request.request_id:
            self._tables.count("answers.crossed")
            close_connection(self._tables, connection)
            self._owed_answer_lost(connection, now)
            return
        connection.request = None
        server = self._tables.servers[connection.endpoint]
        new_primary = apply_report(self._tables, server, answer.report, row.sent_at)
        self._route_answer(row, connection, answer, now)
        group = self._tables.groups[row.group]
        if new_primary:
            self._primary_changed(group, now)
        self._progress_all(group, now)
        dispatch(self._tables, group, now)

    def _reset_done(self, connection: ConnectionRow, answer: EndpointAnswer, now: float) -> None:
        if answer.verdict is not Verdict.RAN:
            close_connection(self._tables, connection)
            return
        connection.resetting = False
        connection.state = ConnectionState.IDLE
        self._dispatch_for(connection, now)

    def _route_answer(
        self, row: RequestRow, connection: ConnectionRow, answer: EndpointAnswer, now: float
    ) -> None:
        if connection.transaction is not None:
            transactions.take_transaction_answer(self._tables, row, connection, answer, now)
            return
        connection.state = ConnectionState.IDLE
        if row.request.action is Action.BEGIN and answer.verdict is Verdict.RAN:
            self._begun(row, connection, answer, now)
            return
        lifecycle.take_answer(self._tables, row, answer, now)

    def _begun(
        self, row: RequestRow, connection: ConnectionRow, answer: EndpointAnswer, now: float
    ) -> None:
        name = transactions.begun(self._tables, row, connection, now)
        if name is not None:
            answers.finish_done(self._tables, row, answer, now, provisional=True, transaction=name)
            return
        transactions.reset(self._tables, connection)
        detail = "this box's connections for transactions are all in use; come back shortly"
        reason = Reason(ReasonKind.QUEUE_FULL, detail)
        retry_after_ms = answers.jittered(self._tables, answers.RETRY_AFTER_UNKNOWN_MS)
        answers.finish_not_run(self._tables, row, reason, retry_after_ms, now)

    def _reported(self, message: ReportArrived, now: float) -> None:
        server = self._tables.servers.get(message.endpoint)
        if server is None:
            return
        changed = apply_report(self._tables, server, message.report, message.sent_at)
        lane_free(self._tables, server, message.lane, now)
        group = self._tables.groups[server.group]
        if changed:
            self._primary_changed(group, now)
        self._progress_all(group, now)
        review_replica_lookups(self._tables, group, now)
        dispatch(self._tables, group, now)

    def _report_lost(self, message: ReportLost, now: float) -> None:
        server = self._tables.servers.get(message.endpoint)
        if server is None:
            return
        if server.silent_since is None:
            server.silent_since = message.sent_at
        lane_free(self._tables, server, message.lane, now)

    def _noticed(self, name: str, term: int, endpoint: str, now: float) -> None:
        group = self._tables.groups.get(name)
        if group is None or term <= group.term or endpoint not in group.servers:
            return
        group.term = term
        group.primary = endpoint
        self._primary_changed(group, now)
        dispatch(self._tables, group, now)

    def _primary_changed(self, group: GroupRow, now: float) -> None:
        group.hold_until = 0.0
        group.changed_at = now
        self._tables.count("primaries.changed")
        self._progress_all(group, now)

    def _give_up_on_deposed(self, group: GroupRow, now: float) -> None:
        """Give up on what an older primary still owes some time after a new one leads.

        A fenced primary that is well answers within that time what it did not
        run, which then runs on the new one.
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
                self._owed_answer_lost(connection, now)

    def _progress_all(self, group: GroupRow, now: float) -> None:
        for key in sorted(group.checking):
            row = self._tables.requests.get(key)
            if row is not None and row.phase is Phase.CHECKING:
                lifecycle.progress(self._tables, row, now)

    def _tick(self, now: float) -> None:
        lifecycle.expire(self._tables, now)
        transactions.end_overdue(self._tables, now)
        heartbeat(self._tables, now)
        trim_connections(self._tables, now)
        membership.forget_removed(self._tables)
        for group in self._tables.groups.values():
            self._give_up_on_deposed(group, now)
            self._progress_all(group, now)
            review_replica_lookups(self._tables, group, now)
            dispatch(self._tables, group, now)
