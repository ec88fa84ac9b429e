"""The platform comes back from a copy some seconds old: nothing waits for old revisions."""

from __future__ import annotations

import itertools

import pytest
import trio

from standins.line_endpoints import LineServer
from standins.object_store import StoreMode
from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.verification import ORDERS_EFFECT_S
from wharftiller.core.sessions.statements import EndpointStatus
from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
from wharftiller.daemons.sessions.leadership.verification import RETRY_S
from wharftiller.daemons.sessions.membership import readers
from wharftiller.platform.objects import OWN_KIND, RECORD_NAME
from wharftiller.platform.store import ERA_REVISIONS, ObjectStore
from wharftiller.tests.platform.world import (
    SETTLED_S,
    STORE,
    BoxProcess,
    World,
    fences_rise,
    run_in_world,
    write_until_done,
)

AWAY_S = 1.0
LOST_S = 4.0
AT_ONCE_S = 0.1


async def lose_some_seconds(world: World) -> None:
    """Have the platform come back without what was written in `LOST_S`."""
    taken = world.store.copy()
    await trio.sleep(LOST_S)
    await restore(world, taken)


async def restore(world: World, taken: object) -> None:
    world.store.mode = StoreMode.AWAY
    await trio.sleep(AWAY_S)
    world.store.restore(taken)  # type: ignore[arg-type]
    world.store.mode = StoreMode.WELL


async def replace_cut_off_primary(world: World) -> None:
    """Have the boxes replace a primary that they do not reach, and write to the new one."""
    old = world.groups[0].primary
    boxes = [box.ip for box in world.boxes.values()]
    world.network.cut([old.address.partition(":")[0]], boxes)
    caller = await world.call(world.boxes["box-2"], "primary")
    await write_until_done(caller, "WRITE seat1 anna", 12.0)
    world.network.heal()


async def restart_all_boxes(world: World, taken: object) -> None:
    """End all boxes, have the platform come back from a copy, start as many boxes anew."""
    count = len(world.boxes)
    for box in list(world.boxes.values()):
        await world.kill_box(box)
    await restore(world, taken)
    for number in range(1, count + 1):
        await world.start_box(number, "abc"[(number - 1) % 3])
    await trio.sleep(SETTLED_S)


