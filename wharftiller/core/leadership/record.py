"""The one record of who leads each group, kept in the platform.

Every change of it is a conditional update, so its revision orders all changes.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Leading:
    """A group has a primary.

    Attributes
    ----------
    endpoint : str
    term : int
        The primary's term as it told it; 0 if never read.
    """

    endpoint: str
    term: int = 0


@attrs.frozen
class Moving:
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


GroupLeadership = Leading | Moving


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
    """

    revision: int = 0
    fence: int = 0
    holder: str = ""
    attempt: str = ""
    groups: dict[str, GroupLeadership] = attrs.field(factory=dict)

    @property
    def moving(self) -> dict[str, Moving]:
        """The groups whose primary is being replaced."""
        return {name: state for name, state in self.groups.items() if isinstance(state, Moving)}

    def lead(self, group: str) -> str | None:
        """Return ``group``'s primary, the old one while it is being replaced; None if not known."""
        match self.groups.get(group):
            case Leading(endpoint) | Moving(Leading(endpoint)):
                return endpoint
            case _:
                return None

    def with_group(self, group: str, state: GroupLeadership) -> LeadershipRecord:
        """Return the record with one group's state replaced."""
        return attrs.evolve(self, groups={**self.groups, group: state})
