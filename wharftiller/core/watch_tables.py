"""The steward's tables: watched groups and servers, and the steps of a promotion."""

from __future__ import annotations

import random

import attrs

from wharftiller.core.configuration import Configuration, GroupSpec
from wharftiller.core.messages import Report
from wharftiller.core.steward_messages import GroupRecord, Order, StewardOutput
from wharftiller.core.watching import watch_rank, watch_shard


@attrs.frozen
class Watching:
    """Nothing is under way."""


@attrs.frozen
class Reading:
    """The group's record is being read from the platform."""


@attrs.frozen
class TakingTerm:
    """The next term is being taken by a conditional update."""

    term: int


@attrs.frozen
class Quiescing:
    """A planned change: the old primary finishes what it has.

    Attributes
    ----------
    writes_too : bool
        False while only new transactions are refused.
    """

    term: int
    writes_too: bool


@attrs.frozen
class CatchingUp:
    """A planned change: the target's log has to reach ``position``."""

    term: int
    position: int


@attrs.frozen
class Fencing:
    """Servers are asked to refuse everything below the term."""

    term: int
    started_at: float
    replies: dict[str, Report]


@attrs.frozen
class Promoting:
    """The chosen server is asked to lead."""

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
    """A change of primary that is wanted while the primary is well.

    Attributes
    ----------
    target : str
        The server to lead.
    plan : str
        The operator's plan, or empty when an endpoint is leaving.
    """

    target: str
    plan: str


@attrs.define
class WatchedServer:
    """What the steward knows of a server.

    Attributes
    ----------
    last_contact_at : float
        When its last report arrived, in seconds.
    asked_at : float or None
        When the report that is outstanding was asked for.
    followed_at : float
        When it was last told whom to follow.
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
    """What the steward knows and does for a group.

    Attributes
    ----------
    last_led_at : float
        When a server last said that it leads the newest term, in seconds.
    version : int
        Version of the group's record that the attempt is based on.
    record_seen : tuple of int and float
        The newest version read and when it was first seen.
    attempt : str
        Id of the attempt that took the newest term of this steward's; no other ever has it.
    wish : Wish or None
        What the attempt under way is for; None when the primary is lost.
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
        """The group's servers."""
        return tuple(endpoint.name for endpoint in self.spec.endpoints)

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres that hold them."""
        return frozenset(endpoint.data_centre for endpoint in self.spec.endpoints)


@attrs.define
class WatchTables:
    """All rows of one steward.

    Attributes
    ----------
    process : str
        Id of the steward's process.
    boxes : dict of str to str
        Data centre by box, from the platform's lagging list.
    attempts : int
        Terms that the process took or tried to take, in all groups.
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
        """Take in a list of boxes."""
        if boxes != self.boxes:
            self.boxes = boxes
            self._ranks.clear()

    def rank_for(self, group: WatchedGroup) -> int | None:
        """Return this steward's rank among the watchers of ``group``; None if it is none."""
        key = (watch_shard(group.spec.name), group.data_centres)
        if key not in self._ranks:
            self._ranks[key] = watch_rank(key[0], self.boxes, self.box, group.data_centres)
        return self._ranks[key]

    def emit(self, output: StewardOutput) -> None:
        """Ask for something to be done."""
        self.outputs.append(output)

    def server(self, name: str | None) -> WatchedServer | None:
        """Return a server's row."""
        return self.servers.get(name) if name else None
