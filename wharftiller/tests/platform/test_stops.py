"""Planned stops and reloads, which interrupt no statement."""

from __future__ import annotations

import trio

from wharftiller.core.sessions.isolation import BALANCER_REACTION_S
from wharftiller.tests.platform.world import BoxProcess, Caller, World, run_in_world

GRACE_S = 6.0


async def stop(world: World, box: BoxProcess) -> None:
    """Stop a box gracefully and wait until its process has ended."""
    box.stop_requested.set()
    with trio.fail_after(GRACE_S):
        await box.ended.wait()
    world.network.kill(box.ip)


class TestStop:
    def test_a_stopping_box_is_unready_at_once_and_serves_until_the_balancer_reacts(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            stop_requested_at = trio.current_time()
            box.stop_requested.set()
            await trio.sleep(0.01)
            assert not box.process.proxy.is_ready  # type: ignore[union-attr]
            while trio.current_time() < stop_requested_at + BALANCER_REACTION_S - 0.1:
                assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
                await trio.sleep(0.05)
            assert await caller.read_line() is None
            assert trio.current_time() - stop_requested_at < BALANCER_REACTION_S + 0.2

        run_in_world(scenario)

    def test_an_open_transaction_may_end_in_the_first_half_of_the_grace_period(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            box.stop_requested.set()
            await trio.sleep(GRACE_S / 2 - 0.2)
            assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE ")
            assert await caller.read_line() is None
            assert [record.writes for record in world.groups[0].primary.log]

        run_in_world(scenario)

    def test_a_statement_that_runs_at_the_end_is_still_answered(self) -> None:
        async def scenario(world: World) -> None:
            world.groups[0].work_s = 0.7
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            box.stop_requested.set()
            await trio.sleep(BALANCER_REACTION_S - 0.1)
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
            assert await caller.read_line() is None

        run_in_world(scenario)

    def test_successive_stops_interrupt_no_statement(self) -> None:
        async def scenario(world: World) -> None:
            unanswered: list[str] = []
            done = trio.Event()

            async def session(number: int) -> None:
                step = 0
                while not done.is_set():
                    ready = [
                        box
                        for box in world.boxes.values()
                        if box.process.proxy is not None and box.process.proxy.is_ready
                    ]
                    caller = await world.open_session(ready[number % len(ready)], "primary")
                    step = await write_until_closed(caller, number, step)

            async def write_until_closed(caller: Caller, number: int, step: int) -> int:
                while not done.is_set():
                    step += 1
                    sent_at = trio.current_time()
                    try:
                        answer = await caller.execute(f"WRITE seat{number} guest{step}")
                    except trio.BrokenResourceError:
                        # The session was closed while idle: nothing was sent.
                        return step
                    if not answer:
                        # A statement may cross the close of its session, but must not wait.
                        if trio.current_time() - sent_at > 0.1:
                            unanswered.append(f"{number}/{step}")
                        return step
                    if answer[0] != "ROW written":
                        unanswered.append(answer[0])
                    await trio.sleep(0.03)
                return step

            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(session, number)
                for number in (1, 2, 3, 1):
                    await stop(world, world.boxes[f"box-{number}"])
                    await world.start_box(number, "abc"[number - 1])
                    await trio.sleep(1.5)
                done.set()
            assert unanswered == []

        run_in_world(scenario)


class TestReload:
    def test_unusable_settings_do_not_end_the_process(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            for _ in range(3):
                box.process._recheck_settings()
                assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
            assert len(box.events("settings_unusable")) == 3

        run_in_world(scenario)
