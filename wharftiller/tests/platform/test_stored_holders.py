"""The holders of a group's writes that stand on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio
import trio.testing

from standins.line_endpoints import LineServer
from standins.object_store import StoreMode
from wharftiller.daemons.sessions.leadership.holder_keeper import UNKNOWN_S
from wharftiller.tests.platform.synchronous_replicas import (
    BOXES,
    CRASH_S,
    DRAIN_S,
    GONE_LONG_S,
    NOTICED_S,
    check_nothing_lost,
    end_server,
    has_record,
    members,
    restart_together,
    run_with_synchronous_replicas,
    seats_of,
    seconds_until_writable,
    start_leaving,
    wait_until,
    write_seats,
)
from wharftiller.tests.platform.world import World, make_group, run_in_world

if TYPE_CHECKING:
    from wharftiller.edges.http_server import HttpRequest

LATE_S = 4.0
"""Time after which a late change takes effect, in seconds."""


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
