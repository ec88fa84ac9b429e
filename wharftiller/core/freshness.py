"""The age of a replica's data, measured by this box's own clock only.

A primary's report, together with another server's promise of the same term,
proves that when both were requested no later term had acknowledged a write and
the group's safe data ended at or before the primary's position. A log that
reaches that position is therefore complete as of that time.
"""

from __future__ import annotations

import collections
import math

import attrs

from wharftiller.core.positions import LogPosition

MAX_POINTS = 256


@attrs.frozen
class FreshPoint:
    """At time ``at`` (seconds) the group's data ended at or before ``position``."""

    at: float
    position: LogPosition


@attrs.define
class FreshPoints:
    """The known points of one group, oldest first."""

    _points: collections.deque[FreshPoint] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_POINTS)
    )

    @property
    def newest(self) -> FreshPoint | None:
        """The newest point."""
        return self._points[-1] if self._points else None

    def add(self, point: FreshPoint) -> None:
        """Add a point, replacing the newest one if its position is the same."""
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
        """Return the smallest position that includes everything acknowledged before ``since``.

        Parameters
        ----------
        since : float
            Monotonic time, in seconds.

        Returns
        -------
        LogPosition or None
            None if every point is older than ``since``.
        """
        for point in self._points:
            if point.at >= since:
                return point.position
        return None
