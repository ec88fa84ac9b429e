"""The log positions known of every group's present primary, from own answers and other boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.freshness import FreshPoint, FreshPoints
from wharftiller.core.leadership.record import Leading
from wharftiller.core.positions import LogPosition

if TYPE_CHECKING:
    from wharftiller.core.leadership.lease import LeaseTable

PositionsJson = dict[str, tuple[str, int, int, int]]
"""By group: the primary, term and index of its position, and the age of that in milliseconds."""


class PrimaryPositions:
    """Log positions by group; those of a former primary are forgotten."""

    def __init__(self, leases: LeaseTable) -> None:
        self._leases = leases
        self._points: dict[str, tuple[str, FreshPoints]] = {}

    def of_group(self, group: str) -> FreshPoints:
        """Return the log positions known of ``group``'s present primary."""
        lead = self._leases.record.lead(group) or ""
        known = self._points.get(group)
        if known is None or known[0] != lead:
            known = self._points[group] = (lead, FreshPoints())
        return known[1]

    def learn(self, group: str, position: LogPosition, asked_at: float) -> None:
        """Note the primary's position in an answer to what was asked at ``asked_at`` (seconds)."""
        self.of_group(group).add(FreshPoint(asked_at, position))

    def told(self) -> PositionsJson:
        """Return each primary's newest known position, with its age, for another box."""
        now = trio.current_time()
        told = {}
        for group, state in self._leases.record.groups.items():
            newest = self.of_group(group).newest
            if isinstance(state, Leading) and newest is not None:
                position = newest.position
                age_ms = int((now - newest.at) * 1000) + 1
                told[group] = (state.endpoint, position.term, position.index, age_ms)
        return told

    def take(self, told: PositionsJson, asked_at: float) -> None:
        """Take in the positions that another box told when asked at ``asked_at`` (seconds)."""
        for group, (lead, term, index, age_ms) in told.items():
            if lead == self._leases.record.lead(group):
                # The age counts back from the answer, which came after the question.
                self.learn(group, LogPosition(term, index), asked_at - age_ms / 1000)
