"""Failovers: lost and leaving primaries, and the replicas that may succeed them."""

from __future__ import annotations

import trio

from standins.object_store import StoreMode
from wharftiller.core.leadership.failover import UNREACHABLE_S
from wharftiller.core.leadership.lease import LEASE_S
from wharftiller.daemons.sessions.connections.probes import PROBE_POLL_S, QUIET_PRIMARY_S
from wharftiller.tests.platform.world import (
    STORE_IP,
    World,
    make_group,
    run_in_world,
    write_until_acknowledged,
)


class TestUnplanned:
    def test_an_unreachable_primary_is_replaced_within_seconds(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("WRITE seat1 anna")
            await trio.sleep(0.2)
            world.kill_server(group.primary)
            took_s = await write_until_acknowledged(caller, "WRITE seat2 boris", 6.0)
            assert took_s < 4.0
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"
            assert len({name for name, _, _ in group.promotions}) == 1

        run_in_world(scenario)

    def test_a_promotion_is_ordered_soon_after_the_primary_counts_as_lost(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.kill_server(group.primary)
            killed_at = trio.current_time()
            while not group.promotions:
                await trio.sleep(0.01)
            # No statement detects the loss: a probe does, and 0.3 s pass between checks.
            probed_at = killed_at + QUIET_PRIMARY_S + PROBE_POLL_S
            assert trio.current_time() - probed_at < UNREACHABLE_S + 0.3

        run_in_world(scenario, boxes=8)

    def test_a_primary_that_another_box_reaches_is_not_replaced(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.network.cut(["10.2.0.1"], ["10.1.0.1", "10.1.0.2"])
            await trio.sleep(5)
            assert group.promotions == []

        run_in_world(scenario)

    def test_the_most_advanced_replica_takes_over(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            group.servers[2].replication_suspended = True
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("WRITE seat1 anna")
            await trio.sleep(0.2)
            world.kill_server(group.primary)
            await trio.sleep(5)
            assert [name for name, _, _ in group.promotions] == ["seats-1"]

        run_in_world(scenario)

    def test_an_unresponsive_box_delays_the_failover_by_its_lease(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            await trio.sleep(20)
            silent = world.boxes["box-3"]
            world.network.cut([silent.ip], ["10.1.0.1", "10.1.0.2", STORE_IP])
            started = trio.current_time()
            acknowledged_at = started
            group.nursery.start_soon(cut_off_primary, world)  # type: ignore[union-attr]
            while not group.promotions:
                # A new session for each write: an isolated box closes idle sessions.
                caller = await world.open_session(silent, "primary")
                if (await caller.execute("WRITE seat1 x"))[0] == "ROW written":
                    acknowledged_at = trio.current_time()
                caller.close()
                await trio.sleep(0.05)
            assert trio.current_time() - started > LEASE_S
            assert trio.current_time() > acknowledged_at
            await trio.sleep(2)
            caller = await world.open_session(silent, "primary")
            assert (await caller.execute("WRITE seat1 y"))[0] != "ROW written"

        async def cut_off_primary(world: World) -> None:
            world.network.cut(["10.2.0.1"], ["10.1.0.1", "10.1.0.2"])

        run_in_world(scenario)

    def test_a_primary_that_answers_again_remains_primary(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            await trio.sleep(20)
            world.network.cut([world.boxes["box-3"].ip], ["10.1.0.1", "10.1.0.2"])
            world.network.cut(["10.2.0.1"], [box.ip for box in world.boxes.values()])
            await trio.sleep(3)
            world.network.heal()
            await trio.sleep(3)
            assert group.promotions == []
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"

        run_in_world(scenario)


class TestSynchronousReplicas:
    def test_a_failover_waits_for_an_unreachable_replica(self) -> None:
        """The replica may be the only one that has an acknowledged write."""

        async def scenario(world: World) -> None:
            group = world.groups[0]
            group.servers[1].replication_suspended = True
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
            boxes = [box.ip for box in world.boxes.values()]
            world.network.cut([group.servers[2].address.partition(":")[0]], boxes)
            world.kill_server(group.primary)
            await trio.sleep(6.0)
            assert group.promotions == []
            world.network.heal()
            world.kill_server(group.servers[0])
            # The new primary needs a synchronous replica too.
            group.servers[1].replication_suspended = False
            await write_until_acknowledged(caller, "WRITE seat2 boris", 8.0)
            assert {name for name, _, _ in group.promotions} == {"seats-2"}
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_in_world(scenario, groups=[make_group(sync_replicas=1)])

    def test_a_leaving_primary_fails_over_to_a_replica_that_lacks_nothing(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            group.servers[1].replication_suspended = True
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
            group.servers[0].leaving = True
            world.register(group.servers[0])
            await trio.sleep(4.0)
            assert {name for name, _, _ in group.promotions} == {"seats-2"}
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_in_world(scenario, groups=[make_group(sync_replicas=1)])


class TestUnannouncedRemoval:
    """An endpoint's entry is removed although the endpoint was never marked as leaving."""

    DRAIN_S = 7.0
    """Time from the entry's removal after which nothing may be sent, in seconds."""

    def test_a_removed_primary_is_replaced_before_it_ends(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            old = group.primary
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("WRITE seat0 anna")
            world.store.remove("servers", old.name)
            gone_at = last_at = trio.current_time()
            longest_s = 0.0
            while trio.current_time() < gone_at + self.DRAIN_S:
                if (await caller.execute("WRITE seat1 boris"))[0] == "ROW written":
                    longest_s = max(longest_s, trio.current_time() - last_at)
                    last_at = trio.current_time()
                await trio.sleep(0.02)
            assert longest_s < 1.0
            assert group.primary is not old
            started = len(old.started)
            for _ in range(20):
                assert (await caller.execute("WRITE seat1 vera"))[0] == "ROW written"
            assert len(old.started) == started
            assert (await caller.execute("READ seat0"))[0] == "ROW anna"

        run_in_world(scenario)

    def test_a_removed_replica_gets_no_statements_after_the_bound(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            replica = group.servers[1]
            writer = await world.open_session(world.boxes["box-2"], "primary")
            reader = await world.open_session(world.boxes["box-2"], "bounded_staleness")
            await writer.execute("READ seat1")
            world.store.remove("servers", replica.name)
            await trio.sleep(self.DRAIN_S)
            started = len(replica.started)
            for _ in range(30):
                assert (await reader.execute("READ seat1"))[0] == "ROW none"
            assert len(replica.started) == started

        run_in_world(scenario)

    def test_an_entry_that_lapsed_during_an_outage_causes_no_failover(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.store.mode = StoreMode.UNAVAILABLE
            await trio.sleep(4.0)
            world.store.remove("servers", group.primary.name)
            world.store.mode = StoreMode.NORMAL
            await trio.sleep(2.0)
            world.register(group.primary)
            await trio.sleep(6.0)
            assert group.promotions == []

        run_in_world(scenario)


class TestPlanned:
    def test_a_planned_failover_loses_no_write(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            answers: list[str] = []
            world.groups[0].primary.leaving = True
            world.register(group.primary)
            for number in range(60):
                answers.append((await caller.execute(f"WRITE seat{number} x"))[0])
                await trio.sleep(0.05)
            done = [n for n, each in enumerate(answers) if each == "ROW written"]
            assert len(done) == len(answers)
            assert group.primary.name != "seats-0"
            written = {key for record in group.primary.log for key, _ in record.writes}
            assert {f"seat{number}" for number in done} <= written

        run_in_world(scenario)

    def test_a_planned_failover_waits_for_an_open_transaction(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-2"], "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            group.primary.leaving = True
            world.register(group.servers[0])
            await trio.sleep(0.5)
            assert (await caller.execute("COMMIT"))[-1].startswith("READY I ")
            await trio.sleep(2)
            assert group.primary.name != "seats-0"
            assert group.primary.value("seat1") == "anna"

        run_in_world(scenario)

    def test_an_unresponsive_box_does_not_block_the_writes_of_others(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            await trio.sleep(20)
            await world.kill_box(world.boxes["box-3"])
            caller = await world.open_session(world.boxes["box-1"], "primary")
            group.primary.leaving = True
            world.register(group.primary)
            longest_s = 0.0
            until = trio.current_time() + 8
            while trio.current_time() < until:
                took_s = await write_until_acknowledged(caller, "WRITE seat1 x", 5.0)
                longest_s = max(longest_s, took_s)
                await trio.sleep(0.05)
            assert group.primary.name != "seats-0"
            assert longest_s < 2.0
            assert len(group.promotions) == 1

        run_in_world(scenario)
