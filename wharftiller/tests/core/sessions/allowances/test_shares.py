"""Loans between data centres: no operation is lent twice, and loans expire in time."""

from __future__ import annotations

import pytest

from wharftiller.core.sessions.allowances.shares import (
    BORROWER_TIMEOUT_S,
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


def loan_request(held: float = 0.0, more: bool = True, token_server: str = "box-b") -> LoanRequest:
    return LoanRequest("b", token_server, held, more)


class TestLending:
    def test_a_loan_reduces_the_lenders_amount(self) -> None:
        lender = share()
        lent = lender.lend(loan_request(), unused=30.0, now=0.0).lent
        assert lent == 30.0
        assert lender.amount(0.0) == OWN - 30.0

    def test_one_borrower_gets_at_most_its_part_of_the_lendable_share(self) -> None:
        lender = share()
        for _ in range(3):
            lent = lender.lend(loan_request(), unused=OWN, now=0.0).lent
        assert lent == pytest.approx(OWN * LENDABLE_FRACTION / 2)

    def test_a_repeated_request_gets_the_same_loan(self) -> None:
        lender = share()
        first = lender.lend(loan_request(), unused=30.0, now=0.0)
        assert lender.lend(loan_request(more=False), unused=0.0, now=1.0) == first

    def test_a_loan_returns_one_window_after_its_last_possible_use(self) -> None:
        lender, borrower = share(), share(others=("a",))
        reply = lender.lend(loan_request(), unused=30.0, now=0.2)
        borrower.accept_loan("a", reply, requested_at=0.1, now=0.3)
        used_until = 0.1 + LOAN_S
        assert borrower.amount(used_until - 0.01) == OWN + 30.0
        assert borrower.amount(used_until) == OWN
        assert lender.amount(used_until + SPAN_S - 0.01) == OWN - 30.0
        assert lender.amount(0.2 + LOAN_S + SPAN_S) == OWN

    def test_two_token_servers_of_one_data_centre_do_not_both_get_its_loan(self) -> None:
        lender = share()
        assert lender.lend(loan_request(), unused=30.0, now=0.0).lent == 30.0
        other = loan_request(token_server="box-c")
        assert lender.lend(other, unused=30.0, now=BORROWER_TIMEOUT_S / 2).lent == 0.0
        assert lender.lend(loan_request(), unused=0.0, now=BORROWER_TIMEOUT_S / 2).lent == 30.0

    def test_the_successor_of_a_silent_token_server_gets_its_loan(self) -> None:
        lender = share()
        lender.lend(loan_request(), unused=30.0, now=0.0)
        other = loan_request(token_server="box-c")
        assert lender.lend(other, unused=0.0, now=BORROWER_TIMEOUT_S).lent == 30.0

    def test_an_unknown_data_centre_gets_nothing(self) -> None:
        request = LoanRequest("z", "box-z", 5.0, True)
        assert share().lend(request, unused=30.0, now=0.0) == LoanReply(0.0, 0.0)


class TestTakingOver:
    def test_what_may_have_been_lent_counts_as_lent(self) -> None:
        assert share(since=0.0).amount(1.0) == pytest.approx(OWN * (1 - LENDABLE_FRACTION))

    def test_replies_confirm_what_is_lent(self) -> None:
        lender = share(since=0.0)
        lender.accept_loan("b", LoanReply(0.0, held=12.0), requested_at=1.0, now=1.0)
        lender.accept_loan("c", LoanReply(0.0, held=0.0), requested_at=1.0, now=1.0)
        assert lender.amount(1.0) == OWN - 12.0

    def test_a_loan_request_confirms_what_is_lent(self) -> None:
        lender = share(since=0.0, others=("b",))
        assert lender.lend(loan_request(held=12.0, more=False), unused=0.0, now=1.0).lent == 12.0
        assert lender.amount(1.0) == OWN - 12.0

    def test_presumed_loans_expire(self) -> None:
        assert share(since=0.0).amount(LOAN_S + SPAN_S) == OWN


class TestLoanRequests:
    def test_loan_requests_are_rate_limited(self) -> None:
        borrower = share()
        assert borrower.should_request(True, 0.0)
        borrower.loan_requests("a", "box-a", True, 0.0)
        assert not borrower.should_request(True, RETRY_S / 2)
        assert borrower.should_request(True, RETRY_S)

    def test_a_loan_is_renewed_before_it_ends(self) -> None:
        borrower = share()
        assert not borrower.should_request(False, 0.0)
        borrower.accept_loan("b", LoanReply(5.0, 0.0), requested_at=0.0, now=0.0)
        assert not borrower.should_request(False, 1.0)
        assert borrower.should_request(False, LOAN_S * 0.75)

    def test_a_single_data_centre_sends_no_loan_requests(self) -> None:
        assert not share(others=()).should_request(True, 0.0)
