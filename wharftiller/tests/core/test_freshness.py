"""Age of data, derived from fresh points."""

from __future__ import annotations

import math

from wharftiller.core.freshness import FreshPoint, FreshPoints
from wharftiller.core.positions import LogPosition


class TestFreshPoints:
    def test_log_is_as_fresh_as_the_newest_point_it_reaches(self) -> None:
        points = FreshPoints()
        points.add(FreshPoint(1.0, LogPosition(1, 5)))
        points.add(FreshPoint(2.0, LogPosition(1, 8)))
        assert points.fresh_as_of(LogPosition(1, 4)) == -math.inf
        assert points.fresh_as_of(LogPosition(1, 7)) == 1.0
        assert points.fresh_as_of(LogPosition(1, 8)) == 2.0
        assert points.fresh_as_of(LogPosition(2, 1)) == 2.0

    def test_idle_group_keeps_one_point(self) -> None:
        points = FreshPoints()
        for at in range(1_000):
            points.add(FreshPoint(float(at), LogPosition(1, 5)))
        assert points.fresh_as_of(LogPosition(1, 5)) == 999.0
        assert len(points._points) == 1

    def test_point_of_an_earlier_position_is_ignored(self) -> None:
        points = FreshPoints()
        points.add(FreshPoint(1.0, LogPosition(2, 5)))
        points.add(FreshPoint(2.0, LogPosition(1, 9)))
        assert points.newest == FreshPoint(1.0, LogPosition(2, 5))
