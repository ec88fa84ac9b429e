"""What a session asks for, statement by statement, and what an endpoint replies."""

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
    """End the transaction and keep what it wrote."""


@attrs.frozen
class Rollback:
    """End the transaction and keep nothing of it."""


@attrs.frozen
class Direct:
    """A read or write given whole in its text."""

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
    """Give a statement's shape a name for this session."""

    name: str
    prepared: PreparedStatement


@attrs.frozen
class Deallocate:
    """Forget a prepared name."""

    name: str


@attrs.frozen
class PreparedStatement:
    """What a prepared name stands for."""

    access: Access
    shape: str


@attrs.frozen
class Malformed:
    """What the caller sent is no statement.

    Attributes
    ----------
    why : str
        What is wrong with it and what would do.
    """

    why: str


Body = Malformed | Begin | Commit | Rollback | Direct | Execute | SetValue | Prepare | Deallocate


@attrs.frozen
class Statement:
    """One statement as the caller sent it.

    Attributes
    ----------
    text : str
        Passed on unchanged, but for a prepared name.
    """

    request_id: str
    text: str
    body: Body


class SessionState(enum.Enum):
    """Where a session stands between statements."""

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
"""An endpoint that refuses so has not run the statement."""


@attrs.frozen
class Refusal:
    """A statement that has no result.

    Attributes
    ----------
    detail : str
        One sentence for the caller; says when to come back where that helps.
    cause : Cause or None
        What stood in the way, where this or another box refused.
    """

    kind: RefusalKind
    detail: str = ""
    cause: Cause | None = None

    @property
    def has_not_run(self) -> bool:
        """Whether the endpoint that said this did not run the statement."""
        return self.kind in NOT_RUN


@attrs.frozen
class Reply:
    """The whole answer to one statement.

    Attributes
    ----------
    rows : tuple of bytes
        As the endpoint sent them.
    proof : str or None
        The endpoint's authentication code of a success; None where this box
        answered by itself.
    position : LogPosition or None
        End of the endpoint's log when it answered.
    endpoint : str or None
        Who answered; None where this box did.
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
    """Have an endpoint tell its role, term and log position."""


@attrs.frozen
class Demote:
    """Turn a primary of a term below ``term`` into a replica."""

    term: int


EndpointBody = Body | ResetSession | StatusQuery | Demote


@attrs.frozen
class EndpointQuery:
    """One statement to an endpoint.

    Attributes
    ----------
    body : EndpointBody
    statement : Statement or None
        The caller's, where the query carries one; its id and text go with it.
    after : LogPosition or None
        The endpoint refuses unless its log holds this position.
    """

    body: EndpointBody
    statement: Statement | None = None
    after: LogPosition | None = None


@attrs.frozen
class EndpointStatus:
    """What an endpoint tells of itself.

    Attributes
    ----------
    received : LogPosition
        End of the log that it has received, applied or not.
    connections : int
        Connections it has from all boxes.
    """

    leads: bool
    term: int
    received: LogPosition
    connections: int


def refused(kind: RefusalKind, detail: str, state: SessionState) -> Reply:
    """Return the reply of a statement that this box refuses."""
    return Reply(state, refusal=Refusal(kind, detail))
