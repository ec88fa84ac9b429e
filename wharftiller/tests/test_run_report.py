"""Tests of the report of a run from the logs of its boxes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import trio
from typer.testing import CliRunner

from wharftiller.cli.wharfctl import app
from wharftiller.core.sessions.retry_after import Cause
from wharftiller.decisions import is_sampled
from wharftiller.request_timeline import read_events
from wharftiller.run_losses import Loss
from wharftiller.run_report import RunReport, report_of
from wharftiller.tests.platform.world import World, run_in_world


def line(at: float, event: str, **fields: object) -> str:
    return json.dumps({"event": event, **fields, "at": at, "part": "proxy", "box": "box-1"})


SAMPLED = next(f"{number}" for number in range(10_000) if is_sampled(f"{number}"))
SLOW = next(f"{number}" for number in range(10_000) if not is_sampled(f"{number}"))


def read(at: float, endpoint: str, request: str = SAMPLED) -> str:
    return line(
        at,
        "answered",
        request=request,
        access="read",
        reading="BoundedReads",
        endpoint=endpoint,
        lead="one",
    )


LINES = [
    read(1.0, "one"),
    read(1.1, "two"),
    read(1.2, "two"),
    read(1.25, "one", SLOW),
    line(1.3, "answered", access="write", reading="PrimaryReads", endpoint="one", lead="one"),
    line(5.0, "endpoint_silent", endpoint="one"),
    line(5.2, "refused", reason="no_capacity"),
    line(5.3, "refused", reason="no_capacity"),
    line(6.0, "change_of_primary_starts", group="seats", old="one", planned=False),
    line(6.1, "record_written", revision=3),
    line(6.4, "promotion_ordered", group="seats", endpoint="two", ok=True),
    line(6.8, "record_written", revision=4),
]


@pytest.fixture
def report() -> RunReport:
    return report_of(read_events(LINES))


class TestReport:
    def test_reads_are_counted_by_role_of_the_server(self, report: RunReport) -> None:
        (share,) = report.reads
        assert (share.reading, share.by_replicas, share.by_primaries) == ("BoundedReads", 2, 1)

    def test_a_change_is_timed_from_silence_and_from_the_decision(self, report: RunReport) -> None:
        (failover,) = report.failovers
        assert (failover.old, failover.successor) == ("one", "two")
        assert failover.silent_s == pytest.approx(1.8)
        assert failover.failover_s == pytest.approx(0.8)

    def test_two_groups_moved_in_one_record_are_two_changes(self) -> None:
        events = [
            line(1.0, "change_of_primary_starts", group="seats", old="one", planned=False),
            line(1.0, "change_of_primary_starts", group="tours", old="three", planned=False),
            line(1.4, "promotion_ordered", group="seats", endpoint="two", ok=True),
            line(1.4, "promotion_ordered", group="tours", endpoint="four", ok=True),
            line(1.8, "record_written", revision=4),
        ]
        failovers = report_of(read_events(events)).failovers
        assert [failover.group for failover in failovers] == ["seats", "tours"]

    def test_refusals_are_counted_by_time_and_reason(self, report: RunReport) -> None:
        assert report.refusals == {(4.0, "no_capacity"): 2}

    def test_losses_are_counted_by_cause_and_time(self) -> None:
        events = [
            line(0.0, "started"),
            line(4.1, "refused", reason="no_capacity", cause="primary_silent", lead_silent_ms=900),
            line(4.2, "refused", reason="no_capacity", cause="primary_silent", lead_silent_ms=1900),
            line(4.3, "unsettled", reason="outcome_unknown", cause=None),
            line(4.4, "answered", late=True, moving=True),
            line(4.5, "answered", late=False),
            line(6.5, "lines_left_out", counts={"refused": 7, "box_did_not_answer": 9}),
        ]
        assert report_of(read_events(events)).losses == [
            Loss(4.0, "change_of_primary", late=1),
            Loss(4.0, "outcome_unknown", unknown=1),
            Loss(4.0, "primary_silent", refused=2, before_failover=1),
            Loss(6.0, "not logged", refused=7),
        ]

    def test_every_refusal_of_a_run_names_its_cause(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            world.kill_server(world.groups[0].primary)
            for number in range(20):
                await caller.execute(f"WRITE seat{number} x")
                await trio.sleep(0.1)
            lines = [json.dumps(each) for other in world.boxes.values() for each in other.log()]
            causes = {loss.cause for loss in report_of(read_events(lines)).losses if loss.refused}
            assert causes <= {cause.value for cause in Cause} | {"timed_out"}
            assert "primary_silent" in causes or "no_connection" in causes

        run_in_world(scenario)

    def test_nothing_logged_is_an_empty_report(self) -> None:
        assert report_of([]) == RunReport([], [], {})

    def test_the_command_prints_tables_and_draws_them(self, tmp_path: Path) -> None:
        log, picture = tmp_path / "box.log", tmp_path / "run.svg"
        log.write_text("\n".join(LINES))
        result = CliRunner().invoke(app, ["report", str(log), "--svg", str(picture)])
        assert result.exit_code == 0, result.output
        assert "Changes of primary" in result.output
        assert "<svg" in picture.read_text()

    def test_the_logs_of_a_run_make_a_report(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            reader = await world.open_session(box, "bounded_staleness")
            await caller.execute("READ seat1")
            for _ in range(300):
                await reader.execute("READ seat1")
            world.kill_server(world.groups[0].primary)
            await trio.sleep(6)
            lines = [json.dumps(each) for other in world.boxes.values() for each in other.log()]
            report = report_of(read_events(lines))
            assert [share.reading for share in report.reads] == ["BoundedReads"]
            assert report.reads[0].by_replicas > 0
            assert [failover.planned for failover in report.failovers] == [False]

        run_in_world(scenario)
