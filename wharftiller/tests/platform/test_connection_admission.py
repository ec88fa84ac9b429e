"""Tests of the connection limit of a box."""

from __future__ import annotations

import pytest
import trio

from wharftiller.core.sessions.connection_limits import MIN_HANDSHAKE_S, MIN_IDLE_S, BoxLimits
from wharftiller.request_timeline import read_events
from wharftiller.run_losses import losses_of
from wharftiller.tests.platform.world import BoxProcess, Caller, World, run_in_world

SMALL_LIMITS = BoxLimits(descriptors=160)
"""Limits that admit about sixty callers."""


async def fill(world: World, box: BoxProcess) -> list[Caller]:
    """Open sessions until one is refused; return the open ones."""
    callers: list[Caller] = []
    while True:
        caller, line = await world.request_session(box, "primary")
        if line != "READY I -":
            assert line is not None
            assert line.startswith("ERROR OVERLOAD")
            assert "come back in 50 ms" in line
            assert await caller.read_line() is None
            return callers
        callers.append(caller)


async def is_ready(world: World, box: BoxProcess) -> bool:
    stream = await world.network.host("10.8.0.3").connect(f"{box.ip}:2")
    await stream.send_all(b"GET /v1/readiness HTTP/1.1\r\nhost: a\r\n\r\n")
    return b" 200 " in await stream.receive_some()


class TestConnectionAdmission:
    def test_a_full_box_refuses_at_once_and_takes_callers_again(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            assert await is_ready(world, box)
            callers = await fill(world, box)
            assert 20 <= len(callers) <= SMALL_LIMITS.connections
            assert not await is_ready(world, box)
            for caller in callers[: len(callers) // 2]:
                caller.close()
            await trio.sleep(0.1)
            assert await is_ready(world, box)
            caller = await world.open_session(box, "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"

        run_in_world(scenario, boxes=1, limits=SMALL_LIMITS)

    def test_the_longest_idle_session_is_shed_for_a_new_one(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            callers = await fill(world, box)
            await trio.sleep(MIN_IDLE_S)
            assert (await callers[0].execute("READ seat1"))[-1].startswith("READY I")
            newcomer = await world.open_session(box, "primary")
            assert (await newcomer.execute("WRITE seat1 anna"))[0] == "ROW written"
            assert await callers[1].read_line() is None
            assert (await callers[0].execute("READ seat1"))[0] == "ROW anna"

        run_in_world(scenario, boxes=1, limits=SMALL_LIMITS)

    def test_a_session_in_a_transaction_is_not_shed(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            booking = await world.open_session(box, "primary")
            await booking.execute("BEGIN")
            await booking.execute("WRITE seat1 anna")
            callers = await fill(world, box)
            await trio.sleep(MIN_IDLE_S)
            for _ in callers:
                await world.open_session(box, "primary")
            assert (await booking.execute("COMMIT"))[0].startswith("COMPLETE")

        run_in_world(scenario, boxes=1, limits=SMALL_LIMITS)

    def test_connections_without_a_handshake_are_shed_first(self) -> None:
        """Idle sessions must not be shed while connections without a handshake remain."""

        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            served = [await world.open_session(box, "primary") for _ in range(5)]
            for _ in range(SMALL_LIMITS.connections):
                await world.network.host("10.8.0.2").connect(f"{box.ip}:1")
            await trio.sleep(max(MIN_HANDSHAKE_S, MIN_IDLE_S))
            for _ in range(10):
                await world.open_session(box, "primary")
            for caller in served:
                assert (await caller.execute("READ seat1"))[-1].startswith("READY I")

        run_in_world(scenario, boxes=1, limits=SMALL_LIMITS)

    def test_refused_connections_are_logged_in_few_lines_and_counted(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            callers = await fill(world, box)
            assert callers
            for _ in range(300):
                _, line = await world.request_session(box, "primary")
                assert line is not None
                assert line.startswith("ERROR OVERLOAD")
            await trio.sleep(1.5)
            lines = box.events("door_full")
            assert len(lines) <= 3
            assert sum(line["refused"] for line in lines) == 301
            events = read_events(bytes(box.lines).decode().splitlines())
            refused = [loss for loss in losses_of(events, 0.0) if loss.cause == "door"]
            assert sum(loss.refused for loss in refused) == 301

        run_in_world(scenario, boxes=1, limits=SMALL_LIMITS)

    @pytest.mark.parametrize("descriptors", [700, 1_640, 4_300])
    def test_a_box_accepts_hundreds_of_connections_at_any_limit(self, descriptors: int) -> None:
        async def scenario(world: World) -> None:
            for _ in range(250):
                await world.open_session(world.boxes["box-1"], "primary")

        run_in_world(scenario, boxes=1, limits=BoxLimits(descriptors, 200))
