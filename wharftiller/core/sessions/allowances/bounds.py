"""What the platform counts as too much, and what of it each data centre owns and grants from."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.sessions.workspaces import Allowance

TOKEN_LIFE_S = 1.0
"""Time from a grant until its operation is sent to an endpoint at the latest, in seconds.

A box uses a token within `PREFETCH_S`. An operation that then waits for longer than what is left
takes another one before it is sent.
"""

GRANTED_FRACTION = 0.9
"""Part of the bound that the keepers of all data centres grant together.

What a keeper that takes over grants beyond, not knowing what the one before granted, stays within
what buckets and hand-overs leave unused: `TestHistories` looks at the fullest window.
"""

MIN_BURST = 8.0
"""Operations at once that each data centre grants even to a small workspace.

Its callers come at random: now and then several at once, through one data centre.
"""


@attrs.frozen
class AllowanceBounds:
    """What the platform counts as too much.

    Attributes
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    overrun : float
        Part of the allowance that may run beyond it.
    slack : float
        Operations that may run beyond that.
    centres : tuple of str
        Data centres of the deployment.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0
    centres: tuple[str, ...] = ()

    @property
    def data_centres(self) -> int:
        """How many data centres there are."""
        return max(1, len(self.centres))

    def most(self, allowance: Allowance) -> float:
        """Return how many operations may run in any window, over all boxes."""
        asked = allowance.rate_per_s * self.window_s + allowance.burst
        return asked * (1 + self.overrun) + self.slack


@attrs.frozen
class BucketSize:
    """What one data centre grants of an allowance.

    Attributes
    ----------
    rate_per_s : float
        Tokens that come in a second.
    burst : float
        Most that it holds.
    most : float
        Most that it grants within any ``span_s`` seconds.
    """

    rate_per_s: float
    burst: float
    most: float
    span_s: float


def own_share(allowance: Allowance, bounds: AllowanceBounds) -> float:
    """Return how many operations within a window each data centre owns."""
    if allowance.rate_per_s <= 0 and allowance.burst <= 0:
        return 0.0
    return GRANTED_FRACTION * bounds.most(allowance) / bounds.data_centres


def bucket_size(allowance: Allowance, share: float, bounds: AllowanceBounds) -> BucketSize:
    """Return the size of the bucket that a keeper grants ``share`` operations a window from.

    In any window a keeper's tokens are used at most ``share`` times; where another took over
    meanwhile, at most ``burst`` times more, as its bucket starts empty.
    """
    span_s = bounds.window_s + TOKEN_LIFE_S
    burst = min(max(allowance.burst / bounds.data_centres, MIN_BURST), share / 2)
    return BucketSize(min(share / span_s, allowance.rate_per_s), burst, share, span_s)
