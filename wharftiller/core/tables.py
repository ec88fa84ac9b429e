"""The proxy's tables: one row per server, group, connection, request and transaction."""

from __future__ import annotations

import collections
import enum
import itertools
import math
import random

import attrs

from wharftiller.core.configuration import Configuration, GroupSpec, WriteRule
from wharftiller.core.freshness import FreshPoints
from wharftiller.core.messages import (
    Action,
    EndpointAnswer,
    Lane,
    Output,
    Report,
    Request,
)
from wharftiller.core.positions import LogPosition
from wharftiller.core.queueing import GroupQueues
from wharftiller.core.reasons import Decision, Reason, ReasonKind

DECISIONS_KEPT = 4096
SERVICE_WEIGHT = 0.1
"""Weight of one statement in a server's smoothed times."""

STEPS_COMPARED = 8
"""A step is not noted again while it stands among so many of the last ones."""


@attrs.define
class LaneState:
    """One control connection: the report asked for on it, and whether another is due."""

    sent_at: float | None = None
    wanted_since: float | None = None


@attrs.define
class ServerRow:
    """What this box knows of one server.

    Attributes
    ----------
    report : Report or None
        The newest report, asked for at ``report_sent_at``.
    asked_at : float
        When it was last asked for a report, answered or not.
    silent_since : float or None
        Since when it has not answered a report; None while it answers.
    service_s, service_spread_s : float
        Smoothed time of one statement and its mean deviation, in seconds.
    retry_connect_at : float
        When a connection may be tried again.
    """

    name: str
    group: str
    data_centre: str
    address: str
    control_address: str
    leaving: bool = False
    report: Report | None = None
    report_sent_at: float = -math.inf
    asked_at: float = -math.inf
    silent_since: float | None = None
    service_s: float = 0.005
    service_spread_s: float = 0.0
    retry_connect_at: float = 0.0
    lanes: dict[Lane, LaneState] = attrs.field(factory=lambda: {lane: LaneState() for lane in Lane})
    connections: list[int] = attrs.field(factory=list)

    @property
    def likely_service_s(self) -> float:
        """A time within which most statements are answered, in seconds."""
        return self.service_s + 2 * self.service_spread_s

    def learn_service(self, took_s: float) -> None:
        """Take in the time of one statement, in seconds."""
        error = took_s - self.service_s
        self.service_s += SERVICE_WEIGHT * error
        self.service_spread_s += SERVICE_WEIGHT * (abs(error) - self.service_spread_s)

    @property
    def is_quiescing(self) -> bool:
        """Whether it last said that it refuses writes for a change of primary."""
        return self.report is not None and self.report.quiescing

    @property
    def is_leaving(self) -> bool:
        """Whether an operator or the server itself says it is leaving."""
        return self.leaving or (self.report is not None and self.report.leaving)


@attrs.define
class GroupRow:
    """What this box knows of one group.

    Attributes
    ----------
    spec : GroupSpec
        As last configured; kept until its last request is answered.
    term : int
        Highest term in which a server is known to lead.
    hold_until : float
        Writes wait until then: the primary just refused one.
    changed_at : float
        When the present primary became known here.
    checking : set of int
        Keys of the requests whose answer waits for a report.
    """

    spec: GroupSpec
    queue: GroupQueues[int] = attrs.field(factory=GroupQueues)
    term: int = 0
    primary: str | None = None
    hold_until: float = 0.0
    changed_at: float = -math.inf
    fresh: FreshPoints = attrs.field(factory=FreshPoints)
    checking: set[int] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """The group's name."""
        return self.spec.name

    @property
    def servers(self) -> tuple[str, ...]:
        """The names of its servers."""
        return tuple(endpoint.name for endpoint in self.spec.endpoints)


