"""Learn configuration and endpoints from other boxes, and tell them what this one knows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.daemons.sessions.membership.boxes import Box

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wharftiller.core.sessions.routes import SessionConfiguration
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

LEARN_AGAIN_S = 0.5
"""Time between questions to neighbours while nothing is configured, in seconds."""


class Neighbours:
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
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._seeds = seeds
        self._decode_configuration = decode_configuration
        self._nursery = nursery

    def known(self) -> dict[str, Any]:
        """Return what a starting box may learn from this one, as JSON."""
        rows = self._state.endpoints.rows.values()
        return {
            "configuration": self._state.configuration.document,
            "endpoints_revision": self._state.endpoints.revision,
            "endpoints": [attrs.asdict(row.entry) for row in rows if not row.gone],
            "boxes": self._directory.told_boxes(),
        }

    async def learn_at_start(self) -> None:
        """Ask the seeds while this box knows no configuration, as when the platform is away."""
        await trio.sleep(LEARN_AGAIN_S)
        while self._state.version == 0 or not self._state.endpoints.rows:
            for address in self._seeds:
                await self.learn_from(address)
            await trio.sleep(LEARN_AGAIN_S)

    async def learn_from(self, address: str) -> None:
        """Take in what the box at ``address`` knows of configuration and endpoints."""
        known = await self._directory.fetch_known(address)
        if known is None or known.get("configuration") is None:
            return
        try:
            configuration = self._decode_configuration(known["configuration"])
            entries = [EndpointEntry(**each) for each in known["endpoints"]]
            revision = int(known["endpoints_revision"])
            boxes = [Box(**each) for each in known["boxes"]]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._state.log.event("neighbour_not_understood", other=address, why=repr(error))
            return
        self._state.take_configuration(configuration, f"box {address}")
        self._state.endpoints.take(entries, revision, told=True)
        if not self._directory.boxes:
            self._directory.take_list({b.name: b for b in boxes if b.name != self._state.box})

    def learn_newer(self) -> None:
        """Fetch configuration and endpoints from a box that knows newer ones."""
        state = self._state
        for name, reply in self._directory.replies.items():
            newer = reply.version > state.version
            if newer or reply.endpoints_revision > state.endpoints.revision:
                box = self._directory.boxes.get(name)
                if box is not None:
                    self._nursery.start_soon(self.learn_from, box.address)
                    return
