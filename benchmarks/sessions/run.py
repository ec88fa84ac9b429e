"""Play a plan once: start the deployment, let callers ask, strike the faults."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio
import trio.testing

from benchmarks.sessions.balancer import Balancer
from benchmarks.sessions.callers import CallerLoad, Outcomes
from standins.line_endpoints import LineGroup, LineServer
from standins.object_store import StoreMode
from wharftiller.tests.platform.world import STORE_IP, World

if TYPE_CHECKING:
    from benchmarks.sessions.plan import Fault, Plan

SETTLED_S = 4.0
"""Time until boxes know one another, the configuration and the primaries, in seconds."""

CENTRES = "abcde"


class Deployment:
    """The deployment of a plan, on a network in memory."""

    def __init__(self, plan: Plan, nursery: trio.Nursery) -> None:
        self._plan = plan
        self._nursery = nursery
        groups = [self._group(number) for number in range(plan.groups)]
        self.world = World(nursery, groups)
        self.world.network.latency = self._latency
        self.homes: dict[str, int] = {}
        self._centre_of: dict[str, int] = {}

    def _group(self, number: int) -> LineGroup:
        plan = self._plan
        group = LineGroup(
            f"group{number}",
            max_connections=plan.connections,
            lag_s=plan.lag_s,
            work_s=plan.work_s,
            promote_s=plan.promote_s,
            sync_replicas=plan.sync_replicas,
            slots=plan.slots,
            handshake_s=plan.handshake_s,
        )
        centres = len(plan.boxes)
        for server in range(3):
            centre = (number + server) % centres
            address = f"10.2.{number}.{server + 1}:5"
            name = f"{group.name}-{server}"
            group.servers.append(
                LineServer(name, group, address, CENTRES[centre], leads=server == 0)
            )
        return group

    def _latency(self, a: str, b: str) -> float:
        if "10.8.0.1" in (a, b):
            return self._plan.caller_s
        return 0.0001 if self._centre(a) == self._centre(b) else self._plan.distance_s

    def _centre(self, ip: str) -> int:
        return self._centre_of.get(ip, 0)

    async def start(self) -> None:
        """Start everything and wait until it has settled."""
        for group in self.world.groups:
            for server in group.servers:
                ip = server.address.partition(":")[0]
                self._centre_of[ip] = CENTRES.index(server.data_centre)
        await self.world.start()
        number = 0
        for centre, boxes in enumerate(self._plan.boxes):
            for _ in range(boxes):
                number += 1
                self._centre_of[f"10.1.0.{number}"] = centre
                await self.world.start_box(number, CENTRES[centre])
                self.homes[f"box-{number}"] = centre
        await trio.sleep(SETTLED_S)

    async def strike(self, fault: Fault) -> None:
        """Play one fault from its time on."""
        await trio.sleep(fault.at)
        world = self.world
        match fault.kind:
            case "power_off_all":
                await self._power_off_all(fault.for_s)
            case "cut_data_centre":
                inside = [ip for ip, centre in self._centre_of.items() if centre == fault.which]
                outside = [ip for ip, centre in self._centre_of.items() if centre != fault.which]
                store = [STORE_IP] if fault.which != 0 else []
                world.network.cut(inside, outside + store)
                await trio.sleep(fault.for_s)
                world.network.heal()
            case "dark_primary":
                world.kill_server(world.groups[fault.which].primary)
            case "lag":
                group = world.groups[fault.which]
                before, group.lag_s = group.lag_s, group.lag_s * fault.x
                await trio.sleep(fault.for_s)
                group.lag_s = before
            case "platform_away":
                world.store.mode = StoreMode.UNAVAILABLE
                await trio.sleep(fault.for_s)
                world.store.mode = StoreMode.NORMAL

    async def _power_off_all(self, down_s: float) -> None:
        """End every box; endpoints keep their connections for as long as the plan says."""
        until = trio.current_time() + self._plan.linger_s
        for group in self.world.groups:
            for server in group.servers:
                server.lingering_until = {box.ip: until for box in self.world.boxes.values()}
        for box in list(self.world.boxes.values()):
            await self.world.kill_box(box)
        await trio.sleep(down_s)
        for group in self.world.groups:
            for server in group.servers:
                server.lingering_until = {}
        for name, centre in self.homes.items():
            await self.world.start_box(int(name.partition("-")[2]), CENTRES[centre])


def play(plan: Plan, seed: int) -> Outcomes:
    """Return how the operations of one run ended; a seed gives the same load each time."""

    async def main() -> Outcomes:
        chance = random.Random(seed)
        async with trio.open_nursery() as nursery:
            deployment = Deployment(plan, nursery)
            await deployment.start()
            balancer = Balancer(deployment.world, deployment.homes, chance)
            nursery.start_soon(balancer.run)
            for fault in plan.faults:
                nursery.start_soon(deployment.strike, fault)
            names = [group.name for group in deployment.world.groups]
            crowd = CallerLoad(plan, balancer, names, chance)
            await crowd.run()
            nursery.cancel_scope.cancel()
        return crowd.outcomes

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
