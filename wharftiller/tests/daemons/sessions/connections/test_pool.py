"""Tests of the connection pool: queueing, session setup, workspaces and idle connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import pytest
import trio
import trio.testing

from wharftiller.core.errors import EndpointRefusedError, ExchangeError
from wharftiller.core.sessions.endpoints import EndpointRow
from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.core.sessions.session import Session
from wharftiller.core.sessions.statements import (
    Access,
    Begin,
    EndpointBody,
    EndpointQuery,
    EndpointStatus,
    Prepare,
    PreparedStatement,
    Refusal,
    RefusalKind,
    Reply,
    ResetSession,
    SessionState,
    SetValue,
)
from wharftiller.core.sessions.wait_limits import WaitLimit
from wharftiller.core.sessions.workspaces import Workspace
from wharftiller.daemons.sessions.connections.pool import (
    EXTRA_CONNECTIONS,
    EXTRA_IDLE_S,
    REFUSED_PAUSE_S,
    EndpointPool,
)
from wharftiller.daemons.sessions.connections.pooled_connection import PooledConnection

OPEN_S = 0.012
GOAL_S = 0.25


class FakeConnection:
    """A connection that records what is written to it."""

    def __init__(self, dialer: FakeDialer) -> None:
        self._dialer = dialer
        self.is_usable = True
        self.refuses = False
        self.writes: list[list[EndpointBody]] = []

    async def ask(self, queries: Sequence[EndpointQuery]) -> list[Reply]:
        self.writes.append([query.body for query in queries])
        refusal = Refusal(RefusalKind.OTHER) if self.refuses else None
        return [Reply(SessionState.IDLE, refusal=refusal) for _ in queries]

    async def status(self) -> EndpointStatus | None:
        return None

    def close(self) -> None:
        self._dialer.free += 1


class FakeDialer:
    """Dialer of an endpoint that accepts ``free`` more connections."""

    def __init__(self, free: int) -> None:
        self.free = free
        self.open_attempts = 0

    async def open(
        self, entry: EndpointEntry, via: str | None = None, workspace: str = ""
    ) -> FakeConnection:
        self.open_attempts += 1
        await trio.sleep(OPEN_S)
        if not self.free:
            raise EndpointRefusedError("full", at_limit=True)
        self.free -= 1
        return FakeConnection(self)

    async def open_any(self, group: str, address: str) -> FakeConnection:
        raise AssertionError("a pool opens connections only to the endpoint that it knows")


def session() -> Session:
    return Session(1, "seats-db", "desk")


def make_pool(dialer: FakeDialer, share: int = 1) -> EndpointPool:
    entry = EndpointEntry("one", "seats", "10.2.0.1:5", "a", True, False)
    return EndpointPool(EndpointRow(entry), dialer, lambda: share)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


async def acquire(
    pool: EndpointPool,
    timeout_s: float = GOAL_S,
    *,
    priority: int = 1,
    of: Session | None = None,
) -> PooledConnection:
    """Acquire a connection for a session, waiting at most ``timeout_s`` seconds."""
    now = trio.current_time()
    limit = WaitLimit(now + timeout_s, now + timeout_s)
    return await pool.acquire(of or session(), priority, now, limit)


async def free_after(dialer: FakeDialer, seconds: float) -> None:
    await trio.sleep(seconds)
    dialer.free += 1


class TestFullEndpoint:
    """A statement must get a connection that becomes free within its latency goal."""

    def test_a_statement_gets_a_connection_freed_within_its_goal(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=0)
            pool = make_pool(dialer)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(free_after, dialer, 0.15)
                connection = await acquire(pool)
            assert isinstance(connection, PooledConnection)
            assert trio.current_time() < GOAL_S

        run(scenario)

    def test_a_statement_that_cannot_run_in_time_is_refused_at_once(self) -> None:
        async def scenario() -> None:
            pool = make_pool(FakeDialer(free=0))
            timeout_s = REFUSED_PAUSE_S / 2
            with pytest.raises(EndpointRefusedError):
                await acquire(pool, timeout_s)
            assert trio.current_time() < timeout_s

        run(scenario)

    def test_no_statement_waits_beyond_its_goal(self) -> None:
        async def scenario() -> None:
            pool = make_pool(FakeDialer(free=0))
            with pytest.raises(EndpointRefusedError):
                await acquire(pool)
            assert trio.current_time() <= GOAL_S + 0.001

        run(scenario)

    def test_waiting_statements_retry_the_endpoint_once_per_pause(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=0)
            pool = make_pool(dialer)

            async def ask() -> None:
                with pytest.raises(EndpointRefusedError):
                    await acquire(pool)

            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(ask)
            max_at_once = 3
            assert dialer.open_attempts <= max_at_once + GOAL_S / REFUSED_PAUSE_S

        run(scenario)

    def test_urgent_statements_go_first(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=0)
            pool = make_pool(dialer)
            served: list[int] = []

            async def ask(priority: int) -> None:
                connection = await acquire(pool, 2.0, priority=priority)
                served.append(priority)
                connection.release()

            async with trio.open_nursery() as nursery:
                for priority in (5, 3, 1):
                    nursery.start_soon(ask, priority)
                nursery.start_soon(free_after, dialer, 0.5)
            assert served == [1, 3, 5]

        run(scenario)

    def test_a_freed_connection_is_used_beside_an_idle_transaction(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=1)
            pool = make_pool(dialer)
            await acquire(pool)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(free_after, dialer, 0.15)
                await acquire(pool)
            assert pool.total == 2

        run(scenario)


class TestIdleConnections:
    def test_connections_beyond_the_share_close_when_idle(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=16)
            pool = make_pool(dialer)
            taken = [await acquire(pool) for _ in range(3)]
            for connection in taken:
                connection.release()
            # One statement at a time, each on the most recently used connection.
            for _ in range(10):
                await trio.sleep(EXTRA_IDLE_S / 4)
                (await acquire(pool)).release()
                pool.trim(trio.current_time())
            assert pool.total == 1
            assert dialer.free == 15

        run(scenario)


class TestSessionSetup:
    """A statement must never run with another session's values or prepared names."""

    SHAPE = PreparedStatement(Access.READ, "q1")

    async def connection(self) -> tuple[PooledConnection, FakeConnection]:
        pool = make_pool(FakeDialer(free=1))
        connection = await acquire(pool)
        link = connection.link
        assert isinstance(link, FakeConnection)
        return connection, link

    def test_session_setup_is_sent_in_one_write(self) -> None:
        async def scenario() -> None:
            connection, link = await self.connection()
            connection.values["zone"] = "north"
            caller = session()
            caller.values.update(lang="hu", unit="mm")
            await connection.apply_session(caller, self.SHAPE)
            reset, *values, prepare = link.writes[0]
            assert reset == ResetSession()
            assert values == [SetValue("lang", "hu"), SetValue("unit", "mm")]
            assert prepare == Prepare("p1", self.SHAPE)
            await connection.apply_session(caller, self.SHAPE)
            assert len(link.writes) == 1

        run(scenario)

    def test_a_transaction_opens_in_the_same_write(self) -> None:
        async def scenario() -> None:
            connection, link = await self.connection()
            caller = session()
            caller.values["lang"] = "hu"
            await connection.begin(caller, EndpointQuery(Begin(read_only=True)))
            assert link.writes == [[SetValue("lang", "hu"), Begin(read_only=True)]]

        run(scenario)

    def test_a_connection_that_refused_a_value_is_not_used_again(self) -> None:
        async def scenario() -> None:
            connection, link = await self.connection()
            link.refuses = True
            caller = session()
            caller.values["lang"] = "hu"
            with pytest.raises(ExchangeError):
                await connection.apply_session(caller, None)
            assert connection.broken
            assert connection.values == {}

        run(scenario)

    def test_session_setup_does_not_change_the_service_time(self) -> None:
        async def scenario() -> None:
            connection, _ = await self.connection()
            before = connection.pool.row.service_s
            caller = session()
            caller.values["lang"] = "hu"
            await connection.apply_session(caller, self.SHAPE)
            assert connection.pool.row.service_s == before

        run(scenario)


