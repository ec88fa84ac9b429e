"""How many operations of a workspace run, dealt out so that no window ever holds too many.

Over all boxes, cut off from one another or not, at most ``(rate x window + burst) x
(1 + overrun) + slack`` operations of a workspace may run in any window. Each data centre
owns an equal part of that and lends what it does not use (`shares`). In a data centre
one box, the workspace's keeper (rendezvous hashing over the boxes listed), grants tokens from a
bucket; boxes that run operations take a few tokens ahead.

Load it answers: one workspace that asks 4 to 8 times its usual, wholly in one data centre or
in all, while boxes restart, keepers change and data centres are cut off.
"""

from __future__ import annotations

from wharftiller.core.sessions.allowances.bounds import TOKEN_LIFE_S, AllowanceBounds
from wharftiller.core.sessions.allowances.buckets import (
    MAX_PREFETCHED,
    PREFETCH_S,
    PrefetchedTokens,
)
from wharftiller.core.sessions.allowances.shares import LoanReply, LoanRequest
from wharftiller.core.sessions.allowances.token_allocator import (
    Grant,
    TokenAllocator,
    TokenServerHistory,
    token_server_order,
)

__all__ = [
    "MAX_PREFETCHED",
    "PREFETCH_S",
    "TOKEN_LIFE_S",
    "AllowanceBounds",
    "Grant",
    "LoanReply",
    "LoanRequest",
    "PrefetchedTokens",
    "TokenAllocator",
    "TokenServerHistory",
    "token_server_order",
]
