"""A lease table with rules that can be disabled, to check that each of them is needed."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from wharftiller.core.leadership.lease import MAX_BOX_LIST_AGE_S, LeaseTable, RenewalReply
from wharftiller.core.leadership.record import LeadershipRecord, Leading


@attrs.frozen
class Rules:
    """The enabled rules; by default all of them, as in the product."""

    request_time_counts: bool = True
    every_box_answers: bool = True
    restarted_boxes_read_first: bool = True
    list_must_be_recent: bool = True
    list_read_after_win: bool = True
    registered_before_lease: bool = True
    promoter_is_old_member: bool = True
    tombstones_must_age: bool = True
    answered_renewals_count: bool = True
    updates_count: bool = True
    confirmed_first: bool = True
    settled_first: bool = True
    copies_are_unverified: bool = True
    eras_count: bool = True


class WeakTable(LeaseTable):
    """A lease table with some rules disabled."""

    rules = Rules()

    def adopt(self, record: LeadershipRecord) -> bool:
        """Adopt a record; without the rules also one with fewer updates, and ignoring its era."""
        if not self.rules.updates_count:
            record = attrs.evolve(record, updates=max(record.updates, self.record.updates))
        if not self.rules.eras_count:
            record = attrs.evolve(record, era=0)
        return super().adopt(record)

    def read(self, record: LeadershipRecord, asked_at: float) -> None:
        """Update from a read; without the rules also one with fewer updates or unconfirmed."""
        if not self.rules.updates_count:
            updates = max(record.updates, self.record.updates)
            record = attrs.evolve(record, updates=updates)
        if not self.rules.confirmed_first:
            record = attrs.evolve(record, is_confirmed=True)
        if not self.rules.eras_count:
            record = attrs.evolve(record, era=0)
        super().read(record, asked_at)

    def record_to_write_back(self, now: float) -> LeadershipRecord | None:
        """Return the record to write back; without the rule with every primary verified."""
        written = super().record_to_write_back(now)
        if written is None or self.rules.copies_are_unverified:
            return written
        return attrs.evolve(written, groups=self.record.groups)

    def _may_only_extend(self, state: Leading) -> bool:
        """Return whether checks begin no lease; without the rule they always may."""
        return self.rules.copies_are_unverified and super()._may_only_extend(state)

    def apply_renewal(self, answers: Iterable[RenewalReply], asked_at: float) -> bool:
        """Renew by replies of other boxes, without the disabled rules."""
        answers = list(answers)
        for answer in answers:
            self.adopt(answer.record)
        rules = self.rules
        answered = {
            each.box
            for each in answers
            if each.has_read_platform or not rules.restarted_boxes_read_first
        }
        enough = (
            self.boxes <= answered
            if rules.every_box_answers
            else 2 * (len(self.boxes & answered) + 1) > len(self.boxes) + 1
        )
        recent = (
            asked_at - self.boxes_listed_at < MAX_BOX_LIST_AGE_S or not rules.list_must_be_recent
        )
        if self.boxes and enough and recent and self.read_from_platform:
            self._renew(asked_at)
            return True
        return False
