"""The endpoints of a group whose logs may hold an acknowledged write that no other log holds.

Where replicas are synchronous, a write is acknowledged once one replica has received it; which
one is not known. So every endpoint that was ever registered for the group is a holder, until it
has ended and the log of another holder reaches a position that the primary had after that.
Processes forget and all may end at once, hence the set is stored on the platform.

A log lives at its endpoint's address: a new endpoint there continues it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wharftiller.core.sessions.routes import EndpointEntry
    from wharftiller.core.sessions.statements import EndpointStatus

MAX_NAMES = 4
"""Names kept of the endpoints that followed each other at one address."""


@attrs.frozen
class Answered:
    """An endpoint of the group answers at the address.

    Attributes
    ----------
    status : EndpointStatus or None
        None if it is too busy to report one.
    """

    status: EndpointStatus | None


@attrs.frozen
class Ended:
    """No endpoint of the group is at the address: nothing listens, or another group's does."""


@attrs.frozen
class Silent:
    """Nothing answers; an endpoint there may still receive writes."""


AddressState = Answered | Ended | Silent


@attrs.frozen
class HolderSet:
    """The holders of one group.

    Attributes
    ----------
    members : dict of str to tuple of str
        By address, the names of the endpoints that were registered there, the newest last.
    is_known : bool
        Whether it is on the platform, and so holds every endpoint that matters; otherwise it has
        only those that one process has seen.
    revision : int
        The platform's revision of it; 0 if there is none.
    updates : int
        Rises with each change; after a restoration of the platform it may be less than before.
    is_restored : bool
        Whether it was last changed before the platform's last restoration.
    """

    members: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    is_known: bool = False
    revision: int = 0
    updates: int = 0
    is_restored: bool = False

    def lacks(self, entries: Iterable[EndpointEntry]) -> bool:
        """Return whether some of the registered endpoints are not in it."""
        return any(entry.name not in self.members.get(entry.address, ()) for entry in entries)

    def with_entries(self, entries: Iterable[EndpointEntry]) -> HolderSet:
        """Return it with registered endpoints added."""
        added: dict[str, tuple[str, ...]] = {}
        for entry in entries:
            added[entry.address] = (*added.get(entry.address, ()), entry.name)
        return self.with_members(added)

    def with_members(self, members: Mapping[str, tuple[str, ...]]) -> HolderSet:
        """Return it with members of another set added."""
        merged = dict(self.members)
        for address, names in members.items():
            known = merged.get(address, ())
            new = tuple(name for name in names if name not in known)
            merged[address] = (*known, *new)[-MAX_NAMES:]
        return attrs.evolve(self, members=merged)

    def with_changes_of(self, former: HolderSet) -> HolderSet:
        """Return it with what ``former``, read before a restoration, has and the copy lacks.

        A copy that nobody has changed yet is replaced by a newer set: members removed since do
        not return with it. Otherwise members are only added.
        """
        if self.is_restored and former.updates > self.updates:
            return attrs.evolve(self, members=former.members, updates=former.updates)
        if self.is_restored:
            return self
        return attrs.evolve(self.with_members(former.members), is_known=True)

    def without(self, address: str) -> HolderSet:
        """Return it without the member at ``address``."""
        members = {each: names for each, names in self.members.items() if each != address}
        return attrs.evolve(self, members=members)

    def addresses_of(self, name: str) -> set[str]:
        """Return the addresses at which the endpoint ``name`` was registered."""
        return {address for address, names in self.members.items() if name in names}
