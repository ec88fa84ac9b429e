"""Statements that wait for a connection to one endpoint, in the order in which they go."""

from __future__ import annotations

import heapq

import attrs
import trio


@attrs.frozen(order=True)
class QueueKey:
    """When a statement's turn comes: the lower goes first.

    Attributes
    ----------
    priority : int
        Of its route.
    arrived_at : float
        When it came to this box, in seconds: one that an endpoint was too busy for keeps its place.
    ticket : int
        Rises with each that waits.
    """

    priority: int
    arrived_at: float
    ticket: int


@attrs.define(order=True)
class Waiter:
    """A statement that waits.

    Attributes
    ----------
    woken : trio.Event
        Set when it is its turn.
    """

    key: QueueKey
    woken: trio.Event = attrs.field(factory=trio.Event, order=False)


class WaitQueue:
    """The waiting statements of one endpoint."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def ahead(self, key: QueueKey) -> int:
        """Return how many go before ``key``."""
        return sum(1 for each in self._waiters if each.key < key)

    def join(self, key: QueueKey) -> Waiter:
        """Add a statement."""
        waiter = Waiter(key)
        heapq.heappush(self._waiters, waiter)
        return waiter

    def is_first(self, waiter: Waiter) -> bool:
        """Return whether ``waiter`` goes next."""
        return bool(self._waiters) and self._waiters[0] is waiter

    def discard(self, waiter: Waiter) -> bool:
        """Remove ``waiter``; return whether it still waited."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        heapq.heapify(self._waiters)
        return True

    def wake_next(self) -> None:
        """Wake who goes next; it waits no more."""
        if self._waiters:
            heapq.heappop(self._waiters).woken.set()
