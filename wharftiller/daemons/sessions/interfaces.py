"""What the session proxy needs of the outside, to be met by an adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    import trio

    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.core.sessions.routes import EndpointEntry
    from wharftiller.core.sessions.statements import EndpointQuery, EndpointStatus, Reply
    from wharftiller.daemons.sessions.membership.box import Box


class EndpointConnection(Protocol):
    """A connection to an endpoint; one exchange at a time."""

    @property
    def usable(self) -> bool:
        """Whether nothing unexpected has come on it; the endpoint may have closed it."""
        ...

    async def ask(self, queries: Sequence[EndpointQuery]) -> list[Reply]:
        """Send statements in one write; return their replies in order.

        Raises
        ------
        ExchangeError
            If the connection broke or an answer was not understood.
        """
        ...

    async def status(self) -> EndpointStatus | None:
        """Return the endpoint's state, or None if it is too busy to tell."""
        ...

    def close(self) -> None:
        """Close at once; the endpoint rolls back what is open."""
        ...


class EndpointDialer(Protocol):
    """Opens connections to endpoints."""

    async def open(
        self, entry: EndpointEntry, via: str | None = None, workspace: str = ""
    ) -> EndpointConnection:
        """Open a connection, through the box at ``via`` if given.

        Parameters
        ----------
        workspace : str
            Whose statements it is for; empty for anybody's and for this box's own.

        Raises
        ------
        EndpointRefusedError
            If the endpoint answers but does not take the connection.
        ExchangeError
            If it cannot be reached.
        """
        ...


@attrs.frozen
class PlatformSnapshot:
    """What boxes share through the platform, read at once.

    Attributes
    ----------
    record : LeadershipRecord
        Revision 0 if there is none yet.
    boxes : dict of str to Box
        Every registered box, this one included.
    revision : int
        The platform's revision as of the read; any change of anything raises it.
    marks : dict of str to int
        Revision of the entry of every box that is marked as dead; empty where a reader told.
    revisions : dict of str to int
        Revision of every entry by its name; empty where a reader told.
    """

    record: LeadershipRecord
    boxes: dict[str, Box]
    revision: int = 0
    marks: dict[str, int] = attrs.field(factory=dict)
    revisions: dict[str, int] = attrs.field(factory=dict)


class Watches(Protocol):
    """Brings the configuration and the endpoints from the platform."""

    def start(self, nursery: trio.Nursery) -> None:
        """Start to follow them."""
        ...

    def follow(self, wanted: bool) -> None:
        """Follow them from now on, or not: another box then tells of them."""
        ...

    def noticed(self, listing: PlatformSnapshot) -> None:
        """Read anew what was not heard of up to the platform's revision of ``listing``.

        Watches of the platform may miss changes for a while.
        """
        ...


class SharedObjects(Protocol):
    """Where boxes keep the record of leadership and the list of boxes.

    Every method raises `PlatformUnavailableError` if no answer came; a change
    may still take effect then.
    """

    async def read(self) -> PlatformSnapshot:
        """Read everything as it stands now."""
        ...

    async def register(self, box: Box) -> None:
        """Put ``box`` into the list, or its new process in its place."""
        ...

    async def retire(self, box: Box, by: str) -> None:
        """Mark ``box`` as dead."""
        ...

    async def withdraw(self, box: Box) -> None:
        """Take ``box`` out of the list."""
        ...

    async def replace_record(self, record: LeadershipRecord) -> LeadershipRecord:
        """Replace the record of ``record.revision``; return what stands there afterwards."""
        ...


class Promotions(Protocol):
    """Orders promotions."""

    async def promote(self, group: str, endpoint: str, holder: str, fence: int) -> bool:
        """Have ``endpoint`` take over ``group``; False if it is not running.

        Raises
        ------
        PlatformUnavailableError
            If no answer came; the promotion may still take effect.
        """
        ...
