"""Rate limits of workspaces: tokens granted so that no sliding window exceeds the bound.

Over all boxes, partitioned or not, at most ``(rate x window + burst) x (1 + overrun) + slack``
operations of a workspace may run in any window. Each data centre owns an equal share of that
and lends what it does not use (`shares`). In a data centre one box, the workspace's token server
(rendezvous hashing over the boxes listed), grants tokens from a bucket; boxes that run
operations prefetch a few tokens.

The bound holds for one workspace at 4 to 8 times its usual load, in one data centre or in all,
while boxes restart, token servers change and data centres are cut off.
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
