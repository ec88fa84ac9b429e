"""The record of which endpoint leads each group, stored in the platform.

Every change is a conditional update, so the record's revision orders all changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_LOST_UPDATES = 10_000
"""Upper bound on the updates, and fences, written in the seconds that a copy lacks."""


@attrs.frozen
class Leading:
    """A group has a primary.

    Attributes
    ----------
    endpoint : str
    term : int
        The term reported by the primary; 0 if never read.
    is_unverified : bool
        Whether this was restored from a copy of the platform, and another endpoint may have been
        promoted in the lost seconds.
    """

    endpoint: str
    term: int = 0
    is_unverified: bool = False


@attrs.frozen
class FailingOver:
    """A group's primary is being replaced.

    Attributes
    ----------
    old : Leading
        The primary that is being replaced.
    successor : str
        The endpoint that takes over.
    planned : bool
        Whether the old primary is alive and statements in flight may end first.
    ordered : bool
        Whether the promotion may have been ordered; until then the holder can cancel
        the failover.
    """

    old: Leading
    successor: str
    planned: bool
    ordered: bool = False

    @property
    def is_cancellable(self) -> bool:
        """Whether the failover is cancelled if the old primary answers again.

        Not if that primary is unverified: it may answer although it has been replaced.
        """
        return not (self.planned or self.ordered or self.old.is_unverified)


GroupLeadership = Leading | FailingOver


@attrs.frozen
class LeadershipRecord:
    """The record at one revision.

    Attributes
    ----------
    revision : int
        The platform's revision of the record.
    fence : int
        Fencing number of promotions; rises with every holder.
    holder : str
        Incarnation of the box that may order promotions under ``fence``.
    attempt : str
        Id of the update that made this revision.
    updates : int
        Rises with each update; decides which of two records is newer. After the platform was
        restored from a copy, a record of a higher revision may hold fewer updates.
    is_written_back : bool
        Whether its last update only wrote it back after a restoration.
    is_confirmed : bool
        Whether it was written after the platform's last restoration.
    era : int
        Epoch of the platform's store in which this was read; rises with each restoration.
    """

    revision: int = 0
    fence: int = 0
    holder: str = ""
    attempt: str = ""
    groups: dict[str, GroupLeadership] = attrs.field(factory=dict)
    updates: int = 0
    is_written_back: bool = False
    is_confirmed: bool = attrs.field(default=True, eq=False)
    era: int = attrs.field(default=0, eq=False)

    def is_newer_than(self, other: LeadershipRecord) -> bool:
        """Return whether it was written after ``other``."""
        return (self.updates, self.revision) > (other.updates, other.revision)

    def is_rolled_back_from(self, other: LeadershipRecord) -> bool:
        """Return whether this was restored after the platform had held ``other``."""
        return self.revision > other.revision and self.updates < other.updates

    def written_back_over(self, revision: int, leased_groups: Collection[str]) -> LeadershipRecord:
        """Return the record to write over the restored one of ``revision``.

        Its updates and fence exceed all that were lost, so that a box which still has a lost
        update cannot bring it back, and no lost fence is used again. Revisions rise from one
        restoration to the next, so they also exceed those written after an earlier restoration.
        A restored failover may have ended since: its old primary becomes unverified, and is
        replaced again if necessary.

        Parameters
        ----------
        leased_groups : collection of str
            The groups on whose recorded primary there is a valid lease.
        """
        groups: dict[str, GroupLeadership] = {
            name: _as_leading(state, is_unverified=name not in leased_groups)
            for name, state in self.groups.items()
        }
        return attrs.evolve(
            self,
            revision=revision,
            fence=max(self.fence + MAX_LOST_UPDATES, revision),
            updates=max(self.updates + MAX_LOST_UPDATES, revision),
            groups=groups,
            is_written_back=True,
            is_confirmed=True,
        )

    @property
    def unverified(self) -> dict[str, Leading]:
        """The groups whose recorded primary may have been replaced in lost seconds, with it."""
        return {
            name: state
            for name, state in self.groups.items()
            if isinstance(state, Leading) and state.is_unverified
        }

    @property
    def failovers(self) -> dict[str, FailingOver]:
        """The groups whose primary is being replaced, with the failover."""
        return {
            name: state for name, state in self.groups.items() if isinstance(state, FailingOver)
        }

    def lead(self, group: str) -> str | None:
        """Return ``group``'s primary, the old one during a failover; None if not known."""
        match self.groups.get(group):
            case Leading(endpoint) | FailingOver(Leading(endpoint)):
                return endpoint
            case _:
                return None

    def with_group(self, group: str, state: GroupLeadership) -> LeadershipRecord:
        """Return the record with one group's state replaced."""
        return attrs.evolve(self, groups={**self.groups, group: state})


def _as_leading(state: GroupLeadership, *, is_unverified: bool) -> Leading:
    """Return the primary of ``state``, the old one of a failover."""
    leading = state if isinstance(state, Leading) else state.old
    return attrs.evolve(leading, is_unverified=is_unverified)
