"""Forwarding to gateways when an endpoint accepts fewer connections than there are boxes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from standins.line_endpoints import proof
from wharftiller.core.leadership.read_schedule import SHARED_READ_S
from wharftiller.tests.platform.world import BoxProcess, Caller, World, make_group, run_in_world

BOXES = 9
MAX_CONNECTIONS = 10


def run_with_few_connections(scenario: Callable[[World], Awaitable[None]], **changes: Any) -> None:
    """Run ``scenario`` with endpoints that accept fewer than two connections per box."""

    async def run_settled(world: World) -> None:
        # By then every box has read the complete list of boxes.
        await trio.sleep(SHARED_READ_S)
        await scenario(world)

    run_in_world(
        run_settled, boxes=BOXES, groups=[make_group(max_connections=MAX_CONNECTIONS, **changes)]
    )


def gateway_of(world: World, centre: str) -> BoxProcess:
    """Return the gateway of one data centre."""
    near = [box for box in world.boxes.values() if box.process.proxy.state.data_centre == centre]  # type: ignore[union-attr]
    gateways = [box for box in near if box.process.proxy.state.serves_group("seats")]  # type: ignore[union-attr]
    assert len(gateways) == 1
    return gateways[0]


def forwarding_boxes(world: World, centre: str) -> list[BoxProcess]:
    """Return the boxes of a data centre that forward their statements."""
    gateway = gateway_of(world, centre)
    return [
        box
        for box in world.boxes.values()
        if box is not gateway and box.process.proxy.state.data_centre == centre  # type: ignore[union-attr]
    ]


class TestGateways:
    def test_every_box_serves_within_the_endpoints_limit(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            callers = [await world.open_session(box, "primary") for box in world.boxes.values()]

            async def work(caller: Caller, number: int) -> None:
                for step in range(5):
                    answer = await caller.execute(f"WRITE seat{number} guest{step}")
                    assert answer[0] == "ROW written", answer
                    assert (await caller.execute(f"READ seat{number}"))[0] == f"ROW guest{step}"

            async with trio.open_nursery() as nursery:
                for number, caller in enumerate(callers):
                    nursery.start_soon(work, caller, number)
            assert group.primary.connections <= MAX_CONNECTIONS
            assert group.primary.opened <= MAX_CONNECTIONS

        run_with_few_connections(scenario)

    def test_a_forwarded_reply_is_the_endpoints_own(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(forwarding_boxes(world, "a")[0], "read_own_writes")
            written = await caller.execute("WRITE seat7 anna", "id-1")
            primary = world.groups[0].primary
            assert written[1] == f"COMPLETE {proof(primary, 'id-1', 'WRITE seat7 anna')}"
            assert (await caller.execute("READ seat7"))[0] == "ROW anna"

        run_with_few_connections(scenario, lag_s=0.3)

    def test_values_and_prepared_names_are_forwarded_with_the_statement(self) -> None:
        async def scenario(world: World) -> None:
            box, other = forwarding_boxes(world, "a")
            one, two = (
                await world.open_session(box, "primary"),
                await world.open_session(other, "primary"),
            )
            await one.execute("SET colour red")
            await one.execute("PREPARE s READ shape")
            await two.execute("PREPARE s WRITE shape")
            for number in range(4):
                assert (await one.execute("EXECUTE s seat1"))[0].endswith("colour=red")
                assert (await two.execute(f"EXECUTE s seat{number} x"))[0] == "ROW written"
                assert "colour" not in (await two.execute("READ seat1"))[0]

        run_with_few_connections(scenario)

    def test_a_transaction_runs_whole_on_one_connection(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(forwarding_boxes(world, "b")[0], "primary")
            await caller.execute("BEGIN")
            assert (await caller.execute("WRITE seat1 anna"))[-1].startswith("READY T")
            await caller.execute("WRITE seat2 boris")
            assert (await caller.execute("COMMIT"))[-1].startswith("READY I")
            assert len(world.groups[0].primary.log) == 1
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 vera")
            assert (await caller.execute("ROLLBACK"))[-1].startswith("READY I")
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_with_few_connections(scenario)

    @pytest.mark.parametrize("leaves", ["by closing", "with its box"])
    def test_a_transaction_whose_caller_is_gone_is_rolled_back(self, leaves: str) -> None:
        async def scenario(world: World) -> None:
            box = forwarding_boxes(world, "b")[0]
            gateway = gateway_of(world, "b")
            caller = await world.open_session(box, "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            executor = gateway.process.proxy._executor  # type: ignore[union-attr]
            assert executor.count == 1
            if leaves == "by closing":
                caller.close()
                await trio.sleep(0.5)
            else:
                await world.kill_box(box)
                await trio.sleep(5.0)
            assert executor.count == 0
            assert world.groups[0].primary.log == []

        run_with_few_connections(scenario)

    def test_when_a_gateway_is_killed_another_serves(self) -> None:
        async def scenario(world: World) -> None:
            box = forwarding_boxes(world, "a")[0]
            caller = await world.open_session(box, "primary")
            await caller.execute("WRITE seat1 anna")
            await world.kill_box(gateway_of(world, "a"))
            with trio.fail_after(2):
                while (await caller.execute("WRITE seat1 boris"))[0] != "ROW written":
                    await trio.sleep(0.05)
            assert (await caller.execute("READ seat1"))[0] == "ROW boris"

        run_with_few_connections(scenario)

    def test_a_box_runs_statements_itself_when_all_gateways_near_it_are_lost(self) -> None:
        async def scenario(world: World) -> None:
            box, other = forwarding_boxes(world, "a")
            caller = await world.open_session(box, "primary")
            await caller.execute("WRITE seat1 anna")
            await world.kill_box(gateway_of(world, "a"))
            await world.kill_box(other)
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"
            assert (await caller.execute("WRITE seat1 boris"))[0] == "ROW written"

        run_with_few_connections(scenario)

    def test_a_write_is_unknown_when_its_gateway_becomes_unreachable(self) -> None:
        async def scenario(world: World) -> None:
            world.groups[0].work_s = 0.3
            box = forwarding_boxes(world, "a")[0]
            caller = await world.open_session(box, "primary")
            await caller.send(b"QUERY id-1 WRITE seat1 anna\r\n")
            await trio.sleep(0.1)
            gateway = gateway_of(world, "a")
            world.network.cut([gateway.ip], [each.ip for each in world.boxes.values()])
            started = trio.current_time()
            assert (await caller.read_line() or "").startswith("ERROR INDOUBT ")
            assert trio.current_time() - started < 0.8
            assert (await caller.read_line() or "").startswith("READY I ")
            # The write may have been committed, so later reads go to the primary.
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_with_few_connections(scenario)

    def test_a_read_goes_to_another_gateway_when_its_gateway_is_unreachable(self) -> None:
        async def scenario(world: World) -> None:
            box = forwarding_boxes(world, "a")[0]
            caller = await world.open_session(box, "bounded_staleness")
            await caller.execute("READ seat1")
            gateway = gateway_of(world, "a")
            world.network.cut([gateway.ip], [each.ip for each in world.boxes.values()])
            assert (await caller.execute("READ seat1"))[0] == "ROW none"

        run_with_few_connections(scenario)

    def test_a_planned_stop_of_a_gateway_refuses_no_statement(self) -> None:
        async def scenario(world: World) -> None:
            box = forwarding_boxes(world, "a")[0]
            callers = [await world.open_session(box, "primary") for _ in range(4)]
            gateway = gateway_of(world, "a")
            refused: list[list[str]] = []

            async def work(caller: Caller, number: int) -> None:
                while not gateway.ended.is_set():
                    answer = await caller.execute(f"WRITE seat{number} x")
                    if answer[0] != "ROW written":
                        refused.append(answer)
                    await trio.sleep(0.01)

            async with trio.open_nursery() as nursery:
                for number, caller in enumerate(callers):
                    nursery.start_soon(work, caller, number)
                await trio.sleep(0.3)
                gateway.stop_requested.set()
            assert refused == []

        run_with_few_connections(scenario)

    def test_a_dead_primary_is_replaced_by_its_gateways(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(forwarding_boxes(world, "c")[0], "primary")
            await caller.execute("WRITE seat1 anna")
            await trio.sleep(0.2)
            world.kill_server(group.primary)
            with trio.fail_after(4):
                while (await caller.execute("WRITE seat2 boris"))[0] != "ROW written":
                    await trio.sleep(0.1)
            assert (await caller.execute("READ seat1"))[0] == "ROW anna"

        run_with_few_connections(scenario)
