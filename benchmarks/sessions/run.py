"""Run a plan once: start the deployment, apply the load, inject the faults."""

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

SETTLE_S = 4.0
"""Time until boxes have one another's addresses, configuration and primaries, in seconds."""

DATA_CENTRES = "abcde"


class Deployment:
    """The deployment of a plan, on an in-memory network."""

    def __init__(self, plan: Plan, nursery: trio.Nursery) -> None:
        self._plan = plan
        self._nursery = nursery
        groups = [self._make_group(number) for number in range(plan.groups)]
        self.world = World(nursery, groups)
        self.world.network.latency = self._latency
        self.box_data_centres: dict[str, int] = {}
        self._ip_data_centres: dict[str, int] = {}

    def _make_group(self, number: int) -> LineGroup:
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
                LineServer(name, group, address, DATA_CENTRES[centre], leads=server == 0)
            )
        return group

    def _latency(self, a: str, b: str) -> float:
        if "10.8.0.1" in (a, b):
            return self._plan.caller_s
        return 0.0001 if self._data_centre(a) == self._data_centre(b) else self._plan.distance_s

    def _data_centre(self, ip: str) -> int:
        return self._ip_data_centres.get(ip, 0)

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        for group in self.world.groups:
            for server in group.servers:
                ip = server.address.partition(":")[0]
                self._ip_data_centres[ip] = DATA_CENTRES.index(server.data_centre)
        await self.world.start()
        number = 0
        for centre, boxes in enumerate(self._plan.boxes):
            for _ in range(boxes):
                number += 1
                self._ip_data_centres[f"10.1.0.{number}"] = centre
                await self.world.start_box(number, DATA_CENTRES[centre])
                self.box_data_centres[f"box-{number}"] = centre
        await trio.sleep(SETTLE_S)

    async def inject(self, fault: Fault) -> None:
        """Wait until the fault's start, inject it, and end it after its duration."""
        await trio.sleep(fault.at)
        world = self.world
        match fault.kind:
            case "power_off_all":
                await self._power_off_all(fault.for_s)
            case "cut_data_centre":
                inside = [
                    ip for ip, centre in self._ip_data_centres.items() if centre == fault.which
                ]
                outside = [
                    ip for ip, centre in self._ip_data_centres.items() if centre != fault.which
                ]
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
        """Kill every box and restart it; endpoints keep its connections for ``linger_s``."""
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
        for name, centre in self.box_data_centres.items():
            await self.world.start_box(int(name.partition("-")[2]), DATA_CENTRES[centre])


def run_plan(plan: Plan, seed: int) -> Outcomes:
    """Return the outcomes of one run; ``seed`` seeds the draws of load and balancer."""

    async def main() -> Outcomes:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            deployment = Deployment(plan, nursery)
            await deployment.start()
            balancer = Balancer(deployment.world, deployment.box_data_centres, rng)
            nursery.start_soon(balancer.run)
            for fault in plan.faults:
                nursery.start_soon(deployment.inject, fault)
            names = [group.name for group in deployment.world.groups]
            load = CallerLoad(plan, balancer, names, rng)
            await load.run()
            nursery.cancel_scope.cancel()
        return load.outcomes

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
