"""Known log positions of the current primaries, from replies to this box and other boxes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from wharftiller.core.freshness import FreshPoint, FreshPoints
from wharftiller.core.leadership.record import Leading
from wharftiller.core.positions import LogPosition

if TYPE_CHECKING:
    from wharftiller.core.leadership.lease import LeaseTable

PositionsJson = dict[str, tuple[str, int, int, int]]
"""By group: the primary, term and index of its position, and its age in milliseconds."""


HISTORY_STEP_S = 0.25
"""Minimum time between two points of the history, in seconds; 256 points cover a minute."""


class PrimaryPositions:
    """Log positions by group; those of a former primary are kept only in the history."""

    def __init__(self, leases: LeaseTable) -> None:
        self._leases = leases
        self._points: dict[str, tuple[str, FreshPoints]] = {}
        self._history: dict[str, FreshPoints] = collections.defaultdict(FreshPoints)

    def history(self, group: str) -> FreshPoints:
        """Return positions that ``group``'s primaries had, the current and former ones.

        What was acknowledged before a point remains within its position when the primary changes.
        The end of a primary's log may be beyond all that it acknowledged, so older points are the
        tighter bounds.
        """
        return self._history[group]

    def of_group(self, group: str) -> FreshPoints:
        """Return the known log positions of ``group``'s current primary."""
        lead = self._leases.record.lead(group) or ""
        known = self._points.get(group)
        if known is None or known[0] != lead:
            known = self._points[group] = (lead, FreshPoints())
        return known[1]

    def learn(self, group: str, position: LogPosition, asked_at: float) -> None:
        """Record the primary's position from the reply to a request of ``asked_at`` (seconds)."""
        point = FreshPoint(asked_at, position)
        self.of_group(group).add(point)
        newest = self._history[group].newest
        if newest is None or asked_at - newest.at >= HISTORY_STEP_S:
            self._history[group].add(point)

    def to_json(self) -> PositionsJson:
        """Return each primary's newest known position and its age, to send to another box."""
        now = trio.current_time()
        positions = {}
        for group, state in self._leases.record.groups.items():
            newest = self.of_group(group).newest
            if isinstance(state, Leading) and newest is not None:
                position = newest.position
                age_ms = int((now - newest.at) * 1000) + 1
                positions[group] = (state.endpoint, position.term, position.index, age_ms)
        return positions

    def merge(self, positions: PositionsJson, asked_at: float) -> None:
        """Record the positions in another box's reply to a request of ``asked_at`` (seconds)."""
        for group, (lead, term, index, age_ms) in positions.items():
            if lead == self._leases.record.lead(group):
                # The age is as of the reply; subtracting it from the request's time errs to older.
                self.learn(group, LogPosition(term, index), asked_at - age_ms / 1000)
