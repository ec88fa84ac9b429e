"""Random histories of a group with synchronous replicas, checked at each promotion.

In each episode replicas receive nothing for a while, others are replaced by new ones, with or
without an announcement, and the primary crashes and returns; boxes are killed and started again.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import trio

from standins.line_endpoints import LineGroup, LineServer
from wharftiller.core.errors import ExchangeError
from wharftiller.tests.platform.world import STORE_IP, World, make_group, run_in_world

if TYPE_CHECKING:
    import pytest

    from wharftiller.tests.platform.world import BoxProcess

BOXES = 4
WRITERS = 3
WRITES_PER_SESSION = 5
EPISODES = 3

WRITABLE_WITHIN_S = 40.0
"""Time after the last fault within which writes are acknowledged again, in seconds."""

MIN_WRITES_AFTER = 5
"""Writes acknowledged after the last fault that show that the group serves again."""


class SynchronousHistory:
    """One random history, determined by its seed.

    Attributes
    ----------
    acknowledged : set of str
        Keys of the writes that were acknowledged.
    lost : list of str
        Promotions to a server that lacked acknowledged writes.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._ended: set[str] = set()
        self.acknowledged: set[str] = set()
        self.lost: list[str] = []
        self.promotions = 0
        self.serves_again = False

    def run(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Run the history in virtual time."""
        promote = LineGroup.promote

        async def checked_promote(group: LineGroup, name: str, holder: str, fence: int) -> bool:
            accepted = await promote(group, name, holder, fence)
            if accepted:
                self._check_promoted(next(each for each in group.servers if each.name == name))
            return accepted

        monkeypatch.setattr(LineGroup, "promote", checked_promote)
        run_in_world(self._play, boxes=BOXES, groups=[make_group(sync_replicas=1)])

    def _check_promoted(self, server: LineServer) -> None:
        self.promotions += 1
        missing = self.acknowledged - {key for record in server.log for key, _ in record.writes}
        if missing:
            self.lost.append(f"{server.name} lacks {len(missing)} writes")

    async def _play(self, world: World) -> None:
        group = world.groups[0]
        async with trio.open_nursery() as nursery:
            for number in range(WRITERS):
                nursery.start_soon(self._write, world, number)
            async with trio.open_nursery() as faults:
                for _ in range(EPISODES):
                    await self._play_episode(world, faults)
            for server in self._running(group):
                server.replication_suspended = False
                self._catch_up(group, server)
            before = len(self.acknowledged)
            with trio.move_on_after(WRITABLE_WITHIN_S):
                while len(self.acknowledged) < before + MIN_WRITES_AFTER:
                    await trio.sleep(0.1)
                self.serves_again = True
            nursery.cancel_scope.cancel()

    async def _play_episode(self, world: World, faults: trio.Nursery) -> None:
        rng, group = self._rng, world.groups[0]
        replicas = [each for each in self._running(group) if each is not group.primary]
        for server in rng.sample(replicas, max(0, len(replicas) - 1)):
            faults.start_soon(self._suspend_replication, group, server)
        for _ in range(rng.choice([1, 1, 2])):
            await trio.sleep(rng.uniform(0.0, 2.0))
            faults.start_soon(self._replace_server, world)
        await self._restart_boxes_at_times(world, faults)
        await trio.sleep(rng.uniform(0.0, 9.0))
        faults.start_soon(self._crash_primary, world)
        await self._restart_boxes_at_times(world, faults)
        await trio.sleep(rng.uniform(4.0, 14.0))

    def _running(self, group: LineGroup) -> list[LineServer]:
        return [each for each in group.servers if each.name not in self._ended and not each.down]

    async def _write(self, world: World, writer: int) -> None:
        """Write on sessions of changing boxes, and record what is acknowledged."""
        for session in itertools.count():
            await trio.sleep(0.05)
            box = world.boxes.get(f"box-{self._rng.randint(1, BOXES)}")
            if box is None or box.process.proxy is None:
                continue
            with trio.move_on_after(3.0):
                try:
                    await self._write_on(world, box, f"{writer}-{session}")
                except (ExchangeError, trio.BrokenResourceError, trio.ClosedResourceError):
                    # The box was killed; the next session opens on another one.
                    continue

    async def _write_on(self, world: World, box: BoxProcess, prefix: str) -> None:
        caller, line = await world.request_session(box, "primary")
        if line != "READY I -":
            return
        for number in range(WRITES_PER_SESSION):
            key = f"{prefix}-{number}"
            if (await caller.execute(f"WRITE {key} x"))[:1] == ["ROW written"]:
                self.acknowledged.add(key)
            await trio.sleep(0.03)
        caller.close()

    # Faults ---------------------------------------------------------------

    async def _suspend_replication(self, group: LineGroup, server: LineServer) -> None:
        server.replication_suspended = True
        await trio.sleep(self._rng.uniform(2.0, 16.0))
        server.replication_suspended = False
        self._catch_up(group, server)

    def _catch_up(self, group: LineGroup, server: LineServer) -> None:
        """Copy the primary's log: the stand-in replicates only with a commit."""
        primary = group.primary
        if not (server.leads or server.down or primary.down):
            server.log, server.term = list(primary.log), primary.term

    async def _replace_server(self, world: World) -> None:
        """Have a server leave, the new one first, with or without an announcement."""
        rng, group = self._rng, world.groups[0]
        staying = [each for each in self._running(group) if not each.leaving]
        if len(staying) < 3:
            return
        leaving, number = rng.choice(staying), len(group.servers)
        if rng.random() < 0.8:
            address, log = f"10.2.{number}.1:5", list(group.primary.log)
            joined = LineServer(f"seats-{number}", group, address, rng.choice("abc"), log=log)
            joined.term = group.primary.term
            group.servers.append(joined)
            await world.start_server(joined)
        await trio.sleep(rng.uniform(0.2, 1.0))
        leaving.leaving = True
        if rng.random() < 0.7:
            world.register(leaving)
        else:
            world.store.remove("servers", leaving.name)
        await trio.sleep(rng.uniform(7.2, 9.0))
        self._ended.add(leaving.name)
        leaving.down = True
        world.store.remove("servers", leaving.name)
        world.network.kill(_ip(leaving))

    async def _crash_primary(self, world: World) -> None:
        """Cut the primary off as in a crash; it returns with its log, as replica if replaced."""
        group = world.groups[0]
        crashed = group.primary
        if crashed.down:
            return
        crashed.down = True
        self._cut_crashed(world)
        await trio.sleep(self._rng.uniform(1.5, 9.0))
        if crashed.name in self._ended:
            return
        crashed.down = False
        if group.primary is not crashed:
            crashed.leads = False
            if not crashed.replication_suspended:
                self._catch_up(group, crashed)
        self._cut_crashed(world)

    @staticmethod
    def _cut_crashed(world: World) -> None:
        boxes = [f"10.1.0.{number}" for number in range(1, BOXES + 1)]
        world.network.heal()
        for server in world.groups[0].servers:
            if server.down:
                world.network.cut([_ip(server)], [*boxes, STORE_IP])

    async def _restart_boxes_at_times(self, world: World, faults: trio.Nursery) -> None:
        if self._rng.random() < 0.3:
            await trio.sleep(self._rng.uniform(0.0, 3.0))
            faults.start_soon(self._restart_boxes, world)

    async def _restart_boxes(self, world: World) -> None:
        """Kill one box, or all, and start them again."""
        one = [self._rng.randint(1, BOXES)]
        numbers = one if self._rng.random() < 0.7 else list(range(1, BOXES + 1))
        for number in numbers:
            box = world.boxes.get(f"box-{number}")
            if box is not None:
                await world.kill_box(box)
        await trio.sleep(self._rng.uniform(0.2, 2.0))
        for number in numbers:
            await world.start_box(number, "abca"[number - 1])


def _ip(server: LineServer) -> str:
    return server.address.partition(":")[0]
