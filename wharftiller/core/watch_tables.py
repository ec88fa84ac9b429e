"""State of the steward: watched groups and servers, and the steps of a promotion."""

from __future__ import annotations

import random

import attrs

from wharftiller.core.configuration import Configuration, GroupSpec
from wharftiller.core.messages import Report
from wharftiller.core.steward_messages import GroupRecord, Order, StewardOutput
from wharftiller.core.watching import watch_rank, watch_shard


@attrs.frozen
class Watching:
    """No promotion is under way."""


@attrs.frozen
class Reading:
    """The group's record is being read from the platform."""


@attrs.frozen
class TakingTerm:
    """The next term is being taken by a conditional update."""

    term: int


@attrs.frozen
class Quiescing:
    """In a planned failover, the old primary finishes the work it has.

    Attributes
    ----------
    writes_too : bool
        Whether it refuses all writes, or new transactions only.
    """

    term: int
    writes_too: bool


@attrs.frozen
class CatchingUp:
    """In a planned failover, the target's log has to reach ``position``."""

    term: int
    position: int


@attrs.frozen
class Fencing:
    """Servers are ordered to refuse every lower term."""

    term: int
    started_at: float
    replies: dict[str, Report]


@attrs.frozen
class Promoting:
    """The chosen server is ordered to become the primary."""

    term: int
    chosen: str


@attrs.frozen
class Recording:
    """The new primary is being recorded in the platform."""

    term: int
    chosen: str


Step = Watching | Reading | TakingTerm | Quiescing | CatchingUp | Fencing | Promoting | Recording


@attrs.frozen
class PlannedFailover:
    """A failover that is requested while the primary is healthy.

    Attributes
    ----------
    target : str
        The server that becomes the primary.
    plan : str
        The operator's plan; empty if the primary is leaving.
    """

    target: str
    plan: str


@attrs.define
class WatchedServer:
    """The steward's view of a server.

    Attributes
    ----------
    last_contact_at : float
        When its last report arrived, in seconds.
    asked_at : float or None
        When the outstanding report request was sent, in seconds.
    followed_at : float
        When a follow order was last sent, in seconds.
    """

    name: str
    group: str
    control_address: str
    leaving: bool
    last_contact_at: float
    report: Report | None = None
    asked_at: float | None = None
    last_asked_at: float = -1e9
    followed_at: float = -1e9


@attrs.define
class WatchedGroup:
    """The steward's view of a group and the state of its promotion.

    Attributes
    ----------
    last_led_at : float
        When a server last reported that it is the primary of the newest term, in seconds.
    version : int
        Version of the group's record that the attempt is based on.
    record_seen : tuple of int and float
        The newest version of the record and when it was first read.
    attempt : str
        Unique id of the attempt in which this steward took its newest term.
    planned : PlannedFailover or None
        What the attempt under way carries out; None if the primary was lost.
    planned_since : float or None
        When a planned failover was first found due, in seconds.
    """

    spec: GroupSpec
    last_led_at: float
    term: int = 0
    primary: str | None = None
    step: Step = Watching()
    started_at: float = 0.0
    next_try_at: float = 0.0
    version: int = 0
    record: GroupRecord = attrs.field(factory=GroupRecord)
    record_seen: tuple[int, float] = (0, 0.0)
    attempt: str = ""
    planned: PlannedFailover | None = None
    planned_since: float | None = None
    done_plans: set[str] = attrs.field(factory=set)
    outstanding_orders: set[tuple[str, Order]] = attrs.field(factory=set)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the group's servers."""
        return tuple(endpoint.name for endpoint in self.spec.endpoints)

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that hold the group's servers."""
        return frozenset(endpoint.data_centre for endpoint in self.spec.endpoints)


@attrs.define
class WatchTables:
    """All state of one steward.

    Attributes
    ----------
    process : str
        Unique id of the steward's process.
    boxes : dict of str to str
        Data centre by box, from the platform's list, which may lag.
    attempts : int
        Attempts of the process to take a term, in all groups.
    """

    box: str
    random: random.Random
    detect_s: float
    process: str
    configuration: Configuration = attrs.field(factory=Configuration)
    servers: dict[str, WatchedServer] = attrs.field(factory=dict)
    groups: dict[str, WatchedGroup] = attrs.field(factory=dict)
    boxes: dict[str, str] = attrs.field(factory=dict)
    attempts: int = 0
    ticked_at: float | None = None
    outputs: list[StewardOutput] = attrs.field(factory=list)
    _ranks: dict[tuple[int, frozenset[str]], int | None] = attrs.field(factory=dict)

    def set_boxes(self, boxes: dict[str, str]) -> None:
        """Replace the data centres of the boxes."""
        if boxes != self.boxes:
            self.boxes = boxes
            self._ranks.clear()

    def rank_for(self, group: WatchedGroup) -> int | None:
        """Return this steward's rank among the watchers of ``group``; None if it does not watch."""
        key = (watch_shard(group.spec.name), group.data_centres)
        if key not in self._ranks:
            self._ranks[key] = watch_rank(key[0], self.boxes, self.box, group.data_centres)
        return self._ranks[key]

    def emit(self, output: StewardOutput) -> None:
        """Add an output of the current input."""
        self.outputs.append(output)

    def server(self, name: str | None) -> WatchedServer | None:
        """Return the server called ``name``, if there is one."""
        return self.servers.get(name) if name else None
