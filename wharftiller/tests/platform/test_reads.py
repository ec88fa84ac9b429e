"""Tests of read routing and of the staleness bounds of routes."""

from __future__ import annotations

import trio

from wharftiller.tests.platform.world import World, make_group, run_in_world


class TestReads:
    def test_bounded_reads_go_to_replicas(self) -> None:
        async def scenario(world: World) -> None:
            writer = await world.open_session(world.boxes["box-1"], "primary")
            reader = await world.open_session(world.boxes["box-1"], "bounded_staleness")
            await writer.execute("WRITE seat1 anna")
            await trio.sleep(0.1)
            before = len(world.groups[0].primary.started)
            for _ in range(20):
                assert (await reader.execute("READ seat1"))[0] == "ROW anna"
                await trio.sleep(0.02)
            assert len(world.groups[0].primary.started) - before <= 2

        run_in_world(scenario)

    def test_a_replica_that_receives_nothing_never_answers_too_old_a_read(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            for replica in group.servers[1:]:
                replica.replication_suspended = True
            writer = await world.open_session(world.boxes["box-1"], "primary")
            reader = await world.open_session(world.boxes["box-2"], "bounded_staleness")
            await writer.execute("WRITE seat1 anna")
            await trio.sleep(1.6)
            assert (await reader.execute("READ seat1"))[0] == "ROW anna"

        run_in_world(scenario)

    def test_a_session_sees_its_own_write_at_once(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-3"], "read_own_writes")
            for number in range(10):
                await caller.execute(f"WRITE seat1 guest{number}")
                assert (await caller.execute("READ seat1"))[0] == f"ROW guest{number}"

        run_in_world(scenario, groups=[make_group(lag_s=0.2)])

    def test_a_slow_read_continues_when_no_other_endpoint_can_run_it(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            writer = await world.open_session(world.boxes["box-1"], "primary")
            reader = await world.open_session(world.boxes["box-1"], "bounded_staleness")
            group.servers[1].leaving = True
            world.register(group.servers[1])
            await writer.execute("READ seat1")
            await trio.sleep(0.1)
            world.kill_server(group.primary)
            group.work_s = 0.5
            await writer.send(b"QUERY id-1 READ seat1\r\n")
            await trio.sleep(0.5)
            assert (await reader.execute("READ seat1", "id-2"))[0] == "ROW none"
            assert group.servers[2].started.count("id-2") == 1

        run_in_world(scenario)

    def test_a_slow_read_is_retried_on_another_endpoint(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            reader = await world.open_session(world.boxes["box-1"], "bounded_staleness")
            for _ in range(3):
                await reader.execute("READ seat1")
            first = next(each for each in group.servers[1:] if each.started)
            others = [box.ip for box in world.boxes.values()]
            world.network.cut([first.address.partition(":")[0]], others)
            started = trio.current_time()
            assert (await reader.execute("READ seat1"))[0] == "ROW none"
            assert trio.current_time() - started < 0.5

        run_in_world(scenario)

    def test_a_read_only_transaction_runs_on_one_replica(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "bounded_staleness")
            await (await world.open_session(world.boxes["box-1"], "primary")).execute("READ seat1")
            await caller.execute("BEGIN READ")
            servers = {
                (await caller.execute("READ seat1"))[1].split(" ")[1].split(".")[0]
                for _ in range(5)
            }
            assert len(servers) == 1
            assert (await caller.execute("COMMIT"))[-1].startswith("READY I ")

        run_in_world(scenario)
