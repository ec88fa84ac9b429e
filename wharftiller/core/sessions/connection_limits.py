"""How many callers' connections a box takes, and who leaves where it is full.

The load: boxes of very unequal limits that all get their share of the callers, crowds that come
at once, and connections that never ask anything. Callers need a box that takes them while it can,
that sends them on at once where it cannot, and that never lacks a descriptor for the statement
it has already taken.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs

from wharftiller.core.errors import WharfError

OWN_FLOOR = 96
"""Descriptors that a box needs for itself at least: listeners, the platform, other boxes and the
endpoints of a few groups."""

CALLERS_FLOOR = 16
"""Callers' connections that a box must be able to take to be worth starting."""

GROWTH_FRACTION = 0.25
"""Part of the descriptors kept for connections of its own that a box does not hold yet."""

MAX_GROWTH = 400
"""Most descriptors kept for that: two connections to and from each of a hundred boxes."""

PROCESS_MB = 96.0
"""Memory that a process needs without callers, in MB; the libraries take half of it."""

SESSION_KB = 64.0
"""Memory kept for one caller's session with a statement under way, in kB."""

NEARLY_FULL_FRACTION = 0.9
"""Part of the room from which on a box is not ready: the balancer passes it over before callers
are refused."""

REOPEN_FRACTION = 0.8
"""Part of the room below which a box is ready again: lower, so that it does not change each
second."""

MIN_HANDSHAKE_S = 1.0
"""Time that a full box leaves a caller to name its database, in seconds: two round trips of the
farthest caller and one lost packet."""

MIN_IDLE_S = 2.0
"""Time that a session has rested before a full box closes it, in seconds: longer than the pause
between two operations of a busy caller."""


class TooFewDescriptorsError(WharfError):
    """The process may open fewer descriptors than it needs."""

    kind = "bad_settings"


@attrs.frozen
class BoxLimits:
    """What this box may use.

    Attributes
    ----------
    descriptors : int
        Descriptors that the process may have open.
    kept_for_files : int
        Those among them that connections may not use.
    memory_mb : float
        Memory of the process, in MB.
    """

    descriptors: int = 4_096
    kept_for_files: int = 0
    memory_mb: float = 300.0

    @property
    def connections(self) -> int:
        """Connections of every kind that may be open at once."""
        return self.descriptors - self.kept_for_files

    def check(self) -> None:
        """Check that a box can work within these.

        Raises
        ------
        TooFewDescriptorsError
            If it cannot; the message names what it needs.
        """
        needed = self.kept_for_files + OWN_FLOOR + CALLERS_FLOOR
        if self.descriptors < needed:
            raise TooFewDescriptorsError(
                f"{self.descriptors} descriptors are allowed, {needed} are needed:"
                f" {self.kept_for_files} for files, {OWN_FLOOR} for other boxes and endpoints,"
                f" {CALLERS_FLOOR} for callers; raise the limit"
            )


def room_for_callers(limits: BoxLimits, own: int) -> int:
    """Return how many callers' connections a box can take.

    Parameters
    ----------
    own : int
        Connections of its own that it holds now: to and from other boxes, endpoints and the
        platform.
    """
    growth = min(MAX_GROWTH, int(GROWTH_FRACTION * limits.connections))
    by_descriptors = limits.connections - max(OWN_FLOOR, own + growth)
    by_memory = int((limits.memory_mb - PROCESS_MB) * 1024 / SESSION_KB)
    return max(CALLERS_FLOOR, min(by_descriptors, by_memory))


CallerConnection = TypeVar("CallerConnection")


class ConnectionLimiter(Generic[CallerConnection]):
    """The callers' connections of one box: who may come in, and who leaves for whom.

    Each is silent until it has named its database, then rests or is busy. Guests are kept in
    the order in which they began to be silent or to rest, so that a crowd costs no search.
    """

    def __init__(self, limits: BoxLimits) -> None:
        self._limits = limits
        self._silent: dict[CallerConnection, float] = {}
        self._resting: dict[CallerConnection, float] = {}
        self._busy: set[CallerConnection] = set()
        self._nearly_full = False
        self._room = room_for_callers(limits, 0)

    def __len__(self) -> int:
        return len(self._silent) + len(self._resting) + len(self._busy)

    @property
    def room(self) -> int:
        """How many callers' connections can be taken."""
        return self._room

    def note_own(self, own: int) -> None:
        """Note how many connections of its own the box holds."""
        self._room = room_for_callers(self._limits, own)

    @property
    def is_nearly_full(self) -> bool:
        """Whether new callers are better sent to other boxes."""
        part = REOPEN_FRACTION if self._nearly_full else NEARLY_FULL_FRACTION
        self._nearly_full = len(self) >= part * self.room
        return self._nearly_full

    @property
    def is_full(self) -> bool:
        """Whether nobody more can be taken."""
        return len(self) >= self.room

    def came(self, caller: CallerConnection, now: float) -> None:
        """Note a connection; it has named no database yet."""
        self._silent[caller] = now

    def rests(self, caller: CallerConnection, now: float) -> None:
        """Note that a guest waits for its caller, outside any transaction."""
        self.left(caller)
        self._resting[caller] = now

    def works(self, caller: CallerConnection) -> None:
        """Note that a guest has a statement under way, or a transaction."""
        self.left(caller)
        self._busy.add(caller)

    def left(self, caller: CallerConnection) -> None:
        """Note that a guest is gone."""
        self._silent.pop(caller, None)
        self._resting.pop(caller, None)
        self._busy.discard(caller)

    def who_leaves(self, now: float) -> CallerConnection | None:
        """Return whom to close so that somebody else can come in; None if nobody.

        Those that never asked for anything go first. Then goes who rests longest: its caller
        notices nothing but a session that it opens anew elsewhere.
        """
        for callers, least_s in ((self._silent, MIN_HANDSHAKE_S), (self._resting, MIN_IDLE_S)):
            first = next(iter(callers), None)
            if first is not None and now - callers[first] >= least_s:
                return first
        return None
