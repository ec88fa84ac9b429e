"""How data centres lend one another parts of a workspace's allowance.

Each data centre owns an equal part of what may run in a window. Callers of a small workspace
often all come through one of them; its keeper there then borrows from the keepers of the others,
which lend only what they have not used. Nobody has to agree with anybody beyond that pair, a cut
leaves each side with what it holds, and a loan that is not renewed lapses by itself.

What is lent twice would break the bound, so: a borrower counts a loan's time from its question, a
lender until a whole window after that time from its answer; and a keeper that took over, which
does not know what the one before lent, counts as lent all that it could have been until the
borrower's keeper has told what it holds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

LOAN_S = 8.0
"""Time for which a loan may be used, in seconds: longer than most cuts of a data centre last."""

RENEWED_FRACTION = 0.5
"""Part of a loan's time after which it is renewed, if it is still needed."""

LENDABLE_FRACTION = 0.95
"""Part of its own that a data centre lends to all others together.

The rest is what a keeper that took over beside a cut starts with.
"""

RETRY_S = 0.4
"""Time between questions for one workspace's loans, in seconds: while it asks for more than it
may run all keepers are short, and a question each time would only tell them so."""


HANDED_OVER_S = 1.0
"""Time without a question from a data centre's keeper after which another of its boxes gets the
loan, in seconds: longer than lists of boxes differ, which name several keepers at once when all
boxes return."""


@attrs.frozen
class Loan:
    """A part of one data centre's own that another one may use.

    Attributes
    ----------
    amount : float
        Operations within a window.
    until : float
        When it ends for the side that keeps this, in seconds.
    """

    amount: float = 0.0
    until: float = -math.inf

    def left(self, now: float) -> float:
        """Return what of it still counts."""
        return self.amount if now < self.until else 0.0


@attrs.frozen
class LoanRequest:
    """What a keeper asks the keeper of another data centre.

    Attributes
    ----------
    borrower : str
        The asking keeper's data centre.
    keeper : str
        The asking keeper.
    held : float
        What it holds of the asked one's.
    more : bool
        Whether it is short.
    """

    borrower: str
    keeper: str
    held: float
    more: bool


@attrs.frozen
class _Asked:
    """Who asked for a data centre's loan last.

    Attributes
    ----------
    at : float
        When, in seconds.
    """

    keeper: str
    at: float


@attrs.frozen
class LoanReply:
    """What the asked keeper answers.

    Attributes
    ----------
    lent : float
        All that the asking data centre may use of its own for `LOAN_S` from the question on.
    held : float
        What it holds of the asking one's.
    """

    lent: float
    held: float


class AllowanceShare:
    """What one data centre's keeper of one workspace may grant within a window.

    Parameters
    ----------
    others : iterable of str
        The other data centres.
    since : float
        When this box became the keeper, in seconds.
    span_s : float
        Length of the window for which operations count, in seconds.
    """

    def __init__(self, own: float, others: Iterable[str], since: float, span_s: float) -> None:
        self._own = own
        self._others = tuple(others)
        self._span_s = span_s
        self._lent: dict[str, Loan] = {}
        self._held: dict[str, Loan] = {}
        self._asked_by: dict[str, _Asked] = {}
        # Until then a keeper before this one may have lent as much as may be lent.
        self._unsure_until = dict.fromkeys(self._others, since + LOAN_S + span_s)
        self._asked_at = -math.inf

    @property
    def _most_to_one(self) -> float:
        """Most that another data centre may hold of this one's."""
        return self._own * LENDABLE_FRACTION / max(1, len(self._others))

    def resize(self, own: float) -> None:
        """Own another amount from now on; loans stay what they are until they end."""
        self._own = own

    def _counted_as_lent(self, other: str, now: float) -> float:
        if now < self._unsure_until[other]:
            return self._most_to_one
        return self._lent.get(other, Loan()).left(now)

    def amount(self, now: float) -> float:
        """Return how many operations may be granted within a window."""
        lent = sum(self._counted_as_lent(other, now) for other in self._others)
        held = sum(loan.left(now) for loan in self._held.values())
        return max(0.0, self._own - lent) + held

    # Borrowing --------------------------------------------------------------

    def wants(self, is_short: bool, now: float) -> bool:
        """Return whether to ask the others now: being short, or for loans that soon end."""
        if not self._others or now - self._asked_at < RETRY_S:
            return False
        renew_at = LOAN_S * (1 - RENEWED_FRACTION)
        return is_short or any(0 < loan.until - now < renew_at for loan in self._held.values())

    def questions(
        self, centre: str, keeper: str, is_short: bool, now: float
    ) -> dict[str, LoanRequest]:
        """Return what ``keeper`` of ``centre`` asks the keeper of each other data centre."""
        self._asked_at = now
        held = {other: self._held.get(other, Loan()).left(now) for other in self._others}
        return {other: LoanRequest(centre, keeper, held[other], is_short) for other in self._others}

    def take(self, lender: str, answer: LoanReply, asked_at: float, now: float) -> None:
        """Take in the answer to a question of ``asked_at`` (seconds)."""
        self._held[lender] = Loan(answer.lent, asked_at + LOAN_S)
        self._note_held(lender, answer.held, now)

    # Lending ----------------------------------------------------------------

    def lend(self, question: LoanRequest, unused: float, now: float) -> LoanReply:
        """Return what the asking data centre may use of this one's own from now on.

        Parameters
        ----------
        unused : float
            What of `amount` was not granted within the last window: lending only that keeps
            this and the next windows of both together within it.
        """
        borrower = question.borrower
        if borrower not in self._unsure_until:
            return LoanReply(0.0, 0.0)
        if not self._is_handed_over(question, now):
            return LoanReply(0.0, self._held.get(borrower, Loan()).left(now))
        self._note_held(borrower, question.held, now)
        lent = self._lent.get(borrower, Loan()).left(now)
        if question.more:
            lent += max(0.0, min(self._most_to_one - lent, unused))
        if lent:
            self._lent[borrower] = Loan(lent, now + LOAN_S + self._span_s)
        return LoanReply(lent, self._held.get(borrower, Loan()).left(now))

    def _is_handed_over(self, question: LoanRequest, now: float) -> bool:
        """Return whether the asking keeper, and no other of its data centre, holds the loan."""
        last = self._asked_by.get(question.borrower)
        is_other = last is not None and last.keeper != question.keeper
        if last is not None and is_other and now - last.at < HANDED_OVER_S:
            return False
        self._asked_by[question.borrower] = _Asked(question.keeper, now)
        return True

    def _note_held(self, other: str, held: float, now: float) -> None:
        """Learn what another data centre's keeper holds of this one's."""
        if now >= self._unsure_until[other]:
            return
        self._unsure_until[other] = -math.inf
        if held:
            self._lent[other] = Loan(held, now + LOAN_S + self._span_s)
