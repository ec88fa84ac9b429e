"""A steward frozen past its lease at any step of a failover does no harm when it resumes."""

from __future__ import annotations

import pytest
import trio

from wharftiller.core.watch_tables import (
    CatchingUp,
    Fencing,
    Promoting,
    Quiescing,
    Reading,
    Recording,
    TakingTerm,
)
from wharftiller.tests.fakes.ledger import assert_ledger
from wharftiller.tests.fakes.world import Box, World, run_world

POLL_S = 0.0002
FROZEN_S = 4.0
BOOKINGS = 160
BOOKINGS_PER_S = 25


async def freeze_at(world: World, step: type) -> Box:
    """Freeze the first box whose steward reaches ``step``."""
    while True:
        for box in world.boxes.values():
            group = box.steward.core.tables.groups.get("group-1")
            if group is not None and isinstance(group.step, step):
                world.network.freeze(box.ip)
                return box
        await trio.sleep(POLL_S)


async def book_steadily(world: World) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(BOOKINGS):
            nursery.start_soon(_book, world, number)
            await trio.sleep(1 / BOOKINGS_PER_S)


async def _book(world: World, number: int) -> None:
    statement = {"append": "t", "value": number}
    await world.ask(f"box-{number % 3 + 1}", kind="write", statement=statement)


@pytest.mark.parametrize("step", [Reading, TakingTerm, Fencing, Promoting, Recording])
def test_steward_frozen_while_the_primary_is_lost(step: type) -> None:
    async def scenario(world: World) -> None:
        world.nursery.start_soon(book_steadily, world)
        await trio.sleep(0.5)
        primary = world.primary()
        world.endpoints[primary].freeze()
        world.network.kill(world.ips[primary])
        await _freeze_and_check(world, step)
        assert world.primary() != primary

    run_world(scenario)


@pytest.mark.parametrize("step", [Quiescing, CatchingUp, Fencing, Promoting])
def test_steward_frozen_in_a_planned_change(step: type) -> None:
    async def scenario(world: World) -> None:
        for endpoint in world.endpoints.values():
            endpoint.options.lag_ms = 20
        world.nursery.start_soon(book_steadily, world)
        await trio.sleep(0.5)
        target = next(name for name in world.endpoints if name != world.primary())
        world.nursery.start_soon(_change_primary, world, target)
        await _freeze_and_check(world, step)

    run_world(scenario)


async def _change_primary(world: World, target: str) -> None:
    await world.plan_and_confirm(
        {"kind": "change_primary", "group": "group-1", "endpoint": target}, box="box-2"
    )


async def _freeze_and_check(world: World, step: type) -> None:
    with trio.fail_after(10):
        box = await freeze_at(world, step)
    await trio.sleep(FROZEN_S)
    world.network.thaw(box.ip)
    await trio.sleep(4)
    last = await world.ask("box-1", kind="write", statement={"append": "t", "value": "last"})
    assert last.outcome == "done", last.body
    assert_ledger(world)
