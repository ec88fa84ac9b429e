"""Transactions: each pins a connection of one box, for a limited idle time and duration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core import answers, lifecycle
from wharftiller.core.admission import insert_request, new_request_row
from wharftiller.core.dispatch import close_connection, may_pin, send_on
from wharftiller.core.messages import Action, Request, SendStatement, Verdict
from wharftiller.core.reasons import Reason, ReasonKind
from wharftiller.core.tables import ConnectionState, TransactionRow

if TYPE_CHECKING:
    from wharftiller.core.messages import EndpointAnswer
    from wharftiller.core.tables import ConnectionRow, RequestRow, Tables

BEGIN_RETRY_MS = 1
RESET_DEADLINE_MS = 1_000


def transaction_refusal(tables: Tables, request: Request) -> Reason | None:
    """Return why ``request`` cannot run in the transaction it names, or None."""
    name = request.transaction or ""
    box, _, _ = name.rpartition("/")
    if box != tables.box:
        detail = f"transaction {name!r} lives on box {box!r}; begin a new one here"
        return Reason(ReasonKind.TRANSACTION_ELSEWHERE, detail)
    row = tables.transactions.get(name)
    if row is None:
        detail = f"transaction {name!r} is not open; it was rolled back or ended. Begin a new one"
        return Reason(ReasonKind.TRANSACTION_UNKNOWN, detail)
    if (row.pool, row.business) != (request.pool, request.business):
        detail = f"transaction {name!r} is another business's; use one that you began"
        return Reason(ReasonKind.TRANSACTION_FOREIGN, detail)
    if tables.connections[row.connection].request is not None:
        detail = f"transaction {name!r} runs another statement; send one at a time"
        return Reason(ReasonKind.TRANSACTION_BUSY, detail)
    return None


def run_in_transaction(tables: Tables, key: int, request: Request, now: float) -> None:
    """Send a statement on its transaction's connection, or refuse it."""
    refusal = transaction_refusal(tables, request)
    if refusal is not None:
        answers.refuse(tables, key, request, refusal, BEGIN_RETRY_MS, now)
        return
    transaction = tables.transactions[request.transaction or ""]
    transaction.used_at = now
    row = new_request_row(tables, key, request, now)
    insert_request(tables, row)
    connection = tables.connections[transaction.connection]
    send_on(tables, row, connection, tables.groups[row.group].term, now)


def pin_transaction(
    tables: Tables, row: RequestRow, connection: ConnectionRow, now: float
) -> str | None:
    """Pin ``connection`` to a new transaction; return its name, or None at the limit."""
    group = tables.groups[row.group]
    server = tables.servers[connection.endpoint]
    if not may_pin(tables, group, server):
        return None
    rule = row.write_rule
    name = f"{tables.box}/{tables.next_number()}-{tables.random.getrandbits(64):016x}"
    connection.state = ConnectionState.PINNED
    connection.transaction = name
    tables.transactions[name] = TransactionRow(
        name,
        row.request.pool,
        row.request.business,
        row.group,
        connection.number,
        now,
        now,
        rule.transaction_idle_ms / 1000,
        rule.transaction_length_ms / 1000,
    )
    return name


def handle_transaction_answer(
    tables: Tables, row: RequestRow, connection: ConnectionRow, answer: EndpointAnswer, now: float
) -> None:
    """Handle the answer to a statement inside a transaction."""
    action = row.request.action
    tables.transactions[connection.transaction or ""].used_at = now
    if answer.verdict is Verdict.NOT_RUN:
        _end_transaction(tables, connection)
        detail = f"{answer.report.endpoint}: {answer.why}; it was rolled back. Begin a new one"
        reason = Reason(ReasonKind.TRANSACTION_LOST, detail, answer.report.endpoint)
        answers.finish_not_run(tables, row, reason, BEGIN_RETRY_MS, now)
        return
    if action in (Action.COMMIT, Action.ROLLBACK):
        _end_transaction(tables, connection)
    if action is Action.COMMIT or answer.verdict is Verdict.REJECTED:
        lifecycle.handle_answer(tables, row, answer, now)
    else:
        answers.finish_done(
            tables, row, answer, now, provisional=True, transaction=row.request.transaction
        )


def _end_transaction(tables: Tables, connection: ConnectionRow) -> None:
    tables.transactions.pop(connection.transaction or "", None)
    connection.transaction = None
    reset_connection(tables, connection)


def reset_connection(tables: Tables, connection: ConnectionRow) -> None:
    """Reset the session state of a connection before another caller uses it."""
    connection.state = ConnectionState.BUSY
    connection.is_resetting = True
    request_id = f"reset-{connection.number}"
    tables.emit(
        SendStatement(connection.number, request_id, "", Action.RESET, None, 0, RESET_DEADLINE_MS)
    )


def handle_lost_connection(
    tables: Tables, connection: ConnectionRow, row: RequestRow | None, now: float
) -> None:
    """Answer the running statement of a transaction whose connection was lost."""
    if row is None:
        return
    if row.request.action is Action.COMMIT:
        lifecycle.handle_lost_answer(tables, row, now)
        return
    answers.finish_not_run(tables, row, lifecycle.rolled_back_reason(row), BEGIN_RETRY_MS, now)


def close_overdue(tables: Tables, now: float) -> None:
    """Roll back the transactions that exceed their idle time or duration."""
    for row in list(tables.transactions.values()):
        connection = tables.connections[row.connection]
        if connection.request is not None:
            continue
        if now - row.used_at > row.max_idle_s or now - row.started_at > row.max_length_s:
            close_connection(tables, connection)
            tables.count("transactions.overdue")
