"""Tests of retry-after times."""

from __future__ import annotations

import pytest

from wharftiller.core.leadership.failover import UNREACHABLE_S
from wharftiller.core.leadership.lease import LEASE_S, RESTORATION_SETTLING_S
from wharftiller.core.leadership.verification import ORDERS_EFFECT_S
from wharftiller.core.sessions.retry_after import (
    JITTER_FRACTION,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Cause,
    PrimaryAvailability,
    primary_retry_after_s,
    retry_after_s,
)

CHANGE_S = 1.0


class TestPrimary:
    @pytest.mark.parametrize(
        ("availability", "cause", "after_s"),
        [
            (PrimaryAvailability(failover_s=0.4, is_certain=True), Cause.CHANGE_OF_PRIMARY, 0.6),
            (PrimaryAvailability(failover_s=2.0), Cause.CHANGE_OF_PRIMARY, LEASE_S - 2.0),
            (
                PrimaryAvailability(silent_s=0.5),
                Cause.PRIMARY_SILENT,
                UNREACHABLE_S + CHANGE_S - 0.5,
            ),
            (
                PrimaryAvailability(silent_s=5.0),
                Cause.PRIMARY_SILENT,
                2.0 + LEASE_S + CHANGE_S - 5.0,
            ),
            (PrimaryAvailability(), Cause.NO_LEASE, 0.3),
            (
                PrimaryAvailability(unverified_s=1.0),
                Cause.NO_LEASE,
                ORDERS_EFFECT_S + CHANGE_S - 1.0,
            ),
            (
                PrimaryAvailability(unverified_s=9.0),
                Cause.NO_LEASE,
                RESTORATION_SETTLING_S + CHANGE_S - 9.0,
            ),
        ],
    )
    def test_the_time_is_what_is_left_until_the_primary_can_be_used(
        self, availability: PrimaryAvailability, cause: Cause, after_s: float
    ) -> None:
        assert availability.cause is cause
        assert primary_retry_after_s(availability, CHANGE_S) == pytest.approx(after_s)


class TestRetryAfter:
    def test_callers_refused_together_are_spread(self) -> None:
        times = {round(retry_after_s(1.0, f"request-{number}"), 3) for number in range(100)}
        assert len(times) > 80
        assert 1.0 - JITTER_FRACTION <= min(times) < 0.85
        assert 1.15 < max(times) <= 1.0 + JITTER_FRACTION

    def test_the_same_request_gets_the_same_time(self) -> None:
        assert retry_after_s(1.0, "one") == retry_after_s(1.0, "one")

    @pytest.mark.parametrize(
        ("after_s", "bound_s"), [(-3.0, MIN_RETRY_AFTER_S), (100.0, MAX_RETRY_AFTER_S)]
    )
    def test_the_time_stays_within_its_bounds(self, after_s: float, bound_s: float) -> None:
        assert abs(retry_after_s(after_s, "one") - bound_s) <= JITTER_FRACTION * bound_s
