"""The choice of a workspace's token server, and the buckets that one box serves."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.allowances.bounds import TOKEN_LIFE_S, bucket_size, own_share
from wharftiller.core.sessions.allowances.buckets import TokenBucket
from wharftiller.core.sessions.allowances.shares import AllowanceShare
from wharftiller.core.sessions.probe_outcomes import ProbeOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wharftiller.core.sessions.allowances.bounds import AllowanceBounds
    from wharftiller.core.sessions.allowances.shares import LoanReply, LoanRequest
    from wharftiller.core.sessions.workspaces import Allowance, Workspace

INITIAL_TOKENS = 3.0
"""Tokens in a new token server's bucket, which does not know what its predecessor granted; a few,
as callers of a small workspace may all retry at once."""

HISTORY_S = 10.0
"""Time for which lists of boxes are kept, in seconds: longer than any bucket takes to fill."""

STANDBY_FRACTION = 0.1
"""Fraction of its data centre's share that a box grants beside a token server that may be alive.

A token server that is slow or partitioned from some boxes still grants to the others, and both
together must stay within the bound. `GRANTED_FRACTION` leaves enough for one such box in every
data centre.
"""

SILENCE_S = 1.5
"""Time without a reply after which a token server is presumed to have stopped, in seconds: long
enough for several probes, of which a slow box answers one."""

IDLE_BUCKET_S = 30.0
"""Time after which an unused bucket is dropped, in seconds: longer than a loan counts as lent."""


def token_server_order(workspace: str, names: Iterable[str]) -> list[str]:
    """Return one data centre's boxes, the workspace's token server first."""
    return ranked(f"allowance {workspace}", names)


class TokenServerHistory:
    """The recent lists of boxes, and since when they make this box a workspace's token server."""

    def __init__(self, box: str) -> None:
        self._box = box
        self._lists: collections.deque[tuple[float, Sequence[str]]] = collections.deque()
        self.changes = 0

    @property
    def box(self) -> str:
        """Name of this box."""
        return self._box

    @property
    def is_listed(self) -> bool:
        """Whether the platform's list, which all boxes share, names this box."""
        return bool(self._lists) and self._box in self._lists[-1][1]

    def record_list(self, names: Sequence[str], now: float) -> None:
        """Record the boxes of this data centre that are listed from ``now`` (seconds) on."""
        if self._lists and self._lists[-1][1] == names:
            return
        self._lists.append((now, names))
        self.changes += 1
        while len(self._lists) > 1 and self._lists[1][0] < now - HISTORY_S:
            self._lists.popleft()

    def preceding(self, workspace: str) -> list[str]:
        """Return the listed boxes that precede this one in the workspace's order."""
        names = self._lists[-1][1] if self._lists else ()
        order = token_server_order(workspace, {*names, self._box})
        return order[: order.index(self._box)]

    def served_since(self, workspace: str) -> float | None:
        """Return since when this box has served ``workspace``'s bucket; None if it does not."""
        served_since: float | None = None
        for since, names in reversed(self._lists):
            if self._box not in names or token_server_order(workspace, names)[0] != self._box:
                break
            served_since = since
        return served_since


@attrs.frozen
class Grant:
    """Reply of a token server.

    Attributes
    ----------
    tokens : int
        Number of operations that may run.
    after_s : float
        Time after which to retry if there are none, in seconds.
    """

    tokens: int
    after_s: float = 0.0


@attrs.define
class _ServedBucket:
    """A workspace's bucket on this box, with its share.

    Attributes
    ----------
    is_token_server : bool
        Whether this box is the token server by its own list.
    checked_change : int
        Number of list changes when that was checked last.
    used_at : float
        Time of the last use, in seconds.
    """

    bucket: TokenBucket
    share: AllowanceShare
    is_token_server: bool
    checked_change: int
    used_at: float


@attrs.frozen
class _Liveness:
    """Until when a box is presumed alive, and when it was probed last, in seconds."""

    alive_until: float
    probed_at: float


