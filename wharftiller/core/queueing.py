"""Bounded queues, fair between businesses, bookings before lookups."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

Item = TypeVar("Item")

HEADS_SCANNED = 32
INTERVAL_WEIGHT = 0.05


class Line(enum.Enum):
    """The lines of a group's queue, in the order in which a primary serves them."""

    SETTLING = "settling"
    BOOKING = "booking"
    PRIMARY_LOOKUP = "primary_lookup"
    REPLICA_LOOKUP = "replica_lookup"


@attrs.define
class FairQueue(Generic[Item]):
    """First in, first out within a business; businesses take turns."""

    _lines: collections.OrderedDict[str, collections.deque[Item]] = attrs.field(
        factory=collections.OrderedDict
    )
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    @property
    def businesses(self) -> int:
        """Number of businesses that wait."""
        return len(self._lines)

    def waiting(self, business: str) -> int:
        """Return how many requests of ``business`` wait."""
        line = self._lines.get(business)
        return len(line) if line else 0

    def push(self, business: str, item: Item) -> None:
        """Add ``item`` at the end of its business's line."""
        self._lines.setdefault(business, collections.deque()).append(item)
        self._length += 1

    def pop(self, fits: Callable[[Item], bool] | None = None) -> Item | None:
        """Take the next item of the first business whose head fits."""
        for business in list(self._lines)[:HEADS_SCANNED]:
            line = self._lines[business]
            if fits is not None and not fits(line[0]):
                continue
            item = line.popleft()
            self._length -= 1
            if line:
                self._lines.move_to_end(business)
            else:
                del self._lines[business]
            return item
        return None

    def remove(self, business: str, item: Item) -> bool:
        """Take ``item`` out wherever it stands; False if it is not there."""
        line = self._lines.get(business)
        if line is None or item not in line:
            return False
        line.remove(item)
        self._length -= 1
        if not line:
            del self._lines[business]
        return True

    def items(self) -> list[Item]:
        """Return every waiting item."""
        return [item for line in self._lines.values() for item in line]


@attrs.define
class Drain:
    """How fast a line is served while requests wait in it.

    Attributes
    ----------
    interval_s : float
        Smoothed time between two requests taken, in seconds.
    """

    interval_s: float = 0.0
    _taken_at: float = 0.0
    _waiting: bool = False

    def take(self, now: float, left: int) -> None:
        """Note that a request was taken at ``now`` (seconds) and ``left`` still wait."""
        if self._waiting:
            self.interval_s += INTERVAL_WEIGHT * (now - self._taken_at - self.interval_s)
        self._taken_at = now
        self._waiting = left > 0


@attrs.define
class GroupQueues(Generic[Item]):
    """The lines of one group, and how fast each is served."""

    lines: dict[Line, FairQueue[Item]] = attrs.field(
        factory=lambda: {line: FairQueue() for line in Line}
    )
    drains: dict[Line, Drain] = attrs.field(factory=lambda: {line: Drain() for line in Line})

    def ahead(self, line: Line, business: str) -> int:
        """Return how many requests go before a new one of ``business`` in ``line``."""
        queue = self.lines[line]
        turns = queue.waiting(business) * max(queue.businesses, 1) + queue.businesses
        ahead = min(len(queue), turns)
        match line:
            case Line.PRIMARY_LOOKUP:
                return ahead + len(self.lines[Line.BOOKING]) + len(self.lines[Line.SETTLING])
            case Line.BOOKING:
                return ahead + len(self.lines[Line.SETTLING])
            case _:
                return ahead
