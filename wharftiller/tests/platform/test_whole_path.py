"""Sessions, transactions and kinds of reading end to end on the platform's protocols."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from standins.line_endpoints import proof
from wharftiller.core.sessions.state_versions import StateVersions
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.tests.platform.world import Caller, World, make_group, run_in_world


class TestSessions:
    def test_a_write_is_read_back_with_the_servers_own_proof(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-2"], "read_own_writes")
            written = await caller.execute("WRITE seat7 anna", "id-1")
            primary = world.groups[0].primary
            assert written[1] == f"COMPLETE {proof(primary, 'id-1', 'WRITE seat7 anna')}"
            read = await caller.execute("READ seat7", "id-2")
            assert read[0] == "ROW anna"
            assert read[1].startswith("COMPLETE ") and ".id-2." in read[1]

        run_in_world(scenario)

    def test_an_unknown_database_is_refused_and_closed(self) -> None:
        async def scenario(world: World) -> None:
            stream = await world.network.host("10.8.0.1").connect("10.1.0.1:1")
            await stream.send_all(b"CONNECT nowhere desk\r\n")
            assert (await stream.receive_some()).startswith(b"ERROR NODB ")
            assert await stream.receive_some() == b""

        run_in_world(scenario)

    def test_values_and_prepared_names_of_sessions_never_mix(self) -> None:
        async def scenario(world: World) -> None:
            world.groups[0].max_connections = 5
            box = world.boxes["box-1"]
            one = await world.open_session(box, "primary")
            other = await world.open_session(box, "primary")
            await one.execute("SET colour red")
            await one.execute("PREPARE s READ shape")
            await other.execute("PREPARE s WRITE shape")
            for number in range(4):
                assert (await one.execute("EXECUTE s seat1"))[0].endswith("colour=red")
                assert (await other.execute(f"EXECUTE s seat{number} x"))[0] == "ROW written"
                assert "colour" not in (await other.execute("READ seat1"))[0]
            await one.execute("SET colour blue")
            assert (await one.execute("EXECUTE s seat1"))[0].endswith("colour=blue")

        run_in_world(scenario)

    def test_an_unknown_prepared_name_is_refused_without_running(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("EXECUTE none seat1"))[0].startswith("ERROR NOSTMT ")
            assert (await caller.execute("READ seat1"))[0] == "ROW none"

        run_in_world(scenario)


class TestTransactions:
    def test_commit_keeps_and_rollback_drops(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("BEGIN"))[-1] == "READY T -"
            await caller.execute("WRITE seat1 anna")
            done = await caller.execute("COMMIT", "commit-1")
            assert ".commit-1." in done[0] and done[-1].startswith("READY I ")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 boris")
            assert (await caller.execute("ROLLBACK"))[-1] == "READY I -"
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_in_world(scenario)

    def test_a_transaction_whose_server_closes_is_aborted_and_can_be_ended(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            world.network.break_streams("10.2.0.1")
            await trio.sleep(0.1)
            failed = await caller.execute("WRITE seat2 anna")
            assert failed[0].startswith("ERROR ABORTED ") and failed[-1] == "READY E -"
            assert (await caller.execute("READ seat1"))[0].startswith("ERROR MALFORMED ")
            assert (await caller.execute("COMMIT"))[0].startswith("ERROR ABORTED ")
            assert (await caller.execute("READ seat1"))[0] == "ROW none"

        run_in_world(scenario)

    def test_a_lost_answer_to_commit_is_in_doubt(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            world.groups[0].primary.lose_answers = 1
            assert (await caller.execute("COMMIT"))[0].startswith("ERROR INDOUBT ")

        run_in_world(scenario)

    def test_a_closed_session_rolls_back(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            caller.close()
            await trio.sleep(0.2)
            other = await world.open_session(world.boxes["box-1"], "primary")
            assert (await other.execute("READ seat1"))[0] == "ROW none"

        run_in_world(scenario)

    def test_an_idle_transaction_is_ended(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            await trio.sleep(3.5)
            assert (await caller.execute("COMMIT"))[0].startswith("ERROR ABORTED ")

        run_in_world(scenario)


class TestBusyEndpoint:
    def test_an_idle_transaction_does_not_block_others(self) -> None:
        """Only running statements count against a busy endpoint's limit."""

        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            idle = [await world.open_session(box, "primary") for _ in range(2)]
            for caller in idle:
                await caller.execute("BEGIN")
                await caller.execute("WRITE seat1 anna")
            pool = box.process.proxy.state.endpoints.pools["seats-0"]  # type: ignore[union-attr]
            for _ in range(6):
                pool.record_busy()
                await trio.sleep(0.2)
            caller = await world.open_session(box, "primary")
            started = trio.current_time()
            assert (await caller.execute("READ seat2"))[0] == "ROW none"
            assert trio.current_time() - started < 0.1

        run_in_world(scenario)

    def test_refused_statements_wait_before_a_retry(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            box = world.boxes["box-1"]
            callers = [await world.open_session(box, "primary") for _ in range(4)]
            group.primary.busy_answers = 3
            pool = box.process.proxy.state.endpoints.pools["seats-0"]  # type: ignore[union-attr]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.execute, "READ seat1")
            assert pool._limit.max_running(10) < 10
            assert (await callers[0].execute("READ seat1"))[0] == "ROW none"

        run_in_world(scenario)


class TestQueue:
    def test_a_statement_that_would_wait_beyond_its_goal_is_refused_at_once(self) -> None:
        async def scenario(world: World) -> None:
            world.groups[0].work_s = 0.2
            box = world.boxes["box-1"]
            pool = box.process.proxy.state.endpoints.pools["seats-0"]  # type: ignore[union-attr]
            callers = [await world.open_session(box, "primary") for _ in range(12)]
            took_s: dict[bool, list[float]] = {True: [], False: []}

            async def read_timed(caller: Caller) -> None:
                started = trio.current_time()
                answer = await caller.execute("READ seat1")
                took_s[answer[0] == "ROW none"].append(trio.current_time() - started)

            for _ in range(20):
                pool.record_busy()
                await trio.sleep(0.2)
            for _ in range(3):
                async with trio.open_nursery() as nursery:
                    for caller in callers:
                        nursery.start_soon(read_timed, caller)
            assert took_s[True]
            assert took_s[False]
            # The goal is 250 ms; the head of the queue waits up to a quarter of it.
            assert max(took_s[False]) < 0.35
            assert max(took_s[True]) < 0.25 + 0.25

        run_in_world(scenario)


class TestPeers:
    def test_peers_fetch_nothing_from_one_another_while_nothing_changes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Boxes read the platform at different times and so hold different revisions."""
        fetched: list[str] = []
        fetch = BoxDirectory.fetch_state

        async def recorded_fetch(
            directory: BoxDirectory, address: str, mine: StateVersions, timeout_s: float
        ) -> dict[str, Any] | None:
            fetched.append(address)
            return await fetch(directory, address, mine, timeout_s)

        monkeypatch.setattr(BoxDirectory, "fetch_state", recorded_fetch)

        async def scenario(world: World) -> None:
            before = len(fetched)
            await trio.sleep(20)
            assert len(fetched) == before

        run_in_world(scenario, boxes=7)

    def test_an_unchanged_list_causes_no_fetch(self) -> None:
        async def scenario(world: World) -> None:
            proxies = [box.process.proxy for box in world.boxes.values()]
            before = [proxy.state.endpoints.revision for proxy in proxies if proxy is not None]
            # Raises the platform's revision without a change for the watch on endpoints.
            world.store.set("config", "main", {**world.store.spec("config", "main"), "Version": 9})
            await trio.sleep(10)
            after = [proxy.state.endpoints.revision for proxy in proxies if proxy is not None]
            assert after == before

        run_in_world(scenario, boxes=3)


class TestConnections:
    def test_an_endpoint_that_is_only_slow_keeps_its_connections(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            box = world.boxes["box-1"]
            callers = [await world.open_session(box, "primary") for _ in range(3)]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.execute, "READ seat1")
            opened = group.primary.opened
            group.work_s = 0.7
            assert (await callers[0].execute("READ seat1"))[0] == "ROW none"
            assert group.primary.opened == opened

        run_in_world(scenario)

    def test_connections_stay_within_the_servers_limit(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            callers = [
                await world.open_session(box, "primary")
                for box in world.boxes.values()
                for _ in range(12)
            ]

            async def work(number: int) -> None:
                for step in range(6):
                    answer = await callers[number].execute(f"WRITE seat{number} guest{step}")
                    assert answer[0] == "ROW written", answer

            async with trio.open_nursery() as nursery:
                for number in range(len(callers)):
                    nursery.start_soon(work, number)
            assert group.primary.connections <= group.max_connections
            assert group.primary.opened <= group.max_connections + 4

        run_in_world(scenario, groups=[make_group(max_connections=11)])

    def test_calls_to_the_platform_are_few_while_nothing_changes(self) -> None:
        async def scenario(world: World) -> None:
            before = world.store.calls
            await trio.sleep(60)
            assert world.store.calls - before < 60 * 3

        run_in_world(scenario)


@pytest.mark.parametrize("text", ["", "SELECT 1", "WRITE", "SET x", "PREPARE s FROM y", "EXECUTE"])
def test_an_invalid_statement_gets_a_clear_error(text: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.open_session(world.boxes["box-1"], "primary")
        assert (await caller.execute(text))[0].startswith("ERROR MALFORMED ")
        assert (await caller.execute("READ seat1"))[0] == "ROW none"

    run_in_world(scenario, boxes=1)


class TestRefusals:
    def test_a_read_that_was_sent_is_not_refused_as_not_run(self) -> None:
        async def scenario(world: World) -> None:
            for server in world.groups[0].servers:
                server.lose_answers = 10
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("READ seat1"))[0].startswith("ERROR ABORTED ")

        run_in_world(scenario)

    def test_a_malformed_text_leaves_the_transaction_as_it_was(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            refused = await caller.execute("SELECT")
            assert refused[0].startswith("ERROR MALFORMED ") and refused[-1] == "READY T -"
            await caller.execute("COMMIT")
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_in_world(scenario)

    def test_a_full_endpoint_is_not_unreachable(self) -> None:
        async def scenario(world: World) -> None:
            world.groups[0].max_connections = 0
            await trio.sleep(5)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                rows = box.process.proxy.state.endpoints.of_group("seats")
                assert [row.unreachable_since for row in rows] == [None] * 3
            assert world.groups[0].promotions == []

        run_in_world(scenario)
