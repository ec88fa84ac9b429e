"""Tests of the limit of a statement's wait for capacity."""

from __future__ import annotations

import pytest

from wharftiller.core.sessions.wait_limits import LATE_FRACTION, QUEUED_FRACTION, wait_limit

GOAL_S = 0.4


class TestWaitLimit:
    def test_time_to_run_is_left(self) -> None:
        limit = wait_limit(arrived_at=10.0, goal_s=GOAL_S, now=10.0)
        assert limit.admit_until == pytest.approx(10.0 + QUEUED_FRACTION * GOAL_S)
        assert limit.until == pytest.approx(10.0 + GOAL_S)

    def test_time_waited_elsewhere_counts(self) -> None:
        waited = wait_limit(arrived_at=10.0, goal_s=GOAL_S, now=10.05)
        assert waited == wait_limit(arrived_at=10.0, goal_s=GOAL_S, now=10.0)

    def test_a_statement_held_for_long_may_still_wait_a_moment(self) -> None:
        limit = wait_limit(arrived_at=10.0, goal_s=GOAL_S, now=11.0)
        assert limit.admit_until == limit.until == pytest.approx(11.0 + LATE_FRACTION * GOAL_S)
