"""The one record of who leads each group, kept in the platform.

Every change of it is a conditional update, so its revision orders all changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_LOST_UPDATES = 10_000
"""More updates, and fences, than are ever written in the seconds that a copy is old."""


@attrs.frozen
class Leading:
    """A group has a primary.

    Attributes
    ----------
    endpoint : str
    term : int
        The primary's term as it told it; 0 if never read.
    is_unverified : bool
        Whether this came back with a copy of the platform, and nothing has shown since that no
        other endpoint was promoted in the seconds that were lost.
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
        The primary that must not be used any more.
    successor : str
        The endpoint that takes over.
    planned : bool
        Whether the old primary is alive and statements under way may end first.
    ordered : bool
        Whether the promotion may have been ordered; until then the change can be
        called off by any box that holds it.
    """

    old: Leading
    successor: str
    planned: bool
    ordered: bool = False

    @property
    def is_cancellable(self) -> bool:
        """Whether the old primary leads on if it answers again.

        A doubted one does not: that it answers tells nothing of whether it was replaced.
        """
        return not (self.planned or self.ordered or self.old.is_unverified)


GroupLeadership = Leading | FailingOver


@attrs.frozen
class LeadershipRecord:
    """The record at one revision.

    Attributes
    ----------
    revision : int
        The platform's revision of it; a higher one is newer.
    fence : int
        Number under which promotions are ordered; rises with every holder.
    holder : str
        Incarnation of the box that may order promotions under ``fence``.
    attempt : str
        Id of the update that made this revision.
    updates : int
        Rises with each update; decides which of two records is newer. Where the platform came
        back from a copy, a record of a higher revision may hold fewer.
    is_written_back : bool
        Whether its last update only wrote it back after the platform had come back.
    is_confirmed : bool
        Whether it was written since the platform came back last.
    era : int
        Rises each time the platform comes back from a copy; the one in which this was read.
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
        """Return whether it followed ``other``."""
        return (self.updates, self.revision) > (other.updates, other.revision)

    def is_rolled_back_from(self, other: LeadershipRecord) -> bool:
        """Return whether the platform came back with this after it had held ``other``."""
        return self.revision > other.revision and self.updates < other.updates

    def written_back_over(self, revision: int, leased_groups: Collection[str]) -> LeadershipRecord:
        """Return what is written over the record of ``revision`` that came back from a copy.

        It outranks every update that was lost with the seconds that the copy is old, so that a
        box which still knows one of them does not bring it back later, and no fence of those
        seconds is given out again. Revisions rise from one restoration to the next, so it also
        outranks what was written after an earlier one. A change of primary that came back may
        have ended since: its old primary is doubted, and replaced anew if it has to be.

        Parameters
        ----------
        leased_groups : collection of str
            The groups that are surely still led by whom this record names.
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
        """The groups whose recorded primary may have been replaced in lost seconds."""
        return {
            name: state
            for name, state in self.groups.items()
            if isinstance(state, Leading) and state.is_unverified
        }

    @property
    def moving(self) -> dict[str, FailingOver]:
        """The groups whose primary is being replaced."""
        return {
            name: state for name, state in self.groups.items() if isinstance(state, FailingOver)
        }

    def lead(self, group: str) -> str | None:
        """Return ``group``'s primary, the old one while it is being replaced; None if not known."""
        match self.groups.get(group):
            case Leading(endpoint) | FailingOver(Leading(endpoint)):
                return endpoint
            case _:
                return None

    def with_group(self, group: str, state: GroupLeadership) -> LeadershipRecord:
        """Return the record with one group's state replaced."""
        return attrs.evolve(self, groups={**self.groups, group: state})


def _as_leading(state: GroupLeadership, *, is_unverified: bool) -> Leading:
    """Return the primary that ``state`` names, doubted or not."""
    leading = state if isinstance(state, Leading) else state.old
    return attrs.evolve(leading, is_unverified=is_unverified)