def holds_lease(box: BoxProcess, server: LineServer) -> bool:
    """Return whether a box holds a lease on ``server`` as the primary of its group."""
    assert box.process.proxy is not None
    lease = box.process.proxy.state.leases.lease(server.group.name, trio.current_time())
    return lease is not None and lease.endpoint == server.name


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

    def test_one_replaced_in_the_lost_seconds_is_not_used_where_all_boxes_ended(self) -> None:
        """The old primary is alive and reachable again, and believes that it leads."""

        async def story(world: World) -> None:
            group = world.groups[0]
            taken = world.store.copy()
            old = group.primary
            await replace_cut_off_primary(world)
            await restart_all_boxes(world, taken)
            assert old.leads
            ran_there = len(old.started)
            caller = await world.call(world.boxes["box-2"], "primary")
            await write_until_done(caller, "WRITE seat2 bert", 20.0)
            assert (await caller.ask("READ seat1"))[0].startswith("ROW anna")
            assert group.primary is not old
            assert old.started[ran_there:] == []
            assert fences_rise(world)
            assert len({(holder, fence) for _, holder, fence in group.promotions}) == 2

        run_in_world(story)

    def test_the_new_primary_out_of_sight_is_replaced_before_the_old_one_is_used(self) -> None:
        """Only the promotion shows the platform, and every endpoint, who leads from then on."""

        async def story(world: World) -> None:
            group = world.groups[0]
            taken = world.store.copy()
            await replace_cut_off_primary(world)
            new = group.primary
            world.kill_server(new)
            await restart_all_boxes(world, taken)
            world.kill_server(new)
            ordered = len(group.promotions)
            caller = await world.call(world.boxes["box-2"], "primary")
            await write_until_done(caller, "WRITE seat2 bert", 30.0)
            assert len(group.promotions) > ordered
            assert group.primary.value("seat2") == "bert"
            assert group.primary.term > new.term

        run_in_world(story)

    def test_callers_are_told_at_once_when_a_doubted_primary_may_be_used(self) -> None:
        async def story(world: World) -> None:
            taken = world.store.copy()
            await replace_cut_off_primary(world)
            await restart_all_boxes(world, taken)
            caller = await world.call(world.boxes["box-2"], "primary")
            asked_at = trio.current_time()
            refusal = (await caller.ask("WRITE seat2 bert"))[0]
            assert trio.current_time() - asked_at < AT_ONCE_S
            assert refusal.startswith("ERROR BUSY")

        run_in_world(story)

    def test_endpoints_are_asked_about_a_doubt_seldom_and_not_in_vain(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each question takes a slot, just as all boxes open their connections anew."""
        asked: dict[SuccessorFinder, list[float]] = {}
        ask = SuccessorFinder.statuses

        async def counted(successors: SuccessorFinder, group: str) -> dict[str, EndpointStatus]:
            asked.setdefault(successors, []).append(trio.current_time())
            return await ask(successors, group)

        monkeypatch.setattr(SuccessorFinder, "statuses", counted)

        async def story(world: World) -> None:
            taken = world.store.copy()
            await replace_cut_off_primary(world)
            new = world.groups[0].primary
            world.kill_server(new)
            started_at = trio.current_time() + AWAY_S
            await restart_all_boxes(world, taken)
            world.kill_server(new)
            await trio.sleep(ORDERS_EFFECT_S + 4.0)
            assert asked
            for times in asked.values():
                assert min(times) >= started_at + ORDERS_EFFECT_S
                assert all(b - a >= RETRY_S for a, b in itertools.pairwise(times))

        run_in_world(story)

    def test_no_primary_is_doubted_where_a_box_holds_a_lease(self) -> None:
        async def story(world: World) -> None:
            await lose_some_seconds(world)
            await trio.sleep(3.0)
            written = [e for box in world.boxes.values() for e in box.events("record_written_back")]
            assert written
            assert all(event["doubted"] == [] for event in written)
            assert not world.groups[0].promotions

        run_in_world(story)

    def test_no_box_behind_a_reader_takes_a_lease_on_one_that_was_replaced(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Of nine boxes, counted as many here, three read the platform for the others."""
        monkeypatch.setattr(readers, "MANY_BOXES", 4)

        async def story(world: World) -> None:
            old = world.groups[0].primary
            taken = world.store.copy()
            await replace_cut_off_primary(world)
            await restart_all_boxes(world, taken)
            for _ in range(100):
                assert [box.name for box in world.boxes.values() if holds_lease(box, old)] == []
                await trio.sleep(0.1)

        run_in_world(story, boxes=9)

    def test_an_update_of_a_former_era_that_lands_late_is_undone(self) -> None:
        """Its condition was a revision that the platform has given out again meanwhile."""

        async def story(world: World) -> None:
            group = world.groups[0]
            taken = world.store.copy()
            before = world.store.spec(OWN_KIND, RECORD_NAME)
            await replace_cut_off_primary(world)
            new = group.primary
            await restore(world, taken)
            await trio.sleep(3.0)
            ordered = list(group.promotions)
            moving = {**before["groups"]["seats"], "successor": "seats-2"}
            late = {"planned": False, "ordered": True, **moving}
            update = {**before, "updates": before["updates"] + 1, "groups": {"seats": late}}
            world.store.set(OWN_KIND, RECORD_NAME, update)
            caller = await world.call(world.boxes["box-1"], "primary")
            for number in range(80):
                assert (await caller.ask(f"WRITE seat{number} anna"))[0] == "ROW written", number
                await trio.sleep(0.1)
            assert (
                world.store.spec(OWN_KIND, RECORD_NAME)["groups"]["seats"]["endpoint"] == new.name
            )
            assert group.primary is new
            assert group.promotions == ordered

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
