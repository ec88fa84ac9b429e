"""Who may hold an acknowledged write outlives every process that knows it.

The group's replicas are synchronous: a write is on the primary and on one replica, which one is
not known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from standins.line_endpoints import LineServer
from wharftiller.tests.platform.holder_histories import HolderHistory
from wharftiller.tests.platform.synchronous_replicas import (
    CRASH_S,
    DRAIN_S,
    FAILOVER_S,
    GONE_LONG_S,
    RESTARTS,
    check_nothing_lost,
    end_server,
    kill_all,
    restart_together,
    run_with_synchronous_replicas,
    seats_of,
    seconds_until_writable,
    start_all,
    start_leaving,
    wait_until,
    write_seats,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.tests.platform.world import World

SUCCESSOR_S = 8.0
"""Time after a restart of all boxes within which a replica in step leads, in seconds."""

SERVES_ON_S = 10.0
"""Time for which a replica has served on once its entry went, in seconds: `DrainMs` and more."""

UNVERIFIED_S = 30.0
"""Time within which an unverified primary is replaced, in seconds."""


class TestAllBoxesRestarted:
    """No process is left that knows of the replica that held the writes."""

    @pytest.mark.parametrize("restart", RESTARTS)
    @pytest.mark.parametrize("is_announced", [True, False])
    @pytest.mark.parametrize("end_after_crash_s", [-1.0, 1.0])
    def test_a_lagging_replica_is_not_promoted(
        self,
        restart: Callable[[World], Any],
        is_announced: bool,
        end_after_crash_s: float,
    ) -> None:
        async def scenario(world: World) -> None:
            old, leaving, other = world.groups[0].servers
            if is_announced:
                start_leaving(world, leaving)
            else:
                world.store.remove("servers", leaving.name)
            await trio.sleep(DRAIN_S - 3.0)
            other.replication_suspended = True
            seats = await write_seats(world)
            if end_after_crash_s < 0:
                end_server(world, leaving)
                await trio.sleep(-end_after_crash_s)
            world.kill_server(old)
            if end_after_crash_s > 0:
                await trio.sleep(end_after_crash_s)
                end_server(world, leaving)
            await restart(world)
            await trio.sleep(CRASH_S)
            assert not other.leads
            await check_nothing_lost(world, old, seats)

        run_with_synchronous_replicas(scenario)

    def test_a_lagging_replica_is_not_promoted_after_an_earlier_failover(self) -> None:
        async def scenario(world: World) -> None:
            first, second, other = world.groups[0].servers
            other.replication_suspended = True
            seats = await write_seats(world)
            world.kill_server(first)
            await wait_until(lambda: second.leads, FAILOVER_S)
            world.store.remove("servers", first.name)
            await trio.sleep(4.0)
            world.kill_server(second)
            await restart_together(world)
            await trio.sleep(CRASH_S)
            assert not other.leads
            await check_nothing_lost(world, second, seats)

        run_with_synchronous_replicas(scenario)

    def test_a_replica_that_crashed_without_a_word_is_waited_for(self) -> None:
        async def scenario(world: World) -> None:
            old, crashed, other = world.groups[0].servers
            other.replication_suspended = True
            seats = await write_seats(world)
            world.kill_server(crashed)
            world.kill_server(old)
            await trio.sleep(3.6)
            world.store.remove("servers", crashed.name)
            await restart_together(world)
            await trio.sleep(GONE_LONG_S)
            assert not other.leads
            crashed.down = False
            await check_nothing_lost(world, old, seats)

        run_with_synchronous_replicas(scenario)


class TestRestoredPlatform:
    """All boxes have ended when the platform is restored, so the primary is unverified."""

    @pytest.mark.parametrize("backup_s", [0.5, DRAIN_S])
    def test_a_lagging_replica_is_not_promoted(self, backup_s: float) -> None:
        async def scenario(world: World) -> None:
            old, leaving, other = world.groups[0].servers
            start_leaving(world, leaving)
            await trio.sleep(DRAIN_S - backup_s)
            backup = world.store.copy()
            await trio.sleep(backup_s)
            other.replication_suspended = True
            seats = await write_seats(world)
            end_server(world, leaving)
            world.kill_server(old)
            await kill_all(world)
            world.store.restore(backup)
            await start_all(world)
            await trio.sleep(UNVERIFIED_S)
            assert not other.leads
            await check_nothing_lost(world, old, seats)

        run_with_synchronous_replicas(scenario)

    def test_an_unregistered_endpoint_that_holds_more_is_not_passed_over(self) -> None:
        async def scenario(world: World) -> None:
            old, removed, other = world.groups[0].servers
            backup = world.store.copy()
            other.replication_suspended = True
            seats = await write_seats(world)
            world.store.remove("servers", removed.name)
            world.kill_server(old)
            world.store.remove("servers", old.name)
            await kill_all(world)
            world.store.restore(backup)
            await start_all(world)
            await trio.sleep(UNVERIFIED_S)
            assert not other.leads
            world.register(old)
            await check_nothing_lost(world, old, seats)

        run_with_synchronous_replicas(scenario)

    def test_a_primary_that_leads_on_is_served_beside_holders_that_have_ended(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            old, *replicas = group.servers
            backup = world.store.copy()
            joined = LineServer("seats-3", group, "10.2.3.1:5", "b", log=list(old.log))
            group.servers.append(joined)
            await world.start_server(joined)
            seats = await write_seats(world)
            await kill_all(world)
            for server in replicas:
                end_server(world, server)
            world.store.restore(backup)
            await start_all(world)
            await seconds_until_writable(world, UNVERIFIED_S)
            assert seats <= seats_of(old)
            assert group.primary is old

        run_with_synchronous_replicas(scenario)

    def test_a_replica_in_step_takes_over(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            old = group.servers[0]
            backup = world.store.copy()
            seats = await write_seats(world)
            await trio.sleep(0.2)
            world.kill_server(old)
            await kill_all(world)
            world.store.restore(backup)
            await start_all(world)
            await wait_until(lambda: group.primary is not old, UNVERIFIED_S)
            assert seats <= seats_of(group.primary)

        run_with_synchronous_replicas(scenario)


class TestUnregisteredReplica:
    """A replica whose entry went without a word serves on, and alone holds writes."""

    @pytest.mark.parametrize("restart", [None, *RESTARTS])
    def test_a_lagging_replica_is_not_promoted_while_it_serves(
        self, restart: Callable[[World], Any] | None
    ) -> None:
        async def scenario(world: World) -> None:
            old, removed, other = world.groups[0].servers
            world.store.remove("servers", removed.name)
            await trio.sleep(SERVES_ON_S)
            other.replication_suspended = True
            seats = await write_seats(world)
            await trio.sleep(1.0)
            world.kill_server(old)
            if restart is not None:
                await restart(world)
            await trio.sleep(CRASH_S)
            assert not other.leads
            await check_nothing_lost(world, old, seats)

        run_with_synchronous_replicas(scenario)


class TestNothingCanBeLost:
    """All boxes restart and the primary never returns: a replica in step takes over."""

    @pytest.mark.parametrize("restart", RESTARTS)
    def test_with_every_replica(self, restart: Callable[[World], Any]) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            seats = await write_seats(world)
            await trio.sleep(0.2)
            world.kill_server(group.servers[0])
            await restart(world)
            await wait_until(lambda: group.primary is not group.servers[0], SUCCESSOR_S)
            assert seats <= seats_of(group.primary)

        run_with_synchronous_replicas(scenario)

    @pytest.mark.parametrize("gone_s", [2.0, 6.0, 20.0])
    def test_beside_a_replica_that_left_as_planned(self, gone_s: float) -> None:
        async def scenario(world: World) -> None:
            old, leaving, other = world.groups[0].servers
            start_leaving(world, leaving)
            seats = await write_seats(world)
            await trio.sleep(DRAIN_S)
            end_server(world, leaving)
            await trio.sleep(gone_s)
            world.kill_server(old)
            await restart_together(world)
            await wait_until(lambda: other.leads, SUCCESSOR_S)
            assert seats <= seats_of(other)

        run_with_synchronous_replicas(scenario)

    def test_beside_a_replica_that_crashed_long_before(self) -> None:
        async def scenario(world: World) -> None:
            old, crashed, other = world.groups[0].servers
            world.kill_server(crashed)
            await trio.sleep(3.6)
            world.store.remove("servers", crashed.name)
            seats = await write_seats(world)
            await trio.sleep(GONE_LONG_S)
            world.kill_server(old)
            await restart_together(world)
            await wait_until(lambda: other.leads, SUCCESSOR_S)
            assert seats <= seats_of(other)

        run_with_synchronous_replicas(scenario)

    @pytest.mark.parametrize("restart", RESTARTS)
    def test_beside_a_replica_that_serves_on_without_an_entry(
        self, restart: Callable[[World], Any]
    ) -> None:
        async def scenario(world: World) -> None:
            old, removed, other = world.groups[0].servers
            world.store.remove("servers", removed.name)
            await trio.sleep(SERVES_ON_S)
            seats = await write_seats(world)
            await trio.sleep(0.2)
            world.kill_server(old)
            await restart(world)
            await wait_until(lambda: other.leads, SUCCESSOR_S)
            assert seats <= seats_of(other)

        run_with_synchronous_replicas(scenario)

    def test_beside_a_former_primary_that_never_returned(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            first = group.servers[0]
            world.kill_server(first)
            await wait_until(lambda: group.primary is not first, FAILOVER_S)
            second = group.primary
            world.store.remove("servers", first.name)
            await trio.sleep(1.0)
            seats = await write_seats(world)
            await trio.sleep(GONE_LONG_S)
            world.kill_server(second)
            await restart_together(world)
            await wait_until(lambda: group.primary not in (first, second), SUCCESSOR_S)
            assert seats <= seats_of(group.primary)

        run_with_synchronous_replicas(scenario)


class TestRandomHistories:
    @pytest.mark.parametrize("restores", [False, True])
    @pytest.mark.parametrize("seed", [0, 1, 2, 31])
    def test_no_promotion_loses_a_write(
        self, seed: int, restores: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        history = HolderHistory(seed, restores=restores)
        history.run(monkeypatch)
        assert history.lost == []
