"""Priority queue of statements that wait for a connection to one endpoint."""

from __future__ import annotations

import heapq

import attrs
import trio


@attrs.frozen(order=True)
class QueueKey:
    """Sort key of a waiting statement; lower keys go first.

    Attributes
    ----------
    priority : int
        Priority of the statement's route.
    arrived_at : float
        Time of arrival at this box, in seconds; a statement that is retried keeps it.
    ticket : int
        Sequence number that breaks ties.
    """

    priority: int
    arrived_at: float
    ticket: int


@attrs.define(order=True)
class Waiter:
    """A waiting statement.

    Attributes
    ----------
    woken : trio.Event
        Set when the statement may try again.
    """

    key: QueueKey
    woken: trio.Event = attrs.field(factory=trio.Event, order=False)


class WaitQueue:
    """Waiting statements of one endpoint, in order of their keys."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def count_ahead(self, key: QueueKey) -> int:
        """Return how many waiters go before ``key``."""
        return sum(1 for each in self._waiters if each.key < key)

    def add(self, key: QueueKey) -> Waiter:
        """Add a waiter with ``key``."""
        waiter = Waiter(key)
        heapq.heappush(self._waiters, waiter)
        return waiter

    def is_first(self, waiter: Waiter) -> bool:
        """Return whether ``waiter`` is the next to wake."""
        return bool(self._waiters) and self._waiters[0] is waiter

    def discard(self, waiter: Waiter) -> bool:
        """Remove ``waiter``; return whether it was still in the queue."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        heapq.heapify(self._waiters)
        return True

    def wake_next(self) -> None:
        """Remove and wake the first waiter."""
        if self._waiters:
            heapq.heappop(self._waiters).woken.set()
