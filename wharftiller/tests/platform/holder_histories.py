"""Random histories in which knowledge of the holders is under attack too.

Beside them the platform is away for a while or is restored from a copy, calls that change the
holders are done late or lose their answers, replicas crash without a word for long, serve on
without an entry, or start again under another name, and all boxes restart, also twice.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from standins.object_store import StoreMode
from wharftiller.tests.platform.synchronous_histories import BOXES, SynchronousHistory
from wharftiller.tests.platform.world import STORE_IP

if TYPE_CHECKING:
    from standins.line_endpoints import LineGroup, LineServer
    from wharftiller.edges.http_server import HttpRequest
    from wharftiller.tests.platform.world import World

LATE_CALLS = 0.3
"""Share of the changes of holders that are done late, without an answer."""


class HolderHistory(SynchronousHistory):
    """One random history, determined by its seed.

    Parameters
    ----------
    restores : bool
        Whether the platform is restored from copies.
    """

    def __init__(self, seed: int, *, restores: bool = False) -> None:
        super().__init__(seed)
        self._own = random.Random(seed + 1_000_000)
        self._restores = restores

    async def _play_episode(self, world: World, faults: trio.Nursery) -> None:
        own = self._own
        world.store.done_late_s = self._late_s
        faults.start_soon(self._trouble_replica, world)
        if own.random() < 0.5:
            faults.start_soon(self._suspend_store, world)
        if self._restores and own.random() < 0.5:
            faults.start_soon(self._restore_store, world)
        if own.random() < 0.5:
            faults.start_soon(self._restart_all, world)
        await super()._play_episode(world, faults)

    def _late_s(self, request: HttpRequest) -> float | None:
        is_change = request.method in ("PUT", "POST") and b"holders." in request.body
        if not is_change or self._own.random() >= LATE_CALLS:
            return None
        return self._own.uniform(0.5, 6.0)

    async def _suspend_store(self, world: World) -> None:
        await trio.sleep(self._own.uniform(0.0, 12.0))
        world.store.mode = self._own.choice([StoreMode.UNAVAILABLE, StoreMode.BUSY])
        await trio.sleep(self._own.uniform(1.0, 8.0))
        world.store.mode = StoreMode.NORMAL

    async def _restore_store(self, world: World) -> None:
        await trio.sleep(self._own.uniform(0.0, 12.0))
        backup = world.store.copy()
        await trio.sleep(self._own.uniform(0.5, 4.0))
        world.store.restore(backup)

    async def _restart_all(self, world: World) -> None:
        await trio.sleep(self._own.uniform(0.0, 18.0))
        for _ in range(self._own.choice([1, 1, 2])):
            for number in range(1, BOXES + 1):
                box = world.boxes.get(f"box-{number}")
                if box is not None:
                    await world.kill_box(box)
            await trio.sleep(self._own.uniform(0.2, 5.0))
            for number in range(1, BOXES + 1):
                if f"box-{number}" not in world.boxes:
                    await world.start_box(number, "abca"[number - 1])
            await trio.sleep(self._own.uniform(0.2, 2.0))

    async def _trouble_replica(self, world: World) -> None:
        """Crash a replica, let it serve without an entry, or start it again under another name."""
        own, group = self._own, world.groups[0]
        await trio.sleep(own.uniform(0.0, 10.0))
        replicas = [each for each in self._running(group) if not each.leads and not each.leaving]
        if not replicas:
            return
        server = own.choice(replicas)
        trouble = own.choice([self._crash_replica, self._hide_entry, self._rename])
        await trouble(world, server)

    async def _crash_replica(self, world: World, server: LineServer) -> None:
        server.down = True
        self._cut_crashed(world)
        await trio.sleep(3.6)
        if server.down:
            world.store.remove("servers", server.name)
        await trio.sleep(self._own.choice([0.5, 3.0, 12.0]))
        if server.name in self._ended:
            return
        server.down = False
        self._return(world.groups[0], server)
        self._cut_crashed(world)
        world.register(server)

    async def _hide_entry(self, world: World, server: LineServer) -> None:
        world.store.remove("servers", server.name)
        await trio.sleep(self._own.uniform(7.5, 16.0))
        if server.name not in self._ended and not server.down:
            world.register(server)

    async def _rename(self, world: World, server: LineServer) -> None:
        """Restart a replica at its address, with its log, under another name."""
        server.down = True
        self._cut_crashed(world)
        await trio.sleep(self._own.uniform(0.3, 2.0))
        if server.name in self._ended or server.leaving:
            return
        world.store.remove("servers", server.name)
        server.name = f"{server.name}x"
        server.down = False
        self._return(world.groups[0], server)
        self._cut_crashed(world)
        world.register(server)

    def _cut_crashed(self, world: World) -> None:  # type: ignore[override]
        """Cut off crashed servers; the port of one that ended as planned refuses connections."""
        boxes = [f"10.1.0.{number}" for number in range(1, BOXES + 1)]
        world.network.heal()
        for server in world.groups[0].servers:
            if server.down and server.name not in self._ended:
                world.network.cut([server.address.partition(":")[0]], [*boxes, STORE_IP])

    def _return(self, group: LineGroup, server: LineServer) -> None:
        """Let a replica that is back follow the primary."""
        if not server.replication_suspended:
            self._catch_up(group, server)
