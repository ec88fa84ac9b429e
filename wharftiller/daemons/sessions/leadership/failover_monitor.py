"""Start the failovers that are needed, and take over those abandoned by their holder."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.failover import (
    TAKE_OVER_ORDERED_S,
    TAKE_OVER_S,
    TAKE_OVER_SILENT_S,
    best_candidate,
    is_lost,
    must_hand_over,
    takeover_rank,
)
from wharftiller.core.leadership.record import FailingOver, Leading

if TYPE_CHECKING:
    from wharftiller.core.leadership.failover import Candidate
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.daemons.sessions.forwarding.gateways import Gateways
    from wharftiller.daemons.sessions.leadership.attempts import FailoverAttempts
    from wharftiller.daemons.sessions.leadership.failover_runner import FailoverRunner
    from wharftiller.daemons.sessions.leadership.holder_keeper import HolderKeeper
    from wharftiller.daemons.sessions.leadership.record_writer import RecordWriter
    from wharftiller.daemons.sessions.leadership.successors import SuccessorFinder
    from wharftiller.daemons.sessions.leadership.verification import UnverifiedPrimaries
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

POLL_S = 0.15
"""Time between checks whether a primary must be replaced, in seconds."""

TAKE_OVER_POLL_S = 1.0
"""Time between checks whether the holder of a failover is running, in seconds."""

FIRST_RANK_DELAY_S = 0.3
"""Delay per rank before a box writes the first record or takes a failover over, in seconds."""

FIRST_ALL_S = 2.0
"""Time after its start for which a box waits to record every group at once, in seconds."""

REACHABLE_ELSEWHERE_S = 1.0
"""Time for which a primary that another box can reach is not checked again, in seconds.

