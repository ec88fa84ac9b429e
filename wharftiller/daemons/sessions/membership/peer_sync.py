"""Fetch configuration and endpoints from other boxes, and serve this box's state to them."""

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
"""Time that a starting box waits for the seeds before it lists the platform, in seconds.

Seeds in the same region answer within some 10 ms; if none runs, every box waits this long.
"""

SYNC_RETRY_S = 0.5
"""Time between requests to seeds while nothing is configured, in seconds."""

CURRENT_FRACTION = 0.6
"""Maximum age of a peer's read, as a fraction of the time in which a configuration is in force.

The rest (0.4) is for this box's own read of the platform.
"""

CURRENT_MARGIN_S = 1.0
"""Margin subtracted from that age, in seconds.

Covers the timeout of an unresponsive reader (0.7 s) and the poll that detects it (0.25 s),
after which a starting box lists the platform itself.
"""

FETCH_FRACTION = 0.3
"""Timeout of a fetch, as a fraction of the time in which a configuration is in force.

Together with the interval between a reader's reads (0.27) and between requests to it (1 s),
it leaves time to read the platform if the fetch fails.
"""


class PeerSync:
    """Exchanges configuration and endpoints with other boxes.

    Attributes
    ----------
    seeds_tried : trio.Event
        Set once the seeds have been asked at the start.

    Parameters
    ----------
    seeds : sequence of str
        Addresses of other boxes that may be asked at the start.
    decode_configuration : callable
        Decodes a configuration from its document.
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
        """Whether the last fetch failed, so that the platform should be read instead."""
        return self._fetch_failed

    @property
    def has_state(self) -> bool:
        """Whether this box has a configuration and endpoints."""
        return self._state.version > 0 and bool(self._state.endpoints.rows)

    @property
    def is_current(self) -> bool:
        """Whether a peer sent state from a recent read of the platform."""
        return trio.current_time() - self._read_at < self._current_age_s

    def state_for(self, request: Any) -> dict[str, Any]:
        """Return the part of this box's state that another box lacks, as JSON.

        Parameters
        ----------
        request : object
            The other box's state versions, as JSON.

        Raises
        ------
        BadRequestError
            If the request has no valid state versions.
        """
        try:
            requester = StateVersions.from_json(request["knows"])
        except (KeyError, TypeError, ValueError) as error:
            raise BadRequestError(f"no knowledge was told: {error!r}; run one version") from None
        own = self._state.state_versions
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
        """Fetch state from the seeds, and retry until this box has a configuration.

        Seeds that do not answer within `SEEDS_TIMEOUT_S` do not delay the start: after a
        restart of all boxes none of them has any state.
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
        """Fetch configuration and endpoints from a box that has newer ones."""
        for name, reply in self._directory.replies.items():
            box = self._directory.boxes.get(name)
            if box is not None and self._state.state_versions.lacks(reply.state_versions):
                self._nursery.start_soon(self.sync_from, box.address)
                return
        self.mark_up_to_date()

    def mark_up_to_date(self) -> None:
        """Record that no known box has newer state."""
        self._fetch_failed = False

    async def sync_from(self, address: str) -> None:
        """Fetch and apply the state that the box at ``address`` has and this one lacks.

        Runs one fetch at a time, so that a slow one is not slowed down further.
        """
        if self._is_fetching:
            return
        self._is_fetching = True
        asked_at = trio.current_time()
        try:
            known = await self._directory.fetch_state(
                address, self._state.state_versions, self._fetch_timeout_s
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
