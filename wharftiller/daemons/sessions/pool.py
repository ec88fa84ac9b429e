"""Kept connections to one endpoint: shared by sessions, limited, opened when missed."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.concurrency import ConcurrencyLimit
from wharftiller.core.sessions.statements import (
    EndpointQuery,
    Prepare,
    PreparedStatement,
    RefusalKind,
    Reply,
    ResetSession,
    SessionState,
    SetValue,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.session import Session
    from wharftiller.daemons.sessions.seams import EndpointConnection, EndpointDialer

OPEN_TIMEOUT_S = 0.7
"""Time to open a connection, in seconds: a lost first packet is sent again after more."""

REFUSED_PAUSE_S = 0.5
"""Time without new connections after an endpoint said that it has too many, in seconds."""

EXTRA_CONNECTIONS = 2
"""Connections beyond the box's share that are opened when all are in use."""

EXTRA_IDLE_S = 4.0
"""Time after which an unused connection beyond the share is closed, in seconds."""

PREPARED_KEPT = 200
"""Prepared names kept on one connection before it is reset."""

MAINTENANCE_S = 1.0
"""Time between looks for connections to close, in seconds."""


@attrs.define(eq=False)
class PooledConnection:
    """A connection and what is known to be set on it.

    Attributes
    ----------
    via : str or None
        Address of the box that it goes through.
    values : dict of str to str
        Session values that are set on it.
    prepared : dict of PreparedStatement to str
        The names that it knows prepared statements by.
    broken : bool
        Whether it must not be used again.
    asking : bool
        Whether a statement runs on it.
    """

    number: int
    pool: EndpointPool
    link: EndpointConnection
    via: str | None = None
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[PreparedStatement, str] = attrs.field(factory=dict)
    idle_since: float = 0.0
    broken: bool = False
    asking: bool = False

    async def ask(self, query: EndpointQuery) -> Reply:
        """Run one statement; the connection is useless unless an answer comes.

        Raises
        ------
        ExchangeError
            If the connection breaks first.
        """
        row = self.pool.row
        row.sent(self.number, trio.current_time())
        done = False
        self.asking = True
        try:
            reply = await self.link.ask(query)
            done = True
        finally:
            self.asking = False
            self.pool.wake_next()
            if not done:
                self.broken = True
                row.given_up(self.number, trio.current_time())
        row.answered(self.number, trio.current_time(), reply.position)
        if reply.refusal is not None and reply.refusal.kind is RefusalKind.NO_CAPACITY:
            self.pool.note_busy()
        else:
            self.pool.note_answered()
        return attrs.evolve(reply, endpoint=row.name)

    async def take_on(
        self, session: Session, needed: PreparedStatement | None, *, may_reset: bool = True
    ) -> None:
        """Give the connection the session's values and the prepared name that is needed.

        Parameters
        ----------
        may_reset : bool
            False inside a transaction, whose session can only have gained values.
        """
        extra = self.values.keys() - session.values.keys()
        if may_reset and (extra or len(self.prepared) > PREPARED_KEPT):
            await self._run_own(ResetSession())
            self.values.clear()
            self.prepared.clear()
        for name, value in session.values.items():
            if self.values.get(name) != value:
                await self._run_own(SetValue(name, value))
                self.values[name] = value
        if needed is not None and needed not in self.prepared:
            name = f"p{len(self.prepared) + 1}"
            await self._run_own(Prepare(name, needed))
            self.prepared[needed] = name

    async def _run_own(self, body: ResetSession | SetValue | Prepare) -> None:
        """Run a statement of this box's own."""
        reply = await self.ask(EndpointQuery(body))
        if reply.refusal is not None:
            self.broken = True
            raise ExchangeError(f"{self.pool.row.name} refused {body}: {reply.refusal}")

    def close(self) -> None:
        """Close it and give its place to another."""
        self.broken = True
        self.pool.release(self)

    def release(self, state: SessionState = SessionState.IDLE) -> None:
        """Give it back; closed unless it stands outside any transaction."""
        if state is not SessionState.IDLE:
            self.broken = True
        self.pool.release(self)


