"""The platform comes back from a copy some seconds old: nothing waits for old revisions."""

from __future__ import annotations

import pytest
import trio

from standins.object_store import Mood
from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.platform.store import ERA_REVISIONS, ObjectStore
from wharftiller.tests.platform.world import (
    STORE,
    World,
    fences_rise,
    run_in_world,
    write_until_done,
)

AWAY_S = 1.0
LOST_S = 4.0


async def lose_some_seconds(world: World) -> None:
    """Have the platform come back without what was written in `LOST_S`."""
    taken = world.store.copy()
    await trio.sleep(LOST_S)
    await restore(world, taken)


async def restore(world: World, taken: object) -> None:
    world.store.mood = Mood.AWAY
    await trio.sleep(AWAY_S)
    world.store.restore(taken)  # type: ignore[arg-type]
    world.store.mood = Mood.WELL


def versions(world: World) -> set[int]:
    proxies = [box.process.proxy for box in world.boxes.values()]
    return {proxy.state.version for proxy in proxies if proxy is not None}


class TestFollowing:
    def test_a_configuration_written_afterwards_is_in_force(self) -> None:
        async def story(world: World) -> None:
            for version in range(2, 30):
                world.configure(version)
            await lose_some_seconds(world)
            await trio.sleep(1.0)
            world.configure(40)
            await trio.sleep(world.boxes["box-1"].process._settings.bounds.configuration_in_force_s)
            assert versions(world) == {40}

        run_in_world(story)

    def test_an_endpoint_that_leaves_afterwards_gets_nothing_more(self) -> None:
        async def story(world: World) -> None:
            taken = world.store.copy()
            replica = world.groups[0].servers[1]
            for _ in range(10):
                world.store.set("wharftiller", "box.noise", {"address": ""})
            await restore(world, taken)
            await trio.sleep(2.0)
            replica.leaving = True
            world.register(replica)
            await trio.sleep(2.0)
            for box in world.boxes.values():
                assert box.events("endpoint_leaving"), box.name

        run_in_world(story)


class TestLeadership:
    def test_a_primary_that_was_replaced_in_the_lost_seconds_stays_replaced(self) -> None:
        async def story(world: World) -> None:
            group = world.groups[0]
            taken = world.store.copy()
            old = group.primary
            world.kill_server(old)
            caller = await world.call(world.boxes["box-2"], "primary")
            await write_until_done(caller, "WRITE seat1 anna", 12.0)
            new = group.primary
            assert new is not old
            await restore(world, taken)
            await trio.sleep(3.0)
            assert world.store.spec("wharftiller", "leadership")["groups"]["seats"]["endpoint"] == (
                new.name
            )
            assert any(box.events("record_written_back") for box in world.boxes.values())
            await write_until_done(caller, "WRITE seat2 bert", 2.0)
            assert group.primary is new

        run_in_world(story)

    def test_no_fence_is_given_out_twice(self) -> None:
        """A change of primary in the lost seconds, and one after them."""

        async def story(world: World) -> None:
            group = world.groups[0]
            taken = world.store.copy()
            world.kill_server(group.primary)
            caller = await world.call(world.boxes["box-2"], "primary")
            await write_until_done(caller, "WRITE seat1 anna", 12.0)
            await restore(world, taken)
            await trio.sleep(5.0)
            world.kill_server(group.primary)
            await write_until_done(caller, "WRITE seat2 bert", 30.0)
            fences = [fence for _, _, fence in group.promotions]
            assert fences_rise(world)
            assert len(set(fences)) >= 2

        run_in_world(story)

    def test_callers_are_served_on(self) -> None:
        async def story(world: World) -> None:
            caller = await world.call(world.boxes["box-1"], "primary")
            await lose_some_seconds(world)
            for number in range(80):
                assert (await caller.ask(f"WRITE seat{number} anna"))[0] == "ROW written", number
                await trio.sleep(0.1)

        run_in_world(story)


class TestStore:
    def test_a_write_on_a_condition_of_a_former_era_replaces_nothing(self) -> None:
        async def story(world: World) -> None:
            store = ObjectStore(world.network.host("10.8.0.9"), STORE)
            taken = world.store.copy()
            mine = await store.put("wharftiller", "one", {"by": "me"}, 0)
            world.store.restore(taken)
            await store.list_all("notes")
            # The same number stands for another object now.
            world.store.set("wharftiller", "one", {"by": "another"})
            assert world.store.revision >= mine.revision % ERA_REVISIONS
            stands = await store.put("wharftiller", "one", {"by": "me again"}, mine.revision)
            assert stands.spec == {"by": "another"}
            assert stands.revision > mine.revision

        run_in_world(story, boxes=1)

    def test_a_watch_from_a_former_era_is_over(self) -> None:
        async def story(world: World) -> None:
            store = ObjectStore(world.network.host("10.8.0.9"), STORE)
            taken = world.store.copy()
            world.store.set("notes", "one", {"by": "me"})
            _, revision = await store.list_all("notes")
            world.store.restore(taken)
            assert await store.watch(store.new_client(), "notes", revision) is None
            await store.list_all("notes")
            assert await store.watch(store.new_client(), "notes", revision) is None

        run_in_world(story, boxes=1)

    def test_an_answer_of_a_former_era_is_not_used(self) -> None:
        async def story(world: World) -> None:
            store = ObjectStore(world.network.host("10.8.0.9"), STORE)
            world.store.era = 7
            await store.list_all("notes")
            world.store.era = 6
            with pytest.raises(PlatformUnavailableError, match="era 6 came in era 7"):
                await store.list_all("notes")

        run_in_world(story, boxes=1)
