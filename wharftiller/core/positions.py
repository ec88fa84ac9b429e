"""Log positions and the session token's contents."""

from __future__ import annotations

import attrs


@attrs.frozen
class LogPosition:
    """A place in a group's log, ordered by term first.

    Attributes
    ----------
    term : int
        Term of the log, counted from 1; 0 means "nothing yet".
    index : int
        Number of records up to and including this one.
    """

    term: int = 0
    index: int = 0

    def __str__(self) -> str:
        return f"({self.term}, {self.index})"

    # Written out, since every statement compares some and attrs' own order is
    # ten times slower.
    def __lt__(self, other: LogPosition) -> bool:
        return self.term < other.term or (self.term == other.term and self.index < other.index)

    def __le__(self, other: LogPosition) -> bool:
        return not other < self

    def __gt__(self, other: LogPosition) -> bool:
        return other < self

    def __ge__(self, other: LogPosition) -> bool:
        return not self < other


NOWHERE = LogPosition()


@attrs.frozen
class Session:
    """What one session has written and read, per group.

    Attributes
    ----------
    pool, business : str
        The only pool and business the session may reach.
    positions : dict of str to LogPosition
        Newest safe position seen, per group name.
    """

    pool: str
    business: str
    positions: dict[str, LogPosition] = attrs.field(factory=dict)

    def position(self, group: str) -> LogPosition:
        """Return the newest position seen in ``group``."""
        return self.positions.get(group, NOWHERE)

    def advanced(self, group: str, position: LogPosition) -> Session:
        """Return the session with ``position`` seen in ``group``."""
        if position <= self.position(group):
            return self
        return attrs.evolve(self, positions={**self.positions, group: position})
