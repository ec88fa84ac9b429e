"""Tests of a request's timeline from the logs of several boxes."""

from __future__ import annotations

import json
from pathlib import Path

from typer.testing import CliRunner

from wharftiller.cli.wharfctl import app
from wharftiller.request_timeline import read_events, timeline_of
from wharftiller.tests.platform.world import World, run_in_world


def line(at: float, box: str, event: str, **fields: object) -> str:
    return json.dumps({"event": event, **fields, "at": at, "part": "proxy", "box": box})


LINES = [
    line(9.0, "box-1", "endpoint_silent", endpoint="one"),
    line(10.0, "box-1", "refused", request="r-1", took_ms=700, reason="no_capacity"),
    line(9.5, "box-1", "refused", request="r-2", took_ms=1),
    line(9.5, "box-2", "platform_lost", why="late"),
    line(1.0, "box-1", "started", pid=1),
    "  12.1 box-1 " + line(10.2, "box-1", "record_adopted", revision=7),
    '{"event": "half a li',
]


class TestTimeline:
    def test_it_has_the_request_and_its_box_events_around_it(self) -> None:
        timeline = timeline_of("r-1", read_events(LINES))
        assert [event.event for event in timeline] == [
            "endpoint_silent",
            "refused",
            "record_adopted",
        ]

    def test_an_unknown_request_has_none(self) -> None:
        assert timeline_of("r-9", read_events(LINES)) == []

    def test_the_command_prints_it_in_order(self, tmp_path: Path) -> None:
        path = tmp_path / "box.log"
        path.write_text("\n".join(LINES))
        result = CliRunner().invoke(app, ["trace", "r-1", str(path)])
        assert result.exit_code == 0
        assert [line[0] for line in result.output.splitlines()] == [" ", ">", " "]

    def test_the_command_says_when_nothing_is_logged(self, tmp_path: Path) -> None:
        path = tmp_path / "box.log"
        path.write_text("\n".join(LINES))
        result = CliRunner().invoke(app, ["trace", "r-9", str(path)])
        assert result.exit_code == 1
        assert "no line tells of r-9" in result.output

    def test_every_failed_request_of_a_real_run_is_logged(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            world.kill_server(world.groups[0].primary)
            answer = await caller.execute("WRITE seat1 anna", "r-lost")
            assert answer[0].startswith("ERROR")
            lines = bytes(world.boxes["box-1"].lines).decode().splitlines()
            world.boxes["box-1"].log()
            lines = bytes(world.boxes["box-1"].lines).decode().splitlines()
            timeline = timeline_of("r-lost", read_events(lines))
            assert any(event.fields.get("request") == "r-lost" for event in timeline)

        run_in_world(scenario)
