"""A group that waits for a complete replica holds up no other group, and serves if it can."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from wharftiller.tests.platform.synchronous_replicas import (
    DRAIN_S,
    FAILOVER_S,
    end_server,
    holder_of_failover,
    seats_of,
    start_leaving,
    wait_until,
    write_seats,
)
from wharftiller.tests.platform.world import make_group, run_in_world, write_until_acknowledged

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from wharftiller.tests.platform.world import World

WAITING_S = 10.0
"""Time for which the first group waits before the other one fails, in seconds."""

MAX_CHANGES_PER_S = 1.0
"""Changes of the record of leadership a second while a group waits."""


def run_with_two_groups(scenario: Callable[[World], Awaitable[None]]) -> None:
    """Run a scenario with two groups whose writes need one replica."""
    groups = [make_group(sync_replicas=1), make_group("rooms", network=3, sync_replicas=1)]
    run_in_world(scenario, groups=groups, boxes=4)


async def lose_all_who_hold_the_writes(world: World) -> None:
    """Leave the first group with a replica that lacks acknowledged writes."""
    old, leaving, other = world.groups[0].servers
    start_leaving(world, leaving)
    other.replication_suspended = True
    await write_seats(world)
    await trio.sleep(DRAIN_S)
    end_server(world, leaving)
    world.kill_server(old)


class TestOtherGroup:
    @pytest.mark.parametrize("waiting_s", [0.0, WAITING_S])
    def test_it_gets_a_new_primary(self, waiting_s: float) -> None:
        async def scenario(world: World) -> None:
            waiting, other = world.groups
            await lose_all_who_hold_the_writes(world)
            await trio.sleep(FAILOVER_S + waiting_s)
            world.kill_server(other.servers[0])
            await wait_until(lambda: other.primary is not other.servers[0], FAILOVER_S)
            assert not waiting.promotions

        run_with_two_groups(scenario)

    def test_it_hands_over_as_planned(self) -> None:
        async def scenario(world: World) -> None:
            other = world.groups[1]
            await lose_all_who_hold_the_writes(world)
            await trio.sleep(WAITING_S)
            start_leaving(world, other.servers[0])
            await wait_until(lambda: other.primary is not other.servers[0], FAILOVER_S)

        run_with_two_groups(scenario)


class TestRestoredDuringAFailover:
    """The platform is restored while a failover is decided by the box that wrote the copy."""

    @pytest.mark.parametrize("restored_s", [0.0, 0.02, 0.1, 0.2, 0.3, 0.5])
    def test_a_successor_that_is_not_final_is_not_promoted(self, restored_s: float) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            first = group.servers[0]
            start_leaving(world, first)
            await wait_until(lambda: group.primary is not first, FAILOVER_S)
            second = group.primary
            lagging = next(each for each in group.servers if each not in (first, second))
            await trio.sleep(1.0)
            lagging.replication_suspended = True
            await write_seats(world)
            await trio.sleep(DRAIN_S - 2.0)
            backup = world.store.copy()
            end_server(world, first)
            world.kill_server(second)
            await wait_until(lambda: holder_of_failover(world) != "", FAILOVER_S)
            await trio.sleep(restored_s)
            world.store.restore(backup)
            await trio.sleep(WAITING_S)
            assert not lagging.leads

        run_with_two_groups(scenario)


class TestWaitingGroup:
    def test_the_record_changes_seldom(self) -> None:
        async def scenario(world: World) -> None:
            await lose_all_who_hold_the_writes(world)
            await trio.sleep(FAILOVER_S)
            before = world.store.count_changes("wharftiller", "leadership")
            await trio.sleep(WAITING_S)
            changes = world.store.count_changes("wharftiller", "leadership") - before
            assert changes <= MAX_CHANGES_PER_S * WAITING_S

        run_with_two_groups(scenario)

    def test_it_is_served_as_soon_as_its_primary_is_back(self) -> None:
        async def scenario(world: World) -> None:
            old = world.groups[0].servers[0]
            await lose_all_who_hold_the_writes(world)
            await trio.sleep(WAITING_S)
            old.down = False
            world.network.heal()
            world.groups[0].servers[2].replication_suspended = False
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert await write_until_acknowledged(caller, "WRITE last vera", 5.0) < FAILOVER_S

        run_with_two_groups(scenario)

    def test_a_primary_that_is_about_to_leave_serves_on_until_a_replica_keeps_up(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            old, ended, other = group.servers
            end_server(world, ended)
            seats = await write_seats(world)
            start_leaving(world, old)
            other.replication_suspended = True
            await trio.sleep(2.0)
            other.replication_suspended = False
            await wait_until(lambda: other.leads, FAILOVER_S)
            assert seats <= seats_of(other)

        run_with_two_groups(scenario)
