"""Callers that retry after the given time do not overload a primary after a pause."""

from __future__ import annotations

from collections import Counter

import trio

from wharftiller.tests.fakes.ledger import assert_ledger
from wharftiller.tests.fakes.world import World, run_world

CALLERS = 120
MAX_ATTEMPTS = 12


class TestRetries:
    def test_pause_is_not_followed_by_a_retry_storm(self) -> None:
        attempts: Counter[str] = Counter()
        booked: list[str] = []

        async def caller(world: World, number: int) -> None:
            box = f"box-{number % 3 + 1}"
            business = world.size.businesses[number % 4]
            serial = 0
            for _ in range(MAX_ATTEMPTS):
                attempts[str(number)] += 1
                exchange = await world.ask(
                    box,
                    business,
                    kind="write",
                    request_id=f"caller-{number}-{serial}",
                    statement={"append": "tour", "value": f"{number}-{serial}"},
                    deadline_ms=400,
                )
                if exchange.outcome == "done":
                    booked.append(str(number))
                    return
                serial += exchange.body.get("reason") == "barred"
                await trio.sleep((exchange.body.get("retry_after_ms") or 1) / 1000)

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
        assert sum(attempts.values()) / CALLERS < 4