@attrs.define(eq=False)
class EndpointPool:
    """All of this box's connections to one endpoint.

    Attributes
    ----------
    share : callable
        Returns how many connections this box may keep to it.
    via : str or None
        Address of the box through which new connections go.
    """

    row: EndpointRow
    _dialer: EndpointDialer
    share: Callable[[], int]
    via: str | None = None
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    _idle: list[PooledConnection] = attrs.field(factory=list)
    _all: set[PooledConnection] = attrs.field(factory=set)
    _opening: int = 0
    _waiters: list[tuple[int, int, trio.Event]] = attrs.field(factory=list)
    _limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    _refused_until: float = 0.0

    @property
    def in_use(self) -> int:
        """Statements and transactions on it, and those that wait for a connection."""
        return len(self._all) - len(self._idle) + self._opening + len(self._waiters)

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open that nobody uses."""
        return bool(self._idle)

    @property
    def total(self) -> int:
        """Connections open or opening."""
        return len(self._all) + self._opening

    @property
    def _running(self) -> int:
        """Connections on which a statement runs, or that are opening.

        Those of transactions that rest between statements take nothing of the endpoint.
        """
        return sum(1 for each in self._all if each.asking) + self._opening

    def note_busy(self) -> None:
        """Note that the endpoint was too busy for a statement: fewer run at once from now on."""
        self._limit.busy(self._running, trio.current_time())

    def note_answered(self) -> None:
        """Note an answer; one that lets another statement run wakes who waits for it."""
        before = self._limit.places(self.share() + EXTRA_CONNECTIONS)
        self._limit.answered()
        if self._limit.places(self.share() + EXTRA_CONNECTIONS) > before:
            self.wake_next()

    async def acquire(self, session: Session, priority: int, patience_s: float) -> PooledConnection:
        """Return a connection for one session's use, waiting for one if need be.

        Parameters
        ----------
        patience_s : float
            Longest wait, in seconds. Where those ahead will take longer than that, it is
            not begun at all.

        Raises
        ------
        EndpointRefusedError
            If the endpoint takes no connection and this box has none to it.
        ExchangeError
            If it cannot be reached.
        """
        ticket = next(self._numbers)
        until = trio.current_time() + patience_s
        while True:
            self._drop_closed()
            if self._running >= self._limit.places(self.share() + EXTRA_CONNECTIONS):
                await self._wait(priority, ticket, until)
                continue
            if self._idle:
                return self._take_idle(session)
            now = trio.current_time()
            if self.total < self.share() + EXTRA_CONNECTIONS and now >= self._refused_until:
                opened = await self._open()
                if opened is not None:
                    return opened
            elif not self._all:
                raise EndpointRefusedError(f"{self.row.name} has no free place", at_limit=True)
            else:
                await self._wait(priority, ticket, until)

    def _drop_closed(self) -> None:
        """Close idle connections that the endpoint has closed."""
        for connection in [each for each in self._idle if not each.link.usable]:
            self._idle.remove(connection)
            self._all.discard(connection)
            connection.link.close()

    def _take_idle(self, session: Session) -> PooledConnection:
        """Take the connection last used with the session's values, else the last used at all."""
        for connection in reversed(self._idle):
            if connection.values == session.values:
                break
        else:
            connection = self._idle[-1]
        self._idle.remove(connection)
        return connection

    def _expected_wait_s(self, priority: int, ticket: int) -> float:
        """Return how long those ahead will take, in seconds."""
        ahead = sum(1 for each in self._waiters if each[:2] < (priority, ticket))
        places = max(1, self._limit.places(self.share() + EXTRA_CONNECTIONS))
        return (ahead + 1) * self.row.service_s / places

    async def _wait(self, priority: int, ticket: int, until: float) -> None:
        """Wait for a connection; the lower ``priority`` goes first, then who came first.

        Raises
        ------
        EndpointRefusedError
            If none comes by ``until`` (seconds), or surely not by then.
        """
        expected_s = self._expected_wait_s(priority, ticket)
        if trio.current_time() + expected_s > until:
            detail = f"the queue for {self.row.name} takes {expected_s:.2f} s"
            raise EndpointRefusedError(detail, at_limit=True)
        woken = trio.Event()
        entry = (priority, ticket, woken)
        heapq.heappush(self._waiters, entry)
        try:
            with trio.move_on_at(until):
                await woken.wait()
                return
        except trio.Cancelled:
            self._leave_queue(entry)
            raise
        self._leave_queue(entry)
        raise EndpointRefusedError(f"{self.row.name} had no free place in time", at_limit=True)

    def _leave_queue(self, entry: tuple[int, int, trio.Event]) -> None:
        """Wait no longer; who was woken meanwhile passes that on."""
        if entry in self._waiters:
            self._waiters.remove(entry)
            heapq.heapify(self._waiters)
        else:
            self.wake_next()

    def wake_next(self) -> None:
        """Wake who waits first."""
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()

    async def _open(self) -> PooledConnection | None:
        """Open a connection; None if the endpoint has too many and others may come free."""
        self._opening += 1
        started = trio.current_time()
        try:
            with trio.fail_after(OPEN_TIMEOUT_S):
                link = await self._dialer.open(self.row.entry, self.via)
        except trio.TooSlowError:
            self.row.failed(started)
            raise ExchangeError(f"{self.row.name} took no connection in time") from None
        except EndpointRefusedError as error:
            self._refused(error)
            if error.at_limit and self._all:
                return None
            raise
        except ExchangeError:
            self.row.failed(started)
            raise
        finally:
            self._opening -= 1
            if not self._all:
                self.wake_next()
        self.row.heard(trio.current_time())
        connection = PooledConnection(next(self._numbers), self, link, self.via)
        self._all.add(connection)
        return connection

    def _refused(self, error: EndpointRefusedError) -> None:
        if error.at_limit:
            self._refused_until = trio.current_time() + REFUSED_PAUSE_S
            # It answered: it is full, not silent.
            self.row.heard(trio.current_time())
        else:
            self.row.gone = True
            self.row.failed(trio.current_time())

    def release(self, connection: PooledConnection) -> None:
        """Take back a connection."""
        if connection.broken:
            if connection in self._all:
                self._all.discard(connection)
                connection.link.close()
        elif connection in self._all:
            connection.idle_since = trio.current_time()
            self._idle.append(connection)
        self.wake_next()

    def trim(self, now: float) -> None:
        """Close idle connections beyond the share that were not used lately."""
        keep = 0 if self.row.gone else self.share()
        for connection in list(self._idle):
            if len(self._all) <= keep:
                return
            if self.row.gone or now - connection.idle_since > EXTRA_IDLE_S:
                self._idle.remove(connection)
                connection.close()

    def change_way(self, via: str | None) -> None:
        """Open connections through another box from here on, or directly."""
        self.via = via
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close every idle connection: the endpoint may not be what it was."""
        for connection in self._idle:
            connection.broken = True
            self._all.discard(connection)
            connection.link.close()
        self._idle.clear()
        self.wake_next()
