"""State of one caller's session: values, prepared statements and open transaction."""

from __future__ import annotations

from typing import Any

import attrs

from wharftiller.core.positions import LOG_START, LogPosition
from wharftiller.core.sessions.routes import Route
from wharftiller.core.sessions.statements import PreparedStatement, SessionState
from wharftiller.core.sessions.workspaces import Workspace


@attrs.frozen
class RemoteTransaction:
    """A transaction that another box runs.

    Attributes
    ----------
    box : str
        The box's name.
    identity : str
        The transaction's identifier on that box.
    """

    box: str
    identity: str


@attrs.define
class OpenTransaction:
    """A transaction; ``connection`` is None until its first statement needs one.

    Attributes
    ----------
    begun_at, used_at : float
        Time of its begin, and of the answer to its last statement, in seconds.
    wrote : bool
        Whether a write was sent in it.
    counted : bool
        Whether a planned failover waits for its end.
    remote : RemoteTransaction or None
        The transaction on another box, if a gateway runs it.
    """

    route: Route
    read_only: bool
    begun_at: float
    used_at: float
    connection: Any = None
    wrote: bool = False
    counted: bool = False
    failed: bool = False
    remote: RemoteTransaction | None = None


@attrs.define
class Session:
    """State of a caller's connection, kept until the connection ends.

    Attributes
    ----------
    key_digest : str
        Digest of the key that the caller presented.
    workspace : Workspace or None
        Its workspace by the configuration in force when its last transaction or autocommit
        statement began; None where callers need no keys.
    own_writes : dict of str to LogPosition
        Newest log position that this session wrote, by group.
    unsettled : set of str
        Groups in which the outcome of one of its writes is unknown.
    """

    number: int
    database: str
    key_digest: str
    workspace: Workspace | None = None
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[str, PreparedStatement] = attrs.field(factory=dict)
    transaction: OpenTransaction | None = None
    own_writes: dict[str, LogPosition] = attrs.field(factory=dict)
    unsettled: set[str] = attrs.field(factory=set)

    @property
    def workspace_name(self) -> str:
        """The workspace's name; empty where callers need no keys."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def state(self) -> SessionState:
        """State of the session between statements."""
        if self.transaction is None:
            return SessionState.IDLE
        if self.transaction.failed:
            return SessionState.FAILED
        return SessionState.IN_TRANSACTION

    def wrote(self, group: str, position: LogPosition | None) -> None:
        """Record the position of a write, or None where its outcome is unknown."""
        if position is None:
            self.unsettled.add(group)
        elif position > self.own_writes.get(group, LOG_START):
            self.own_writes[group] = position
