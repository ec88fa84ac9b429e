"""The platform's balancer as callers notice it: a box that is not ready gets no sessions."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import ExchangeError

if TYPE_CHECKING:
    import random

    from wharftiller.tests.platform.world import BoxProcess, World

POLL_S = 1.0
"""Time between looks at a box, in seconds."""

MISSES = 2
"""Looks in a row that a box may not miss."""

CONNECT_S = 0.5
"""Time to reach a box, in seconds."""


class Balancer:
    """Chooses a box of the caller's data centre that was ready lately, else of another."""

    def __init__(self, world: World, homes: dict[str, int], seed: random.Random) -> None:
        self._world = world
        self._homes = homes
        self._random = seed
        self._missed: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Look at all boxes for ever."""
        while True:
            for name in self._homes:
                box = self._world.boxes.get(name)
                ready = box is not None and _is_ready(box)
                self._missed[name] = 0 if ready else self._missed[name] + 1
            await trio.sleep(POLL_S)

    async def connect(self, data_centre: int) -> trio.abc.Stream:
        """Return a connection to a box.

        Raises
        ------
        ExchangeError
            If the one chosen cannot be reached.
        """
        names = [name for name in self._homes if self._missed[name] < MISSES] or list(self._homes)
        near = [name for name in names if self._homes[name] == data_centre]
        box = self._world.boxes.get(self._random.choice(near or names))
        if box is None:
            raise ExchangeError("the box is down; ask another")
        with trio.move_on_after(CONNECT_S):
            return await self._world.network.host("10.8.0.1").connect(f"{box.ip}:1")
        raise ExchangeError(f"{box.name} takes no connection; ask another")


def _is_ready(box: BoxProcess) -> bool:
    proxy = box.process.proxy
    return proxy is not None and proxy.is_ready
