"""Time limits must follow the platform's bounds, tested with halved and doubled ones."""

from __future__ import annotations

import pytest
import trio

from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.core.sessions.endpoints import LEAVING_MARGIN_S
from wharftiller.tests.platform.world import STORE_IP, World, run_in_world

DEFAULT = PlatformBounds()
HALVED = PlatformBounds(
    DEFAULT.grace_s / 2, DEFAULT.leaving_serves_s / 2, DEFAULT.configuration_in_force_s / 2
)
DOUBLED = PlatformBounds(
    DEFAULT.grace_s * 2, DEFAULT.leaving_serves_s * 2, DEFAULT.configuration_in_force_s * 2
)

all_bounds = pytest.mark.parametrize(
    "bounds", [HALVED, DEFAULT, DOUBLED], ids=["halved", "usual", "doubled"]
)


@all_bounds
class TestBounds:
    def test_a_leaving_primary_gets_no_statements_after_its_bound(
        self, bounds: PlatformBounds
    ) -> None:
        """Also while no failover is possible because the platform is unavailable."""

        async def scenario(world: World) -> None:
            old = world.groups[0].primary
            old.leaving = True
            world.register(old)
            await trio.sleep(0.1)
            ips = [box.ip for box in world.boxes.values()]
            world.network.cut([STORE_IP], ips)
            caller = await world.open_session(world.boxes["box-1"], "primary")
            left_at = trio.current_time()
            while trio.current_time() - left_at < bounds.leaving_serves_s + 1.0:
                before = len(old.started)
                await caller.execute("READ seat1")
                served = len(old.started) > before
                left_s = bounds.leaving_serves_s - (trio.current_time() - left_at)
                assert not served or left_s > LEAVING_MARGIN_S / 2
                await trio.sleep(0.1)

        run_in_world(scenario, bounds=bounds)

    def test_a_change_missed_by_watches_is_in_force_in_time(self, bounds: PlatformBounds) -> None:
        async def scenario(world: World) -> None:
            world.store.watches_suspended = True
            document = world.store.spec("config", "main")
            world.store.set("config", "main", {**document, "Version": 7})
            await trio.sleep(bounds.configuration_in_force_s - 0.1)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert box.process.proxy.state.version == 7

        run_in_world(scenario, bounds=bounds)

    def test_a_stop_ends_within_the_grace_period(self, bounds: PlatformBounds) -> None:
        """Also with an open transaction."""

        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            await caller.execute("BEGIN")
            await caller.execute("READ seat1")
            box.stop_requested.set()
            with trio.fail_after(bounds.grace_s):
                await box.ended.wait()

        run_in_world(scenario, bounds=bounds)
