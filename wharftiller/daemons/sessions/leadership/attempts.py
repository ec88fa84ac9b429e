"""Space out the failovers of a group that has no replica known to hold every write."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.leadership.completeness import AcknowledgedWrites

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.daemons.sessions.leadership.complete_replicas import CompleteReplicaFinder
    from wharftiller.daemons.sessions.state import SharedState

ATTEMPT_INTERVAL_S = 5.0
"""Time after a failover without a complete replica until the next one, in seconds.

Only a failover tells what all boxes acknowledged, and each changes the record twice.
"""

PLANNED_INTERVAL_S = 2.0
"""The same for a planned failover, in seconds: the old primary must hand over before it ends."""

CHECK_INTERVAL_S = 0.5
"""Time between checks whether all holders have reported meanwhile, in seconds, for each rank."""

RANK_DELAY_S = 0.4
"""Delay per rank before a box starts a further failover, in seconds."""


@attrs.frozen
class _Attempt:
    """The last known failover of a group from the primary ``old``."""

    old: str
    at: float


class FailoverAttempts:
    """Decides whether a group's primary may be replaced again."""

    def __init__(self, state: SharedState, complete_replicas: CompleteReplicaFinder) -> None:
        self._state = state
        self._complete_replicas = complete_replicas
        self._last: dict[str, _Attempt] = {}
        self._checked_at: dict[str, float] = {}

    def record(self, record: LeadershipRecord) -> None:
        """Note the failovers in ``record``, of any box."""
        now = trio.current_time()
        for group, failover in record.failovers.items():
            self._last[group] = _Attempt(failover.old.endpoint, now)

    async def may_start(self, group: str, old: str, rank: int, *, planned: bool) -> bool:
        """Return whether a failover of ``group`` from the primary ``old`` may start now.

        Parameters
        ----------
        rank : int
            Number of boxes that act before this one.
        """
        last = self._last.get(group)
        if last is None or last.old != old or not self._state.has_sync_replicas(group):
            return True
        since_s = trio.current_time() - last.at
        interval_s = PLANNED_INTERVAL_S if planned else ATTEMPT_INTERVAL_S
        if since_s >= interval_s + rank * RANK_DELAY_S:
            return True
        return not planned and await self._is_complete(group, old, rank)

    async def _is_complete(self, group: str, old: str, rank: int) -> bool:
        """Check now and then whether some replica is complete by what the holders report."""
        now = trio.current_time()
        if now - self._checked_at.get(group, -math.inf) < CHECK_INTERVAL_S * (1 + rank):
            return False
        self._checked_at[group] = now
        replica = await self._complete_replicas.complete_replica(group, old, AcknowledgedWrites())
        return replica is not None
