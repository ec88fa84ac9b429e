"""Work that boxes of a large deployment do without callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from wharftiller.core.sessions.gateways import GatewayPlan, plan_gateways
from wharftiller.daemons.sessions.leadership.failover_monitor import FailoverMonitor
from wharftiller.tests.platform.world import World, make_group, run_in_world

BOXES = 24
GROUPS = 8
SCARCE = 20
"""Connections to an endpoint: fewer than two per box, so that few gateways serve each group."""

MEASURED_S = 5.0
"""Length of the measured period, and of the warm-up before it, in seconds."""

MAX_STEPS_PER_S = 75
"""Maximum steps of all tasks per box and second of virtual time, stand-ins included."""


class Steps(trio.abc.Instrument):
    """Counts how often a task runs."""

    def __init__(self) -> None:
        self.count = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.count += 1


def run_large(scenario: Callable[[World], Awaitable[None]]) -> None:
    groups = [make_group(f"g{n}", network=20 + n, max_connections=SCARCE) for n in range(GROUPS)]
    run_in_world(scenario, boxes=BOXES, groups=groups)


class TestIdleBoxes:
    def test_tasks_seldom_run(self) -> None:
        async def scenario(world: World) -> None:
            await trio.sleep(MEASURED_S)
            steps = Steps()
            trio.lowlevel.add_instrument(steps)
            await trio.sleep(MEASURED_S)
            trio.lowlevel.remove_instrument(steps)
            assert steps.count / BOXES / MEASURED_S < MAX_STEPS_PER_S

        run_large(scenario)

    def test_gateways_are_planned_once_per_list(self, monkeypatch: pytest.MonkeyPatch) -> None:
        calls = []

        def counting(max_connections: int, boxes: int, data_centres: int) -> GatewayPlan:
            calls.append(boxes)
            return plan_gateways(max_connections, boxes, data_centres)

        async def scenario(world: World) -> None:
            await trio.sleep(MEASURED_S)
            monkeypatch.setattr(
                "wharftiller.daemons.sessions.forwarding.gateways.plan_gateways", counting
            )
            await trio.sleep(MEASURED_S)
            assert not calls

        run_large(scenario)

    def test_ranks_are_computed_only_for_failovers(self, monkeypatch: pytest.MonkeyPatch) -> None:
        ranks = []

        def counting(monitor: FailoverMonitor, what: str) -> int:
            ranks.append(what)
            return 0

        async def scenario(world: World) -> None:
            await trio.sleep(MEASURED_S)
            monkeypatch.setattr(FailoverMonitor, "_rank", counting)
            await trio.sleep(MEASURED_S)
            assert not ranks

        run_large(scenario)
