"""Histories of three servers: writes, late replication, late elections, late reports.

A message's content is fixed when it is sent; it is delivered at any later step, or never.
The acknowledgement rule under test is a parameter. Every acknowledged write must be in the
log of every later primary.
"""

from __future__ import annotations

import enum
import json
import random
from collections.abc import Callable
from pathlib import Path

import attrs

from standins.database import Database, Record
from wharftiller.core.messages import Report
from wharftiller.core.positions import LogPosition

SERVERS = 3
MAJORITY = 2

Rule = Callable[[Report, LogPosition], bool]


class Op(enum.IntEnum):
    """One step of a history."""

    WRITE = 0
    PULL = 1
    DELIVER_PULL = 2
    REPORT = 3
    DELIVER_REPORT = 4
    ELECT = 5
    FENCE = 6
    CHOOSE = 7
    DELIVER_PROMOTE = 8


WEIGHTS = (10, 12, 14, 8, 8, 3, 12, 6, 6)
"""Weights of the operations; elections and late reports are frequent, as losses need both."""


@attrs.frozen
class Step:
    """An operation and a number that picks the servers or messages it applies to."""

    op: Op
    pick: int


@attrs.define
class _Election:
    """One steward's election; its fences may still arrive after it has chosen a primary."""

    term: int
    replies: dict[int, Report] = attrs.field(factory=dict)
    is_over: bool = False


@attrs.define
class _Pull:
    follower: int
    term: int
    common: int
    records: list[Record]


@attrs.frozen
class _Write:
    server: int
    target: LogPosition
    request_id: str


@attrs.define
class History:
    """Three servers, the messages in flight and the acknowledged and lost writes."""

    rule: Rule
    majority: int = MAJORITY
    servers: list[Database] = attrs.field(
        factory=lambda: [Database(str(number)) for number in range(SERVERS)]
    )
    pulls: list[_Pull] = attrs.field(factory=list)
    reports: list[Report] = attrs.field(factory=list)
    elections: list[_Election] = attrs.field(factory=list)
    promotions: list[tuple[int, int]] = attrs.field(factory=list)
    pending: list[_Write] = attrs.field(factory=list)
    acknowledged: list[_Write] = attrs.field(factory=list)
    lost: list[_Write] = attrs.field(factory=list)
    term: int = 0
    _written: int = 0

    def __attrs_post_init__(self) -> None:
        for database in self.servers:
            database.fence(1)
        self.term = 1
        self.servers[0].promote(1)

    def run(self, steps: list[Step]) -> History:
        """Apply the steps until a write is lost; a step that applies to nothing is skipped."""
        for step in steps:
            self._apply(step.op, step.pick)
            if self.lost:
                break
        return self

    def _apply(self, op: Op, pick: int) -> None:
        match op:
            case Op.WRITE:
                self._write(pick % SERVERS)
            case Op.PULL:
                self._pull(pick % SERVERS, pick // SERVERS % SERVERS)
            case Op.DELIVER_PULL if self.pulls:
                pull = self.pulls.pop(pick % len(self.pulls))
                self.servers[pull.follower].follow(pull.term, pull.common, pull.records)
            case Op.REPORT:
                self.reports.append(self.servers[pick % SERVERS].report())
            case Op.DELIVER_REPORT if self.reports:
                self._acknowledge(self.reports.pop(pick % len(self.reports)))
            case Op.ELECT:
                self.term += 1
                self.elections.append(_Election(self.term))
            case Op.FENCE if self.elections:
                self._fence(self.elections[pick % len(self.elections)], pick // 7 % SERVERS)
            case Op.CHOOSE if self.elections:
                self._choose(pick % len(self.elections))
            case Op.DELIVER_PROMOTE if self.promotions:
                self._promote(*self.promotions.pop(pick % len(self.promotions)))

    def _write(self, number: int) -> None:
        database = self.servers[number]
        self._written += 1
        name = f"w{self._written}"
        answer = database.write(name, "b", {"put": "k", "value": 1}, database.leading_term)
        if answer.position:
            index = max(answer.position, database.opened)
            target = LogPosition(answer.report.log_term, index)
            self.pending.append(_Write(number, target, name))

    def _pull(self, follower: int, leader: int) -> None:
        source = self.servers[leader]
        if follower == leader or not source.leading_term or source.log_term != source.leading_term:
            return
        ends = dict(self.servers[follower].term_ends)
        common, records = source.records_after(ends, 2)
        self.pulls.append(_Pull(follower, source.leading_term, common, records))

    def _acknowledge(self, report: Report) -> None:
        for write in list(self.pending):
            if str(write.server) != report.endpoint and self.rule(report, write.target):
                self.pending.remove(write)
                self.acknowledged.append(write)

    def _fence(self, election: _Election, number: int) -> None:
        if self.servers[number].fence(election.term):
            election.replies.setdefault(number, self.servers[number].report())

    def _choose(self, pick: int) -> None:
        election = self.elections[pick]
        if election.is_over or len(election.replies) < self.majority:
            return
        election.is_over = True
        chosen = max(election.replies, key=lambda n: (election.replies[n].log_position, n))
        self.promotions.append((chosen, election.term))

    def _promote(self, number: int, term: int) -> None:
        database = self.servers[number]
        if not database.promote(term):
            return
        kept = {record.request_id for record in database.log}
        self.lost = [
            write
            for write in self.acknowledged
            if write.target.term < term and write.request_id not in kept
        ]


def random_steps(source: random.Random, length: int) -> list[Step]:
    """Return random steps, weighted by `WEIGHTS`."""
    ops = source.choices(list(Op), WEIGHTS, k=length)
    return [Step(op, source.randrange(1_000)) for op in ops]


def shortened(steps: list[Step], loses: Callable[[list[Step]], bool]) -> list[Step]:
    """Return ``steps`` without those that the loss does not need, dropping one at a time."""
    is_shorter = True
    while is_shorter:
        is_shorter = False
        for number in range(len(steps)):
            fewer = steps[:number] + steps[number + 1 :]
            if loses(fewer):
                steps, is_shorter = fewer, True
                break
    return steps


def write_steps(path: Path, steps: list[Step]) -> None:
    """Write a history as a recorded trace, one step per line."""
    lines = [json.dumps([step.op.name, step.pick]) for step in steps]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def read_steps(path: Path) -> list[Step]:
    """Return a recorded history."""
    rows = [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]
    return [Step(Op[name], pick) for name, pick in rows]
