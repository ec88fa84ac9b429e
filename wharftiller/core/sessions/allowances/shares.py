"""Loans between data centres of shares of a workspace's allowance.

Each data centre owns an equal share of what may run in a window. Where most callers of a workspace
connect through one data centre, its token server borrows from those of the others, which lend only
what they have not used. A loan concerns only these two; in a partition each side keeps
what it holds, and a loan that is not renewed expires.

Lending the same operations twice would break the bound. So a borrower counts a loan's time from
its request; a lender counts it from its reply, plus one window. A new token server, which does not
know what its predecessor lent, counts the maximum as lent until the borrower's token server has
reported what it holds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

LOAN_S = 8.0
"""Time for which a loan may be used, in seconds: longer than most partitions of a data centre."""

RENEWED_FRACTION = 0.5
"""Fraction of a loan's time after which it is renewed, if it is still needed."""

LENDABLE_FRACTION = 0.95
"""Fraction of its own share that a data centre lends to all others together.

The rest is what a new token server starts with during a partition.
"""

RETRY_S = 0.4
"""Time between loan requests for one workspace, in seconds; limits requests under overload, when
no token server has anything to lend."""

BORROWER_TIMEOUT_S = 1.0
"""Time without a request from the borrowing token server after which another box of its data
centre may take over the loan, in seconds: longer than boxes with different lists take each other's
place after a restart of all boxes."""


@attrs.frozen
class Loan:
    """A part of one data centre's share that another one may use.

    Attributes
    ----------
    amount : float
        Operations within a window.
    expires_at : float
        When it ends for the side that records it, in seconds.
    """

    amount: float = 0.0
    expires_at: float = -math.inf

    def amount_at(self, now: float) -> float:
        """Return the amount, or 0 once the loan has expired."""
        return self.amount if now < self.expires_at else 0.0


@attrs.frozen
class LoanRequest:
    """Request of a token server to the token server of another data centre.

    Attributes
    ----------
    borrower : str
        The requesting token server's data centre.
    keeper : str
        The requesting token server.
    held : float
        Operations within a window that it has already borrowed from the receiver's share.
    more : bool
        Whether it needs more than that.
    """

    borrower: str
    keeper: str
    held: float
    more: bool


@attrs.frozen
class _LastRequest:
    """The last loan request of a data centre.

    Attributes
    ----------
    at : float
        When it was received, in seconds.
    """

    token_server: str
    at: float


@attrs.frozen
class LoanReply:
    """Reply to a `LoanRequest`.

    Attributes
    ----------
    lent : float
        Total that the borrower may use of the lender's share for `LOAN_S` from its request on,
        in operations within a window.
    held : float
        What the lender has borrowed from the borrower's share.
    """

    lent: float
    held: float


class AllowanceShare:
    """What a token server may grant of one workspace within a window, with loans.

    Parameters
    ----------
    own : float
        The data centre's own share, in operations within a window.
    others : iterable of str
        The other data centres.
    since : float
        When this box became the token server, in seconds.
    span_s : float
        Length of the window for which operations count, in seconds.
    """

    def __init__(self, own: float, others: Iterable[str], since: float, span_s: float) -> None:
        self._own = own
        self._others = tuple(others)
        self._span_s = span_s
        self._lent: dict[str, Loan] = {}
        self._borrowed: dict[str, Loan] = {}
        self._last_requests: dict[str, _LastRequest] = {}
        # Until then a previous token server may have lent the maximum.
        self._unconfirmed_until = dict.fromkeys(self._others, since + LOAN_S + span_s)
        self._requested_at = -math.inf

    @property
    def _max_loan(self) -> float:
        """Maximum loan to one other data centre."""
        return self._own * LENDABLE_FRACTION / max(1, len(self._others))

    def resize(self, own: float) -> None:
        """Change this data centre's own amount; loans are unaffected."""
        self._own = own

    def _presumed_lent(self, other: str, now: float) -> float:
        if now < self._unconfirmed_until[other]:
            return self._max_loan
        return self._lent.get(other, Loan()).amount_at(now)

    def amount(self, now: float) -> float:
        """Return how many operations may be granted within a window."""
        lent = sum(self._presumed_lent(other, now) for other in self._others)
        held = sum(loan.amount_at(now) for loan in self._borrowed.values())
        return max(0.0, self._own - lent) + held

    # Borrowing --------------------------------------------------------------

    def should_request(self, is_short: bool, now: float) -> bool:
        """Return whether to send loan requests now: for more, or to renew loans."""
        if not self._others or now - self._requested_at < RETRY_S:
            return False
        renew_at = LOAN_S * (1 - RENEWED_FRACTION)
        return is_short or any(
            0 < loan.expires_at - now < renew_at for loan in self._borrowed.values()
        )

    def loan_requests(
        self, centre: str, token_server: str, is_short: bool, now: float
    ) -> dict[str, LoanRequest]:
        """Return the requests of ``token_server`` in ``centre``, by other data centre."""
        self._requested_at = now
        held = {other: self._borrowed.get(other, Loan()).amount_at(now) for other in self._others}
        return {
            other: LoanRequest(centre, token_server, held[other], is_short)
            for other in self._others
        }

    def accept_loan(self, lender: str, reply: LoanReply, requested_at: float, now: float) -> None:
        """Record the reply to a request sent at ``requested_at`` (seconds)."""
        self._borrowed[lender] = Loan(reply.lent, requested_at + LOAN_S)
        self._confirm_lent(lender, reply.held, now)

    # Lending ----------------------------------------------------------------

    def lend(self, request: LoanRequest, unused: float, now: float) -> LoanReply:
        """Return what the requesting data centre may use of this one's share from now on.

        Parameters
        ----------
        unused : float
            Operations of `amount` not granted within the last window. Lending only these keeps
            every window of both data centres together within the bound.
        """
        borrower = request.borrower
        if borrower not in self._unconfirmed_until:
            return LoanReply(0.0, 0.0)
        if not self._may_borrow(request, now):
            return LoanReply(0.0, self._borrowed.get(borrower, Loan()).amount_at(now))
        self._confirm_lent(borrower, request.held, now)
        lent = self._lent.get(borrower, Loan()).amount_at(now)
        if request.more:
            lent += max(0.0, min(self._max_loan - lent, unused))
        if lent:
            self._lent[borrower] = Loan(lent, now + LOAN_S + self._span_s)
        return LoanReply(lent, self._borrowed.get(borrower, Loan()).amount_at(now))

    def _may_borrow(self, request: LoanRequest, now: float) -> bool:
        """Return whether the requesting box may borrow: no other of its data centre does."""
        last = self._last_requests.get(request.borrower)
        is_other_box = last is not None and last.token_server != request.keeper
        if last is not None and is_other_box and now - last.at < BORROWER_TIMEOUT_S:
            return False
        self._last_requests[request.borrower] = _LastRequest(request.keeper, now)
        return True

    def _confirm_lent(self, other: str, held: float, now: float) -> None:
        """Replace the maximum presumed lent to a data centre by what it reports as borrowed."""
        if now >= self._unconfirmed_until[other]:
            return
        self._unconfirmed_until[other] = -math.inf
        if held:
            self._lent[other] = Loan(held, now + LOAN_S + self._span_s)
