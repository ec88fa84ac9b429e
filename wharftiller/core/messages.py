"""Inputs and outputs of the proxy's core, and the messages within them."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from wharftiller.core.configuration import Configuration
from wharftiller.core.positions import LogPosition, Session
from wharftiller.core.reasons import Reason


class Action(enum.Enum):
    """What a caller requests of a box, or a box of an endpoint."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RESOLVE = "resolve"
    RESET = "reset"


class Outcome(enum.Enum):
    """Outcome of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class Request:
    """An authenticated statement of a caller.

    Attributes
    ----------
    request_id : str
        Chosen by the caller, unique within the business.
    repeatable : bool
        Whether running it twice is harmless.
    max_age_ms : int or None
        Maximum age of data that a read accepts; None means the pool's rule.
    latest : bool
        True when the caller requires the latest data.
    deadline_ms : int
        Time from arrival to the answer, at most.
    """

    request_id: str
    pool: str
    business: str
    action: Action
    session: Session
    statement: Any = None
    repeatable: bool = False
    max_age_ms: int | None = None
    latest: bool = False
    deadline_ms: int = 5_000
    transaction: str | None = None


@attrs.frozen
class Answer:
    """The final answer to a caller.

    Attributes
    ----------
    retry_after_ms : int or None
        Time after which to retry, where a retry helps.
    position : LogPosition or None
        Safe position of the data read or written.
    """

    outcome: Outcome
    reason: Reason
    request_id: str
    result: Any = None
    retry_after_ms: int | None = None
    session: Session | None = None
    position: LogPosition | None = None
    transaction: str | None = None
    endpoint: str | None = None
    generation: int = 0
    steps: tuple[Reason, ...] = ()


class Role(enum.Enum):
    """Role that a server reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen
class Report:
    """State that a server reports.

    Attributes
    ----------
    promised : int
        The term below which it refuses everything.
    log_term : int
        Term of its last log record.
    position : int
        Index of its last log record.
    opened : int
        Index of the record that opened ``log_term``.
    quiescing : bool
        Whether it refuses writes ahead of a planned failover.
    primary_silent_ms : int
        Time since its last contact with the primary it follows, in milliseconds.
    """

    endpoint: str
    promised: int
    log_term: int
    position: int
    opened: int = 0
    role: Role = Role.REPLICA
    leaving: bool = False
    quiescing: bool = False
    primary_silent_ms: int = 0
    open_transactions: int = 0

    @property
    def log_position(self) -> LogPosition:
        """The end of the log."""
        return LogPosition(self.log_term, self.position)

    @property
    def settled(self) -> bool:
        """Whether the promised term equals the log term."""
        return self.promised == self.log_term


class Verdict(enum.Enum):
    """Result of a statement as the endpoint reports it."""

    RAN = "ran"
    RECORDED = "recorded"
    BARRED = "barred"
    NOT_RUN = "not_run"
    REJECTED = "rejected"


@attrs.frozen
class EndpointAnswer:
    """An endpoint's answer to one statement.

    Attributes
    ----------
    position : int
        Index of the write's own record, or of the log's end for a read.
    why : str
        For ``NOT_RUN`` and ``REJECTED``, the endpoint's reason.
    report : Report
        The server's state when it answered.
    """

    request_id: str
    verdict: Verdict
    report: Report
    position: int = 0
    result: Any = None
    why: str = ""


# Inputs -----------------------------------------------------------------


@attrs.frozen
class StatementArrived:
    """A caller's statement; ``key`` is unique on this box."""

    key: int
    request: Request


@attrs.frozen
class ConnectionOpened:
    """A connection to an endpoint is ready."""

    connection: int


@attrs.frozen
class ConnectionRefused:
    """An endpoint could not be reached, or is at its connection limit."""

    connection: int
    at_limit: bool


@attrs.frozen
class ConnectionLost:
    """A connection was lost, and with it any outstanding answer."""

    connection: int


@attrs.frozen
class StatementAnswered:
    """An endpoint answered on a connection."""

    connection: int
    answer: EndpointAnswer


class Lane(enum.Enum):
    """Control connection of a report: sent at once, or once a position is reached."""

    NOW = "now"
    COVER = "cover"


@attrs.frozen
class ReportArrived:
    """A server reported; ``sent_at`` is when the request was sent, in seconds."""

    endpoint: str
    lane: Lane
    sent_at: float
    report: Report


@attrs.frozen
class ReportLost:
    """A server did not report in time."""

    endpoint: str
    lane: Lane
    sent_at: float


@attrs.frozen
class ConfigurationArrived:
    """A configuration arrived from the steward or a peer."""

    configuration: Configuration


@attrs.frozen
class BoxesListed:
    """The platform's lagging list of boxes, read from it at ``read_at`` (seconds)."""

    names: tuple[str, ...]
    read_at: float


@attrs.frozen
class PrimaryNoticed:
    """A steward announced the primary of a group, ahead of the next report."""

    group: str
    term: int
    endpoint: str


@attrs.frozen
class StopAsked:
    """The box is stopping: refuse new requests, finish the admitted ones."""


@attrs.frozen
class Tick:
    """Time has passed."""


Input = (
    StatementArrived
    | ConnectionOpened
    | ConnectionRefused
    | ConnectionLost
    | StatementAnswered
    | ReportArrived
    | ReportLost
    | ConfigurationArrived
    | BoxesListed
    | PrimaryNoticed
    | StopAsked
    | Tick
)

# Outputs ----------------------------------------------------------------


@attrs.frozen
class OpenConnection:
    """Open a statement connection."""

    connection: int
    endpoint: str
    address: str


@attrs.frozen
class CloseConnection:
    """Close a statement connection at once."""

    connection: int


@attrs.frozen
class SendStatement:
    """Send one statement on a connection.

    Attributes
    ----------
    term : int
        Term in which a primary may run it; 0 for a read on a replica.
    """

    connection: int
    request_id: str
    business: str
    action: Action
    statement: Any
    term: int
    deadline_ms: int


@attrs.frozen
class SendReport:
    """Request a report from a server.

    Attributes
    ----------
    wait_position : int
        The server may delay the report up to ``wait_ms`` until its log has this index.
    """

    endpoint: str
    address: str
    lane: Lane
    wait_position: int = 0
    wait_ms: int = 0


@attrs.frozen
class AnswerCaller:
    """Send a caller its final answer."""

    key: int
    answer: Answer


Output = OpenConnection | CloseConnection | SendStatement | SendReport | AnswerCaller
