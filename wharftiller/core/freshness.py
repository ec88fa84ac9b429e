"""How old a replica's data is, told by this box's own clock only.

A primary's report, with another server's promise of the same term, proves that
at the time both were asked no later term had acknowledged anything and that the
group's safe data ended at or before the primary's position. A log that reaches
that position is therefore no older than that time.
"""

from __future__ import annotations

import collections
import math

import attrs

from wharftiller.core.positions import LogPosition

POINTS_KEPT = 256


@attrs.frozen
class FreshPoint:
    """At ``at`` (seconds) the group's data ended at ``position`` or before."""

    at: float
    position: LogPosition


@attrs.define
class FreshPoints:
    """The points learned of one group, oldest first."""

    _points: collections.deque[FreshPoint] = attrs.field(
        factory=lambda: collections.deque(maxlen=POINTS_KEPT)
    )

    @property
    def newest(self) -> FreshPoint | None:
        """The newest point."""
        return self._points[-1] if self._points else None

    def add(self, point: FreshPoint) -> None:
        """Take in a point, keeping only one per position while nothing is written."""
        newest = self.newest
        if newest is not None:
            if point.at <= newest.at or point.position < newest.position:
                return
            if point.position == newest.position:
                self._points.pop()
        self._points.append(point)

    def fresh_as_of(self, position: LogPosition) -> float:
        """Return the latest time as of which a log ending at ``position`` is complete.

        Returns
        -------
        float
            Monotonic time in seconds; minus infinity if nothing is known.
        """
        for point in reversed(self._points):
            if point.position <= position:
                return point.at
        return -math.inf

    def earliest_since(self, since: float) -> LogPosition | None:
        """Return the least position that holds everything acknowledged before ``since``.

        Parameters
        ----------
        since : float
            Monotonic time, in seconds.

        Returns
        -------
        LogPosition or None
            None if no point is as new as that.
        """
        for point in self._points:
            if point.at >= since:
                return point.position
        return None
