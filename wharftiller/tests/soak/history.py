"""The history of a run as callers and endpoints saw it, and the guarantees checked on it.

Each key is written by one caller with increasing numbers, so the value of a read
shows which writes it includes.
"""

from __future__ import annotations

import attrs
import trio

from standins.line_endpoints import LineGroup, LineServer
from wharftiller.core.sessions.statements import RefusalKind
from wharftiller.platform.wire import REFUSAL_CODES

NOT_COMMITTED_CODES = frozenset(
    REFUSAL_CODES[kind]
    for kind in (
        RefusalKind.NO_CAPACITY,
        RefusalKind.ROLLED_BACK,
        RefusalKind.REPLICA_BEHIND,
        RefusalKind.NOT_PRIMARY,
        RefusalKind.WRONG_ENDPOINT,
        RefusalKind.TOO_MANY_CONNECTIONS,
    )
)
"""Refusal codes after which no effect of a statement may be committed."""

MAX_AGE_S = 1.5
"""Maximum staleness of bounded reads and of reads of own writes, in seconds."""


@attrs.frozen
class Commit:
    """A write that a server committed; ``at`` is in seconds."""

    request: str
    key: str
    number: int
    group: str
    server: str
    term: int
    at: float


@attrs.frozen
class WriteOutcome:
    """How a write ended for its caller.

    Attributes
    ----------
    code : str
        ``done``, the code of the refusal, or ``none`` for a broken connection.
    """

    request: str
    key: str
    number: int
    code: str
    at: float


@attrs.frozen
class ReadResult:
    """Result of a read.

    Attributes
    ----------
    own_number : int
        Newest number of the key that was acknowledged to the session before the read.
    """

    request: str
    key: str
    kind: str
    number: int
    started_at: float
    own_number: int


@attrs.define
class History:
    """Everything recorded in one run.

    Attributes
    ----------
    rolled_back : set of str
        Ids of the writes that a promotion discarded.
    promoted_at : dict of (str, int) to float
        Time at which a primary was promoted, by group and term, in seconds.
    findings : list of str
        Violations found while the run lasted.
    """

    commits: list[Commit] = attrs.field(factory=list)
    writes: list[WriteOutcome] = attrs.field(factory=list)
    reads: list[ReadResult] = attrs.field(factory=list)
    rolled_back: set[str] = attrs.field(factory=set)
    promoted_at: dict[tuple[str, int], float] = attrs.field(factory=dict)
    findings: list[str] = attrs.field(factory=list)

    def violations(self) -> list[str]:
        """Return a description of every violated guarantee."""
        return [
            *self.findings,
            *self._lost_or_repeated_writes(),
            *self._refused_but_committed(),
            *self._acknowledged_by_old_primary(),
            *self._stale_reads(),
        ]

    def _lost_or_repeated_writes(self) -> list[str]:
        commit_counts: dict[str, int] = {}
        for commit in self.commits:
            commit_counts[commit.request] = commit_counts.get(commit.request, 0) + 1
        violations = [
            f"{request} committed {n} times" for request, n in commit_counts.items() if n > 1
        ]
        violations += [
            f"{write.request} acknowledged but committed nowhere"
            for write in self.writes
            if write.code == "done" and write.request not in commit_counts
        ]
        return violations

    def _refused_but_committed(self) -> list[str]:
        committed_ids = {commit.request for commit in self.commits}
        return [
            f"{write.request} refused with {write.code} but committed"
            for write in self.writes
            if write.code in NOT_COMMITTED_CODES and write.request in committed_ids
        ]

    def _acknowledged_by_old_primary(self) -> list[str]:
        done = {write.request for write in self.writes if write.code == "done"}
        return [
            f"{commit.request} acknowledged, committed in term {commit.term} after a newer one led"
            for commit in self.commits
            if commit.request in done
            and any(
                group == commit.group and term > commit.term and at < commit.at
                for (group, term), at in self.promoted_at.items()
            )
        ]

    def _stale_reads(self) -> list[str]:
        acknowledged: dict[str, list[tuple[float, int]]] = {}
        for write in self.writes:
            if write.code == "done" and write.request not in self.rolled_back:
                acknowledged.setdefault(write.key, []).append((write.at, write.number))
        violations = []
        for read in self.reads:
            acknowledged_before = read.started_at - (0.0 if read.kind == "primary" else MAX_AGE_S)
            acks = acknowledged.get(read.key, ())
            min_number = max((number for at, number in acks if at < acknowledged_before), default=0)
            if read.kind == "read_own_writes":
                own_numbers = [number for _, number in acks if number <= read.own_number]
                min_number = max(min_number, *own_numbers, 0)
            if read.number < min_number:
                violations.append(
                    f"{read.request} ({read.kind}) saw {read.number}, not {min_number}"
                )
        return violations


class RecordingGroup(LineGroup):
    """A group that records the commits and promotions of its servers."""

    history: History

    async def commit(
        self, server: LineServer, writes: tuple[tuple[str, str], ...], request_id: str
    ) -> None:
        """Record a commit, then run it."""
        for key, data in writes:
            now = trio.current_time()
            number = int(data)
            self.history.commits.append(
                Commit(request_id, key, number, self.name, server.name, server.term, now)
            )
        await super().commit(server, writes, request_id)

    async def promote(self, name: str, holder: str, fence: int) -> bool:
        """Run a promotion, then record its time and the writes that it discarded."""
        is_promoted = await super().promote(name, holder, fence)
        leader = next(each for each in self.servers if each.name == name)
        if (
            is_promoted
            and leader.leads
            and (self.name, leader.term) not in self.history.promoted_at
        ):
            self.history.promoted_at[self.name, leader.term] = trio.current_time()
            kept_ids = {record.request_id for record in leader.log}
            for commit in self.history.commits:
                is_older = commit.group == self.name and commit.term < leader.term
                if is_older and commit.request not in kept_ids:
                    self.history.rolled_back.add(commit.request)
        fences = [each for _, _, each in self.promotions]
        if fences != sorted(fences):
            self.history.findings.append(f"fences decreased: {fences}")
        return is_promoted
