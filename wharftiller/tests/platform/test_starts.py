"""Starts of boxes: one of many, many at once, and a restart of all."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.daemons.sessions.membership import readers
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.tests.platform.world import STORE_IP, World, run_in_world, write_until_acknowledged

BOXES = 24

MAX_REQUESTS_PER_BOX = 6
"""Maximum requests to other boxes per box, for 24 boxes in their first seconds."""

MAX_CALLS = 5
"""Maximum calls to the platform for one box that starts: two of its own, one of each reader."""

NO_READER = 12
"""Number of a tenth box that does not become its data centre's reader."""

READER = "box-4"
"""The reader of that data centre."""


class TestManyAtOnce:
    def test_few_requests_between_boxes(self, monkeypatch: pytest.MonkeyPatch) -> None:
        post, requests = BoxDirectory.post, []

        async def counting(directory: BoxDirectory, *args: Any) -> Any:
            requests.append(args[1])
            return await post(directory, *args)

        async def scenario(world: World) -> None:
            assert len(requests) / BOXES < MAX_REQUESTS_PER_BOX

        monkeypatch.setattr(BoxDirectory, "post", counting)
        run_in_world(scenario, boxes=BOXES)

    def test_the_log_does_not_grow_with_the_square_of_the_boxes(self) -> None:
        """A change of the list is logged in one line, not in one per box."""

        async def scenario(world: World) -> None:
            for box in world.boxes.values():
                lines = box.events("boxes_listed")
                assert len(lines) <= BOXES / 3
                assert sum(line["new_count"] - line["gone_count"] for line in lines) == BOXES - 1
                assert lines[-1]["listed"] == BOXES - 1

        run_in_world(scenario, boxes=BOXES)


class TestOneOfMany:
    def test_it_syncs_from_peers(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(readers, "READERS_MIN_BOXES", 4)

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            idle_calls = world.store.calls
            await trio.sleep(5)
            idle_calls = world.store.calls - idle_calls
            before = world.store.calls
            box = await world.start_box(NO_READER)
            await trio.sleep(5)
            assert world.store.calls - before - idle_calls <= MAX_CALLS
            caller = await world.open_session(box, "primary")
            assert (await caller.execute("WRITE seat1 x"))[0] == "ROW written"

        run_in_world(scenario, boxes=9, bounds=PlatformBounds(configuration_in_force_s=6.0))

    @pytest.mark.parametrize("reader_answers", [True, False])
    def test_it_ignores_seeds_cut_off_from_the_platform(
        self, reader_answers: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The seeds still have an old configuration."""
        monkeypatch.setattr(readers, "READERS_MIN_BOXES", 4)

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            seeds = [world.boxes["box-1"].ip, world.boxes["box-2"].ip]
            others = [box.ip for box in world.boxes.values() if box.ip not in seeds]
            world.network.cut(seeds, [*others, STORE_IP])
            if not reader_answers:
                reader = next(box for box in world.boxes.values() if box.name == READER)
                world.network.cut([f"10.1.0.{NO_READER}"], [reader.ip])
            document = world.store.spec("config", "main")
            world.store.set("config", "main", {**document, "Version": 7})
            await trio.sleep(PlatformBounds().configuration_in_force_s)
            box = await world.start_box(NO_READER)
            await trio.sleep(1.2)
            assert box.process.proxy is not None
            assert box.process.proxy.state.version == 7

        run_in_world(scenario, boxes=9)


class TestRestartOfAll:
    @pytest.mark.parametrize("boxes", [3, 24])
    def test_writes_are_taken_within_a_second(self, boxes: int) -> None:
        """All processes were killed, so no box has any state."""

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            for box in list(world.boxes.values()):
                await world.kill_box(box)
            await trio.sleep(1)
            for number in range(1, boxes + 1):
                await world.start_box(number, "abc"[(number - 1) % 3])
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert await write_until_acknowledged(caller, "WRITE seat1 x", 3.0) < 1.0

        run_in_world(scenario, boxes=boxes)
