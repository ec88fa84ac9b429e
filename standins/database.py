"""One server of a database group as a state machine, without I/O.

What it assumes of a real server is listed in docs/operators/endpoints.md.
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
    """One change of a business's rows: ``append`` to a list, or ``put`` a value."""

    do: str
    key: str
    value: Any


@attrs.frozen
class Record:
    """One record of the log.

    Attributes
    ----------
    kind : str
        ``write``, ``open`` (a term's first record) or ``bar`` (an id that may not run).
    """

    term: int
    kind: str
    request_id: str = ""
    business: str = ""
    effects: tuple[Effect, ...] = ()
    result: Any = None


@attrs.define
class OpenTransaction:
    """Effects of a transaction that has not been committed."""

    business: str
    term: int
    effects: list[Effect] = attrs.field(factory=list)


class StatementError(Exception):
    """A statement that the database rejects; it has no effect."""


@attrs.define
class Database:
    """A server's log, terms and rows.

    Attributes
    ----------
    promised : int
        Everything below this term is refused.
    promised_to : str
        The attempt that this term was promised to; empty where it was learned by following.
    leads_in : int
        The term in which it leads; 0 when it does not.
    term_ends : dict of int to int
        Index of the last record, per term of the log.
    opened : int
        Index of the record that opened the log's term.
    runs : list of (business, request id)
        Every write that ran here, for tests to count.
    """

    name: str
    promised: int = 0
    promised_to: str = ""
    leads_in: int = 0
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
        """Whether it leads and has promised no later term."""
        return self.leads_in > 0 and self.leads_in == self.promised

    def report(self, primary_silent_ms: int = 0) -> Report:
        """Return what the server says of itself."""
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

    # Orders of a steward ------------------------------------------------

    def fence(self, term: int, attempt: str = "") -> bool:
        """Promise ``term`` to one attempt; False if beyond it, or promised to another."""
        if term < self.promised or (term == self.promised and attempt != self.promised_to):
            return False
        self.promised = term
        self.promised_to = attempt
        return True

    def promote(self, term: int, attempt: str = "") -> bool:
        """Lead in ``term`` if it was promised to this attempt; opens the term's log once."""
        if term != self.promised or attempt != self.promised_to:
            return False
        if self.leads_in != term:
            if self.log_term >= term:
                return False
            self.leads_in = term
            self.quiesce = QUIESCE_NOTHING
            self._append(Record(term, "open"))
        return True

    # Replication --------------------------------------------------------

    def records_after(self, ends: dict[int, int], most: int) -> tuple[int, list[Record]]:
        """Return the records a follower lacks, and the length of the common log.

        Parameters
        ----------
        ends : dict of int to int
            Index of the follower's last record, per term.
        most : int
            Records returned at most.
        """
        common = 0
        for term, end in ends.items():
            own = self.term_ends.get(term)
            if own is not None:
                common = max(common, min(own, end))
        return common, self.log[common : common + most]

    def follow(self, term: int, common: int, records: list[Record]) -> bool:
        """Take in records of the primary of ``term``, dropping what it does not have.

        Only a record of another term at the same place shortens the log: an
        answer that comes late must not take back what was reported since.
        """
        if term < self.promised or common > len(self.log):
            return False
        if term > self.promised:
            self.promised = term
            self.promised_to = ""
        if self.leads_in != term:
            self.leads_in = 0
            self.quiesce = QUIESCE_NOTHING
        for index, record in enumerate(records, start=common):
            if index < len(self.log):
                if self.log[index].term == record.term:
                    continue
                self._truncate(index)
            self._append(record)
        return True

    def _truncate(self, length: int) -> None:
        kept = self.log[:length]
        self.log = []
        self.rows = {}
        self.ids = {}
        self.term_ends = {}
        self.opened = 0
        for record in kept:
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
        """Run a read; with a term, only as that term's primary."""
        refusal = self._term_refusal(term) if term else ""
        if refusal:
            return self._not_run(request_id, refusal)
        try:
            result = evaluate(self.rows.get(business, {}), statement)
        except StatementError as error:
            return self._answer(request_id, Verdict.REJECTED, why=str(error))
        return self._answer(request_id, Verdict.RAN, position=len(self.log), result=result)

    def write(self, request_id: str, business: str, statement: Any, term: int) -> EndpointAnswer:
        """Run a write once: a recorded id returns its outcome, a barred one is refused."""
        refusal = self._term_refusal(term) or self._quiesce_refusal(QUIESCE_ALL)
        if refusal:
            return self._not_run(request_id, refusal)
        recorded = self._recorded(request_id, business)
        if recorded is not None:
            return recorded
        try:
            effects, result = plan_write(self.rows.get(business, {}), statement)
        except StatementError as error:
            return self._answer(request_id, Verdict.REJECTED, why=str(error))
        return self._commit(request_id, business, effects, result)

    def write_in_transaction(
        self, request_id: str, transaction: OpenTransaction, statement: Any, term: int
    ) -> EndpointAnswer:
        """Add a write's effects to an open transaction."""
        refusal = self._term_refusal(term)
        if refusal:
            return self._not_run(request_id, refusal)
        rows: dict[str, Any] = dict(self.rows.get(transaction.business, {}))
        for effect in transaction.effects:
            if isinstance(rows.get(effect.key), list):
                rows[effect.key] = list(rows[effect.key])
            _apply(rows, effect)
        try:
            effects, result = plan_write(rows, statement)
        except StatementError as error:
            return self._answer(request_id, Verdict.REJECTED, why=str(error))
        transaction.effects.extend(effects)
        return self._answer(request_id, Verdict.RAN, position=len(self.log), result=result)

    def commit(self, request_id: str, transaction: OpenTransaction, term: int) -> EndpointAnswer:
        """Commit a transaction's effects as one record."""
        refusal = self._term_refusal(term)
        if not refusal and transaction.term != self.promised:
            refusal = "the transaction began in an earlier term"
        if refusal:
            return self._not_run(request_id, refusal)
        recorded = self._recorded(request_id, transaction.business)
        if recorded is not None:
            return recorded
        count = len(transaction.effects)
        return self._commit(request_id, transaction.business, tuple(transaction.effects), count)

    def resolve(self, request_id: str, business: str, term: int) -> EndpointAnswer:
        """Say what became of an id; bar it in the log unless it is recorded."""
        refusal = self._term_refusal(term)
        if refusal:
            return self._not_run(request_id, refusal)
        recorded = self._recorded(request_id, business)
        if recorded is not None:
            return recorded
        index = self._append(Record(self.promised, "bar", request_id, business))
        return self._answer(request_id, Verdict.BARRED, position=index)

    def _commit(
        self, request_id: str, business: str, effects: tuple[Effect, ...], result: Any
    ) -> EndpointAnswer:
        record = Record(self.promised, "write", request_id, business, effects, result)
        index = self._append(record)
        self.runs.append((business, request_id))
        return self._answer(request_id, Verdict.RAN, position=index, result=result)

    def _recorded(self, request_id: str, business: str) -> EndpointAnswer | None:
        index = self.ids.get((business, request_id))
        if index is None:
            return None
        record = self.log[index - 1]
        verdict = Verdict.BARRED if record.kind == "bar" else Verdict.RECORDED
        return self._answer(request_id, verdict, position=index, result=record.result)

    def begin_refusal(self, term: int) -> str:
        """Return why no transaction may begin in ``term``; empty if one may."""
        return self._term_refusal(term) or self._quiesce_refusal(QUIESCE_TRANSACTIONS)

    def _term_refusal(self, term: int) -> str:
        if not self.leads:
            return f"not the primary; promised term {self.promised}"
        if term != self.promised:
            return f"term {term} asked for, this primary is in term {self.promised}"
        return ""

    def _quiesce_refusal(self, level: int) -> str:
        return "quiescing for a change of primary" if self.quiesce >= level else ""

    def _not_run(self, request_id: str, why: str) -> EndpointAnswer:
        return self._answer(request_id, Verdict.NOT_RUN, why=why)

    def _answer(
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
    """Return the effects and result of an ``append`` (with ``below``) or a ``put``.

    Raises
    ------
    StatementError
        If the statement is neither, or the list is as long as ``below`` allows.
    """
    match statement:
        case {"append": str(key), "value": value, **rest}:
            existing = rows.get(key) or []
            if not isinstance(existing, list):
                raise StatementError(f"{key!r} holds a single value; use put")
            below = rest.get("below")
            if isinstance(below, int) and len(existing) >= below:
                raise StatementError(f"{key!r} has {len(existing)} entries, {below} are allowed")
            return (Effect("append", key, value),), len(existing) + 1
        case {"put": str(key), "value": value}:
            return (Effect("put", key, value),), value
        case _:
            raise StatementError('unknown write; use {"append": …, "value": …} or {"put": …}')
