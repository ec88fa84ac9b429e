"""The bound on a workspace's operations, and each data centre's share and bucket size."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.sessions.workspaces import Allowance

TOKEN_LIFE_S = 1.0
"""Maximum time from a grant until its operation is sent to an endpoint, in seconds.

A box uses a token within `PREFETCH_S`. An operation that then waits longer than the remaining
time takes another token before it is sent.
"""

GRANTED_FRACTION = 0.9
"""Fraction of the bound that the token servers of all data centres grant together.

The rest absorbs grants of a previous token server that its successor does not know of;
`TestHistories` checks the fullest window.
"""

MIN_BURST = 8.0
"""Minimum burst of a data centre in operations, also for a small workspace, whose callers may
arrive several at once through one data centre."""


@attrs.frozen
class AllowanceBounds:
    """The bound that no workspace may exceed.

    Attributes
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    overrun : float
        Fraction of the allowance that may run beyond it.
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
        """Number of data centres, at least 1."""
        return max(1, len(self.centres))

    def max_operations(self, allowance: Allowance) -> float:
        """Return how many operations may run in any window, over all boxes."""
        allowed = allowance.rate_per_s * self.window_s + allowance.burst
        return allowed * (1 + self.overrun) + self.slack


@attrs.frozen
class BucketSize:
    """Limits of one data centre's token bucket.

    Attributes
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens held.
    max_in_span : float
        Maximum number of tokens granted within any ``span_s`` seconds.
    """

    rate_per_s: float
    burst: float
    max_in_span: float
    span_s: float


def own_share(allowance: Allowance, bounds: AllowanceBounds) -> float:
    """Return how many operations within a window each data centre owns."""
    if allowance.rate_per_s <= 0 and allowance.burst <= 0:
        return 0.0
    return GRANTED_FRACTION * bounds.max_operations(allowance) / bounds.data_centres


def bucket_size(allowance: Allowance, share: float, bounds: AllowanceBounds) -> BucketSize:
    """Return the size of a bucket that grants ``share`` operations per window.

    In any window at most ``share`` of one token server's tokens are used; after a change of
    token server at most ``burst`` more, as the new bucket starts empty.
    """
    span_s = bounds.window_s + TOKEN_LIFE_S
    burst = min(max(allowance.burst / bounds.data_centres, MIN_BURST), share / 2)
    return BucketSize(min(share / span_s, allowance.rate_per_s), burst, share, span_s)
