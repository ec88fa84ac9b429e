"""The platform of a history: the record, the list of boxes, and copies to restore."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.leadership.record import LeadershipRecord

if TYPE_CHECKING:
    from wharftiller.tests.core.leadership.histories import ModelBox

REVISIONS_PER_ERA = 10**6
"""Revisions reserved for one era; those of the next era are higher."""


@attrs.frozen
class PlatformCopy:
    """A copy of the platform's objects."""

    revision: int
    record: LeadershipRecord
    listed: dict[str, ModelBox]
    tombstones: dict[str, int]


@attrs.define(eq=False)
class ModelPlatform:
    """The platform's objects.

    Attributes
    ----------
    record : LeadershipRecord
        The record as last written.
    listed : dict of str to ModelBox
        The registered boxes.
    tombstones : dict of str to int
        Number of the tombstone of each box presumed dead.
    unavailable_until : float
        When the platform answers again, in seconds.
    written_at : float
        When the record was last written for a failover, in seconds.
    """

    record: LeadershipRecord
    revision: int = 1
    era: int = 0
    listed: dict[str, ModelBox] = attrs.field(factory=dict)
    tombstones: dict[str, int] = attrs.field(factory=dict)
    unavailable_until: float = 0.0
    written_at: float = 0.0

    def read_record(self) -> LeadershipRecord:
        """Return the record with the current era."""
        return attrs.evolve(self.record, era=self.era)

    def write(self, record: LeadershipRecord) -> LeadershipRecord:
        """Replace the record under a new revision; return it as written."""
        self.revision += 1
        self.record = attrs.evolve(record, revision=self.revision, era=self.era, is_confirmed=True)
        return self.record

    def copy(self) -> PlatformCopy:
        """Return a copy of the current objects."""
        return PlatformCopy(self.revision, self.record, dict(self.listed), dict(self.tombstones))

    def restore(self, copy: PlatformCopy) -> None:
        """Restore ``copy`` in a new era; revisions after the copy are issued again."""
        self.era += 1
        self.revision = self._in_this_era(copy.revision)
        revision = self._in_this_era(copy.record.revision)
        self.record = attrs.evolve(copy.record, revision=revision, is_confirmed=False)
        self.listed, self.tombstones = copy.listed, copy.tombstones

    def _in_this_era(self, revision: int) -> int:
        return self.era * REVISIONS_PER_ERA + revision % REVISIONS_PER_ERA
