"""A keeper's bucket of tokens, and the tokens that another box took from it ahead."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.sessions.allowances.bounds import BucketSize

PREFETCH_S = 0.5
"""Time for which a box may use a token that it took ahead, in seconds: a token taken for nothing
is lost, and one question in half a second costs a box nothing."""

MAX_PREFETCHED = 8
"""Tokens that a box takes ahead at most."""

MAX_AHEAD_S = 8.0
"""Callers are told to come back for tokens of the next so many seconds; later ones as late."""


@attrs.define
class TokenBucket:
    """Tokens that come at a rate, up to a number at once and to another in a span of time.

    Parameters
    ----------
    level : float
        What it holds at first.
    at : float
        When that was, in seconds.
    """

    size: BucketSize
    _level: float
    _at: float
    _granted: collections.deque[tuple[float, int]] = attrs.field(factory=collections.deque)
    _in_span: int = 0
    _promised_until: float = -math.inf

    def _fill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self.size.rate_per_s
        self._level = min(self.size.burst, self._level + gained)
        self._at = now
        while self._granted and self._granted[0][0] <= now - self.size.span_s:
            self._in_span -= self._granted.popleft()[1]

    def resize(self, size: BucketSize, now: float) -> None:
        """Grant by another size from now on; a smaller one binds at once.

        Where the share grew, the first token of what is new comes at once.
        """
        self._fill(now)
        grew = size.most > self.size.most + 1
        self.size = size
        self._level = min(max(self._level, 1.0) if grew else self._level, size.burst)

    def unused(self, now: float) -> float:
        """Return how many more may be granted in this span."""
        self._fill(now)
        return max(0.0, self.size.most - self._in_span)

    def take(self, wanted: int, now: float) -> int:
        """Return how many of ``wanted`` tokens are granted."""
        self._fill(now)
        granted = max(0, min(wanted, int(self._level), int(self.size.most - self._in_span)))
        if granted:
            self._level -= granted
            self._granted.append((now, granted))
            self._in_span += granted
        return granted

    def give_back(self, unused: int, now: float) -> None:
        """Take back tokens that lapsed without an operation.

        They count as the oldest ones granted, whichever they were: those that ran stay counted
        for long enough.
        """
        self._fill(now)
        self._level = min(self.size.burst, self._level + unused)
        while unused and self._granted:
            at, granted = self._granted.popleft()
            taken = min(unused, granted)
            unused -= taken
            self._in_span -= taken
            if granted > taken:
                self._granted.appendleft((at, granted - taken))

    def _first_at(self, now: float) -> float:
        """Return when the next token comes, in seconds, at a rate above 0."""
        first_at = now + max(0.0, 1.0 - self._level) / self.size.rate_per_s
        if self._in_span + 1 > self.size.most and self._granted:
            return max(first_at, self._granted[0][0] + self.size.span_s)
        return first_at

    def next_in_s(self, now: float) -> float:
        """Return when a caller that got none should come back, in seconds from now.

        Callers refused together are told the times of one token after the other.
        """
        rate = self.size.rate_per_s
        if rate <= 0:
            return MAX_AHEAD_S
        turn_at = max(self._first_at(now), self._promised_until + 1 / rate)
        if turn_at - now > MAX_AHEAD_S:
            return MAX_AHEAD_S
        self._promised_until = turn_at
        return turn_at - now


@attrs.define
class PrefetchedTokens:
    """Tokens of one workspace that a box took ahead.

    Attributes
    ----------
    tokens : int
    until : float
        When they lapse, in seconds.
    keeper : str
        Who granted them.
    """

    tokens: int = 0
    until: float = -math.inf
    keeper: str = ""
    _asked_at: float = -math.inf
    _used: int = 0
    _lapsed: int = 0

    def use(self, now: float) -> bool:
        """Use one; False if there is none."""
        if not self.tokens or now >= self.until:
            return False
        self.tokens -= 1
        self._used += 1
        return True

    def give_back(self, now: float) -> None:
        """Take back one whose operation did not run."""
        if now < self.until:
            self.tokens += 1

    def lapse_one(self) -> None:
        """Note that one that was used lapsed before its operation was sent."""
        self._lapsed += 1

    def lapsed(self, keeper: str, now: float) -> int:
        """Return how many of those that ``keeper`` granted lapsed since this was asked last.

        Another keeper does not hear of them: its own grants ran.
        """
        if now >= self.until:
            self._lapsed += self.tokens
            self.tokens = 0
        lapsed, self._lapsed = self._lapsed, 0
        return lapsed if keeper == self.keeper else 0

    def wanted(self, now: float) -> int:
        """Return how many to ask for: as many as were used lately within `PREFETCH_S`."""
        elapsed_s = max(now - self._asked_at, PREFETCH_S)
        pace = (self._used + 1) / elapsed_s
        self._asked_at = now
        self._used = 0
        return max(1, min(MAX_PREFETCHED, int(pace * PREFETCH_S)))

    def granted(self, tokens: int, asked_at: float, keeper: str) -> None:
        """Add what ``keeper`` granted to a question of ``asked_at`` (seconds)."""
        until = asked_at + PREFETCH_S
        if keeper != self.keeper:
            self.tokens = self._lapsed = 0
            self.keeper = keeper
        if self.tokens and self.until > asked_at:
            until = min(until, self.until)
        else:
            self._lapsed += self.tokens
            self.tokens = 0
        self.tokens += tokens
        self.until = until
