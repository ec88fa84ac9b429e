"""Read the state that boxes share from the platform, register this box, and watch for changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.core.leadership.read_schedule import ReadIntervals, ReadScheduleInputs, read_is_due

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.interfaces import PlatformSnapshot, SharedObjects, Watches
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.lease_renewal import LeaseRenewer
    from wharftiller.daemons.sessions.membership.peer_sync import PeerSync
    from wharftiller.daemons.sessions.membership.readers import SnapshotClient, SnapshotServer
    from wharftiller.daemons.sessions.membership.retirement import BoxRetirement
    from wharftiller.daemons.sessions.membership.snapshots import SnapshotApplier
    from wharftiller.daemons.sessions.state import SharedState

REGISTRATION_WAIT_S = 0.6
"""Time for all boxes of a first start to register, in seconds; they start within 0.3 s."""

FIRST_REPLY_S = 2.0
"""Time after its start within which a box gets its first snapshot from a reader, in seconds.

It asks once a second, and its reader lists it within 0.9 s.
"""

WATCHES_WAIT_S = 1.0
"""Time to wait for the first read of the platform before watches start anyway, in seconds."""

POLL_S = 0.1
"""Time between checks of whether a read is due, in seconds."""

WATCHES_POLL_S = 0.25
"""Time between checks of whether to watch the platform, in seconds; 1/4 of `RENEWAL_S`."""


class SharedReads:
    """Reads the platform as often as this box needs.

    Parameters
    ----------
    first_start : bool
        Whether the whole deployment starts for the first time.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        box: Box,
        shared: SharedObjects,
        snapshot_applier: SnapshotApplier,
        readers: SnapshotClient,
        snapshot_server: SnapshotServer,
        retirement: BoxRetirement,
        lease_renewer: LeaseRenewer,
        peer_sync: PeerSync,
        watches: Watches,
        intervals: ReadIntervals,
        first_start: bool,
    ) -> None:
        self._state = state
        self._directory = directory
        self._box = box
        self._shared = shared
        self._snapshot_applier = snapshot_applier
        self._readers = readers
        self._snapshot_server = snapshot_server
        self._retirement = retirement
        self._lease_renewer = lease_renewer
        self._peer_sync = peer_sync
        self._watches = watches
        self._intervals = intervals
        self._first_start = self._waits_for_others = first_start
        self._has_registered = False
        self._platform_answers: bool | None = None
        self._started_at = trio.current_time()

    @property
    def reads_for_others(self) -> bool:
        """Whether this box reads the platform for others."""
        if self._readers.applies:
            return self._readers.is_reader
        return self._directory.is_reading_box

    async def run(self) -> None:
        """Read whenever a read is due, forever; often if no other box reads for this one."""
        while True:
            started = trio.current_time()
            await self._read()
            while not read_is_due(self._schedule_inputs(started), self._intervals):
                await trio.sleep(POLL_S)

    def _schedule_inputs(self, tried_at: float) -> ReadScheduleInputs:
        now = trio.current_time()
        return ReadScheduleInputs(
            since_s=now - tried_at,
            misses_lease=self._state.leases.misses_lease(now),
            by_data_centre=self._readers.applies,
            reads_for_others=self.reads_for_others,
            renewed=self._receives_updates,
            known_age_s=now - self._directory.platform_read_at,
            platform_answers=self._platform_answers is not False,
            may_be_asked=self._readers.may_be_asked,
        )

    async def choose_watches(self) -> None:
        """Watch configuration and endpoints while no other box sends changes of them in time."""
        await self._peer_sync.seeds_tried.wait()
        while True:
            age_s = trio.current_time() - self._started_at
            if self._directory.platform_answers or age_s > WATCHES_WAIT_S:
                self._watches.follow(self._should_follow())
            await trio.sleep(WATCHES_POLL_S)

    def _should_follow(self) -> bool:
        """Return whether to watch the platform, as no other box sends its changes."""
        if self._readers.applies and not self._readers.may_be_asked and not self._platform_answers:
            # The platform would not answer; boxes that it answers send their state.
            return False
        behind_reader = self._readers.applies and not self._readers.is_reader
        return not (behind_reader and self._receives_updates) or self._peer_sync.fetch_failed

    @property
    def _receives_updates(self) -> bool:
        """Whether other boxes send this one what they read, or will soon.

        A box that has just started and read the platform waits for a reader to list it, if a
        peer sent current state and the reader is responsive, or at a first start of the
        deployment. State from a peer may be old if that peer is cut off.
        """
        if self._lease_renewer.renewed:
            return True
        is_new = trio.current_time() - self._started_at < FIRST_REPLY_S
        synced = self._first_start or (self._peer_sync.is_current and not self._readers.is_silent)
        return is_new and synced and self._directory.platform_answers

    async def _read(self) -> None:
        try:
            snapshot, asked_at = await self._read_registered()
        except PlatformUnavailableError as error:
            self._set_platform_answers(False, str(error))
            return
        self._set_platform_answers(True)
        self._snapshot_server.store(snapshot, asked_at)
        was_unlisted = self._directory.listed_since is None
        self._snapshot_applier.apply(snapshot, asked_at)
        self._retirement.update(self._snapshot_applier.other_boxes(snapshot), asked_at)
        if was_unlisted and self._readers.applies:
            # Ask the reader at once: its state is needed before it lists this box.
            self._state.check_soon.set()
        known_age_s = asked_at - self._directory.platform_read_at
        is_alone = self.reads_for_others or not self._lease_renewer.renewed
        if is_alone or known_age_s > self._intervals.known_s:
            self._watches.read_missed(snapshot)
        self._directory.platform_read_at = max(self._directory.platform_read_at, asked_at)

    async def _read_registered(self) -> tuple[PlatformSnapshot, float]:
        """Return a snapshot that lists this box, and when it was requested."""
        if self._has_registered:
            asked_at = trio.current_time()
            snapshot = await self._shared.read()
            if self._snapshot_applier.holds_this_process(snapshot):
                return snapshot, asked_at
            # Other boxes' lists may lack this one: its time in the list starts again.
            self._snapshot_applier.record_unlisted(snapshot)
        await self._shared.register(self._box)
        self._has_registered = True
        if self._waits_for_others:
            # All boxes register now: one later read shows them all.
            self._waits_for_others = False
            await trio.sleep(REGISTRATION_WAIT_S)
        # A lease counts only from a read made after the registration.
        asked_at = trio.current_time()
        return await self._shared.read(), asked_at

    def _set_platform_answers(self, answers: bool, why: str = "") -> None:
        self._directory.platform_answers = answers
        self._state.is_platform_unavailable = not answers
        if self._platform_answers != answers:
            self._platform_answers = answers
            self._state.log.change("platform_back" if answers else "platform_lost", why=why)
