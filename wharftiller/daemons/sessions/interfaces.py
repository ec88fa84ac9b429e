"""Interfaces of the session proxy to endpoints and the platform; adapters implement them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    import trio

    from wharftiller.core.leadership.holders import HolderSet
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.core.sessions.routes import EndpointEntry
    from wharftiller.core.sessions.statements import EndpointQuery, EndpointStatus, Reply
    from wharftiller.daemons.sessions.membership.box import Box


class EndpointConnection(Protocol):
    """A connection to an endpoint; runs one exchange at a time."""

    @property
    def is_usable(self) -> bool:
        """Whether no unexpected data arrived; the endpoint may still have closed it."""
        ...

    async def ask(self, queries: Sequence[EndpointQuery]) -> list[Reply]:
        """Send statements in one write; return their replies in order.

        Raises
        ------
        ExchangeError
            If the connection broke or a reply could not be decoded.
        """
        ...

    async def status(self) -> EndpointStatus | None:
        """Return the endpoint's status, or None if it is too busy to report it."""
        ...

    def close(self) -> None:
        """Close at once; the endpoint rolls back an open transaction."""
        ...


class EndpointDialer(Protocol):
    """Opens connections to endpoints."""

    async def open_any(self, group: str, address: str) -> EndpointConnection:
        """Open a connection to whichever endpoint of ``group`` is at ``address``.

        Raises
        ------
        AddressRefusedError
            If nothing listens there.
        EndpointRefusedError
            If an endpoint answers but refuses the connection; one of another group does.
        ExchangeError
            If nothing answers.
        """
        ...

    async def open(
        self, entry: EndpointEntry, via: str | None = None, workspace: str = ""
    ) -> EndpointConnection:
        """Open a connection, relayed by the box at ``via`` if given.

        Parameters
        ----------
        workspace : str
            Whose statements it is for; empty for any caller's and for this box's own.

        Raises
        ------
        EndpointRefusedError
            If the endpoint answers but refuses the connection.
        ExchangeError
            If the endpoint cannot be reached.
        """
        ...


@attrs.frozen
class PlatformSnapshot:
    """The objects that boxes share through the platform, from one read.

    Attributes
    ----------
    record : LeadershipRecord
        The leadership record; revision 0 if there is none yet.
    boxes : dict of str to Box
        Every registered box, this one included.
    revision : int
        The platform's revision at the read; every change on the platform raises it.
    tombstones : dict of str to int
        Revision of the entry of every tombstoned box; empty if another box supplied the
        snapshot.
    revisions : dict of str to int
        Revision of every entry by its name; empty if another box supplied the snapshot.
    """

    record: LeadershipRecord
    boxes: dict[str, Box]
    revision: int = 0
    tombstones: dict[str, int] = attrs.field(factory=dict)
    revisions: dict[str, int] = attrs.field(factory=dict)


class Watches(Protocol):
    """Watches the configuration and the endpoints on the platform."""

    def start(self, nursery: trio.Nursery) -> None:
        """Start the watches."""
        ...

    def follow(self, wanted: bool) -> None:
        """Resume or pause the watches; while paused, another box sends the changes."""
        ...

    async def list_endpoints(self) -> None:
        """Read the list of endpoints now.

        Raises
        ------
        PlatformUnavailableError
            If no answer came.
        """
        ...

    def read_missed(self, snapshot: PlatformSnapshot) -> None:
        """Read again whatever the watches have not delivered up to the revision of ``snapshot``.

        Watches may miss changes for a while.
        """
        ...


class SharedObjects(Protocol):
    """The leadership record and the list of boxes on the platform.

    Every method raises `PlatformUnavailableError` if no answer came; a change may still
    take effect then. A late one never changes the entry of a later process of a box.
    """

    async def read(self) -> PlatformSnapshot:
        """Read the current state of everything."""
        ...

    async def register(self, box: Box) -> None:
        """Add ``box`` to the list, or replace the entry of its former process."""
        ...

    async def retire(self, box: Box, by: str) -> bool:
        """Write a tombstone over the entry ``box``; return False if another is in its place."""
        ...

    async def withdraw(self, box: Box) -> bool:
        """Remove the entry ``box``; return False if another one is in its place."""
        ...

    async def replace_record(self, record: LeadershipRecord) -> LeadershipRecord:
        """Replace the record of ``record.revision``; return the record stored afterwards."""
        ...


class HolderObjects(Protocol):
    """The holders of each group's writes on the platform (`HolderSet`).

    Every method raises `PlatformUnavailableError` if no answer came; a change may still
    take effect then, if its revision is still the stored one.
    """

    def is_current(self, holders: HolderSet) -> bool:
        """Return whether ``holders`` was read since the platform's last restoration."""
        ...

    async def read(self, group: str, *, may_be_old: bool = False) -> HolderSet:
        """Return the stored holders of ``group``; not known if there are none.

        Parameters
        ----------
        may_be_old : bool
            Whether an answer that is seconds old will do; it is cheaper.
        """
        ...

    async def replace(self, group: str, holders: HolderSet) -> HolderSet:
        """Replace those of ``holders.revision``; return the ones stored afterwards."""
        ...


class Promotions(Protocol):
    """Orders promotions."""

    async def promote(self, group: str, endpoint: str, holder: str, fence: int) -> bool:
        """Order the promotion of ``endpoint`` in ``group``; False if it is not running.

        Raises
        ------
        PlatformUnavailableError
            If no answer came; the promotion may still take effect.
        """
        ...
