"""Bounded queues, fair between businesses, bookings before lookups."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

Item = TypeVar("Item")

MAX_HEADS_SCANNED = 32
SERVICE_INTERVAL_WEIGHT = 0.05


class QueueKind(enum.Enum):
    """The queues of a group, in the order in which a primary serves them."""

    SETTLING = "settling"
    BOOKING = "booking"
    PRIMARY_LOOKUP = "primary_lookup"
    REPLICA_LOOKUP = "replica_lookup"


@attrs.define
class FairQueue(Generic[Item]):
    """A queue that is FIFO within a business and round-robin between businesses."""

    _by_business: collections.OrderedDict[str, collections.deque[Item]] = attrs.field(
        factory=collections.OrderedDict
    )
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    @property
    def business_count(self) -> int:
        """Number of businesses with waiting items."""
        return len(self._by_business)

    def count_of(self, business: str) -> int:
        """Return the number of waiting items of ``business``."""
        items = self._by_business.get(business)
        return len(items) if items else 0

    def push(self, business: str, item: Item) -> None:
        """Append ``item`` to the queue of its business."""
        self._by_business.setdefault(business, collections.deque()).append(item)
        self._length += 1

    def pop(self, is_eligible: Callable[[Item], bool] | None = None) -> Item | None:
        """Remove and return the head of the first business whose head is eligible."""
        for business in list(self._by_business)[:MAX_HEADS_SCANNED]:
            items = self._by_business[business]
            if is_eligible is not None and not is_eligible(items[0]):
                continue
            item = items.popleft()
            self._length -= 1
            if items:
                self._by_business.move_to_end(business)
            else:
                del self._by_business[business]
            return item
        return None

    def remove(self, business: str, item: Item) -> bool:
        """Remove ``item`` from any place in the queue; return False if it is absent."""
        items = self._by_business.get(business)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._length -= 1
        if not items:
            del self._by_business[business]
        return True

    def items(self) -> list[Item]:
        """Return all waiting items."""
        return [item for items in self._by_business.values() for item in items]


@attrs.define
class ServiceInterval:
    """The time between two requests served from a queue while requests wait in it.

    Attributes
    ----------
    interval_s : float
        Exponentially smoothed interval, in seconds.
    """

    interval_s: float = 0.0
    _served_at: float = 0.0
    _has_waiting: bool = False

    def record_served(self, now: float, left: int) -> None:
        """Record that a request was served at ``now`` (seconds) and ``left`` still wait."""
        if self._has_waiting:
            self.interval_s += SERVICE_INTERVAL_WEIGHT * (now - self._served_at - self.interval_s)
        self._served_at = now
        self._has_waiting = left > 0


@attrs.define
class GroupQueues(Generic[Item]):
    """The queues of one group, with the service interval of each."""

    by_kind: dict[QueueKind, FairQueue[Item]] = attrs.field(
        factory=lambda: {kind: FairQueue() for kind in QueueKind}
    )
    service_intervals: dict[QueueKind, ServiceInterval] = attrs.field(
        factory=lambda: {kind: ServiceInterval() for kind in QueueKind}
    )

    def count_ahead(self, kind: QueueKind, business: str) -> int:
        """Return how many requests are served before a new one of ``business``."""
        queue = self.by_kind[kind]
        turns = queue.count_of(business) * max(queue.business_count, 1) + queue.business_count
        ahead = min(len(queue), turns)
        match kind:
            case QueueKind.PRIMARY_LOOKUP:
                return (
                    ahead
                    + len(self.by_kind[QueueKind.BOOKING])
                    + len(self.by_kind[QueueKind.SETTLING])
                )
            case QueueKind.BOOKING:
                return ahead + len(self.by_kind[QueueKind.SETTLING])
            case _:
                return ahead
