"""Statements of sessions, and the replies to them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from wharftiller.core.positions import LogPosition

if TYPE_CHECKING:
    from wharftiller.core.sessions.retry_after import Cause


class Access(enum.Enum):
    """Whether a statement changes data."""

    READ = "read"
    WRITE = "write"


@attrs.frozen
class Begin:
    """Open a transaction."""

    read_only: bool


@attrs.frozen
class Commit:
    """End the transaction and keep its writes."""


@attrs.frozen
class Rollback:
    """End the transaction and discard its writes."""


@attrs.frozen
class Direct:
    """A read or write whose text is complete, without a prepared name."""

    access: Access


@attrs.frozen
class Execute:
    """Run a prepared statement.

    Attributes
    ----------
    arguments : str
        Everything after the name, as the caller wrote it.
    """

    name: str
    arguments: str


@attrs.frozen
class SetValue:
    """Set a session value."""

    name: str
    value: str


@attrs.frozen
class Prepare:
    """Prepare a statement under a name of this session."""

    name: str
    prepared: PreparedStatement


@attrs.frozen
class Deallocate:
    """Drop a prepared name."""

    name: str


@attrs.frozen
class PreparedStatement:
    """A statement prepared under a name."""

    access: Access
    shape: str


@attrs.frozen
class Malformed:
    """Input of the caller that is not a valid statement.

    Attributes
    ----------
    why : str
        What is wrong with it and what is expected.
    """

    why: str


Body = Malformed | Begin | Commit | Rollback | Direct | Execute | SetValue | Prepare | Deallocate


@attrs.frozen
class Statement:
    """One statement as the caller sent it.

    Attributes
    ----------
    text : str
        Passed on unchanged, except for a prepared name.
    """

    request_id: str
    text: str
    body: Body


class SessionState(enum.Enum):
    """State of a session between statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"


class RefusalKind(enum.Enum):
    """Why a statement has no result."""

    NO_CAPACITY = "no_capacity"
    ROLLED_BACK = "rolled_back"
    REPLICA_BEHIND = "replica_behind"
    NOT_PRIMARY = "not_primary"
    WRONG_ENDPOINT = "wrong_endpoint"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    STATEMENT_FAILED = "statement_failed"
    UNKNOWN_PREPARED = "unknown_prepared"
    TIMED_OUT = "timed_out"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    OTHER = "other"


NOT_RUN = frozenset(
    {
        RefusalKind.NO_CAPACITY,
        RefusalKind.REPLICA_BEHIND,
        RefusalKind.NOT_PRIMARY,
        RefusalKind.WRONG_ENDPOINT,
        RefusalKind.TOO_MANY_CONNECTIONS,
        RefusalKind.UNKNOWN_PREPARED,
    }
)
"""Kinds of refusal by which an endpoint states that it has not run the statement."""


@attrs.frozen
class Refusal:
    """Refusal of a statement, which has no result.

    Attributes
    ----------
    detail : str
        One sentence for the caller, with the retry-after time where a retry helps.
    cause : Cause or None
        Why it did not run, where this or another box refused it.
    """

    kind: RefusalKind
    detail: str = ""
    cause: Cause | None = None

    @property
    def has_not_run(self) -> bool:
        """Whether the endpoint that refused did not run the statement."""
        return self.kind in NOT_RUN


@attrs.frozen
class Reply:
    """The reply to one statement.

    Attributes
    ----------
    rows : tuple of bytes
        As the endpoint sent them.
    proof : str or None
        The endpoint's authentication code of a success; None if this box replied itself.
    position : LogPosition or None
        End of the endpoint's log at the reply.
    endpoint : str or None
        Name of the endpoint that replied; None if this box replied itself.
    """

    state: SessionState
    rows: tuple[bytes, ...] = ()
    proof: str | None = None
    refusal: Refusal | None = None
    position: LogPosition | None = None
    endpoint: str | None = None

    @property
    def outcome(self) -> str:
        """How the statement ended, in one word: ``done`` or the kind of refusal."""
        return "done" if self.refusal is None else self.refusal.kind.value


@attrs.frozen
class ResetSession:
    """Drop all values and prepared names of an endpoint's connection."""


@attrs.frozen
class StatusQuery:
    """Query an endpoint's role, term and log position."""


@attrs.frozen
class Demote:
    """Demote a primary of a term below ``term`` to a replica."""

    term: int


EndpointBody = Body | ResetSession | StatusQuery | Demote


@attrs.frozen
class EndpointQuery:
    """One request to an endpoint.

    Attributes
    ----------
    body : EndpointBody
    statement : Statement or None
        The caller's statement, if the request carries one; its id and text are sent along.
    after : LogPosition or None
        Position that the endpoint's log must hold; the endpoint refuses otherwise.
    """

    body: EndpointBody
    statement: Statement | None = None
    after: LogPosition | None = None


@attrs.frozen
class EndpointStatus:
    """Status that an endpoint reports.

    Attributes
    ----------
    received : LogPosition
        End of the log that it has received, applied or not.
    connections : int
        Open connections from all boxes.
    """

    leads: bool
    term: int
    received: LogPosition
    connections: int


def refused(kind: RefusalKind, detail: str, state: SessionState) -> Reply:
    """Return the reply of a statement that this box refuses."""
    return Reply(state, refusal=Refusal(kind, detail))
