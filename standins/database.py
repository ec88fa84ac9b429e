"""One server of a database group as a state machine, without I/O.

The assumptions about a real server are listed in docs/operators/endpoints.md.
"""

from __future__ import annotations

from typing import Any

import attrs

from wharftiller.core.messages import EndpointAnswer, Report, Role, Verdict

QUIESCE_NOTHING = 0
QUIESCE_TRANSACTIONS = 1
QUIESCE_ALL = 2


@attrs.frozen
class Effect:
    """One change to the rows of a business: ``append`` to a list or ``put`` a value."""

    do: str
    key: str
    value: Any


@attrs.frozen
class Record:
    """One record of the log.

    Attributes
    ----------
    kind : str
        ``write``, ``open`` (first record of a term) or ``bar`` (blocks a request id).
    """

    term: int
    kind: str
    request_id: str = ""
    business: str = ""
    effects: tuple[Effect, ...] = ()
    result: Any = None


@attrs.define
class OpenTransaction:
    """Uncommitted effects of a transaction."""

    business: str
    term: int
    effects: list[Effect] = attrs.field(factory=list)


class StatementError(Exception):
    """Raised for a statement that the database rejects without effect."""


@attrs.define
class Database:
    """A server's log, terms and rows.

    Attributes
    ----------
    promised : int
        Newest promised term; requests of older terms are refused.
    promised_attempt : str
        Attempt that the term was promised to; empty if the term came by replication.
    leading_term : int
        Term in which the server is primary; 0 for a replica.
    term_ends : dict of int to int
        Index of the last record, per term of the log.
    opened : int
        Index of the record that opened the log's term.
    runs : list of (business, request id)
        Every write that ran here; tests count them.
    """

    name: str
    promised: int = 0
    promised_attempt: str = ""
    leading_term: int = 0
    leaving: bool = False
    quiesce: int = QUIESCE_NOTHING
    log: list[Record] = attrs.field(factory=list)
    rows: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    ids: dict[tuple[str, str], int] = attrs.field(factory=dict)
    term_ends: dict[int, int] = attrs.field(factory=dict)
    opened: int = 0
    open_transactions: int = 0
    runs: list[tuple[str, str]] = attrs.field(factory=list)

    @property
    def log_term(self) -> int:
        """Term of the last record."""
        return self.log[-1].term if self.log else 0

    @property
    def leads(self) -> bool:
        """Whether the server is primary and has promised no later term."""
        return self.leading_term > 0 and self.leading_term == self.promised

    def report(self, primary_silent_ms: int = 0) -> Report:
        """Return the report on the server's state."""
        return Report(
            endpoint=self.name,
            promised=self.promised,
            log_term=self.log_term,
            position=len(self.log),
            opened=self.opened,
            role=Role.PRIMARY if self.leads else Role.REPLICA,
            leaving=self.leaving,
            quiescing=self.quiesce == QUIESCE_ALL,
            primary_silent_ms=primary_silent_ms,
            open_transactions=self.open_transactions,
        )

    # Steward requests ---------------------------------------------------

    def fence(self, term: int, attempt: str = "") -> bool:
        """Promise ``term`` to one attempt.

        Returns False if a later term or another attempt holds the promise.
        """
        if term < self.promised or (term == self.promised and attempt != self.promised_attempt):
            return False
        self.promised = term
        self.promised_attempt = attempt
        return True

    def promote(self, term: int, attempt: str = "") -> bool:
        """Become the primary of ``term`` if it was promised to this attempt.

        Repeated calls append the term's opening record only once.
        """
        if term != self.promised or attempt != self.promised_attempt:
            return False
        if self.leading_term != term:
            if self.log_term >= term:
                return False
            self.leading_term = term
            self.quiesce = QUIESCE_NOTHING
            self._append(Record(term, "open"))
        return True

    # Replication --------------------------------------------------------

    def records_after(self, ends: dict[int, int], max_records: int) -> tuple[int, list[Record]]:
        """Return the length of the common log and the records that a replica lacks.

        Parameters
        ----------
        ends : dict of int to int
            Index of the replica's last record, per term.
        max_records : int
            Maximum number of records returned.
        """
        common = 0
        for term, end in ends.items():
            end_here = self.term_ends.get(term)
            if end_here is not None:
                common = max(common, min(end_here, end))
        return common, self.log[common : common + max_records]

    def follow(self, term: int, common: int, records: list[Record]) -> bool:
        """Append records of the primary of ``term``, dropping conflicting ones.

        Only a record of another term at the same index truncates the log: a late
        reply must not remove records whose position has been reported since.
        """
        if term < self.promised or common > len(self.log):
            return False
        if term > self.promised:
            self.promised = term
            self.promised_attempt = ""
        if self.leading_term != term:
            self.leading_term = 0
            self.quiesce = QUIESCE_NOTHING
        for index, record in enumerate(records, start=common):
            if index < len(self.log):
                if self.log[index].term == record.term:
                    continue
                self._truncate(index)
            self._append(record)
        return True

    def _truncate(self, length: int) -> None:
        kept_records = self.log[:length]
        self.log = []
        self.rows = {}
        self.ids = {}
        self.term_ends = {}
        self.opened = 0
        for record in kept_records:
            self._append(record)

    def _append(self, record: Record) -> int:
        self.log.append(record)
        index = len(self.log)
        self.term_ends[record.term] = index
        if record.kind == "open":
            self.opened = index
        for effect in record.effects:
            _apply(self.rows.setdefault(record.business, {}), effect)
        if record.request_id:
            self.ids[(record.business, record.request_id)] = index
        return index

    # Statements ---------------------------------------------------------

    def read(self, request_id: str, business: str, statement: Any, term: int) -> EndpointAnswer:
        """Run a read; with a term, only as the primary of that term."""
        refusal = self._refuse_term(term) if term else ""
        if refusal:
            return self._answer_not_run(request_id, refusal)
        try:
            result = evaluate(self.rows.get(business, {}), statement)
        except StatementError as error:
            return self._build_answer(request_id, Verdict.REJECTED, why=str(error))
        return self._build_answer(request_id, Verdict.RAN, position=len(self.log), result=result)

    def write(self, request_id: str, business: str, statement: Any, term: int) -> EndpointAnswer:
        """Run a write once; a recorded id returns its outcome, a barred id is refused."""
        refusal = self._refuse_term(term) or self._refuse_quiescing(QUIESCE_ALL)
        if refusal:
            return self._answer_not_run(request_id, refusal)
        recorded = self._recorded_answer(request_id, business)
        if recorded is not None:
            return recorded
        try:
            effects, result = plan_write(self.rows.get(business, {}), statement)
        except StatementError as error:
            return self._build_answer(request_id, Verdict.REJECTED, why=str(error))
        return self._commit(request_id, business, effects, result)

    def write_in_transaction(
        self, request_id: str, transaction: OpenTransaction, statement: Any, term: int
    ) -> EndpointAnswer:
        """Add a write's effects to an open transaction."""
        refusal = self._refuse_term(term)
        if refusal:
            return self._answer_not_run(request_id, refusal)
        rows: dict[str, Any] = dict(self.rows.get(transaction.business, {}))
        for effect in transaction.effects:
            if isinstance(rows.get(effect.key), list):
                rows[effect.key] = list(rows[effect.key])
            _apply(rows, effect)
        try:
            effects, result = plan_write(rows, statement)
        except StatementError as error:
            return self._build_answer(request_id, Verdict.REJECTED, why=str(error))
        transaction.effects.extend(effects)
        return self._build_answer(request_id, Verdict.RAN, position=len(self.log), result=result)

    def commit(self, request_id: str, transaction: OpenTransaction, term: int) -> EndpointAnswer:
        """Commit a transaction's effects as one record."""
        refusal = self._refuse_term(term)
        if not refusal and transaction.term != self.promised:
            refusal = "the transaction began in an earlier term"
        if refusal:
            return self._answer_not_run(request_id, refusal)
        recorded = self._recorded_answer(request_id, transaction.business)
        if recorded is not None:
            return recorded
        count = len(transaction.effects)
        return self._commit(request_id, transaction.business, tuple(transaction.effects), count)

    def resolve(self, request_id: str, business: str, term: int) -> EndpointAnswer:
        """Return the outcome of a request id; bar the id in the log if it is not recorded."""
        refusal = self._refuse_term(term)
        if refusal:
            return self._answer_not_run(request_id, refusal)
        recorded = self._recorded_answer(request_id, business)
        if recorded is not None:
            return recorded
        index = self._append(Record(self.promised, "bar", request_id, business))
        return self._build_answer(request_id, Verdict.BARRED, position=index)

    def _commit(
        self, request_id: str, business: str, effects: tuple[Effect, ...], result: Any
    ) -> EndpointAnswer:
        record = Record(self.promised, "write", request_id, business, effects, result)
        index = self._append(record)
        self.runs.append((business, request_id))
        return self._build_answer(request_id, Verdict.RAN, position=index, result=result)

    def _recorded_answer(self, request_id: str, business: str) -> EndpointAnswer | None:
        index = self.ids.get((business, request_id))
        if index is None:
            return None
        record = self.log[index - 1]
        verdict = Verdict.BARRED if record.kind == "bar" else Verdict.RECORDED
        return self._build_answer(request_id, verdict, position=index, result=record.result)

    def begin_refusal(self, term: int) -> str:
        """Return why no transaction may begin in ``term``; empty if it may."""
        return self._refuse_term(term) or self._refuse_quiescing(QUIESCE_TRANSACTIONS)

    def _refuse_term(self, term: int) -> str:
        if not self.leads:
            return f"not the primary; promised term {self.promised}"
        if term != self.promised:
            return f"term {term} asked for, this primary is in term {self.promised}"
        return ""

    def _refuse_quiescing(self, level: int) -> str:
        return "quiescing for a change of primary" if self.quiesce >= level else ""

    def _answer_not_run(self, request_id: str, why: str) -> EndpointAnswer:
        return self._build_answer(request_id, Verdict.NOT_RUN, why=why)

    def _build_answer(
        self,
        request_id: str,
        verdict: Verdict,
        position: int = 0,
        result: Any = None,
        why: str = "",
    ) -> EndpointAnswer:
        return EndpointAnswer(request_id, verdict, self.report(), position, result, why)


