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

MAX_DECISIONS = 4096
SERVICE_TIME_WEIGHT = 0.1
"""Weight of one statement in a server's smoothed times."""

RECENT_STEPS = 8
"""A step that equals one of this many recent ones is not recorded again."""


@attrs.define
class LaneState:
    """One control connection: the outstanding report request, and whether another is due.

    Attributes
    ----------
    sent_at : float or None
        When the outstanding request was sent; None without one.
    due_since : float or None
        Since when another report is due after this one.
    """

    sent_at: float | None = None
    due_since: float | None = None


@attrs.define
class ServerRow:
    """The state of one server.

    Attributes
    ----------
    report : Report or None
        The newest report, requested at ``report_sent_at``.
    report_requested_at : float
        When a report was last requested, answered or not.
    silent_since : float or None
        Since when report requests go unanswered; None while it answers.
    service_s, service_spread_s : float
        Smoothed service time of a statement and its mean deviation, in seconds.
    retry_connect_at : float
        Earliest time of the next connection attempt.
    """

    name: str
    group: str
    data_centre: str
    address: str
    control_address: str
    leaving: bool = False
    report: Report | None = None
    report_sent_at: float = -math.inf
    report_requested_at: float = -math.inf
    silent_since: float | None = None
    service_s: float = 0.005
    service_spread_s: float = 0.0
    retry_connect_at: float = 0.0
    lanes: dict[Lane, LaneState] = attrs.field(factory=lambda: {lane: LaneState() for lane in Lane})
    connections: list[int] = attrs.field(factory=list)

    @property
    def likely_service_s(self) -> float:
        """Time within which most statements are answered, in seconds."""
        return self.service_s + 2 * self.service_spread_s

    def record_service_time(self, took_s: float) -> None:
        """Update the smoothed service time with one statement's, in seconds."""
        error = took_s - self.service_s
        self.service_s += SERVICE_TIME_WEIGHT * error
        self.service_spread_s += SERVICE_TIME_WEIGHT * (abs(error) - self.service_spread_s)

    @property
    def is_quiescing(self) -> bool:
        """Whether it last reported that it refuses writes for a planned failover."""
        return self.report is not None and self.report.quiescing

    @property
    def is_leaving(self) -> bool:
        """Whether the configuration or the server's own report says that it is leaving."""
        return self.leaving or (self.report is not None and self.report.leaving)


@attrs.define
class GroupRow:
    """The state of one group.

    Attributes
    ----------
    spec : GroupSpec
        Last configured state; kept until the last request is answered.
    term : int
        Highest term with a known primary.
    hold_until : float
        Time until which nothing is sent to the primary, after it refused a statement.
    changed_at : float
        When the current primary became known to this box.
    checking : set of int
        Keys of the requests whose answers are being checked.
    """

    spec: GroupSpec
    queues: GroupQueues[int] = attrs.field(factory=GroupQueues)
    term: int = 0
    primary: str | None = None
    hold_until: float = 0.0
    changed_at: float = -math.inf
    fresh_points: FreshPoints = attrs.field(factory=FreshPoints)
    checking: set[int] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.spec.name

    @property
    def servers(self) -> tuple[str, ...]:
        """Names of the group's servers."""
        return tuple(endpoint.name for endpoint in self.spec.endpoints)


class ConnectionState(enum.Enum):
    """State of a statement connection."""

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
        Key of the request whose answer is outstanding on it.
    transaction : str or None
        Name of the transaction that it is pinned to.
    is_resetting : bool
        Whether a reset of its session state is outstanding.
    """

    number: int
    endpoint: str
    state: ConnectionState = ConnectionState.OPENING
    request: int | None = None
    transaction: str | None = None
    is_resetting: bool = False


class Phase(enum.Enum):
    """Phase of a request."""

    QUEUED = "queued"
    SENT = "sent"
    CHECKING = "checking"


@attrs.define
class RequestRow:
    """One request without a final answer.

    Attributes
    ----------
    is_settling : bool
        True once the write may not be sent again and only its outcome is resolved.
    may_have_run : bool
        True once the write was sent and its outcome is unknown.
    needs_primary : bool
        Whether only the primary may serve it.
    allowed_age_s : float or None
        Maximum data age it accepts, in seconds; None for the latest.
    generation : int
        Generation of the configuration in force when it arrived.
    """

    key: int
    request: Request
    group: str
    arrived_at: float
    deadline_at: float
    needs_primary: bool
    phase: Phase = Phase.QUEUED
    connection: int | None = None
    endpoint: str | None = None
    sent_at: float = 0.0
    sent_term: int = 0
    answered_at: float = 0.0
    answer: EndpointAnswer | None = None
    is_settling: bool = False
    may_have_run: bool = False
    replica_wait_until: float = 0.0
    allowed_age_s: float | None = None
    primary_fallback: bool = True
    write_rule: WriteRule = attrs.field(factory=WriteRule)
    generation: int = 0
    tried_replicas: set[str] = attrs.field(factory=set)
    steps: list[Reason] = attrs.field(factory=list)

    @property
    def action(self) -> Action:
        """The action to send to the endpoint now."""
        return Action.RESOLVE if self.is_settling else self.request.action

    @property
    def is_booking(self) -> bool:
        """Whether it is a booking: any statement but a read."""
        return self.request.action is not Action.READ

    def add_step(self, kind: ReasonKind, detail: str, endpoint: str | None = None) -> Reason:
        """Add a step to the decision, unless it is a recent one, and return it."""
        reason = Reason(kind, detail, endpoint)
        if reason not in self.steps[-RECENT_STEPS:]:
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
    max_idle_s: float
    max_length_s: float


@attrs.define
class Tables:
    """All rows of one proxy.

    Attributes
    ----------
    boxes_seen : dict of str to float
        Names of the boxes in the platform's list, with the time each was last listed.
    listed_since, list_read_at : float
        Since when this box is listed without interruption, and when the list was last
        read.
    list_lag_s : float
        Maximum lag of the platform's list, in seconds.
    outputs : list of Output
        Outputs of the current step.
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
    list_read_at: float = -math.inf
    list_lag_s: float = 30.0
    retry_tokens: float = 10.0
    is_stopping: bool = False
    decisions: collections.deque[Decision] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DECISIONS)
    )
    counters: collections.Counter[str] = attrs.field(factory=collections.Counter)
    outputs: list[Output] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))

    def next_number(self) -> int:
        """Return a number that is unique in this process."""
        return next(self._numbers)

    def emit(self, output: Output) -> None:
        """Add an output of the current step."""
        self.outputs.append(output)

    def count(self, name: str, by: int = 1) -> None:
        """Increment a counter that the daemon publishes."""
        self.counters[name] += by

    def take_outputs(self) -> list[Output]:
        """Return and clear the outputs of the current step."""
        taken, self.outputs = self.outputs, []
        return taken

    def primary_of(self, group: GroupRow) -> ServerRow | None:
        """Return the known primary of ``group``, or None."""
        return self.servers.get(group.primary) if group.primary else None


def safe_position(term: int, index: int, opened: int) -> LogPosition:
    """Return the position whose report proves that ``index`` is replicated in ``term``.

    Records that a primary inherited are safe only once its opening record is
    replicated, so the position is never below the opening record's index.
    """
    return LogPosition(term, max(index, opened))
