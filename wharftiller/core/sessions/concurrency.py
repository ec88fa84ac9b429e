"""Adaptive limit of the statements that a box runs at once on one endpoint.

Additive increase, multiplicative decrease, so that many boxes share an endpoint without
coordination. Statements beyond the limit wait in the box, by the priority of their routes,
instead of being refused by the endpoint again and again.
"""

from __future__ import annotations

import math

import attrs

DECREASE = 0.7
"""Factor by which the limit shrinks when the endpoint refuses a statement for lack of capacity."""

DECREASE_PAUSE_S = 0.1
"""Time within which further refusals count as one, in seconds: their statements were sent
together."""

INCREASE = 0.1
"""Growth of the limit for each answered statement: one more slot after ten answers."""

MIN_LIMIT = 1.0
"""Minimum of the limit: one statement may always run."""


@attrs.define
class ConcurrencyLimit:
    """Limit of the statements at once on one endpoint."""

    _limit: float = float("inf")
    _decreased_at: float = float("-inf")

    def max_running(self, maximum: int) -> int:
        """Return how many statements may run at once, at most ``maximum``.

        The limit is rounded up: rounded down, gateways that share few slots would leave some
        of them idle.
        """
        return min(maximum, math.ceil(min(self._limit, maximum)))

    def decrease(self, running: int, now: float) -> None:
        """Lower the limit after a refusal while ``running`` statements of this box ran."""
        if now - self._decreased_at < DECREASE_PAUSE_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, min(self._limit, running) * DECREASE)

    def increase(self) -> None:
        """Raise the limit after an answer."""
        self._limit += INCREASE
