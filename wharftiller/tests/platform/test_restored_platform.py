"""Restoration of the platform's store from a copy some seconds old."""

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
from wharftiller.platform.answers import ERA_REVISIONS
from wharftiller.platform.objects import OWN_KIND, RECORD_NAME
from wharftiller.platform.store import ObjectStore
from wharftiller.tests.platform.world import (
    SETTLED_S,
    STORE,
    BoxProcess,
    World,
    fences_never_decrease,
    run_in_world,
    write_until_acknowledged,
)

OUTAGE_S = 1.0
LOST_S = 4.0
MAX_REFUSAL_S = 0.1


async def restore_without_recent_writes(world: World) -> None:
    """Restore the platform without the writes of the last `LOST_S`."""
    copy = world.store.copy()
    await trio.sleep(LOST_S)
    await restore(world, copy)


async def restore(world: World, copy: object) -> None:
    """Restore the platform from a copy after an outage of `OUTAGE_S`."""
    world.store.mode = StoreMode.UNAVAILABLE
    await trio.sleep(OUTAGE_S)
    world.store.restore(copy)  # type: ignore[arg-type]
    world.store.mode = StoreMode.NORMAL


async def replace_cut_off_primary(world: World) -> None:
    """Cut off the primary until the boxes have replaced it, and write to its successor."""
    old = world.groups[0].primary
    boxes = [box.ip for box in world.boxes.values()]
    world.network.cut([old.address.partition(":")[0]], boxes)
    caller = await world.open_session(world.boxes["box-2"], "primary")
    await write_until_acknowledged(caller, "WRITE seat1 anna", 12.0)
    world.network.heal()


async def restart_all_boxes(world: World, copy: object) -> None:
    """Kill all boxes, restore the platform from a copy and start as many boxes again."""
    count = len(world.boxes)
    for box in list(world.boxes.values()):
        await world.kill_box(box)
    await restore(world, copy)
    for number in range(1, count + 1):
        await world.start_box(number, "abc"[(number - 1) % 3])
    await trio.sleep(SETTLED_S)


def holds_lease(box: BoxProcess, server: LineServer) -> bool:
    """Return whether a box holds a lease on ``server`` as the primary of its group."""
    assert box.process.proxy is not None
    lease = box.process.proxy.state.leases.lease(server.group.name, trio.current_time())
    return lease is not None and lease.endpoint == server.name


def versions_in_force(world: World) -> set[int]:
    """Return the versions of the configuration in force on all boxes."""
    proxies = [box.process.proxy for box in world.boxes.values()]
    return {proxy.state.version for proxy in proxies if proxy is not None}


class TestWatches:
    def test_a_configuration_written_afterwards_is_in_force(self) -> None:
        async def scenario(world: World) -> None:
            for version in range(2, 30):
                world.configure(version)
            await restore_without_recent_writes(world)
            await trio.sleep(1.0)
            world.configure(40)
            await trio.sleep(world.boxes["box-1"].process._settings.bounds.configuration_in_force_s)
            assert versions_in_force(world) == {40}

        run_in_world(scenario)

    def test_an_endpoint_that_leaves_afterwards_is_seen_to_leave(self) -> None:
        async def scenario(world: World) -> None:
            copy = world.store.copy()
            replica = world.groups[0].servers[1]
            for _ in range(10):
                world.store.set("wharftiller", "box.noise", {"address": ""})
            await restore(world, copy)
            await trio.sleep(2.0)
            replica.leaving = True
            world.register(replica)
            await trio.sleep(2.0)
            for box in world.boxes.values():
                assert box.events("endpoint_leaving"), box.name

        run_in_world(scenario)


