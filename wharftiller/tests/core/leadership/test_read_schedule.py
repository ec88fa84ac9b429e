"""Schedule of a box's reads of the shared state: guards against stale configuration and leases."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.leadership.read_schedule import (
    AWAY_READ_S,
    MISSING_LEASE_READ_S,
    READER_READS_S,
    SHARED_READ_S,
    ReadIntervals,
    ReadScheduleInputs,
    read_is_due,
)
from wharftiller.core.sessions.bounds import PlatformBounds

INTERVALS = ReadIntervals.within(PlatformBounds())
RENEWED_INPUTS = ReadScheduleInputs(
    since_s=2.0,
    misses_lease=False,
    by_data_centre=False,
    reads_for_others=False,
    renewed=True,
    known_age_s=0.5,
)
"""Another box reads for all and renewals extend the leases."""

PLATFORM_UNAVAILABLE = {"by_data_centre": True, "renewed": False, "platform_answers": False}
"""The platform is unavailable to all boxes of a large deployment."""


class TestReading:
    @pytest.mark.parametrize(
        ("changes", "due"),
        [
            ({}, False),
            ({"since_s": SHARED_READ_S}, True),
            ({"reads_for_others": True}, True),
            ({"reads_for_others": True, "since_s": INTERVALS.reader_s / 2}, False),
            ({"renewed": False}, True),
            ({"known_age_s": INTERVALS.known_s + 0.1}, True),
            ({"misses_lease": True}, True),
            ({"misses_lease": True, "since_s": MISSING_LEASE_READ_S}, True),
            ({"misses_lease": True, "since_s": MISSING_LEASE_READ_S / 2}, False),
            ({"by_data_centre": True, "since_s": SHARED_READ_S, "known_age_s": 9.0}, False),
            ({"by_data_centre": True, "renewed": False}, True),
            ({"by_data_centre": True, "reads_for_others": True}, True),
            ({"platform_answers": False, "renewed": False}, True),
            ({"platform_answers": False, "misses_lease": True, "since_s": 0.5}, False),
            ({**PLATFORM_UNAVAILABLE, "may_be_asked": True}, True),
            ({**PLATFORM_UNAVAILABLE, "may_be_asked": False}, False),
            ({**PLATFORM_UNAVAILABLE, "may_be_asked": False, "misses_lease": True}, False),
            ({**PLATFORM_UNAVAILABLE, "may_be_asked": False, "since_s": AWAY_READ_S}, True),
        ],
    )
    def test_it_is_due_when_nobody_reads_for_this_box(
        self, changes: dict[str, float], due: bool
    ) -> None:
        assert read_is_due(attrs.evolve(RENEWED_INPUTS, **changes), INTERVALS) is due  # type: ignore[arg-type]

    @pytest.mark.parametrize("in_force_s", [0.5, 1.5, 3.0, 6.0])
    def test_a_change_is_known_in_time_whoever_reads(self, in_force_s: float) -> None:
        intervals = ReadIntervals.within(PlatformBounds(configuration_in_force_s=in_force_s))
        assert intervals.reader_s + intervals.known_s < in_force_s
        assert intervals.reader_s <= READER_READS_S
