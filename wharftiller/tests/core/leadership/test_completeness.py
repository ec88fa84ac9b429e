"""Evidence that a replica holds every acknowledged write."""

from __future__ import annotations

import math
from typing import Any

import pytest

from wharftiller.core.freshness import FreshPoint, FreshPoints
from wharftiller.core.leadership.completeness import (
    AbsentHolder,
    AcknowledgedWrites,
    AcknowledgementReport,
    LogEvidence,
)
from wharftiller.core.positions import LOG_START, LogPosition
from wharftiller.edges.leadership_json import report_from_json, report_to_json


def at(index: int) -> LogPosition:
    return LogPosition(1, index)


def known(*points: tuple[float, int]) -> FreshPoints:
    """Return positions of the primary: time and index of each."""
    found = FreshPoints()
    for time, index in points:
        found.add(FreshPoint(time, at(index)))
    return found


def evidence(**changes: Any) -> LogEvidence:
    """Return the evidence of a group whose endpoints have all reported."""
    values: dict[str, Any] = {
        "reported": at(5),
        "silent": frozenset(),
        "absent": (),
        "knows_holders": True,
        "points": known((10.0, 3), (20.0, 5)),
        "acknowledged": at(5),
        "processes_since": None,
    }
    return LogEvidence(**{**values, **changes})


class TestHoldersReported:
    def test_the_most_advanced_log_is_complete_once_all_have_reported(self) -> None:
        assert evidence().shows_complete(at(5))

    def test_a_log_behind_one_that_reported_is_not(self) -> None:
        assert not evidence().shows_complete(at(4))

    def test_no_log_is_while_a_listed_endpoint_is_silent(self) -> None:
        assert not evidence(silent=frozenset({"i-2"})).shows_complete(at(5))

    @pytest.mark.parametrize(
        ("ended_at", "received", "complete"),
        [
            (9.0, 5, True),
            (9.0, 3, True),
            (11.0, 4, False),
            (11.0, 5, True),
            (21.0, 5, False),
            (math.inf, 5, False),
        ],
    )
    def test_a_holder_that_ended_is_covered_by_a_later_position_of_the_primary(
        self, ended_at: float, received: int, complete: bool
    ) -> None:
        absent = (AbsentHolder("10.2.2.1:5", ended_at),)
        found = evidence(reported=at(received), absent=absent)
        assert found.shows_complete(at(received)) is complete
        assert found.uncovered(at(received)) == ([] if complete else ["10.2.2.1:5"])

    @pytest.mark.parametrize(
        ("points", "received", "complete"),
        [(((10.0, 3), (20.0, 5)), 5, True), (((10.0, 3),), 2, False), ((), 5, False)],
    )
    def test_unknown_holders_are_covered_by_the_first_known_position_of_the_primary(
        self, points: tuple[tuple[float, int], ...], received: int, complete: bool
    ) -> None:
        found = evidence(reported=at(received), knows_holders=False, points=known(*points))
        assert found.shows_complete(at(received)) is complete


class TestAcknowledged:
    """Beside an endpoint that does not report."""

    @pytest.mark.parametrize(
        ("acknowledged", "processes_since", "received", "complete"),
        [
            (5, 5.0, 5, True),
            (5, 5.0, 4, False),
            (4, 5.0, 4, True),
            (4, None, 4, False),
            (4, 15.0, 4, False),
            (4, 15.0, 5, True),
            (4, 25.0, 5, False),
        ],
    )
    def test_a_log_is_complete_if_it_reaches_what_every_process_acknowledged(
        self, acknowledged: int, processes_since: float | None, received: int, complete: bool
    ) -> None:
        found = evidence(
            silent=frozenset({"i-2"}),
            acknowledged=at(acknowledged),
            processes_since=processes_since,
        )
        assert found.shows_complete(at(received)) is complete

    def test_the_newest_position_of_all_reports_counts(self) -> None:
        reports = tuple(
            AcknowledgementReport(f"box-{index}", {"seats": at(index)}) for index in (3, 7, 5)
        )
        acknowledged = AcknowledgedWrites(reports, 1.0)
        assert acknowledged.newest("seats") == at(7)
        assert acknowledged.newest("rooms") == LOG_START


class TestReport:
    def test_a_report_survives_the_way_to_another_box(self) -> None:
        report = AcknowledgementReport("box-1/a", {"seats": at(7)})
        assert report_from_json(report_to_json(report)) == report

    def test_a_version_that_sends_none_has_told_nothing(self) -> None:
        assert report_from_json({"stopped": True, "listed_ms": 5}) is None
