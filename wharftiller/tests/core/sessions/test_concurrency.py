"""Tests of the limit of statements at once on one endpoint."""

from __future__ import annotations

from wharftiller.core.sessions.concurrency import DECREASE_PAUSE_S, ConcurrencyLimit


class TestLimit:
    def test_nothing_is_limited_before_a_refusal(self) -> None:
        assert ConcurrencyLimit().places(10) == 10

    def test_a_refusal_lowers_it_and_answers_raise_it_again(self) -> None:
        limit = ConcurrencyLimit()
        limit.busy(10, 1.0)
        assert limit.places(10) == 7
        for _ in range(40):
            limit.answered()
        assert limit.places(10) == 10

    def test_refusals_in_quick_succession_count_once(self) -> None:
        limit = ConcurrencyLimit()
        limit.busy(10, 1.0)
        limit.busy(10, 1.0 + DECREASE_PAUSE_S / 2)
        assert limit.places(10) == 7

    def test_one_statement_may_always_run(self) -> None:
        limit = ConcurrencyLimit()
        for number in range(20):
            limit.busy(1, float(number))
        assert limit.places(10) == 1
