"""How many statements a box runs at once on one endpoint: less after each refusal for being busy.

Additive increase, multiplicative decrease: many boxes share an endpoint without telling
one another. Statements beyond the limit wait here, in the order of their routes'
priority, instead of being refused there again and again.
"""

from __future__ import annotations

import math

import attrs

DECREASE = 0.7
"""Part of the limit that is left after an endpoint was too busy."""

DECREASE_PAUSE_S = 0.1
"""Time within which further such refusals count as one, in seconds: they were sent together."""

INCREASE = 0.1
"""What an answered statement adds to the limit: one more place after ten answers."""

MIN_LIMIT = 1.0
"""At least one statement may always run."""


@attrs.define
class ConcurrencyLimit:
    """The limit for one endpoint."""

    _limit: float = float("inf")
    _decreased_at: float = float("-inf")

    def places(self, most: int) -> int:
        """Return how many statements may run at once, of ``most`` at any time.

        A limit between two numbers allows the higher: rounded down, some homes that share few
        slots leave those idle that the parts of all of them add up to.
        """
        return min(most, math.ceil(min(self._limit, most)))

    def busy(self, running: int, now: float) -> None:
        """Note a refusal for being busy while ``running`` statements of this box ran."""
        if now - self._decreased_at < DECREASE_PAUSE_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, min(self._limit, running) * DECREASE)

    def answered(self) -> None:
        """Note an answer."""
        self._limit += INCREASE