In a network partition every gateway on the other side would query all gateways at each check.
"""

MAX_RANKS = 8
"""Number of boxes that act one after the other; all further ones act together."""

FAILED_PAUSE_S = 1.0
"""Pause after a check that the platform did not answer, in seconds."""


@attrs.define
class _RevisionSeen:
    """When this box first saw a revision of the record."""

    revision: int
    at: float


class FailoverMonitor:
    """Monitors the primaries and replaces those that are lost or leaving."""

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        gateways: Gateways,
        writer: RecordWriter,
        successors: SuccessorFinder,
        runner: FailoverRunner,
        unverified: UnverifiedPrimaries,
        holders: HolderKeeper,
        attempts: FailoverAttempts,
    ) -> None:
        self._state = state
        self._directory = directory
        self._gateways = gateways
        self._writer = writer
        self._successors = successors
        self._runner = runner
        self._unverified = unverified
        self._holders = holders
        self._attempts = attempts
        self._seen: _RevisionSeen | None = None
        self._reachable_elsewhere_at: dict[str, float] = {}
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """Check for ever."""
        while True:
            await trio.sleep(POLL_S)
            if not self._state.leases.read_from_platform:
                continue
            try:
                await self._check()
            except PlatformUnavailableError as error:
                self._state.log.event("change_of_primary_waits", why=str(error))
                await trio.sleep(FAILED_PAUSE_S)

    async def _check(self) -> None:
        if await self._writer.write_back() or await self._mark_verified():
            return
        is_settled = self._is_settled()
        if is_settled:
            await self._write_first_record()
        record = self._state.leases.record
        self._attempts.record(record)
        if not is_settled and not _needs_verification_only(record):
            return
        if record.failovers and record.holder == self._writer.incarnation:
            await self._runner.advance(record)
        elif record.failovers:
            if await self._may_take_over(record):
                self._state.log.change("change_taken_over", groups=sorted(record.failovers))
                await self._writer.write(self._writer.as_holder(record))
        else:
            await self._start_failovers(record)

    async def _mark_verified(self) -> bool:
        record = self._state.leases.record
        self._unverified.update(record)
        verified = self._unverified.verified(record)
        return bool(verified) and await self._unverified.mark_verified(
            record, verified, self._rank("doubts")
        )

    def _is_settled(self) -> bool:
        """Return whether the platform's list and record are reliable."""
        return self._state.leases.is_settled(trio.current_time())

    # The first record ---------------------------------------------------

    async def _write_first_record(self) -> None:
        """Record the endpoints that registered as primaries.

        No lease is given on a primary before it is recorded, so the holders of all writes are
        stored before the first of them is acknowledged.
        """
        record = self._state.leases.record
        groups = {
            group: Leading(leaders[0])
            for group in self._state.configuration.groups
            if group not in record.groups
            and self._holders.is_stored(group)
            and len(leaders := self._registered_leaders(group)) == 1
        }
        missing = [g for g in self._state.configuration.groups if g not in record.groups]
        if not groups:
            return
        rank = self._rank("first")
        waited_s = trio.current_time() - self._started_at
        if waited_s < rank * FIRST_RANK_DELAY_S or (
            len(groups) < len(missing) and waited_s < FIRST_ALL_S
        ):
            return
        await self._writer.write(attrs.evolve(record, groups={**record.groups, **groups}))

    def _registered_leaders(self, group: str) -> list[str]:
        return [row.name for row in self._state.endpoints.of_group(group) if row.entry.leads]

    # Starting a failover ------------------------------------------------

    async def _start_failovers(self, record: LeadershipRecord) -> None:
        """Start the failover of every primary that must be replaced.

        The update is conditional on ``record``'s revision, so it fails if another box
        writes meanwhile.
        """
        if not self._state.endpoints.rows:
            # Without the list of endpoints a lost primary looks like an unknown one, and many boxes
            # that start together would each query all others.
            return
        changed = self._writer.as_holder(record)
        for group, leading in record.groups.items():
            if isinstance(leading, Leading) and self._state.serves_group(group):
                failover = await self._needed_failover(group, leading)
                if failover is not None:
                    changed = changed.with_group(group, failover)
        if changed.failovers:
            self._attempts.record(changed)
            await self._writer.write(changed)

    async def _needed_failover(self, group: str, leading: Leading) -> FailingOver | None:
        """Return the failover that ``group`` needs, if this box may start one by its rank."""
        if leading.is_unverified:
            successor = await self._unverified.successor(group, leading, self._rank(group))
            return None if successor is None else FailingOver(leading, successor, planned=False)
        now = trio.current_time()
        row = self._state.endpoints.rows.get(leading.endpoint)
        if not self._is_settled() or (row is not None and not row.may_need_successor):
            return None
        rank = self._rank(group)
        planned = row is not None and must_hand_over(row, rank, now)
        if not planned and not is_lost(row, rank, now):
            return None
        if not await self._attempts.may_start(group, leading.endpoint, rank, planned=planned):
            return None
        if planned:
            best = await self._successors.planned_successor(group, leading.endpoint)
        elif not self._was_reachable_elsewhere(group, now):
            best = await self._successor_of_lost(group, leading.endpoint, rank)
        else:
            return None
        if best is None:
            return None
        self._state.log.change(
            "change_of_primary_starts",
            group=group,
            old=leading.endpoint,
            successor=best.name,
            received=str(best.received),
            planned=planned,
        )
        return FailingOver(leading, best.name, planned)

    async def _successor_of_lost(self, group: str, old: str, rank: int) -> Candidate | None:
        """Return the successor of a primary that no box can reach; None if one can reach it.

        Of the other boxes only the group's gateways connect to it. They and the replicas are
        queried concurrently, as each query may take half a second.
        """
        is_reachable = False
        queried = self._gateways.other_gateways_of([group])

        async def check_reachable() -> None:
            nonlocal is_reachable
            is_reachable = await self._is_reachable_elsewhere(group, old, queried)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(check_reachable)
            candidates = await self._successors.candidates(group, old)
        row = self._state.endpoints.rows.get(old)
        names = self._directory.boxes if queried is None else [box.name for box in queried]
        all_answer = self._directory.replies.keys() >= set(names)
        if is_reachable or not is_lost(row, rank, trio.current_time(), all_answer=all_answer):
            return None
        best = best_candidate(candidates)
        if best is None:
            self._state.log.event("no_successor", group=group, old=old)
        return best

    def _was_reachable_elsewhere(self, group: str, now: float) -> bool:
        return now - self._reachable_elsewhere_at.get(group, -math.inf) < REACHABLE_ELSEWHERE_S

    def _rank(self, key: str) -> int:
        """Return how many boxes act before this one, at most `MAX_RANKS`."""
        boxes = (
            self._gateways.all_gateways(key) if key in self._state.leases.record.groups else None
        )
        if boxes is None:
            boxes = self._directory.live()
        return min(MAX_RANKS, takeover_rank(self._state.box, boxes, key))

    async def _is_reachable_elsewhere(
        self, group: str, endpoint: str, queried: list[Box] | None
    ) -> bool:
        await self._directory.query_boxes(check=(endpoint,), among=queried)
        reaching = [
            n for n, reply in self._directory.replies.items() if endpoint in reply.reachable
        ]
        if reaching:
            self._reachable_elsewhere_at[group] = trio.current_time()
            self._state.log.event("primary_heard_elsewhere", endpoint=endpoint, others=reaching)
        return bool(reaching)

    # Taking over --------------------------------------------------------

    async def _may_take_over(self, record: LeadershipRecord) -> bool:
        """Return whether the holder of a failover can no longer order a promotion."""
        now = trio.current_time()
        if self._seen is None or self._seen.revision != record.revision:
            self._seen = _RevisionSeen(record.revision, now)
        if not any(map(self._state.serves_group, record.failovers)):
            # If all boxes queried the holder of a failover that waits for a lease, the number of
            # requests would grow with the square of the number of boxes.
            return False
        seen_s = now - self._seen.at - self._take_over_rank(record) * FIRST_RANK_DELAY_S
        if seen_s > FIRST_RANK_DELAY_S:
            await self._query_holder(_box_name(record.holder))
        if self._holder_restarted(record.holder):
            return seen_s > FIRST_RANK_DELAY_S
        if any(failover.ordered for failover in record.failovers.values()):
            return seen_s > TAKE_OVER_ORDERED_S
        is_silent = _box_name(record.holder) not in self._directory.replies
        return seen_s > (TAKE_OVER_SILENT_S if is_silent else TAKE_OVER_S)

    def _take_over_rank(self, record: LeadershipRecord) -> int:
        """Return how many boxes that run statements of these groups act before this one."""
        others = self._gateways.other_gateways_of(record.failovers)
        names = self._directory.live() if others is None else [box.name for box in others]
        return min(MAX_RANKS, takeover_rank(self._state.box, names, str(record.fence)))

    async def _query_holder(self, name: str) -> None:
        """Query the box that holds a failover, to learn whether it runs and in which process."""
        box = self._directory.boxes.get(name)
        among = [] if box is None else [box]
        await self._directory.query_boxes(no_older_than_s=TAKE_OVER_POLL_S, among=among)

    def _holder_restarted(self, holder: str) -> bool:
        """Return whether the holder's box now runs another process."""
        name = _box_name(holder)
        if name == self._state.box:
            return True
        reply = self._directory.replies.get(name)
        return reply is not None and reply.incarnation != holder


def _needs_verification_only(record: LeadershipRecord) -> bool:
    """Return whether only unverified primaries are left to handle in ``record``.

    This need not wait until the list of boxes is reliable: verification by the endpoints'
    statuses replaces no primary that a box may use.
    """
    if record.failovers:
        return all(failover.old.is_unverified for failover in record.failovers.values())
    return bool(record.unverified)


def _box_name(holder: str) -> str:
    """Return the name of the box that runs the process ``holder``."""
    return holder.rpartition("/")[0]
