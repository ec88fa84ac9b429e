"""Tests of the limit of statements at once on one endpoint."""

from __future__ import annotations

from wharftiller.core.sessions.concurrency import DECREASE_PAUSE_S, ConcurrencyLimit


class TestLimit:
    def test_nothing_is_limited_before_a_refusal(self) -> None:
        assert ConcurrencyLimit().max_running(10) == 10

    def test_a_refusal_lowers_it_and_answers_raise_it_again(self) -> None:
        limit = ConcurrencyLimit()
        limit.decrease(10, 1.0)
        assert limit.max_running(10) == 7
        for _ in range(40):
            limit.increase()
        assert limit.max_running(10) == 10

    def test_refusals_in_quick_succession_count_once(self) -> None:
        limit = ConcurrencyLimit()
        limit.decrease(10, 1.0)
        limit.decrease(10, 1.0 + DECREASE_PAUSE_S / 2)
        assert limit.max_running(10) == 7

    def test_one_statement_may_always_run(self) -> None:
        limit = ConcurrencyLimit()
        for number in range(20):
            limit.decrease(1, float(number))
        assert limit.max_running(10) == 1
