"""Leases of this box: until when it may use the primary in the record.

A lease runs `LEASE_S` from the *sending* of the last check that showed the record
unchanged, on this box's monotonic clock. A box that replaces a primary waits for
`LEASE_S` after it learned that it won the record, or until every other box has
released its lease; so no box uses an old primary once a new one has taken over.

Two checks renew a lease: reading the record from the platform, and a renewal request
to every other listed box. A renewal counts only if every box in the list replies, if
each of them has read the record from the platform since it started, and if this box
read the list from the platform itself within `MAX_BOX_LIST_AGE_S`. Each reply carries the newest
record that its box has seen.

Where the platform was restored from a copy, a primary may have been replaced in the lost
seconds, and every box that knew of it may have ended. The restored record then extends only
leases that are still valid: a box that replaced the primary would have waited for them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from wharftiller.core.leadership.record import FailingOver, LeadershipRecord, Leading

if TYPE_CHECKING:
    from collections.abc import Iterable

LEASE_S = 6.0
"""Validity of a check, in seconds.

A failover beside an unresponsive box waits this long: the detection (2 s), this wait, every
release and the promotion must fit in the 12 s allowed for a failover. Not a setting, as it must
be the same on every box at all times.
"""

MAX_BOX_LIST_AGE_S = 12.0
"""Maximum age of the list of boxes in a renewal, in seconds.

In an outage of the platform writes go on for this time and a lease. A box that joined less than
`MAX_BOX_LIST_AGE_S` + `LEASE_S` ago may be missing from the lists of others, so it may not
replace a primary beside an unresponsive box. Twice the lease: a longer time would delay that too.
"""

RESTORATION_SETTLING_S = 2 * LEASE_S
"""Time for which a restored record is not trusted while a box is unresponsive, in seconds.

