"""Operators' configuration of sessions: routes, limits of groups, endpoints."""

from __future__ import annotations

import attrs

from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.core.sessions.workspaces import WorkspaceDirectory


@attrs.frozen
class PrimaryReads:
    """Reads see every acknowledged write."""


@attrs.frozen
class BoundedReads:
    """Reads may miss writes acknowledged within the last ``max_age_s`` seconds."""

    max_age_s: float


@attrs.frozen
class OwnWritesReads:
    """Like `BoundedReads`, and a session always sees its own writes."""

    max_age_s: float


Consistency = PrimaryReads | BoundedReads | OwnWritesReads


@attrs.frozen
class Route:
    """How sessions on one database are served.

    Attributes
    ----------
    timeout_s : float
        Deadline of one statement, in seconds after its arrival.
    latency_goal_s : float
        Time within which an operation should be answered, in seconds.
    priority : int
        Priority in queues; 0 is the most urgent.
    needs_no_key : bool
        Whether callers without a workspace's key are served.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    latency_goal_s: float
    priority: int
    needs_no_key: bool = False


@attrs.frozen
class GroupLimits:
    """Limits of one group's endpoints.

    Attributes
    ----------
    max_connections : int
        Connections one endpoint accepts from all boxes together.
    sync_replicas : int
        Replicas that hold a write before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


@attrs.frozen
class SessionConfiguration:
    """One version of the operators' configuration.

    Attributes
    ----------
    transaction_idle_s : float
        Time after which an idle transaction may be ended, in seconds.
    workspaces : WorkspaceDirectory or None
        None where callers need no keys.
    document : dict or None
        The document as received, with digests in place of keys, for other boxes to fetch.
    """

    version: int = 0
    routes: dict[str, Route] = attrs.field(factory=dict)
    groups: dict[str, GroupLimits] = attrs.field(factory=dict)
    transaction_idle_s: float = 3.0
    workspaces: WorkspaceDirectory | None = attrs.field(default=None, eq=False)
    document: object = attrs.field(default=None, eq=False, repr=False)


@attrs.frozen
class EndpointEntry:
    """An endpoint's own registration.

    Attributes
    ----------
    leads : bool
        Whether it reports itself as the primary.
    leaving : bool
        Whether it is about to stop.
    leaving_serves_s : float
        Time for which it goes on serving once it has announced that, in seconds.
    started_ms : int or None
        Start time of its process, in milliseconds of the Unix clock: another process under the
        same name does not have this one's state. None if it is not reported.
    """

    name: str
    group: str
    address: str
    data_centre: str
    leads: bool
    leaving: bool
    leaving_serves_s: float = PlatformBounds().leaving_serves_s
    started_ms: int | None = None
