"""Who keeps a workspace's bucket in a data centre, and the buckets that one box keeps."""

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

FIRST_TOKENS = 3.0
"""What a new keeper's bucket holds: what the one before granted is not known to it. Callers of a
small workspace that all come back at once need some at once."""

HISTORY_S = 10.0
"""For how long lists of boxes are remembered, in seconds: longer than any bucket takes to fill."""

STANDBY_FRACTION = 0.1
"""Part of its data centre's own that a box grants in place of a keeper that may live.

A keeper that is slow or cut off from some boxes goes on granting to the others, so both together
must stay within the bound: what `GRANTED_FRACTION` leaves is for a stand-in in every data centre.
"""

SILENCE_S = 1.5
"""Time without any answer after which a keeper is taken to grant no more, in seconds: a slow one
answers one of several questions."""

FORGOTTEN_S = 30.0
"""Time after which an unused bucket is forgotten, in seconds: longer than a loan counts as lent."""


def token_server_order(workspace: str, names: Iterable[str]) -> list[str]:
    """Return one data centre's boxes, the workspace's keeper first."""
    return ranked(f"allowance {workspace}", names)


class TokenServerHistory:
    """Since when this box has been the keeper of each workspace, by the lists of boxes it had."""

    def __init__(self, box: str) -> None:
        self._box = box
        self._lists: collections.deque[tuple[float, Sequence[str]]] = collections.deque()
        self.changes = 0

    @property
    def box(self) -> str:
        """The name of this box."""
        return self._box

    @property
    def is_listed(self) -> bool:
        """Whether the platform's list, which all boxes share, names this box."""
        return bool(self._lists) and self._box in self._lists[-1][1]

    def note(self, names: Sequence[str], now: float) -> None:
        """Note the boxes of this data centre that are listed from ``now`` (seconds) on."""
        if self._lists and self._lists[-1][1] == names:
            return
        self._lists.append((now, names))
        self.changes += 1
        while len(self._lists) > 1 and self._lists[1][0] < now - HISTORY_S:
            self._lists.popleft()

    def before(self, workspace: str) -> list[str]:
        """Return the listed boxes that come before this one in the workspace's order."""
        names = self._lists[-1][1] if self._lists else ()
        order = token_server_order(workspace, {*names, self._box})
        return order[: order.index(self._box)]

    def since(self, workspace: str) -> float | None:
        """Return since when it has kept ``workspace``'s bucket; None if it does not."""
        kept: float | None = None
        for since, names in reversed(self._lists):
            if self._box not in names or token_server_order(workspace, names)[0] != self._box:
                break
            kept = since
        return kept


@attrs.frozen
class Grant:
    """What a keeper grants.

    Attributes
    ----------
    tokens : int
        Operations that may run.
    after_s : float
        When to come back if there are none, in seconds.
    """

    tokens: int
    after_s: float = 0.0


@attrs.define
class _ServedBucket:
    """A bucket and its share, and at which change of the list its keeper was looked at last.

    Attributes
    ----------
    is_keeper : bool
        Whether this box is the keeper by its own list.
    """

    bucket: TokenBucket
    share: AllowanceShare
    is_keeper: bool
    looked_at: int
    used_at: float


@attrs.frozen
class _Lives:
    """Until when a box is taken to live, and when that was asked last, in seconds."""

    until: float
    asked_at: float


