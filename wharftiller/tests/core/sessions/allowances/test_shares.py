"""Loans between two data centres: never lent twice, back in time."""

from __future__ import annotations

import pytest

from wharftiller.core.sessions.allowances.shares import (
    HANDED_OVER_S,
    LENDABLE_FRACTION,
    LOAN_S,
    RETRY_S,
    AllowanceShare,
    LoanReply,
    LoanRequest,
)

OWN = 100.0
SPAN_S = 6.0
LONG_AGO = -100.0


def share(since: float = LONG_AGO, others: tuple[str, ...] = ("b", "c")) -> AllowanceShare:
    return AllowanceShare(OWN, others, since, SPAN_S)


def asked(held: float = 0.0, more: bool = True, keeper: str = "box-b") -> LoanRequest:
    return LoanRequest("b", keeper, held, more)


class TestLending:
    def test_what_is_lent_is_no_longer_ones_own(self) -> None:
        lender = share()
        lent = lender.lend(asked(), unused=30.0, now=0.0).lent
        assert lent == 30.0
        assert lender.amount(0.0) == OWN - 30.0

    def test_one_borrower_gets_its_part_of_what_is_lendable(self) -> None:
        lender = share()
        for _ in range(3):
            lent = lender.lend(asked(), unused=OWN, now=0.0).lent
        assert lent == pytest.approx(OWN * LENDABLE_FRACTION / 2)

    def test_asked_again_it_tells_the_same_loan(self) -> None:
        lender = share()
        first = lender.lend(asked(), unused=30.0, now=0.0)
        assert lender.lend(asked(more=False), unused=0.0, now=1.0) == first

    def test_it_comes_back_a_window_after_the_borrower_may_use_it_last(self) -> None:
        lender, borrower = share(), share(others=("a",))
        answer = lender.lend(asked(), unused=30.0, now=0.2)
        borrower.take("a", answer, asked_at=0.1, now=0.3)
        used_until = 0.1 + LOAN_S
        assert borrower.amount(used_until - 0.01) == OWN + 30.0
        assert borrower.amount(used_until) == OWN
        assert lender.amount(used_until + SPAN_S - 0.01) == OWN - 30.0
        assert lender.amount(0.2 + LOAN_S + SPAN_S) == OWN

    def test_two_boxes_that_both_take_themselves_for_the_keeper_do_not_get_one_loan_twice(
        self,
    ) -> None:
        lender = share()
        assert lender.lend(asked(), unused=30.0, now=0.0).lent == 30.0
        other = asked(keeper="box-c")
        assert lender.lend(other, unused=30.0, now=HANDED_OVER_S / 2).lent == 0.0
        assert lender.lend(asked(), unused=0.0, now=HANDED_OVER_S / 2).lent == 30.0

    def test_who_follows_a_silent_keeper_gets_its_loan(self) -> None:
        lender = share()
        lender.lend(asked(), unused=30.0, now=0.0)
        other = asked(keeper="box-c")
        assert lender.lend(other, unused=0.0, now=HANDED_OVER_S).lent == 30.0

    def test_a_data_centre_nobody_knows_gets_nothing(self) -> None:
        question = LoanRequest("z", "box-z", 5.0, True)
        assert share().lend(question, unused=30.0, now=0.0) == LoanReply(0.0, 0.0)


class TestTakingOver:
    def test_what_may_have_been_lent_counts_as_lent(self) -> None:
        assert share(since=0.0).amount(1.0) == pytest.approx(OWN * (1 - LENDABLE_FRACTION))

    def test_the_others_answers_settle_it(self) -> None:
        keeper = share(since=0.0)
        keeper.take("b", LoanReply(0.0, held=12.0), asked_at=1.0, now=1.0)
        keeper.take("c", LoanReply(0.0, held=0.0), asked_at=1.0, now=1.0)
        assert keeper.amount(1.0) == OWN - 12.0

    def test_a_question_settles_it_too(self) -> None:
        keeper = share(since=0.0, others=("b",))
        assert keeper.lend(asked(held=12.0, more=False), unused=0.0, now=1.0).lent == 12.0
        assert keeper.amount(1.0) == OWN - 12.0

    def test_time_settles_it(self) -> None:
        assert share(since=0.0).amount(LOAN_S + SPAN_S) == OWN


class TestAsking:
    def test_a_keeper_that_is_short_asks_once_in_a_while(self) -> None:
        keeper = share()
        assert keeper.wants(True, 0.0)
        keeper.questions("a", "box-a", True, 0.0)
        assert not keeper.wants(True, RETRY_S / 2)
        assert keeper.wants(True, RETRY_S)

    def test_a_loan_is_renewed_before_it_ends(self) -> None:
        keeper = share()
        assert not keeper.wants(False, 0.0)
        keeper.take("b", LoanReply(5.0, 0.0), asked_at=0.0, now=0.0)
        assert not keeper.wants(False, 1.0)
        assert keeper.wants(False, LOAN_S * 0.75)

    def test_one_data_centre_alone_asks_nobody(self) -> None:
        assert not share(others=()).wants(True, 0.0)
