"""Learn configuration and endpoints from other boxes, and tell them what this one knows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import BadRequestError, ConfigurationError
from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.core.sessions.state_versions import StateVersions
from wharftiller.daemons.sessions.membership.box import Box

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.core.sessions.routes import SessionConfiguration
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

SEEDS_TIMEOUT_S = 0.15
"""Time that a starting box waits for the seeds before it reads the platform's lists, in seconds.

Between data centres of a region a seed answers within some 10 ms; after a loss of power, when
none does, all boxes wait for this.
"""

SYNC_RETRY_S = 0.5
"""Time between questions to neighbours while nothing is configured, in seconds."""

CURRENT_FRACTION = 0.6
"""What is left beside a box's own list of a configuration (0.4), as such a part."""

CURRENT_MARGIN_S = 1.0
"""Time by which what a neighbour tells must be younger than that to count as current, in seconds.

A reader that turns out to be silent has 0.7 s to answer and is looked at every 0.25 s; then the
box that starts lists for itself, and still has the configuration in force in time.
"""

FETCH_FRACTION = 0.3
"""Time for a fetch, as a part of that within which a configuration is in force.

With a reader's pause (0.27) and the second until its box asks it, a third of 3 s, something
is left to read the platform itself where the fetch fails.
"""


class PeerSync:
    """What other boxes know that this one does not.

    Parameters
    ----------
    seeds : sequence of str
        Addresses of other boxes that may be asked at a start.
    decode_configuration : callable
        Turns a configuration's document into the configuration.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        seeds: Sequence[str],
        decode_configuration: Callable[[Any], SessionConfiguration],
        bounds: PlatformBounds,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._seeds = seeds
        self._decode_configuration = decode_configuration
        self._fetch_timeout_s = FETCH_FRACTION * bounds.configuration_in_force_s
        self._current_age_s = CURRENT_FRACTION * bounds.configuration_in_force_s - CURRENT_MARGIN_S
        self._read_at = -math.inf
        self._nursery = nursery
        self._is_fetching = False
        self._fetch_failed = False
        self.seeds_tried = trio.Event()

    @property
    def fetch_failed(self) -> bool:
        """Whether the last fetch failed: what it was for is better read from the platform."""
        return self._fetch_failed

    @property
    def has_state(self) -> bool:
        """Whether this box knows a configuration and endpoints."""
        return self._state.version > 0 and bool(self._state.endpoints.rows)

    @property
    def is_current(self) -> bool:
        """Whether a neighbour told this box what was read from the platform lately."""
        return trio.current_time() - self._read_at < self._current_age_s

    def known(self, request: Any) -> dict[str, Any]:
        """Return what another box may learn from this one, as JSON.

        Parameters
        ----------
        asked : object
            What it knows, as JSON; nothing that it knows is told again.

        Raises
        ------
        BadRequestError
            If it tells something else.
        """
        try:
            requester = StateVersions.from_json(request["knows"])
        except (KeyError, TypeError, ValueError) as error:
            raise BadRequestError(f"no knowledge was told: {error!r}; run one version") from None
        own = self._state.knowledge
        rows = self._state.endpoints.rows.values()
        return {
            "configuration": (
                self._state.configuration.document if requester.lacks_configuration(own) else None
            ),
            "endpoints_revision": own.endpoints_revision,
            "endpoints": (
                [attrs.asdict(row.entry) for row in rows if not row.gone]
                if requester.lacks_endpoints(own)
                else None
            ),
            "boxes": self._directory.boxes_to_json(),
            "read_age_ms": self._directory.read_age_ms(),
        }

    async def sync_at_start(self) -> None:
        """Ask the seeds at once, and for as long as this box knows no configuration.

        Only those that answer at once spare it the platform's lists: of a data centre that
        starts again nobody knows anything.
        """
        with trio.move_on_after(SEEDS_TIMEOUT_S):
            await self._sync_from_seeds()
        self.seeds_tried.set()
        while not self.has_state:
            await trio.sleep(SYNC_RETRY_S)
            await self._sync_from_seeds()

    async def _sync_from_seeds(self) -> None:
        for address in self._seeds:
            if not self.has_state:
                await self.sync_from(address)

    def sync_newer(self) -> None:
        """Fetch configuration and endpoints from a box that knows newer ones."""
        for name, reply in self._directory.replies.items():
            box = self._directory.boxes.get(name)
            if box is not None and self._state.knowledge.lacks(reply.knowledge):
                self._nursery.start_soon(self.sync_from, box.address)
                return
        self.mark_up_to_date()

    def mark_up_to_date(self) -> None:
        """Note that no other box knows more."""
        self._fetch_failed = False

    async def sync_from(self, address: str) -> None:
        """Take in what the box at ``address`` knows and this one does not.

        One fetch at a time: a slow one is not made slower by the next.
        """
        if self._is_fetching:
            return
        self._is_fetching = True
        asked_at = trio.current_time()
        try:
            known = await self._directory.fetch_state(
                address, self._state.knowledge, self._fetch_timeout_s
            )
        finally:
            self._is_fetching = False
        self._fetch_failed = known is None
        if known is not None:
            self._apply(address, known, asked_at)

    def _apply(self, address: str, known: dict[str, Any], asked_at: float) -> None:
        configuration = entries = None
        try:
            if known["configuration"] is not None:
                configuration = self._decode_configuration(known["configuration"])
            if known["endpoints"] is not None:
                entries = [EndpointEntry(**each) for each in known["endpoints"]]
            revision = int(known["endpoints_revision"])
            boxes = [Box(**each) for each in known["boxes"]]
            read_at = asked_at - int(known["read_age_ms"]) / 1000
        except (ConfigurationError, KeyError, TypeError, ValueError, AttributeError) as error:
            self._state.log.event("neighbour_not_understood", other=address, why=repr(error))
            return
        self._read_at = max(self._read_at, read_at)
        if configuration is not None:
            self._state.take_configuration(configuration, f"box {address}")
        if entries is not None:
            self._state.endpoints.take(entries, revision)
        if not self._directory.boxes:
            self._directory.replace_list({b.name: b for b in boxes if b.name != self._state.box})
