"""Only a box that is cut off from most primaries becomes unready and sheds sessions."""

from __future__ import annotations

import trio

from standins.object_store import StoreMode
from wharftiller.core.sessions.isolation import BALANCER_REACTION_S, MAX_ISOLATED_S
from wharftiller.tests.platform.world import STORE_IP, World, make_group, run_in_world

DETECTION_S = 2.2
"""Time within which a box without callers detects a cut, in seconds.

An idle primary is probed after 0.8 s with a timeout of 0.6 s, boxes elsewhere with one
of 0.35 s; polls add 0.2 to 0.5 s.
"""


def ready_boxes(world: World) -> list[str]:
    """Return the boxes that report to the balancer that they are ready."""
    return sorted(name for name, box in world.boxes.items() if box.process.proxy.is_ready)  # type: ignore[union-attr]


def cut_off_data_centre(world: World, number: int) -> None:
    """Cut one data centre's box and servers off from the others and from the store."""
    inside = [f"10.1.0.{number + 1}"]
    inside += [group.servers[number].address.partition(":")[0] for group in world.groups]
    outside = [box.ip for box in world.boxes.values() if box.ip not in inside]
    for group in world.groups:
        ips = [server.address.partition(":")[0] for server in group.servers]
        outside += [ip for ip in ips if ip not in inside]
    world.network.cut(inside, [*outside, STORE_IP])


class TestIsolation:
    def test_a_cut_off_data_centre_sends_its_callers_elsewhere_until_it_heals(self) -> None:
        async def scenario(world: World) -> None:
            cut_off_data_centre(world, 2)
            await trio.sleep(DETECTION_S)
            assert ready_boxes(world) == ["box-1", "box-2"]
            world.network.heal()
            await trio.sleep(DETECTION_S)
            assert ready_boxes(world) == ["box-1", "box-2", "box-3"]
            assert world.boxes["box-3"].events("isolated")
            assert world.boxes["box-3"].events("isolation_ended")

        run_in_world(scenario)

    def test_a_data_centre_that_reaches_nobody_stays_isolated_as_long_as_the_cut(self) -> None:
        """Also if one of the unreachable data centres has no primary."""

        async def scenario(world: World) -> None:
            cut_off_data_centre(world, 2)
            for _ in range(10):
                await trio.sleep(DETECTION_S)
                assert "box-3" not in ready_boxes(world)

        run_in_world(scenario)

    def test_the_side_of_a_cut_that_has_the_primaries_serves_all(self) -> None:
        """Also if it is the smaller side."""

        async def scenario(world: World) -> None:
            cut_off_data_centre(world, 0)
            await trio.sleep(DETECTION_S)
            assert ready_boxes(world) == ["box-1"]
            world.network.heal()
            await trio.sleep(DETECTION_S)
            assert ready_boxes(world) == ["box-1", "box-2", "box-3"]

        run_in_world(scenario)

    def test_isolation_ends_after_a_while_if_the_other_side_stays_silent(self) -> None:
        """It may be dead: the others are ready again once its primaries are being replaced."""

        async def scenario(world: World) -> None:
            cut_off_data_centre(world, 0)
            await trio.sleep(DETECTION_S + MAX_ISOLATED_S + 0.5)
            assert ready_boxes(world) == ["box-1", "box-2", "box-3"]
            await trio.sleep(6)
            assert "box-2" in ready_boxes(world)
            assert len(world.boxes["box-2"].events("isolated")) == 1

        run_in_world(scenario)

    def test_with_as_many_primaries_on_both_sides_nobody_is_isolated(self) -> None:
        async def scenario(world: World) -> None:
            cut_off_data_centre(world, 2)
            for _ in range(30):
                await trio.sleep(0.1)
                assert ready_boxes(world) == ["box-1", "box-2", "box-3"]

        led_here = make_group("seats", 2)
        led_here.servers[0].leads, led_here.servers[2].leads = False, True
        run_in_world(scenario, groups=[led_here, make_group("tours", 3)])

    def test_an_isolated_box_goes_on_serving_what_it_can(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-3"], "bounded_staleness")
            writer = await world.open_session(world.boxes["box-3"], "primary")
            await writer.execute("READ seat1")
            cut_off_data_centre(world, 2)
            await writer.send(b"QUERY id-1 READ seat1\r\n")
            await trio.sleep(1.1)
            assert "box-3" not in ready_boxes(world)
            assert (await caller.execute("READ seat1"))[0] == "ROW none"

        run_in_world(scenario)

    def test_idle_sessions_that_cannot_be_served_are_closed(self) -> None:
        async def scenario(world: World) -> None:
            groups = world.groups
            here = await world.open_session(world.boxes["box-3"], "primary", groups[0].name)
            others = [
                await world.open_session(world.boxes["box-3"], "primary", group.name)
                for group in groups[1:]
            ]
            for caller in (here, *others):
                await caller.execute("READ seat1")
            cut_off_data_centre(world, 2)
            await trio.sleep(DETECTION_S + BALANCER_REACTION_S + 0.2)
            assert [await caller.read_line() for caller in others] == [None, None]
            assert (await here.execute("READ seat1"))[0] == "ROW none"

        led_here = make_group("seats", 2)
        led_here.servers[0].leads, led_here.servers[2].leads = False, True
        run_in_world(scenario, groups=[led_here, make_group("tours", 3), make_group("guides", 4)])

    def test_a_session_opened_on_an_unready_box_is_kept(self) -> None:
        """The balancer found no other box for the session."""

        async def scenario(world: World) -> None:
            cut_off_data_centre(world, 2)
            await trio.sleep(DETECTION_S + BALANCER_REACTION_S + 0.2)
            caller = await world.open_session(world.boxes["box-3"], "bounded_staleness", "tours")
            await trio.sleep(1.0)
            assert (await caller.execute("READ seat1"))[-1].startswith("READY I")

        run_in_world(scenario, groups=[make_group("seats", 2), make_group("tours", 3)])

    def test_unreachable_primaries_alone_isolate_no_box(self) -> None:
        async def scenario(world: World) -> None:
            for group in world.groups:
                world.kill_server(group.primary)
            for _ in range(20):
                await trio.sleep(0.1)
                assert ready_boxes(world) == ["box-1", "box-2", "box-3"]

        run_in_world(scenario, groups=[make_group("seats", 2), make_group("tours", 3)])

    def test_an_outage_of_the_platform_isolates_no_box(self) -> None:
        async def scenario(world: World) -> None:
            world.store.mode = StoreMode.UNAVAILABLE
            await world.kill_box(world.boxes["box-3"])
            for _ in range(100):
                await trio.sleep(0.1)
                assert ready_boxes(world) == ["box-1", "box-2"]

        run_in_world(scenario)
