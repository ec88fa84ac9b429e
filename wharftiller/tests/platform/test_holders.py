"""Who may hold an acknowledged write outlives every process that knows it.

The group's replicas are synchronous: a write is on the primary and on one replica, which one is
not known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio
import trio.testing

from standins.line_endpoints import LineServer
from standins.object_store import StoreMode
from wharftiller.daemons.sessions.leadership.holder_keeper import UNKNOWN_S
from wharftiller.tests.platform.holder_histories import HolderHistory
from wharftiller.tests.platform.synchronous_replicas import (
    CRASH_S,
    DRAIN_S,
    FAILOVER_S,
    end_server,
    run_with_synchronous_replicas,
    seats_of,
    seconds_until_writable,
    start_leaving,
    wait_until,
    write_seats,
)
from wharftiller.tests.platform.world import World, make_group, run_in_world

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.edges.http_server import HttpRequest

BOXES = 4

LATE_S = 4.0
"""Time after which a late change takes effect, in seconds."""

NOTICED_S = 8.0
"""Time within which a change of the stored holders is noticed and mended, in seconds."""

DOWN_S = 1.5
"""Time for which killed boxes are down, in seconds."""

SUCCESSOR_S = 8.0
"""Time after a restart of all boxes within which a replica in step leads, in seconds."""

SERVES_ON_S = 10.0
"""Time for which a replica has served on once its entry went, in seconds: `DrainMs` and more."""

UNVERIFIED_S = 30.0
"""Time within which an unverified primary is replaced, in seconds."""

GONE_LONG_S = 25.0
"""Time after which a holder that crashed without a word is no longer waited for, in seconds."""


def members(world: World) -> dict[str, list[str]]:
    """Return the stored holders of the group."""
    spec = world.store.spec("wharftiller", "holders.seats")
    return {} if spec is None else spec["members"]


def has_record(world: World) -> bool:
    """Return whether a primary is recorded."""
    return world.store.spec("wharftiller", "leadership") is not None


async def restart_together(world: World) -> None:
    """Kill all boxes at once and start them again."""
    for number in range(1, BOXES + 1):
        await world.kill_box(world.boxes[f"box-{number}"])
    await trio.sleep(DOWN_S)
    for number in range(1, BOXES + 1):
        await world.start_box(number, "abca"[number - 1])


async def restart_in_turn(world: World) -> None:
    """Kill one box after the other and start each again."""
    for number in range(1, BOXES + 1):
        await world.kill_box(world.boxes[f"box-{number}"])
        await trio.sleep(DOWN_S / 2)
        await world.start_box(number, "abca"[number - 1])


async def restart_twice(world: World) -> None:
    """Restart all boxes, and again as soon as they have found each other."""
    await restart_together(world)
    await trio.sleep(1.0)
    await restart_together(world)


RESTARTS = [restart_together, restart_in_turn, restart_twice]


async def bring_back(world: World, server: LineServer) -> None:
    """Have a crashed primary answer again, with its log."""
    server.down = False
    world.network.heal()


async def check_nothing_lost(world: World, old: LineServer, seats: set[str]) -> None:
    """Check that the group serves again and holds ``seats`` once its old primary is back."""
    group = world.groups[0]
    for server in group.servers:
        server.replication_suspended = False
    await bring_back(world, old)
    await seconds_until_writable(world, 12.0)
    assert seats <= seats_of(group.primary)


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
            for number in range(1, BOXES + 1):
                await world.kill_box(world.boxes[f"box-{number}"])
            world.store.restore(backup)
            for number in range(1, BOXES + 1):
                await world.start_box(number, "abca"[number - 1])
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
            for number in range(1, BOXES + 1):
                await world.kill_box(world.boxes[f"box-{number}"])
            world.store.restore(backup)
            for number in range(1, BOXES + 1):
                await world.start_box(number, "abca"[number - 1])
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
            for number in range(1, BOXES + 1):
                await world.kill_box(world.boxes[f"box-{number}"])
            for server in replicas:
                end_server(world, server)
            world.store.restore(backup)
            for number in range(1, BOXES + 1):
                await world.start_box(number, "abca"[number - 1])
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
            for number in range(1, BOXES + 1):
                await world.kill_box(world.boxes[f"box-{number}"])
            world.store.restore(backup)
            for number in range(1, BOXES + 1):
                await world.start_box(number, "abca"[number - 1])
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


class TestStoredHolders:
    """The holders that stand on the platform."""

    def test_they_are_stored_before_the_first_primary_is_recorded(self) -> None:
        async def scenario(world: World) -> None:
            record = world.store.first_revision("wharftiller", "leadership")
            holders = world.store.first_revision("wharftiller", "holders.seats")
            assert holders < record
            assert set(members(world)) == {each.address for each in world.groups[0].servers}

        run_with_synchronous_replicas(scenario)

    def test_no_primary_is_recorded_while_they_cannot_be_stored(self) -> None:
        def is_late(request: HttpRequest) -> float | None:
            is_holders = request.method == "POST" and b"holders.seats" in request.body
            return LATE_S if is_holders else None

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                world = World(nursery, [make_group(sync_replicas=1)])
                await world.start()
                world.store.done_late_s = is_late
                for number in range(1, BOXES + 1):
                    await world.start_box(number)
                await trio.sleep(LATE_S - 0.5)
                assert not has_record(world)
                await wait_until(lambda: bool(members(world)), NOTICED_S)
                await wait_until(lambda: has_record(world), NOTICED_S)
                await seconds_until_writable(world, NOTICED_S)
                nursery.cancel_scope.cancel()

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_one_write_for_each_endpoint_that_comes_or_goes_and_none_for_a_restart(self) -> None:
        async def scenario(world: World) -> None:
            old, leaving, _ = world.groups[0].servers
            writes = world.store.count_changes("wharftiller", "holders.seats")
            assert writes == 1
            joined = LineServer("seats-3", old.group, "10.2.3.1:5", "b", log=list(old.log))
            old.group.servers.append(joined)
            await world.start_server(joined)
            await trio.sleep(3.0)
            assert joined.address in members(world)
            start_leaving(world, leaving)
            await trio.sleep(DRAIN_S)
            await write_seats(world)
            end_server(world, leaving)
            await trio.sleep(4.0)
            assert leaving.address not in members(world)
            await restart_together(world)
            await trio.sleep(4.0)
            assert world.store.count_changes("wharftiller", "holders.seats") == writes + 2

        run_with_synchronous_replicas(scenario)

    def test_a_holder_stays_while_no_other_one_has_its_writes(self) -> None:
        async def scenario(world: World) -> None:
            _, leaving, other = world.groups[0].servers
            start_leaving(world, leaving)
            await trio.sleep(DRAIN_S)
            other.replication_suspended = True
            await write_seats(world)
            end_server(world, leaving)
            await trio.sleep(GONE_LONG_S)
            assert leaving.address in members(world)
            other.replication_suspended = False
            joined = await write_seats(world, first=100)
            await trio.sleep(4.0)
            assert joined <= seats_of(other)
            assert leaving.address not in members(world)

        run_with_synchronous_replicas(scenario)

    def test_an_endpoint_that_is_not_listed_and_answers_stays_a_holder(self) -> None:
        async def scenario(world: World) -> None:
            _, removed, _ = world.groups[0].servers
            world.store.remove("servers", removed.name)
            await write_seats(world)
            await trio.sleep(GONE_LONG_S)
            await write_seats(world, first=100)
            await trio.sleep(2.0)
            assert removed.address in members(world)

        run_with_synchronous_replicas(scenario)

    def test_a_holder_that_is_silent_to_one_box_only_stays(self) -> None:
        async def scenario(world: World) -> None:
            _, removed, _ = world.groups[0].servers
            world.store.remove("servers", removed.name)
            ip = removed.address.partition(":")[0]
            world.network.cut([ip], [f"10.1.0.{number}" for number in range(1, BOXES)])
            await trio.sleep(GONE_LONG_S)
            await write_seats(world)
            await trio.sleep(2.0)
            assert removed.address in members(world)

        run_with_synchronous_replicas(scenario)


class TestChangesOfTheStoredHolders:
    """Changes that are late, lost or undone by a restored platform."""

    def test_a_holder_that_a_late_write_removed_is_stored_again(self) -> None:
        async def scenario(world: World) -> None:
            _, replica, _ = world.groups[0].servers
            late: list[str] = []

            def is_late(request: HttpRequest) -> float | None:
                if request.method != "PUT" or not request.path.endswith("holders.seats"):
                    return None
                late.append(request.path)
                return LATE_S

            world.store.remove("servers", replica.name)
            replica.down = True
            world.network.kill(replica.address.partition(":")[0])
            world.store.done_late_s = is_late
            await write_seats(world)
            await wait_until(lambda: bool(late), 8.0)
            await world.start_server(replica)
            await wait_until(lambda: replica.address not in members(world), LATE_S + 1.0)
            world.store.done_late_s = lambda request: None
            await wait_until(lambda: replica.address in members(world), NOTICED_S)

        run_with_synchronous_replicas(scenario)

    def test_a_change_without_an_answer_is_made(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.store.lose_answers = 2
            joined = LineServer("seats-3", group, "10.2.3.1:5", "b", log=list(group.primary.log))
            group.servers.append(joined)
            await world.start_server(joined)
            await wait_until(lambda: joined.address in members(world), NOTICED_S)
            await trio.sleep(NOTICED_S)
            assert len(members(world)) == len(group.servers)

        run_with_synchronous_replicas(scenario)

    def test_an_endpoint_that_registered_in_an_outage_is_stored_after_it(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.store.mode = StoreMode.UNAVAILABLE
            await trio.sleep(2.0)
            joined = LineServer("seats-3", group, "10.2.3.1:5", "b", log=list(group.primary.log))
            group.servers.append(joined)
            await world.start_server(joined)
            await trio.sleep(5.0)
            world.store.mode = StoreMode.NORMAL
            await wait_until(lambda: joined.address in members(world), NOTICED_S)

        run_with_synchronous_replicas(scenario)

    def test_a_restored_platform_gets_back_the_holders_that_a_box_knows(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            backup = world.store.copy()
            joined = LineServer("seats-3", group, "10.2.3.1:5", "b", log=list(group.primary.log))
            group.servers.append(joined)
            await world.start_server(joined)
            await wait_until(lambda: joined.address in members(world), NOTICED_S)
            world.store.remove("servers", joined.name)
            world.store.restore(backup)
            assert joined.address not in members(world)
            await wait_until(lambda: joined.address in members(world), NOTICED_S)

        run_with_synchronous_replicas(scenario)

    def test_a_restored_platform_does_not_bring_back_holders_removed_since(self) -> None:
        async def scenario(world: World) -> None:
            _, leaving, _ = world.groups[0].servers
            start_leaving(world, leaving)
            await write_seats(world)
            await trio.sleep(DRAIN_S)
            backup = world.store.copy()
            end_server(world, leaving)
            await wait_until(lambda: leaving.address not in members(world), NOTICED_S)
            world.store.restore(backup)
            assert leaving.address in members(world)
            await wait_until(lambda: leaving.address not in members(world), NOTICED_S)

        run_with_synchronous_replicas(scenario)

    @pytest.mark.parametrize("spec", [7, {}, {"members": [1]}, {"members": {"nowhere": ["x"]}}])
    def test_an_unreadable_object_is_written_anew(self, spec: Any) -> None:
        async def scenario(world: World) -> None:
            world.store.set("wharftiller", "holders.seats", spec)
            await trio.sleep(UNKNOWN_S)
            await write_seats(world)
            await trio.sleep(NOTICED_S)
            assert set(members(world)) == {each.address for each in world.groups[0].servers}

        run_with_synchronous_replicas(scenario)


class TestRaisedSyncReplicas:
    """A configuration makes the replicas of a group synchronous that has no stored holders."""

    @pytest.mark.parametrize("raised_s", [0.5, 5.0, 25.0])
    def test_no_write_is_lost_after_it(self, raised_s: float) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            old, leaving, other = group.servers
            group.sync_replicas = 1
            world.configure(2)
            await trio.sleep(raised_s)
            start_leaving(world, leaving)
            await trio.sleep(DRAIN_S - 1.0)
            other.replication_suspended = True
            seats = await write_seats(world)
            end_server(world, leaving)
            world.kill_server(old)
            await restart_together(world)
            await trio.sleep(CRASH_S)
            assert not other.leads
            await check_nothing_lost(world, old, seats)

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)


class TestRandomHistories:
    @pytest.mark.parametrize("restores", [False, True])
    @pytest.mark.parametrize("seed", [0, 1, 2, 31])
    def test_no_promotion_loses_a_write(
        self, seed: int, restores: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        history = HolderHistory(seed, restores=restores)
        history.run(monkeypatch)
        assert history.lost == []
