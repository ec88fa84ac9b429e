"""A token server's bucket, and the tokens that another box prefetched from it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.sessions.allowances.bounds import BucketSize

PREFETCH_S = 0.5
"""Time for which a box may use a prefetched token, in seconds.

An unused token is lost, so the time is short; one request in half a second costs a box little.
"""

MAX_PREFETCHED = 8
"""Maximum number of tokens that a box prefetches."""

MAX_AHEAD_S = 8.0
"""Maximum retry-after time given to a refused caller, in seconds; callers whose token comes later
are told this time too."""


@attrs.define
class TokenBucket:
    """Token bucket that also limits the tokens granted within a sliding span of time.

    Parameters
    ----------
    level : float
        Tokens held initially.
    at : float
        Time of that level, in seconds.
    """

    size: BucketSize
    _level: float
    _at: float
    _grants: collections.deque[tuple[float, int]] = attrs.field(factory=collections.deque)
    _in_span: int = 0
    _last_retry_at: float = -math.inf

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self.size.rate_per_s
        self._level = min(self.size.burst, self._level + gained)
        self._at = now
        while self._grants and self._grants[0][0] <= now - self.size.span_s:
            self._in_span -= self._grants.popleft()[1]

    def resize(self, size: BucketSize, now: float) -> None:
        """Apply another size from ``now`` on; a smaller one limits at once.

        After growth the bucket holds at least one token.
        """
        self._refill(now)
        has_grown = size.max_in_span > self.size.max_in_span + 1
        self.size = size
        self._level = min(max(self._level, 1.0) if has_grown else self._level, size.burst)

    def remaining_in_span(self, now: float) -> float:
        """Return how many more tokens may be granted in the current span."""
        self._refill(now)
        return max(0.0, self.size.max_in_span - self._in_span)

    def take(self, wanted: int, now: float) -> int:
        """Take up to ``wanted`` tokens and return how many were granted."""
        self._refill(now)
        granted = max(0, min(wanted, int(self._level), int(self.size.max_in_span - self._in_span)))
        if granted:
            self._level -= granted
            self._grants.append((now, granted))
            self._in_span += granted
        return granted

    def refund(self, unused: int, now: float) -> None:
        """Return tokens that expired unused.

        They are taken off the oldest grants, so that tokens that were used stay counted for long
        enough.
        """
        self._refill(now)
        self._level = min(self.size.burst, self._level + unused)
        while unused and self._grants:
            at, granted = self._grants.popleft()
            refunded = min(unused, granted)
            unused -= refunded
            self._in_span -= refunded
            if granted > refunded:
                self._grants.appendleft((at, granted - refunded))

    def _next_token_at(self, now: float) -> float:
        """Return when the next token is available, in seconds; the rate must be above 0."""
        next_at = now + max(0.0, 1.0 - self._level) / self.size.rate_per_s
        if self._in_span + 1 > self.size.max_in_span and self._grants:
            return max(next_at, self._grants[0][0] + self.size.span_s)
        return next_at

    def retry_after_s(self, now: float) -> float:
        """Return after how many seconds a refused caller should retry.

        Callers refused together get the times of successive tokens.
        """
        rate = self.size.rate_per_s
        if rate <= 0:
            return MAX_AHEAD_S
        retry_at = max(self._next_token_at(now), self._last_retry_at + 1 / rate)
        if retry_at - now > MAX_AHEAD_S:
            return MAX_AHEAD_S
        self._last_retry_at = retry_at
        return retry_at - now


@attrs.define
class PrefetchedTokens:
    """Tokens of one workspace that a box prefetched.

    Attributes
    ----------
    tokens : int
    expires_at : float
        When they expire, in seconds.
    token_server : str
        The box that granted them.
    """

    tokens: int = 0
    expires_at: float = -math.inf
    token_server: str = ""
    _requested_at: float = -math.inf
    _used: int = 0
    _expired: int = 0

    def use(self, now: float) -> bool:
        """Use one token; return False if there is none."""
        if not self.tokens or now >= self.expires_at:
            return False
        self.tokens -= 1
        self._used += 1
        return True

    def refund(self, now: float) -> None:
        """Return the token of an operation that did not run."""
        if now < self.expires_at:
            self.tokens += 1

    def record_expired(self) -> None:
        """Record that a used token expired before its operation was sent."""
        self._expired += 1

    def take_expired(self, token_server: str, now: float) -> int:
        """Return the tokens of ``token_server`` that expired since the last call, and reset them.

        Only the box that granted them is sent their number.
        """
        if now >= self.expires_at:
            self._expired += self.tokens
            self.tokens = 0
        expired, self._expired = self._expired, 0
        return expired if token_server == self.token_server else 0

    def next_request_size(self, now: float) -> int:
        """Return how many tokens to request: as many as recent use needs within `PREFETCH_S`."""
        elapsed_s = max(now - self._requested_at, PREFETCH_S)
        use_rate = (self._used + 1) / elapsed_s
        self._requested_at = now
        self._used = 0
        return max(1, min(MAX_PREFETCHED, int(use_rate * PREFETCH_S)))

    def add(self, tokens: int, requested_at: float, token_server: str) -> None:
        """Add what ``token_server`` granted to a request sent at ``requested_at`` (seconds)."""
        expires_at = requested_at + PREFETCH_S
        if token_server != self.token_server:
            self.tokens = self._expired = 0
            self.token_server = token_server
        if self.tokens and self.expires_at > requested_at:
            expires_at = min(expires_at, self.expires_at)
        else:
            self._expired += self.tokens
            self.tokens = 0
        self.tokens += tokens
        self.expires_at = expires_at