class ConnectionState(enum.Enum):
    """Life of a statement connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


@attrs.define
class ConnectionRow:
    """One statement connection of this box.

    Attributes
    ----------
    request : int or None
        Key of the request whose answer is owed on it.
    transaction : str or None
        The transaction it is pinned to.
    """

    number: int
    endpoint: str
    state: ConnectionState = ConnectionState.OPENING
    request: int | None = None
    transaction: str | None = None
    resetting: bool = False


class Phase(enum.Enum):
    """Life of a request."""

    QUEUED = "queued"
    SENT = "sent"
    CHECKING = "checking"


@attrs.define
class RequestRow:
    """One request that has no answer yet.

    Attributes
    ----------
    settling : bool
        True once the write itself may not be sent again and only its fate is asked for.
    uncertain : bool
        True once a copy of a write was sent whose fate was not learned.
    to_primary : bool
        Whether only the primary may serve it.
    allowed_age_s : float or None
        Age of data it accepts, in seconds; None for the latest.
    generation : int
        Configuration in force when it arrived, used until its end.
    """

    key: int
    request: Request
    group: str
    arrived_at: float
    deadline_at: float
    to_primary: bool
    phase: Phase = Phase.QUEUED
    connection: int | None = None
    endpoint: str | None = None
    sent_at: float = 0.0
    sent_term: int = 0
    answered_at: float = 0.0
    answer: EndpointAnswer | None = None
    settling: bool = False
    uncertain: bool = False
    replica_until: float = 0.0
    allowed_age_s: float | None = None
    primary_fallback: bool = True
    write_rule: WriteRule = attrs.field(factory=WriteRule)
    generation: int = 0
    tried: set[str] = attrs.field(factory=set)
    steps: list[Reason] = attrs.field(factory=list)

    @property
    def action(self) -> Action:
        """What is asked of the endpoint now."""
        return Action.RESOLVE if self.settling else self.request.action

    @property
    def is_booking(self) -> bool:
        """Whether it is in the class that goes first."""
        return self.request.action is not Action.READ

    def note(self, kind: ReasonKind, detail: str, endpoint: str | None = None) -> Reason:
        """Add a step to the decision and return it."""
        reason = Reason(kind, detail, endpoint)
        if reason not in self.steps[-STEPS_COMPARED:]:
            self.steps.append(reason)
        return reason


@attrs.define
class TransactionRow:
    """One open transaction, pinned to a connection of this box."""

    name: str
    pool: str
    business: str
    group: str
    connection: int
    started_at: float
    used_at: float
    idle_s: float
    length_s: float


@attrs.define
class Tables:
    """All rows of one proxy.

    Attributes
    ----------
    boxes_seen : dict of str to float
        Box names of the platform's list, with the time each was last listed.
    listed_since, listed_at : float
        First time of the present spell in the list, and time of the last read.
    list_lag_s : float
        The platform's list is never further behind than this, in seconds.
    outputs : list of Output
        What the running step asks to be done.
    """

    box: str
    random: random.Random
    configuration: Configuration = attrs.field(factory=Configuration)
    servers: dict[str, ServerRow] = attrs.field(factory=dict)
    groups: dict[str, GroupRow] = attrs.field(factory=dict)
    connections: dict[int, ConnectionRow] = attrs.field(factory=dict)
    requests: dict[int, RequestRow] = attrs.field(factory=dict)
    transactions: dict[str, TransactionRow] = attrs.field(factory=dict)
    deadlines: list[tuple[float, int]] = attrs.field(factory=list)
    boxes_seen: dict[str, float] = attrs.field(factory=dict)
    listed_since: float | None = None
    listed_at: float = -math.inf
    list_lag_s: float = 30.0
    retry_tokens: float = 10.0
    stopping: bool = False
    decisions: collections.deque[Decision] = attrs.field(
        factory=lambda: collections.deque(maxlen=DECISIONS_KEPT)
    )
    counters: collections.Counter[str] = attrs.field(factory=collections.Counter)
    outputs: list[Output] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))

    def next_number(self) -> int:
        """Return a number never used before on this box."""
        return next(self._numbers)

    def emit(self, output: Output) -> None:
        """Ask for something to be done."""
        self.outputs.append(output)

    def count(self, name: str, by: int = 1) -> None:
        """Raise a counter that the shell publishes."""
        self.counters[name] += by

    def take_outputs(self) -> list[Output]:
        """Return what was asked for and start afresh."""
        taken, self.outputs = self.outputs, []
        return taken

    def primary_of(self, group: GroupRow) -> ServerRow | None:
        """Return the server known to lead ``group``."""
        return self.servers.get(group.primary) if group.primary else None


def safe_position(term: int, index: int, opened: int) -> LogPosition:
    """Return the position whose report proves that ``index`` is kept in ``term``.

    What a primary inherited is safe only once its opening record is, so the
    opening record's index is the least that must be reported.
    """
    return LogPosition(term, max(index, opened))