class TestLeadership:
    def test_a_failover_in_the_lost_seconds_stays_in_force(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            copy = world.store.copy()
            old = group.primary
            world.kill_server(old)
            caller = await world.open_session(world.boxes["box-2"], "primary")
            await write_until_acknowledged(caller, "WRITE seat1 anna", 12.0)
            new = group.primary
            assert new is not old
            await restore(world, copy)
            await trio.sleep(3.0)
            assert world.store.spec("wharftiller", "leadership")["groups"]["seats"]["endpoint"] == (
                new.name
            )
            assert any(box.events("record_written_back") for box in world.boxes.values())
            await write_until_acknowledged(caller, "WRITE seat2 bert", 2.0)
            assert group.primary is new

        run_in_world(scenario)

    def test_a_replaced_primary_is_not_used_after_all_boxes_restart(self) -> None:
        """The old primary is reachable again and still acts as primary."""

        async def scenario(world: World) -> None:
            group = world.groups[0]
            copy = world.store.copy()
            old = group.primary
            await replace_cut_off_primary(world)
            await restart_all_boxes(world, copy)
            assert old.leads
            started_before = len(old.started)
            caller = await world.open_session(world.boxes["box-2"], "primary")
            await write_until_acknowledged(caller, "WRITE seat2 bert", 20.0)
            assert (await caller.execute("READ seat1"))[0].startswith("ROW anna")
            assert group.primary is not old
            assert old.started[started_before:] == []
            assert fences_never_decrease(world)
            assert len({(holder, fence) for _, holder, fence in group.promotions}) == 2

        run_in_world(scenario)

    def test_an_unreachable_new_primary_is_replaced_before_the_old_one_is_used(self) -> None:
        """A promotion with a new fence settles for all endpoints which one is the primary."""

        async def scenario(world: World) -> None:
            group = world.groups[0]
            copy = world.store.copy()
            await replace_cut_off_primary(world)
            new = group.primary
            world.kill_server(new)
            await restart_all_boxes(world, copy)
            world.kill_server(new)
            promotions_before = len(group.promotions)
            caller = await world.open_session(world.boxes["box-2"], "primary")
            await write_until_acknowledged(caller, "WRITE seat2 bert", 30.0)
            assert len(group.promotions) > promotions_before
            assert group.primary.value("seat2") == "bert"
            assert group.primary.term > new.term

        run_in_world(scenario)

    def test_writes_to_an_unverified_primary_are_refused_at_once(self) -> None:
        async def scenario(world: World) -> None:
            copy = world.store.copy()
            await replace_cut_off_primary(world)
            await restart_all_boxes(world, copy)
            caller = await world.open_session(world.boxes["box-2"], "primary")
            sent_at = trio.current_time()
            refusal = (await caller.execute("WRITE seat2 bert"))[0]
            assert trio.current_time() - sent_at < MAX_REFUSAL_S
            assert refusal.startswith("ERROR BUSY")

        run_in_world(scenario)

    def test_verification_of_a_primary_sends_few_status_queries(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each status query takes a slot while all boxes reopen their connections."""
        queried: dict[SuccessorFinder, list[float]] = {}
        fetch = SuccessorFinder.statuses

        async def recorded_statuses(
            successors: SuccessorFinder, group: str
        ) -> dict[str, EndpointStatus]:
            queried.setdefault(successors, []).append(trio.current_time())
            return await fetch(successors, group)

        monkeypatch.setattr(SuccessorFinder, "statuses", recorded_statuses)

        async def scenario(world: World) -> None:
            copy = world.store.copy()
            await replace_cut_off_primary(world)
            new = world.groups[0].primary
            world.kill_server(new)
            started_at = trio.current_time() + OUTAGE_S
            await restart_all_boxes(world, copy)
            world.kill_server(new)
            await trio.sleep(ORDERS_EFFECT_S + 4.0)
            assert queried
            for times in queried.values():
                assert min(times) >= started_at + ORDERS_EFFECT_S
                assert all(b - a >= RETRY_S for a, b in itertools.pairwise(times))

        run_in_world(scenario)

    def test_a_primary_with_a_lease_stays_verified(self) -> None:
        async def scenario(world: World) -> None:
            await restore_without_recent_writes(world)
            await trio.sleep(3.0)
            events = [e for box in world.boxes.values() for e in box.events("record_written_back")]
            assert events
            assert all(event["doubted"] == [] for event in events)
            assert not world.groups[0].promotions

        run_in_world(scenario)

    def test_no_box_behind_a_reader_takes_a_lease_on_a_replaced_primary(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Three of the nine boxes read the platform for the others."""
        monkeypatch.setattr(readers, "READERS_MIN_BOXES", 4)

        async def scenario(world: World) -> None:
            old = world.groups[0].primary
            copy = world.store.copy()
            await replace_cut_off_primary(world)
            await restart_all_boxes(world, copy)
            for _ in range(100):
                assert [box.name for box in world.boxes.values() if holds_lease(box, old)] == []
                await trio.sleep(0.1)

        run_in_world(scenario, boxes=9)

    def test_a_late_update_of_a_former_era_is_undone(self) -> None:
        """Its condition is a revision number that the restored platform has assigned again."""

        async def scenario(world: World) -> None:
            group = world.groups[0]
            copy = world.store.copy()
            before = world.store.spec(OWN_KIND, RECORD_NAME)
            await replace_cut_off_primary(world)
            new = group.primary
            await restore(world, copy)
            await trio.sleep(3.0)
            promotions_before = list(group.promotions)
            failing_over = {**before["groups"]["seats"], "successor": "seats-2"}
            late = {"planned": False, "ordered": True, **failing_over}
            update = {**before, "updates": before["updates"] + 1, "groups": {"seats": late}}
            world.store.set(OWN_KIND, RECORD_NAME, update)
            caller = await world.open_session(world.boxes["box-1"], "primary")
            for number in range(80):
                assert (await caller.execute(f"WRITE seat{number} anna"))[0] == "ROW written", (
                    number
                )
                await trio.sleep(0.1)
            assert (
                world.store.spec(OWN_KIND, RECORD_NAME)["groups"]["seats"]["endpoint"] == new.name
            )
            assert group.primary is new
            assert group.promotions == promotions_before

        run_in_world(scenario)

    def test_no_fence_is_issued_twice(self) -> None:
        """One failover takes place in the lost seconds and one after them."""

        async def scenario(world: World) -> None:
            group = world.groups[0]
            copy = world.store.copy()
            world.kill_server(group.primary)
            caller = await world.open_session(world.boxes["box-2"], "primary")
            await write_until_acknowledged(caller, "WRITE seat1 anna", 12.0)
            await restore(world, copy)
            await trio.sleep(5.0)
            world.kill_server(group.primary)
            await write_until_acknowledged(caller, "WRITE seat2 bert", 30.0)
            fences = [fence for _, _, fence in group.promotions]
            assert fences_never_decrease(world)
            assert len(set(fences)) >= 2

        run_in_world(scenario)

    def test_callers_are_served_without_interruption(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await restore_without_recent_writes(world)
            for number in range(80):
                assert (await caller.execute(f"WRITE seat{number} anna"))[0] == "ROW written", (
                    number
                )
                await trio.sleep(0.1)

        run_in_world(scenario)


class TestStore:
    def test_a_write_on_a_condition_of_a_former_era_replaces_nothing(self) -> None:
        async def scenario(world: World) -> None:
            store = ObjectStore(world.network.host("10.8.0.9"), STORE)
            copy = world.store.copy()
            mine = await store.put("wharftiller", "one", {"by": "me"}, 0)
            world.store.restore(copy)
            await store.list_all("notes")
            # Assigns the same revision number to another object.
            world.store.set("wharftiller", "one", {"by": "another"})
            assert world.store.revision >= mine.revision % ERA_REVISIONS
            current = await store.put("wharftiller", "one", {"by": "me again"}, mine.revision)
            assert current.spec == {"by": "another"}
            assert current.revision > mine.revision

        run_in_world(scenario, boxes=1)

    def test_a_watch_from_a_former_era_is_over(self) -> None:
        async def scenario(world: World) -> None:
            store = ObjectStore(world.network.host("10.8.0.9"), STORE)
            copy = world.store.copy()
            world.store.set("notes", "one", {"by": "me"})
            _, revision = await store.list_all("notes")
            world.store.restore(copy)
            assert await store.watch(store.new_client(), "notes", revision) is None
            await store.list_all("notes")
            assert await store.watch(store.new_client(), "notes", revision) is None

        run_in_world(scenario, boxes=1)

    def test_an_answer_of_a_former_era_is_not_used(self) -> None:
        async def scenario(world: World) -> None:
            store = ObjectStore(world.network.host("10.8.0.9"), STORE)
            world.store.era = 7
            await store.list_all("notes")
            world.store.era = 6
            with pytest.raises(PlatformUnavailableError, match="era 6 came in era 7"):
                await store.list_all("notes")

        run_in_world(scenario, boxes=1)
