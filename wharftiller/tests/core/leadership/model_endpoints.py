"""The endpoints of a history: the terms that they report to lead, and which of them answer.

They use a random generator of their own, so that they do not change a history's other faults.
"""

from __future__ import annotations

import random

import attrs

from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.statements import EndpointStatus

MAX_DEMOTION_DELAY_S = 15.0
"""Maximum time for which a replaced primary still reports that it leads, in seconds."""

MAX_UNRESPONSIVE_S = 25.0
"""Maximum time for which an endpoint is unresponsive, in seconds."""

UNRESPONSIVE_FRACTION = 0.4
"""Fraction of promotions after which the new primary becomes unresponsive within a second."""

UNLISTED_FRACTION = 0.3
"""Fraction of the unresponsive endpoints that are not registered meanwhile."""


@attrs.define
class ModelEndpoint:
    """One endpoint."""

    name: str
    term: int
    leads_until: float = float("inf")
    unresponsive_from: float = float("inf")
    unresponsive_until: float = float("inf")
    is_unlisted: bool = False

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it does not answer."""
        return self.unresponsive_from <= now < self.unresponsive_until


class ModelEndpoints:
    """All endpoints that ever led; the last one promoted is the primary."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"endpoints of {seed}")
        self._all = {"p0": ModelEndpoint("p0", 1)}
        self._primary = self._all["p0"]

    def promote(self, name: str, now: float) -> None:
        """Promote an endpoint to the next term; does nothing if it leads already."""
        if name == self._primary.name:
            return
        rng = self._random
        self._primary.leads_until = now + rng.uniform(0.0, MAX_DEMOTION_DELAY_S)
        promoted = ModelEndpoint(name, self._primary.term + 1)
        if rng.random() < UNRESPONSIVE_FRACTION:
            promoted.unresponsive_from = now + rng.random()
            promoted.unresponsive_until = promoted.unresponsive_from + rng.uniform(
                0.0, MAX_UNRESPONSIVE_S
            )
            promoted.is_unlisted = rng.random() < UNLISTED_FRACTION
        self._all[name] = self._primary = promoted

    def statuses(self, now: float) -> dict[str, EndpointStatus]:
        """Return the status of each endpoint that answers now."""
        return {
            name: self._status(each, now)
            for name, each in self._all.items()
            if not each.is_unresponsive(now)
        }

    def silent(self, now: float) -> frozenset[str]:
        """Return the registered endpoints that do not answer now."""
        return frozenset(
            each.name
            for each in self._all.values()
            if each.is_unresponsive(now) and not each.is_unlisted
        )

    def _status(self, endpoint: ModelEndpoint, now: float) -> EndpointStatus:
        leads = endpoint is self._primary or now < endpoint.leads_until
        term = endpoint.term if leads else self._primary.term
        return EndpointStatus(leads, term, LogPosition(endpoint.term, 0), connections=0)
