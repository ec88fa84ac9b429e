"""Callers that come back when told to, after a pause of the primary."""

from __future__ import annotations

from collections import Counter

import trio

from wharftiller.tests.fakes.ledger import assert_ledger
from wharftiller.tests.fakes.world import World, run_world

CALLERS = 120
MOST_ASKS = 12


class TestRetries:
    def test_pause_is_not_followed_by_a_storm(self) -> None:
        asks: Counter[str] = Counter()
        booked: list[str] = []

        async def caller(world: World, number: int) -> None:
            box = f"box-{number % 3 + 1}"
            business = world.size.businesses[number % 4]
            serial = 0
            for _ in range(MOST_ASKS):
                asks[str(number)] += 1
                told = await world.ask(
                    box,
                    business,
                    kind="write",
                    request_id=f"caller-{number}-{serial}",
                    statement={"append": "tour", "value": f"{number}-{serial}"},
                    deadline_ms=400,
                )
                if told.outcome == "done":
                    booked.append(str(number))
                    return
                serial += told.body.get("reason") == "barred"
                await trio.sleep((told.body.get("retry_after_ms") or 1) / 1000)

        async def scenario(world: World) -> None:
            primary = world.ips[world.primary()]
            world.network.freeze(primary)
            async with trio.open_nursery() as nursery:
                for number in range(CALLERS):
                    nursery.start_soon(caller, world, number)
                await trio.sleep(2.0)
                world.network.thaw(primary)
            await trio.sleep(1)
            assert_ledger(world)

        run_world(scenario)
        assert len(booked) == CALLERS
        assert sum(asks.values()) / CALLERS < 4
