"""Connection pool of one endpoint, shared by all sessions of this box."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.concurrency import ConcurrencyLimit
from wharftiller.core.sessions.metrics import ConnectionCounts
from wharftiller.core.sessions.wait_limits import WaitLimit
from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection
from wharftiller.daemons.sessions.connections.wait_queue import QueueKey, Waiter, WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.session import Session
    from wharftiller.daemons.sessions.interfaces import EndpointConnection, EndpointDialer

OPEN_TIMEOUT_S = 0.7
"""Time-out for opening a connection, in seconds; shorter than the first retransmission."""

REFUSED_PAUSE_S = 0.1
"""Pause before opening connections after an endpoint reported too many, in seconds.

Below the latency goals of urgent routes (0.12 s), so that a waiting statement gets a second
try. An endpoint refuses such a try without running anything.
"""

EXTRA_CONNECTIONS = 2
"""Connections beyond the box's share that may be opened when all are in use."""

EXTRA_IDLE_S = 0.4
"""Idle time after which a connection beyond the share is closed, in seconds.

Under load any idle connection is used several times a second: with a limit of seconds those beyond
the share would never close, and a restarted box would find the endpoint full.
"""

MAINTENANCE_S = 0.25
"""Interval between searches for connections to close, in seconds."""


@attrs.define(eq=False)
class EndpointPool:
    """All of this box's connections to one endpoint.

    Attributes
    ----------
    share : callable
        Returns how many connections this box may keep to the endpoint.
    via : str or None
        Address of the box that relays new connections; None if they are direct.
    counts : ConnectionCounts
        Connections opened and replaced so far.
    """

    row: EndpointRow
    _dialer: EndpointDialer
    share: Callable[[], int]
    via: str | None = None
    counts: ConnectionCounts = attrs.field(factory=ConnectionCounts)
    _sequence: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    _idle: list[PooledConnection] = attrs.field(factory=list)
    _all: set[PooledConnection] = attrs.field(factory=set)
    _opening: int = 0
    _queue: WaitQueue = attrs.field(factory=WaitQueue)
    _limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    _refused_until: float = 0.0

    @property
    def in_use(self) -> int:
        """Connections in use or opening, and statements that wait for a connection."""
        return len(self._all) - len(self._idle) + self._opening + len(self._queue)

    @property
    def has_idle(self) -> bool:
        """Whether the pool holds an idle connection."""
        return bool(self._idle)

    def has_idle_for(self, workspace: str) -> bool:
        """Return whether the pool holds an idle connection of ``workspace``."""
        return any(each.workspace == workspace for each in self._idle)

    @property
    def total(self) -> int:
        """Connections open or opening."""
        return len(self._all) + self._opening

    @property
    def _running(self) -> int:
        """Connections on which a statement runs, or that are opening.

        Connections of transactions that are idle between statements use no slot of the endpoint.
        """
        return sum(1 for each in self._all if each.is_busy) + self._opening

    @property
    def _may_open(self) -> bool:
        """Whether this box's own limit allows another connection."""
        return self.total < self.share() + EXTRA_CONNECTIONS

    def record_busy(self) -> None:
        """Lower the concurrency limit after the endpoint was too busy for a statement."""
        self._limit.decrease(self._running, trio.current_time())

    def record_answer(self) -> None:
        """Record an answer; wake the next waiter if the concurrency limit rose."""
        before = self._limit.max_running(self.share() + EXTRA_CONNECTIONS)
        self._limit.increase()
        if self._limit.max_running(self.share() + EXTRA_CONNECTIONS) > before:
            self.wake_next()

    async def acquire(
        self, session: Session, priority: int, arrived_at: float, limit: WaitLimit
    ) -> PooledConnection:
        """Return a connection for a session, waiting for one if necessary.

        Parameters
        ----------
        priority : int
            Lower values go first; equal ones in order of arrival.
        arrived_at : float
            Time of arrival at this box, in seconds.

        Raises
        ------
        EndpointRefusedError
            If the endpoint has no free connection in time, or is not the registered one.
        ExchangeError
            If the endpoint cannot be reached.
        """
        workspace = session.workspace_name
        return await self._acquire(workspace, session.values, priority, arrived_at, limit)

    async def acquire_for_box(self, priority: int, timeout_s: float) -> PooledConnection:
        """Return a connection of any workspace for this box's own statements.

        Raises as `acquire` does.
        """
        now = trio.current_time()
        limit = WaitLimit(now + timeout_s, now + timeout_s)
        return await self._acquire(None, {}, priority, now, limit)

    async def _acquire(
        self,
        workspace: str | None,
        values: dict[str, str],
        priority: int,
        arrived_at: float,
        limit: WaitLimit,
    ) -> PooledConnection:
        """Return an idle connection of ``workspace`` (of any if None) or a new one."""
        key = QueueKey(priority, arrived_at, next(self._sequence))
        has_waited = False
        while True:
            self._drop_closed()
            if self._running >= self._limit.max_running(self.share() + EXTRA_CONNECTIONS):
                await self._wait(key, limit, has_waited=has_waited)
                has_waited = True
                continue
            idle = self._take_idle(workspace, values)
            if idle is not None:
                return idle
            if not self._has_room() and not self._make_room():
                await self._wait(key, limit, has_waited=has_waited)
                has_waited = True
                continue
            opened = await self._open(workspace or "")
            if opened is not None:
                return opened

    def _has_room(self) -> bool:
        """Return whether another connection may be opened now."""
        return trio.current_time() >= self._refused_until and self._may_open

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle.

        Called only when every idle connection belongs to another workspace.
        """
        if not self._idle:
            return False
        oldest = min(self._idle, key=lambda each: each.idle_since)
        self._idle.remove(oldest)
        self._all.discard(oldest)
        oldest.link.close()
        self.counts.replaced += 1
        return True

    def _drop_closed(self) -> None:
        """Close idle connections that the endpoint has closed."""
        for connection in [each for each in self._idle if not each.link.is_usable]:
            self._idle.remove(connection)
            self._all.discard(connection)
            connection.link.close()

    def _take_idle(self, workspace: str | None, values: dict[str, str]) -> PooledConnection | None:
        """Remove and return an idle connection with ``values`` set, else the last one used."""
        idle = [each for each in self._idle if workspace in (None, each.workspace)]
        if not idle:
            return None
        connection = next((each for each in reversed(idle) if each.values == values), idle[-1])
        self._idle.remove(connection)
        return connection

    def _expected_wait_s(self, key: QueueKey) -> float:
        """Return the minimum time until the statement with ``key`` may run, in seconds."""
        max_running = max(1, self._limit.max_running(self.share() + EXTRA_CONNECTIONS))
        queue_s = (self._queue.count_ahead(key) + 1) * self.row.service_s / max_running
        if self._all:
            return queue_s
        return queue_s + max(0.0, self._refused_until - trio.current_time())

    async def _wait(self, key: QueueKey, limit: WaitLimit, *, has_waited: bool) -> None:
        """Wait until a connection may be free.

        Parameters
        ----------
        has_waited : bool
            Whether the statement has waited before; it may then wait until its last deadline.

        Raises
        ------
        EndpointRefusedError
            If no connection is free in time, or the expected wait is too long.
        """
        expected_s = self._expected_wait_s(key)
        deadline = limit.until if has_waited else limit.admit_until
        if trio.current_time() + expected_s > deadline:
            detail = f"the queue for {self.row.name} takes {expected_s:.2f} s"
            raise EndpointRefusedError(
                detail, at_limit=True, queue_s=expected_s if self._all else None
            )
        waiter = self._queue.add(key)
        try:
            with trio.move_on_at(limit.until):
                await self._wait_until_woken(waiter)
                return
        except trio.Cancelled:
            self._leave_queue(waiter)
            raise
        self._leave_queue(waiter)
        raise EndpointRefusedError(
            f"{self.row.name} had no free place in time",
            at_limit=True,
            queue_s=self.row.service_s if self._all else None,
        )

    async def _wait_until_woken(self, waiter: Waiter) -> None:
        """Wait until woken, or until it is time to try to open another connection."""
        while True:
            with trio.move_on_at(self._recheck_at(waiter)):
                await waiter.woken.wait()
                return
            if self._may_open and not self._opening and self._queue.is_first(waiter):
                self._queue.discard(waiter)
                return

    def _recheck_at(self, waiter: Waiter) -> float:
        """Return when ``waiter`` next checks whether to open a connection, in seconds."""
        if not self._may_open:
            # `release` wakes the next waiter.
            return math.inf
        now = trio.current_time()
        if self._queue.is_first(waiter) and now < self._refused_until:
            return self._refused_until
        return now + REFUSED_PAUSE_S

    def _leave_queue(self, waiter: Waiter) -> None:
        """Remove ``waiter`` from the queue; wake the next one if it was woken already."""
        if not self._queue.discard(waiter):
            self.wake_next()

    def wake_next(self) -> None:
        """Wake the first waiter."""
        self._queue.wake_next()

    async def _open(self, workspace: str) -> PooledConnection | None:
        """Open a connection for ``workspace``; return None if the endpoint has too many."""
        self._opening += 1
        connection: PooledConnection | None = None
        try:
            link = await self._dial(workspace)
            if link is not None:
                self.counts.opened += 1
                number = next(self._sequence)
                connection = PooledConnection(number, self, link, workspace, self.via)
                self._all.add(connection)
        finally:
            self._opening -= 1
            if not self._all:
                self.wake_next()
        return connection

    async def _dial(self, workspace: str) -> EndpointConnection | None:
        """Return a new connection, or None if the endpoint has too many."""
        started = trio.current_time()
        try:
            with trio.fail_after(OPEN_TIMEOUT_S):
                link = await self._dialer.open(self.row.entry, self.via, workspace)
        except trio.TooSlowError:
            self.row.record_unreachable(started)
            raise ExchangeError(f"{self.row.name} took no connection in time") from None
        except EndpointRefusedError as error:
            self._record_refusal(error)
            if error.at_limit:
                return None
            raise
        except ExchangeError:
            self.row.record_unreachable(started)
            raise
        self.row.record_contact(trio.current_time())
        return link

    def _record_refusal(self, error: EndpointRefusedError) -> None:
        if error.at_limit:
            self._refused_until = trio.current_time() + REFUSED_PAUSE_S
            # A refusal is an answer: the endpoint is full, not unresponsive.
            self.row.record_contact(trio.current_time())
        else:
            self.row.gone = True
            self.row.record_unreachable(trio.current_time())

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool; a broken one is closed."""
        if connection.broken:
            if connection in self._all:
                self._all.discard(connection)
                connection.link.close()
        elif connection in self._all:
            connection.idle_since = trio.current_time()
            self._idle.append(connection)
        self.wake_next()

    def trim(self, now: float) -> None:
        """Close connections beyond the share that have been idle for `EXTRA_IDLE_S`."""
        if not self._idle:
            return
        keep = 0 if self.row.gone else self.share()
        for connection in list(self._idle):
            if len(self._all) <= keep:
                return
            if self.row.gone or now - connection.idle_since > EXTRA_IDLE_S:
                self._idle.remove(connection)
                connection.close()

    def set_relay(self, via: str | None) -> None:
        """Open new connections through the box at ``via``, or directly if None."""
        self.via = via
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close every idle connection, as after a restart of the endpoint."""
        for connection in self._idle:
            connection.broken = True
            self._all.discard(connection)
            connection.link.close()
        self._idle.clear()
        self.wake_next()
