"""Outages of the platform in a large deployment: lease renewal and number of requests."""

from __future__ import annotations

import collections
from typing import Any

import pytest
import trio

from standins.object_store import StoreMode
from wharftiller.daemons.sessions.forwarding.gateways import SKIPPED_S
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.tests.platform.world import (
    BoxProcess,
    World,
    make_group,
    run_in_world,
    write_until_acknowledged,
)

BOXES = 24
SCARCE = 20
"""Connections to an endpoint: one gateway and one spare per data centre of eight boxes."""

OUTAGE_S = 9.0
"""Length of the outage of the platform, in seconds."""

MAX_REQUESTS_PER_S = 8.0
"""Maximum requests to other boxes per box and second of virtual time."""

MAX_CALLS = 260
"""Maximum calls to the platform during the outage."""


def gateways(world: World, data_centre: str) -> list[BoxProcess]:
    """Return the boxes of a data centre that serve the group ``seats``."""
    states = {box.name: box.process.proxy.state for box in world.boxes.values()}  # type: ignore[union-attr]
    return [
        box
        for box in world.boxes.values()
        if states[box.name].data_centre == data_centre and states[box.name].serves_group("seats")
    ]


class TestOutageOfThePlatform:
    def test_few_peer_requests_and_all_may_write(self, monkeypatch: pytest.MonkeyPatch) -> None:
        post, requests = BoxDirectory.post, collections.Counter[str]()

        async def counting(directory: BoxDirectory, *args: Any) -> Any:
            requests[args[1]] += 1
            return await post(directory, *args)

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            callers = [await world.open_session(box, "primary") for box in world.boxes.values()]
            monkeypatch.setattr(BoxDirectory, "post", counting)
            world.store.mode = StoreMode.UNAVAILABLE
            calls = world.store.calls
            until = trio.current_time() + OUTAGE_S
            while trio.current_time() < until:
                for caller in callers:
                    assert (await caller.execute("WRITE seat1 x"))[0] == "ROW written"
            assert world.store.calls - calls < MAX_CALLS
            assert requests.total() / BOXES / OUTAGE_S < MAX_REQUESTS_PER_S

        run_in_world(scenario, boxes=BOXES, groups=[make_group(max_connections=SCARCE)])

    def test_a_spare_takes_over_from_a_gateway_that_dies(self) -> None:
        async def scenario(world: World) -> None:
            await trio.sleep(5)
            (gateway,) = gateways(world, "a")
            other = next(
                box
                for box in world.boxes.values()
                if box is not gateway and box.process.proxy.state.data_centre == "a"  # type: ignore[union-attr]
            )
            caller = await world.open_session(other, "primary")
            world.store.mode = StoreMode.UNAVAILABLE
            await trio.sleep(OUTAGE_S)
            await world.kill_box(gateway)
            assert await write_until_acknowledged(caller, "WRITE seat1 x", SKIPPED_S) < 1.0

        run_in_world(scenario, boxes=BOXES, groups=[make_group(max_connections=SCARCE)])

    @pytest.mark.parametrize("caller_at", ["the gateway", "another box"])
    def test_a_restarted_gateway_leaves_writes_to_those_with_leases(self, caller_at: str) -> None:
        """It gets no lease before the platform is back; the others renew theirs."""

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            (gateway,) = gateways(world, "a")
            other = next(
                box
                for box in world.boxes.values()
                if box is not gateway and box.process.proxy.state.data_centre == "a"  # type: ignore[union-attr]
            )
            world.store.mode = StoreMode.UNAVAILABLE
            await world.kill_box(gateway)
            gateway = await world.start_box(int(gateway.name.removeprefix("box-")))
            await trio.sleep(SKIPPED_S + 1.0)
            caller = await world.open_session(
                gateway if caller_at == "the gateway" else other, "primary"
            )
            started = trio.current_time()
            for number in range(10):
                assert (await caller.execute(f"WRITE seat{number} x"))[0] == "ROW written"
                for text in ("BEGIN", f"WRITE seat{number} y", "COMMIT"):
                    answer = await caller.execute(text)
                    assert answer[-1].startswith("READY"), answer
                    assert not answer[0].startswith("ERROR"), answer
            assert trio.current_time() - started < 2.0

        run_in_world(scenario, boxes=BOXES, groups=[make_group(max_connections=SCARCE)])
