"""Limit of the callers' connections of a box, and which of them a full box closes.

Boxes have very unequal limits, load peaks arrive at once, and some connections never send a
statement. A box accepts connections up to its own limits, refuses others at once, and always
keeps descriptors free for the statements that it has accepted.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs

from wharftiller.core.errors import WharfError

MIN_OWN_DESCRIPTORS = 96
"""Minimum of descriptors for a box's own use: listeners, the platform, other boxes and the
endpoints of a few groups."""

MIN_CALLERS = 16
"""Minimum of callers' connections for which a box starts."""

GROWTH_FRACTION = 0.25
"""Fraction of the descriptors reserved for further connections of the box's own."""

MAX_GROWTH = 400
"""Maximum of descriptors reserved for that: two connections to and from each of a hundred
boxes."""

PROCESS_MB = 96.0
"""Memory of a process without callers, in MB."""

SESSION_KB = 64.0
"""Memory of one caller's session with a statement under way, in kB."""

NEARLY_FULL_FRACTION = 0.9
"""Fraction of the room from which on a box is not ready, so that the balancer skips it before
callers are refused."""

REOPEN_FRACTION = 0.8
"""Fraction of the room below which a box is ready again; lower, against flapping."""

MIN_HANDSHAKE_S = 1.0
"""Time that a full box grants a caller to name its database, in seconds: two round trips of the
farthest caller and one lost packet."""

MIN_IDLE_S = 2.0
"""Time that a session must be idle before a full box closes it, in seconds: longer than the
pause between two operations of an active caller."""


class TooFewDescriptorsError(WharfError):
    """The process may open fewer descriptors than it needs."""

    kind = "bad_settings"


@attrs.frozen
class BoxLimits:
    """Resource limits of this box.

    Attributes
    ----------
    descriptors : int
        Descriptors that the process may have open.
    reserved_for_files : int
        Descriptors among them that are reserved for files.
    memory_mb : float
        Memory that the process may use, in MB.
    """

    descriptors: int = 4_096
    reserved_for_files: int = 0
    memory_mb: float = 300.0

    @property
    def connections(self) -> int:
        """Number of connections of every kind that may be open at once."""
        return self.descriptors - self.reserved_for_files

    def check(self) -> None:
        """Check that a box can run within these limits.

        Raises
        ------
        TooFewDescriptorsError
            If there are too few descriptors; the message names the number needed.
        """
        needed = self.reserved_for_files + MIN_OWN_DESCRIPTORS + MIN_CALLERS
        if self.descriptors < needed:
            raise TooFewDescriptorsError(
                f"{self.descriptors} descriptors are allowed, {needed} are needed:"
                f" {self.reserved_for_files} for files,"
                f" {MIN_OWN_DESCRIPTORS} for other boxes and endpoints,"
                f" {MIN_CALLERS} for callers; raise the limit"
            )


def room_for_callers(limits: BoxLimits, own: int) -> int:
    """Return how many callers' connections a box can hold.

    Parameters
    ----------
    own : int
        Its own open connections: to and from other boxes, endpoints and the platform.
    """
    growth = min(MAX_GROWTH, int(GROWTH_FRACTION * limits.connections))
    by_descriptors = limits.connections - max(MIN_OWN_DESCRIPTORS, own + growth)
    by_memory = int((limits.memory_mb - PROCESS_MB) * 1024 / SESSION_KB)
    return max(MIN_CALLERS, min(by_descriptors, by_memory))


CallerConnection = TypeVar("CallerConnection")


class ConnectionLimiter(Generic[CallerConnection]):
    """The callers' connections of one box: admission, and which one to close for another.

    A connection is in its handshake until it has named its database, then idle or busy.
    Handshakes and idle connections are kept in the order in which they became so: finding the
    oldest needs no search.
    """

    def __init__(self, limits: BoxLimits) -> None:
        self._limits = limits
        self._handshaking: dict[CallerConnection, float] = {}
        self._idle: dict[CallerConnection, float] = {}
        self._busy: set[CallerConnection] = set()
        self._nearly_full = False
        self._room = room_for_callers(limits, 0)

    def __len__(self) -> int:
        return len(self._handshaking) + len(self._idle) + len(self._busy)

    @property
    def room(self) -> int:
        """Number of callers' connections that the box can hold."""
        return self._room

    def set_own_connections(self, own: int) -> None:
        """Record the number of the box's own connections."""
        self._room = room_for_callers(self._limits, own)

    @property
    def is_nearly_full(self) -> bool:
        """Whether new callers should go to other boxes."""
        fraction = REOPEN_FRACTION if self._nearly_full else NEARLY_FULL_FRACTION
        self._nearly_full = len(self) >= fraction * self.room
        return self._nearly_full

    @property
    def is_full(self) -> bool:
        """Whether no further connection can be accepted."""
        return len(self) >= self.room

    def add_handshake(self, caller: CallerConnection, now: float) -> None:
        """Record a new connection, which has named no database yet."""
        self._handshaking[caller] = now

    def set_idle(self, caller: CallerConnection, now: float) -> None:
        """Record that a connection is idle, outside any transaction."""
        self.remove(caller)
        self._idle[caller] = now

    def set_busy(self, caller: CallerConnection) -> None:
        """Record that a connection has a statement under way or an open transaction."""
        self.remove(caller)
        self._busy.add(caller)

    def remove(self, caller: CallerConnection) -> None:
        """Remove a connection."""
        self._handshaking.pop(caller, None)
        self._idle.pop(caller, None)
        self._busy.discard(caller)

    def connection_to_close(self, now: float) -> CallerConnection | None:
        """Return the connection to close in favour of a new one; None if there is none.

        The oldest handshake comes first, then the session that has been idle longest: its
        caller only has to reconnect elsewhere.
        """
        for callers, min_s in ((self._handshaking, MIN_HANDSHAKE_S), (self._idle, MIN_IDLE_S)):
            oldest = next(iter(callers), None)
            if oldest is not None and now - callers[oldest] >= min_s:
                return oldest
        return None