class TokenAllocator:
    """The buckets that one box keeps.

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
        self._kept: dict[str, _ServedBucket] = {}
        self._lives: dict[str, _Lives] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def grant(self, workspace: Workspace, wanted: int, unused: int, now: float) -> Grant:
        """Grant up to ``wanted`` tokens of ``workspace``'s allowance.

        Parameters
        ----------
        unused : int
            Tokens that the asking box got before and let lapse.
        """
        if workspace.allowance is None:
            return Grant(wanted)
        bucket = self._look_up(workspace.name, workspace.allowance, now).bucket
        bucket.give_back(unused, now)
        tokens = bucket.take(wanted, now)
        return Grant(tokens, 0.0 if tokens else bucket.next_in_s(now))

    def _look_up(self, name: str, allowance: Allowance, now: float) -> _ServedBucket:
        """Return what is kept of a workspace, by its present allowance and loans."""
        kept = self._kept.get(name)
        changes = self._history.changes
        if kept is None or kept.looked_at != changes:
            since = self._history.since(name)
            if kept is None or since is None or since > kept.used_at:
                kept = self._kept[name] = self._take_over(allowance, since, now)
            kept.looked_at = changes
            kept.is_keeper = since is not None
        kept.used_at = now
        kept.share.resize(own_share(allowance, self._bounds))
        amount = kept.share.amount(now)
        if not kept.is_keeper and self._stands_beside(name, now):
            amount = min(amount, STANDBY_FRACTION * own_share(allowance, self._bounds))
        size = bucket_size(allowance, amount, self._bounds)
        if size != kept.bucket.size:
            kept.bucket.resize(size, now)
        return kept

    def _take_over(self, allowance: Allowance, since: float | None, now: float) -> _ServedBucket:
        """Return a new keeper's bucket; it fills from when its box became the keeper."""
        from_at = now if since is None else since
        span_s = self._bounds.window_s + TOKEN_LIFE_S
        share = AllowanceShare(own_share(allowance, self._bounds), self._others, from_at, span_s)
        size = bucket_size(allowance, share.amount(now), self._bounds)
        bucket = TokenBucket(size, min(FIRST_TOKENS, size.burst), from_at)
        return _ServedBucket(bucket, share, since is not None, self._history.changes, now)

    def before(self, workspace: str) -> list[str]:
        """Return the boxes that keep the workspace's bucket rather than this one."""
        return self._history.before(workspace)

    def note_probe(self, name: str, sign: ProbeOutcome, now: float) -> None:
        """Note what a box that this one is asked in place of made of a question."""
        known = self._lives.get(name)
        match sign:
            case ProbeOutcome.ANSWERED:
                until = now + SILENCE_S
            case ProbeOutcome.REFUSED:
                until = now
            case ProbeOutcome.SILENT:
                was_asked_lately = known is not None and now - known.asked_at < SILENCE_S
                until = known.until if known and was_asked_lately else now + SILENCE_S
        self._lives[name] = _Lives(until, now)

    def _may_live(self, name: str, now: float) -> bool:
        """Return whether a box may grant; one that was not asked lately may."""
        known = self._lives.get(name)
        if known is None or now - known.asked_at > SILENCE_S:
            return True
        return now < known.until

    def _stands_beside(self, workspace: str, now: float) -> bool:
        """Return whether a keeper in whose place this box is asked may grant as well.

        A box that is not listed knows of too few others to tell: when all start while the
        platform is away, each may know only itself.
        """
        if not self._history.is_listed:
            return True
        return any(self._may_live(each, now) for each in self._history.before(workspace))

    # Loans between data centres -------------------------------------------------

    def questions(self, workspace: Workspace, is_short: bool, now: float) -> dict[str, LoanRequest]:
        """Return what to ask the keepers of other data centres now, if anything.

        Parameters
        ----------
        is_short : bool
            Whether a token was asked for in vain.
        """
        if workspace.allowance is None:
            return {}
        kept = self._look_up(workspace.name, workspace.allowance, now)
        # Also one that is asked in place of a silent keeper has to learn what that one lent.
        if not kept.share.wants(is_short, now):
            return {}
        return kept.share.questions(self._centre, self._history.box, is_short, now)

    def take_loan(
        self, workspace: Workspace, lender: str, answer: LoanReply, asked_at: float, now: float
    ) -> None:
        """Take in what the keeper of the data centre ``lender`` answered."""
        if workspace.allowance is not None:
            kept = self._look_up(workspace.name, workspace.allowance, now)
            kept.share.take(lender, answer, asked_at, now)

    def lend(self, workspace: Workspace, question: LoanRequest, now: float) -> LoanReply | None:
        """Answer another data centre's keeper; None if this box is not the keeper here."""
        if workspace.allowance is None:
            return None
        kept = self._look_up(workspace.name, workspace.allowance, now)
        if not kept.is_keeper:
            return None
        return kept.share.lend(question, kept.bucket.unused(now), now)

    def forget_idle(self, now: float) -> None:
        """Forget buckets that nobody asked for so long that they are full and no loan counts."""
        for name, kept in list(self._kept.items()):
            if now - kept.used_at > FORGOTTEN_S:
                del self._kept[name]