class TestWorkspaces:
    """A connection must run statements of a single workspace only."""

    @staticmethod
    def of(name: str) -> Session:
        return Session(1, "seats-db", "", Workspace(name))

    def test_a_workspace_gets_only_its_own_connections(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=16)
            pool = make_pool(dialer, share=4)
            for name in ("rila", "vitosha", "rila"):
                connection = await acquire(pool, of=self.of(name))
                assert connection.workspace == name
                connection.release()
            assert pool.total == 2
            assert dialer.open_attempts == 2

        run(scenario)

    def test_the_longest_idle_connection_is_replaced_at_the_limit(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=16)
            pool = make_pool(dialer)
            for name in ("rila", "vitosha", "pirin"):
                (await acquire(pool, of=self.of(name))).release()
            total_before = pool.total
            (await acquire(pool, of=self.of("rodopi"))).release()
            assert pool.total == total_before == 1 + EXTRA_CONNECTIONS
            assert pool.counts.replaced == 1
            open_attempts = dialer.open_attempts
            (await acquire(pool, of=self.of("vitosha"))).release()
            assert dialer.open_attempts == open_attempts

        run(scenario)

    def test_an_idle_connection_of_another_workspace_is_replaced_at_once(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=1)
            pool = make_pool(dialer)
            (await acquire(pool, of=self.of("rila"))).release()
            started = trio.current_time()
            connection = await acquire(pool, of=self.of("vitosha"))
            assert connection.workspace == "vitosha"
            assert trio.current_time() - started < REFUSED_PAUSE_S

        run(scenario)

    def test_statements_of_the_box_run_on_connections_of_any_workspace(self) -> None:
        async def scenario() -> None:
            dialer = FakeDialer(free=16)
            pool = make_pool(dialer)
            (await acquire(pool, of=self.of("rila"))).release()
            (await pool.acquire_for_box(0, GOAL_S)).release()
            assert dialer.open_attempts == 1

        run(scenario)

    def test_a_waiting_workspace_replaces_a_released_connection(self) -> None:
        async def scenario() -> None:
            pool = make_pool(FakeDialer(free=3))
            taken = [await acquire(pool, of=self.of("rila")) for _ in range(3)]
            got: list[str] = []

            async def ask(name: str) -> None:
                connection = await acquire(pool, of=self.of(name))
                got.append(connection.workspace)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, "vitosha")
                await trio.sleep(0.1)
                taken[0].release()
            assert got == ["vitosha"]

        run(scenario)