class TokenAllocator:
    """The buckets that one box serves.

    Parameters
    ----------
    centre : str
        This box's data centre.
    others : iterable of str
        The other data centres.
    """

    def __init__(
        self,
        bounds: AllowanceBounds,
        history: TokenServerHistory,
        centre: str = "",
        others: Iterable[str] = (),
    ) -> None:
        self._bounds = bounds
        self._history = history
        self._centre = centre
        self._others = tuple(others)
        self._buckets: dict[str, _ServedBucket] = {}
        self._liveness: dict[str, _Liveness] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def grant(self, workspace: Workspace, wanted: int, unused: int, now: float) -> Grant:
        """Grant up to ``wanted`` tokens of ``workspace``'s allowance.

        Parameters
        ----------
        unused : int
            Tokens granted to the requesting box before that expired unused.
        """
        if workspace.allowance is None:
            return Grant(wanted)
        bucket = self._current_bucket(workspace.name, workspace.allowance, now).bucket
        bucket.refund(unused, now)
        tokens = bucket.take(wanted, now)
        return Grant(tokens, 0.0 if tokens else bucket.retry_after_s(now))

    def _current_bucket(self, name: str, allowance: Allowance, now: float) -> _ServedBucket:
        """Return a workspace's bucket, resized for its current allowance and loans."""
        served = self._buckets.get(name)
        changes = self._history.changes
        if served is None or served.checked_change != changes:
            since = self._history.served_since(name)
            if served is None or since is None or since > served.used_at:
                served = self._buckets[name] = self._new_bucket(allowance, since, now)
            served.checked_change = changes
            served.is_token_server = since is not None
        served.used_at = now
        served.share.resize(own_share(allowance, self._bounds))
        amount = served.share.amount(now)
        if not served.is_token_server and self._another_may_grant(name, now):
            amount = min(amount, STANDBY_FRACTION * own_share(allowance, self._bounds))
        size = bucket_size(allowance, amount, self._bounds)
        if size != served.bucket.size:
            served.bucket.resize(size, now)
        return served

    def _new_bucket(self, allowance: Allowance, since: float | None, now: float) -> _ServedBucket:
        """Return a new bucket; it fills from when this box became the token server."""
        filled_from = now if since is None else since
        span_s = self._bounds.window_s + TOKEN_LIFE_S
        share = AllowanceShare(
            own_share(allowance, self._bounds), self._others, filled_from, span_s
        )
        size = bucket_size(allowance, share.amount(now), self._bounds)
        bucket = TokenBucket(size, min(INITIAL_TOKENS, size.burst), filled_from)
        return _ServedBucket(bucket, share, since is not None, self._history.changes, now)

    def preceding_boxes(self, workspace: str) -> list[str]:
        """Return the boxes that precede this one as token server of the workspace."""
        return self._history.preceding(workspace)

    def note_probe(self, name: str, outcome: ProbeOutcome, now: float) -> None:
        """Record the outcome of a probe of a box that this one stands in for."""
        known = self._liveness.get(name)
        match outcome:
            case ProbeOutcome.ANSWERED:
                alive_until = now + SILENCE_S
            case ProbeOutcome.REFUSED:
                alive_until = now
            case ProbeOutcome.SILENT:
                is_recent = known is not None and now - known.probed_at < SILENCE_S
                alive_until = known.alive_until if known and is_recent else now + SILENCE_S
        self._liveness[name] = _Liveness(alive_until, now)

    def _may_be_alive(self, name: str, now: float) -> bool:
        """Return whether a box may be alive; True without a recent probe."""
        known = self._liveness.get(name)
        if known is None or now - known.probed_at > SILENCE_S:
            return True
        return now < known.alive_until

    def _another_may_grant(self, workspace: str, now: float) -> bool:
        """Return whether a token server that this box stands in for may grant as well.

        True for a box that is not listed: when all boxes start while the platform is
        unavailable, each may know only itself.
        """
        if not self._history.is_listed:
            return True
        return any(self._may_be_alive(each, now) for each in self._history.preceding(workspace))

    # Loans between data centres -------------------------------------------------

    def loan_requests(
        self, workspace: Workspace, is_short: bool, now: float
    ) -> dict[str, LoanRequest]:
        """Return the loan requests to send now, by data centre; empty if none are due.

        Parameters
        ----------
        is_short : bool
            Whether a request for tokens was granted none.
        """
        if workspace.allowance is None:
            return {}
        served = self._current_bucket(workspace.name, workspace.allowance, now)
        # Also where this box stands in for a token server, to learn what that one lent.
        if not served.share.should_request(is_short, now):
            return {}
        return served.share.loan_requests(self._centre, self._history.box, is_short, now)

    def accept_loan(
        self, workspace: Workspace, lender: str, reply: LoanReply, requested_at: float, now: float
    ) -> None:
        """Record the reply of the data centre ``lender`` to a request of ``requested_at``."""
        if workspace.allowance is not None:
            served = self._current_bucket(workspace.name, workspace.allowance, now)
            served.share.accept_loan(lender, reply, requested_at, now)

    def lend(self, workspace: Workspace, request: LoanRequest, now: float) -> LoanReply | None:
        """Reply to a loan request; None if this box is not the workspace's token server."""
        if workspace.allowance is None:
            return None
        served = self._current_bucket(workspace.name, workspace.allowance, now)
        if not served.is_token_server:
            return None
        return served.share.lend(request, served.bucket.remaining_in_span(now), now)

    def drop_idle(self, now: float) -> None:
        """Drop buckets unused for so long that they are full and no loan counts."""
        for name, served in list(self._buckets.items()):
            if now - served.used_at > IDLE_BUCKET_S:
                del self._buckets[name]
