"""Whether a replica holds every acknowledged write, where replicas are synchronous.

An acknowledged write is on the old primary and on at least one replica, which one is not known. A
replica may be promoted only if its log certainly holds all of them. Two kinds of evidence show it:
every endpoint that may hold a write (`HolderSet`) has reported its log, or the log reaches all that
any box has acknowledged.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from wharftiller.core.positions import LOG_START

if TYPE_CHECKING:
    from wharftiller.core.freshness import FreshPoints
    from wharftiller.core.positions import LogPosition


@attrs.frozen
class AbsentHolder:
    """A holder that is not registered and reported no log.

    Attributes
    ----------
    ended_at : float
        Time by which it has ended and receives nothing more, in seconds; infinite if not known.
    """

    address: str
    ended_at: float


@attrs.frozen
class AcknowledgementReport:
    """What one process has acknowledged in groups on whose primary it released its leases.

    Attributes
    ----------
    positions : dict of str to LogPosition
        By group, the end of the primary's log after the newest write that it acknowledged.
    """

    incarnation: str
    positions: dict[str, LogPosition]


@attrs.frozen
class AcknowledgedWrites:
    """The reports of several processes.

    Attributes
    ----------
    processes_since : float or None
        Time since which no other processes than these run, in seconds: others acknowledged
        nothing later. None if some process did not report.
    """

    reports: tuple[AcknowledgementReport, ...] = ()
    processes_since: float | None = None

    def newest(self, group: str) -> LogPosition:
        """Return the newest position that one of them acknowledged in ``group``."""
        return max(
            (each.positions.get(group, LOG_START) for each in self.reports), default=LOG_START
        )


@attrs.frozen
class LogEvidence:
    """What is known of a group's logs once no box uses the old primary any more.

    Attributes
    ----------
    reported : LogPosition
        The newest position that an endpoint other than the old primary has reported.
    silent : frozenset of str
        The listed endpoints, without the old primary, that reported none.
    absent : tuple of AbsentHolder
        The holders that are no longer listed and reported none.
    knows_holders : bool
        Whether these are all holders; otherwise, all that this process has seen.
    points : FreshPoints
        Known positions of the old primary and of former ones.
    acknowledged : LogPosition
        The newest position that a reporting process acknowledged.
    processes_since : float or None
        See `AcknowledgedWrites`.
    """

    reported: LogPosition
    silent: frozenset[str]
    absent: tuple[AbsentHolder, ...]
    knows_holders: bool
    points: FreshPoints
    acknowledged: LogPosition
    processes_since: float | None

    def shows_complete(self, received: LogPosition) -> bool:
        """Return whether a log up to ``received`` certainly holds every acknowledged write."""
        return self._all_holders_reported(received) or self._reaches_all_acknowledged(received)

    def uncovered(self, received: LogPosition) -> list[str]:
        """Return the addresses of absent holders that may hold a write beyond ``received``."""
        return [each.address for each in self.absent if not self._covers(received, each.ended_at)]

    def _all_holders_reported(self, received: LogPosition) -> bool:
        if self.silent or received < self.reported or self.uncovered(received):
            return False
        # What endpoints held that ended before this process started is within the first position
        # of the primary that it learned.
        return self.knows_holders or self._covers(received, -math.inf)

    def _reaches_all_acknowledged(self, received: LogPosition) -> bool:
        if self.processes_since is None or received < self.acknowledged:
            return False
        return self._covers(received, self.processes_since)

    def _covers(self, received: LogPosition, since: float) -> bool:
        """Return whether the log holds everything that was committed before ``since``."""
        position = self.points.earliest_since(since)
        return position is not None and position <= received