All leases end in half of it; in the rest, boxes that were partitioned or paused for a moment
report the record that they have.
"""


def holds_no_lease(tombstoned_at: float, answered_at: float, listed_s: float, now: float) -> bool:
    """Return whether another box, tombstoned in the platform's list, can hold no lease.

    Its own reads show the tombstone and do not count until it has registered again, which
    replaces the tombstone. Its renewals need a reply from every box that was listed
    `MAX_BOX_LIST_AGE_S` before, including this one. So nothing renews its leases any more.

    Parameters
    ----------
    tombstoned_at : float
        When this box first read the current tombstone, in seconds.
    answered_at : float
        When this box last replied to a renewal request of that box, in seconds.
    listed_s : float
        Time for which this box has been listed, in seconds.
    now : float
        In seconds.
    """
    is_in_its_list = listed_s > MAX_BOX_LIST_AGE_S + LEASE_S
    return is_in_its_list and now - max(tombstoned_at, answered_at) > LEASE_S


@attrs.define
class GroupLease:
    """The lease on one group's primary.

    Attributes
    ----------
    endpoint : str
        The primary.
    checked_at : float
        Sending time of the last check that showed it leading, in seconds.
    is_closing : bool
        True once nothing new may start under it.
    is_released : bool
        True once this box has released it.
    """

    endpoint: str
    term: int
    checked_at: float
    is_closing: bool = False
    is_released: bool = False

    def is_valid(self, now: float) -> bool:
        """Return whether the primary may be used at ``now`` (seconds)."""
        return not self.is_released and now < self.checked_at + LEASE_S


@attrs.frozen
class RenewalReply:
    """Another box's reply to a renewal request.

    Attributes
    ----------
    has_read_platform : bool
        Whether it read the record from the platform since it started.
    """

    box: str
    has_read_platform: bool
    record: LeadershipRecord


@attrs.define
class LeaseTable:
    """The box's view of every group's leadership, and its leases.

    Attributes
    ----------
    record : LeadershipRecord
        The newest record seen from anywhere; never goes back.
    read_from_platform : bool
        Whether the record was read from the platform since this process started.
    boxes, boxes_listed_at : frozenset of str, float
        The other boxes listed in the platform, and when the newest list that names this box too
        was requested.
    """

    record: LeadershipRecord = attrs.field(factory=LeadershipRecord)
    read_from_platform: bool = False
    boxes: frozenset[str] = frozenset()
    boxes_listed_at: float = -math.inf
    _leases: dict[str, GroupLease] = attrs.field(factory=dict)
    _unconfirmed: LeadershipRecord | None = None
    _unconfirmed_since: float = -math.inf
    _era: int = 0
    _boxes_renewed_at: float = -math.inf
    _has_ended: bool = False

    def lease(self, group: str, now: float) -> GroupLease | None:
        """Return the valid lease on ``group``'s primary, if there is one."""
        if self._has_ended:
            return None
        lease = self._leases.get(group)
        return lease if lease is not None and lease.is_valid(now) else None

    def misses_lease(self, now: float) -> bool:
        """Return whether there is a recorded primary without a valid lease."""
        return any(
            isinstance(state, Leading) and self.lease(group, now) is None
            for group, state in self.record.groups.items()
        )

    def last_lease(self, group: str) -> GroupLease | None:
        """Return the lease on ``group``, valid or not."""
        return self._leases.get(group)

    def may_start(self, group: str, now: float) -> GroupLease | None:
        """Return the lease under which a new write or primary read may be sent.

        While a planned failover waits for an unresponsive box's lease to end, the others go on.
        """
        lease = self.lease(group, now)
        return None if lease is None or lease.is_closing else lease

    def may_acknowledge(self, group: str, endpoint: str, now: float) -> bool:
        """Return whether a write that ``endpoint`` committed may be acknowledged at ``now``."""
        lease = self.lease(group, now)
        return lease is not None and lease.endpoint == endpoint

    def adopt(self, record: LeadershipRecord) -> bool:
        """Adopt a record from any source if it is newer; return whether it is.

        A restored record older than the known one is not adopted: it would grant leases on a
        primary that has been replaced, and a fence that was used before.
        """
        if not record.is_newer_than(self.record):
            return False
        self.record = record
        for group, state in record.groups.items():
            lease = self._leases.get(group)
            if lease is None:
                continue
            leads = state.endpoint if isinstance(state, Leading) else state.old.endpoint
            if leads != lease.endpoint:
                del self._leases[group]
            elif isinstance(state, FailingOver) and not state.planned:
                lease.is_closing = lease.is_released = True
        return True

    def read(self, record: LeadershipRecord, asked_at: float) -> None:
        """Update from a record read from the platform, requested at ``asked_at`` (seconds)."""
        self.adopt(record)
        if self._shows_restoration(record):
            self._unconfirmed_since = asked_at
        self._era = max(self._era, record.era)
        self.read_from_platform = True
        if not record.is_confirmed or record.is_rolled_back_from(self.record):
            self._hold_unconfirmed(record, asked_at)
        elif not self.record.is_newer_than(record):
            self._unconfirmed = None
            self._renew(asked_at)

    def _shows_restoration(self, record: LeadershipRecord) -> bool:
        """Return whether the platform was restored from a copy since this box last read it.

        Every reply of the platform carries its era, so this also detects a restored record that
        another box has written back already, and a second restoration before any write-back. A
        box that has just started has no era to compare; a written-back record shows it.
        """
        if not self.read_from_platform:
            return record.is_written_back
        return record.era > self._era

    def _hold_unconfirmed(self, record: LeadershipRecord, asked_at: float) -> None:
        if self._unconfirmed is None:
            self._unconfirmed_since = asked_at
        self._unconfirmed = record

    def record_to_write_back(self, now: float) -> LeadershipRecord | None:
        """Return the record to write over a restored one; None if there is nothing to write.

        Reads of a restored record renew no lease, as an unresponsive box may have a newer one.
        A box with a newer record writes it back at once; others do so after a renewal to which
        every box replied, or after a time in which a box with a newer record has written it.
        """
        restored = self._unconfirmed
        if restored is None:
            return None
        all_replied = self._boxes_renewed_at > self._unconfirmed_since
        has_newer_record = self.record.updates > restored.updates
        if (
            has_newer_record
            or all_replied
            or now - self._unconfirmed_since > RESTORATION_SETTLING_S
        ):
            return self.record.written_back_over(restored.revision, self.leased_groups(now))
        return None

    def leased_groups(self, now: float) -> set[str]:
        """Return the groups on whose recorded primary there is a valid lease.

        No box has replaced such a primary, whatever the platform lost: a failover waits until
        every lease on the old primary has ended.
        """
        return {
            group
            for group, state in self.record.groups.items()
            if isinstance(state, Leading)
            and (lease := self.lease(group, now)) is not None
            and lease.endpoint == state.endpoint
        }

    def is_settled(self, now: float) -> bool:
        """Return whether the platform's list names every box that may hold a lease.

        A restored list may lack boxes that registered after the copy. It counts once their
        leases have ended or they have registered again; until then no primary is replaced and
        no box is dropped. A list read before a restoration that another box reported does not
        count either.
        """
        if self._unconfirmed is not None or self.record.era > self._era:
            return False
        return now - self._unconfirmed_since > RESTORATION_SETTLING_S

    def update_boxes(self, boxes: Iterable[str], asked_at: float) -> None:
        """Update from the platform's list of the other boxes."""
        kept = frozenset() if self.is_settled(asked_at) else self.boxes
        self.boxes = frozenset(boxes) | kept
        self.boxes_listed_at = max(self.boxes_listed_at, asked_at)

    def forget_boxes(self) -> None:
        """Renew no lease by replies of other boxes until the list is read again."""
        self.boxes_listed_at = -math.inf

    def apply_renewal(self, answers: Iterable[RenewalReply], asked_at: float) -> bool:
        """Update from the replies to a renewal request; return whether they renewed the leases."""
        answered: set[str] = set()
        for answer in answers:
            self.adopt(answer.record)
            if answer.has_read_platform:
                answered.add(answer.box)
        counts = (
            bool(self.boxes)
            and self.boxes <= answered
            and asked_at - self.boxes_listed_at < MAX_BOX_LIST_AGE_S
            and self.read_from_platform
        )
        if counts:
            self._boxes_renewed_at = asked_at
            self._renew(asked_at)
        return counts

    def close(self, group: str, endpoint: str) -> None:
        """Start nothing new on ``endpoint``; statements in flight may end."""
        lease = self._leases.get(group)
        if lease is not None and lease.endpoint == endpoint:
            lease.is_closing = True

    def release_lease(self, group: str, endpoint: str) -> None:
        """Stop using ``endpoint`` as ``group``'s primary, for good in this term."""
        lease = self._leases.get(group)
        if lease is not None and lease.endpoint == endpoint:
            lease.is_closing = lease.is_released = True

    def end(self) -> None:
        """Give up every lease for good: from now on no primary may be used."""
        self._has_ended = True

    def _renew(self, asked_at: float) -> None:
        for group, state in self.record.groups.items():
            if not isinstance(state, Leading):
                continue
            lease = self._leases.get(group)
            if self._may_only_extend(state) and (lease is None or not lease.is_valid(asked_at)):
                continue
            if lease is None or lease.endpoint != state.endpoint or lease.is_closing:
                self._leases[group] = GroupLease(state.endpoint, state.term, asked_at)
            else:
                lease.checked_at = max(lease.checked_at, asked_at)
                lease.term = state.term

    def _may_only_extend(self, state: Leading) -> bool:
        """Return whether checks extend a valid lease on this primary, but begin none."""
        return state.is_unverified or self._unconfirmed is not None
