"""Tests of the distribution of connections: over all boxes, or over a few gateways."""

from __future__ import annotations

import pytest

from wharftiller.core.sessions.gateways import MIN_SHARE, gateways_of, plan_gateways
from wharftiller.core.sessions.shares import KEPT_DIVISOR, connection_share, most_connections


class TestKept:
    @pytest.mark.parametrize(("limit", "boxes"), [(23, 9), (38, 8), (283, 72), (53, 6)])
    def test_as_many_connections_are_free_as_are_kept(self, limit: int, boxes: int) -> None:
        """Connections of boxes that lost power stay open while all boxes reconnect."""
        assert connection_share(limit, boxes) * boxes * KEPT_DIVISOR <= limit


class TestPlan:
    @pytest.mark.parametrize(
        ("limit", "boxes", "centres"), [(23, 9, 3), (38, 8, 3), (283, 72, 4), (25, 1, 1)]
    )
    def test_where_there_are_enough_every_box_connects(
        self, limit: int, boxes: int, centres: int
    ) -> None:
        plan = plan_gateways(limit, boxes, centres)
        assert plan.gateways is None
        assert most_connections(limit, boxes) >= MIN_SHARE
        assert plan.share * boxes <= limit

    @pytest.mark.parametrize("limit", [10, 23, 53, 100])
    @pytest.mark.parametrize("boxes", [71, 300, 1000])
    @pytest.mark.parametrize("centres", [1, 3, 5])
    def test_where_there_are_too_few_gateways_keep_within_the_limit(
        self, limit: int, boxes: int, centres: int
    ) -> None:
        plan = plan_gateways(limit, boxes, centres)
        if plan.gateways is None:
            assert plan.share * boxes <= limit
        else:
            assert plan.share * plan.gateways * centres <= limit

    def test_gateways_are_the_same_for_every_box_and_differ_by_group(self) -> None:
        names = [f"box-{number}" for number in range(24)]
        plan = plan_gateways(53, 72, 3)
        assert plan.gateways == 2
        assert gateways_of("seats", names, plan) == gateways_of("seats", reversed(names), plan)
        chosen = {tuple(gateways_of(f"group-{number}", names, plan)) for number in range(8)}
        assert len(chosen) > 4