def _apply(rows: dict[str, Any], effect: Effect) -> None:
    if effect.do == "append":
        rows.setdefault(effect.key, []).append(effect.value)
    else:
        rows[effect.key] = effect.value


def evaluate(rows: dict[str, Any], statement: Any) -> Any:
    """Return the result of ``{"get": key}``, ``{"count": key}`` or ``{"keys": prefix}``.

    Raises
    ------
    StatementError
        If the statement is none of these.
    """
    match statement:
        case {"get": str(key)}:
            value = rows.get(key)
            return list(value) if isinstance(value, list) else value
        case {"count": str(key)}:
            value = rows.get(key)
            return len(value) if isinstance(value, list) else 0
        case {"keys": str(prefix)}:
            return sorted(key for key in rows if key.startswith(prefix))
        case _:
            raise StatementError('unknown read; use {"get": …}, {"count": …} or {"keys": …}')


def plan_write(rows: dict[str, Any], statement: Any) -> tuple[tuple[Effect, ...], Any]:
    """Return the effects and result of an ``append`` (optionally ``below``) or a ``put``.

    Raises
    ------
    StatementError
        If the statement is neither, or the list already has ``below`` entries.
    """
    match statement:
        case {"append": str(key), "value": value, **rest}:
            entries = rows.get(key) or []
            if not isinstance(entries, list):
                raise StatementError(f"{key!r} holds a single value; use put")
            below = rest.get("below")
            if isinstance(below, int) and len(entries) >= below:
                raise StatementError(f"{key!r} has {len(entries)} entries, {below} are allowed")
            return (Effect("append", key, value),), len(entries) + 1
        case {"put": str(key), "value": value}:
            return (Effect("put", key, value),), value
        case _:
            raise StatementError('unknown write; use {"append": …, "value": …} or {"put": …}')
