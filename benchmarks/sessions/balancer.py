"""Model of the platform's load balancer: a box that is not ready gets no sessions."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import ExchangeError

if TYPE_CHECKING:
    import random

    from wharftiller.tests.platform.world import BoxProcess, World

POLL_S = 1.0
"""Time between readiness checks of a box, in seconds."""

MAX_FAILED_CHECKS = 2
"""Failed checks in a row after which a box gets no sessions."""

CONNECT_S = 0.5
"""Timeout of a connection to a box, in seconds."""


class Balancer:
    """Chooses a ready box of the caller's data centre, else a ready box of another."""

    def __init__(self, world: World, data_centres: dict[str, int], rng: random.Random) -> None:
        self._world = world
        self._data_centres = data_centres
        self._random = rng
        self._failed_checks: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Check all boxes periodically, until cancelled."""
        while True:
            for name in self._data_centres:
                box = self._world.boxes.get(name)
                is_ready = box is not None and _is_ready(box)
                self._failed_checks[name] = 0 if is_ready else self._failed_checks[name] + 1
            await trio.sleep(POLL_S)

    async def connect(self, data_centre: int) -> trio.abc.Stream:
        """Return a connection to a box.

        Raises
        ------
        ExchangeError
            If the chosen box cannot be reached.
        """
        ready = [
            name for name in self._data_centres if self._failed_checks[name] < MAX_FAILED_CHECKS
        ] or list(self._data_centres)
        local = [name for name in ready if self._data_centres[name] == data_centre]
        box = self._world.boxes.get(self._random.choice(local or ready))
        if box is None:
            raise ExchangeError("the box is down; connect to another")
        with trio.move_on_after(CONNECT_S):
            return await self._world.network.host("10.8.0.1").connect(f"{box.ip}:1")
        raise ExchangeError(f"{box.name} accepted no connection in time; connect to another")


def _is_ready(box: BoxProcess) -> bool:
    proxy = box.process.proxy
    return proxy is not None and proxy.is_ready
