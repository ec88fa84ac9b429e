"""Failovers while the platform, boxes or links between them fail."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from standins.object_store import StoreMode
from wharftiller.core.leadership.lease import LEASE_S, MAX_BOX_LIST_AGE_S
from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.daemons.sessions.membership.retirement import SILENT_S
from wharftiller.tests.platform.world import (
    STORE,
    STORE_IP,
    World,
    fences_never_decrease,
    make_group,
    run_in_world,
    write_until_acknowledged,
)

TOMBSTONED_WITHIN_S = SILENT_S + 3.0
"""Time within which a dead box is tombstoned, in seconds."""

CUT_S = 7.0

MAX_REQUESTS = 6
"""Maximum number of requests to other boxes while a gateway is cut off from the primary."""

MAX_REQUESTS_WHILE_WAITING = 100
"""Maximum number of lease renewal requests while a failover waits for a lease to expire."""

MAX_PLANNED_GAP_S = 1.5
"""Maximum time without writes in a planned failover, in seconds."""


def record_renewals(recipients: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
    """Append the recipient of each lease renewal request to ``recipients``."""
    post = BoxDirectory.post

    async def recorded_post(directory: BoxDirectory, box: Box, path: str, *args: Any) -> Any:
        if path == "/peer/round":
            recipients.append(box.name)
        return await post(directory, box, path, *args)

    monkeypatch.setattr(BoxDirectory, "post", recorded_post)


class TestPlatformFailing:
    def test_an_outage_of_the_platform_stops_no_write(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(world.boxes["box-1"], "primary")
            world.store.mode = StoreMode.UNAVAILABLE
            for number in range(100):
                assert (await caller.execute(f"WRITE seat{number} x"))[0] == "ROW written"
                await trio.sleep(0.1)

        run_in_world(scenario)

    def test_a_box_cut_off_from_platform_and_peers_stops_writing(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            world.network.cut([box.ip], ["10.1.0.2", "10.1.0.3", STORE_IP])
            await trio.sleep(LEASE_S + 0.1)
            answer = await caller.execute("WRITE seat1 anna")
            assert answer[0].startswith("ERROR BUSY ")
            assert world.groups[0].primary.value("seat1") == "none"

        run_in_world(scenario)

    def test_a_box_that_starts_during_an_outage_syncs_from_its_peers(self) -> None:
        async def scenario(world: World) -> None:
            world.store.mode = StoreMode.BUSY
            box = await world.start_box(4)
            await trio.sleep(3)
            reader = await world.open_session(box, "bounded_staleness")
            assert (await reader.execute("READ seat1"))[0].startswith(("ROW", "ERROR BUSY"))
            assert box.process.proxy is not None
            assert box.process.proxy.state.version == 1

        run_in_world(scenario)

    def test_a_large_configuration_on_a_slow_link_blocks_nothing(self) -> None:
        async def scenario(world: World) -> None:
            await world.kill_box(world.boxes["box-1"])
            world.store.list_delays = {"config": 1.0}
            box = await world.start_box(1)
            await trio.sleep(3)
            assert box.process.proxy is not None
            assert box.process.proxy.state.version == 1
            assert not box.events("watch_failed")
            assert not box.events("platform_lost")

        run_in_world(scenario, boxes=1)

    @pytest.mark.parametrize("lost", [1, 2])
    def test_a_lost_answer_to_an_update_of_the_record_is_resolved(self, lost: int) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            world.kill_server(group.primary)
            world.store.lose_answers = lost
            await write_until_acknowledged(caller, "WRITE seat2 boris", 20.0)
            assert fences_never_decrease(world)

        run_in_world(scenario)

    def test_a_change_missed_by_all_watches_is_in_force_in_time(self) -> None:
        async def scenario(world: World) -> None:
            world.store.watches_suspended = True
            document = world.store.spec("config", "main")
            world.store.set("config", "main", {**document, "Version": 7})
            await trio.sleep(2.8)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert box.process.proxy.state.version == 7

        run_in_world(scenario)

    def test_a_change_is_in_force_in_time_though_the_reader_is_cut_off(self) -> None:
        async def scenario(world: World) -> None:
            world.store.watches_suspended = True
            readers = [
                box
                for box in world.boxes.values()
                if box.process.proxy is not None and box.process.proxy._reads.reads_for_others
            ]
            world.network.cut([readers[0].ip], [STORE_IP])
            document = world.store.spec("config", "main")
            world.store.set("config", "main", {**document, "Version": 7})
            await trio.sleep(2.9)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert box.process.proxy.state.version == 7

        run_in_world(scenario)


class TestBoxesFailing:
    @pytest.mark.parametrize("after_s", [1.5, 1.7, 1.9, 2.1, 2.3])
    def test_a_failover_continues_when_its_holder_is_killed(self, after_s: float) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.kill_server(group.primary)
            await trio.sleep(after_s)
            holder = world.store.spec("wharftiller", "leadership")["holder"].partition("/")[0]
            if holder:
                number = int(holder.rpartition("-")[2])
                await world.kill_box(world.boxes[holder])
                await trio.sleep(0.5)
                await world.start_box(number)
            await trio.sleep(1)
            caller = await world.open_session(next(iter(world.boxes.values())), "primary")
            await write_until_acknowledged(caller, "WRITE seat2 boris", 20.0)
            assert fences_never_decrease(world)

        run_in_world(scenario)

    def test_a_failover_continues_when_its_holder_never_returns(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            await trio.sleep(20)
            world.kill_server(group.primary)
            while not world.store.spec("wharftiller", "leadership")["holder"]:
                await trio.sleep(0.01)
            holder = world.store.spec("wharftiller", "leadership")["holder"].partition("/")[0]
            await world.kill_box(world.boxes[holder])
            caller = await world.open_session(next(iter(world.boxes.values())), "primary")
            await write_until_acknowledged(caller, "WRITE seat2 boris", 30.0)
            assert fences_never_decrease(world)

        run_in_world(scenario)

    @pytest.mark.parametrize("planned", [False, True])
    def test_a_box_known_to_be_dead_is_not_waited_for(self, planned: bool) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            await trio.sleep(MAX_BOX_LIST_AGE_S + LEASE_S)
            await world.kill_box(world.boxes["box-3"])
            await trio.sleep(TOMBSTONED_WITHIN_S + LEASE_S)
            caller = await world.open_session(world.boxes["box-1"], "primary")
            old = group.primary
            if planned:
                old.leaving = True
                world.register(old)
                gap_s = 0.0
                while group.primary is old:
                    gap_s = max(
                        gap_s, await write_until_acknowledged(caller, "WRITE seat2 x", 20.0)
                    )
                assert gap_s < MAX_PLANNED_GAP_S
                return
            world.kill_server(old)
            assert await write_until_acknowledged(caller, "WRITE seat2 boris", 20.0) < LEASE_S - 1

        run_in_world(scenario)

    def test_a_box_that_was_unlisted_counts_as_newly_listed(self) -> None:
        """Peers whose snapshot lacks the box would not wait for its lease."""

        async def scenario(world: World) -> None:
            box = world.boxes["box-3"]
            others = [each.ip for each in world.boxes.values() if each is not box]
            await trio.sleep(MAX_BOX_LIST_AGE_S + LEASE_S)
            world.network.cut([box.ip], [*others, STORE_IP])
            while box.name in world.boxes["box-1"].process.proxy._directory.boxes:  # type: ignore[union-attr]
                await trio.sleep(0.5)
            world.network.heal()
            await trio.sleep(6)
            assert box.process.proxy is not None
            directory = box.process.proxy._directory
            assert 0 < directory.listed_s(trio.current_time()) < MAX_BOX_LIST_AGE_S

        run_in_world(scenario)

    def test_a_failover_decided_on_an_older_record_is_not_written(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            world.kill_server(group.primary)
            await trio.sleep(8)
            assert len(group.promotions) == 1
            written = [
                line for box in world.boxes.values() for line in box.events("record_written")
            ]
            assert len({line["holder"] for line in written if line["fence"]}) == 1

        run_in_world(scenario)


class TestRelay:
    def test_a_primary_cut_off_from_some_boxes_is_reached_by_relay(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            world.network.cut(["10.2.0.1"], ["10.1.0.1", "10.1.0.2"])
            took_s = await write_until_acknowledged(caller, "WRITE first anna", 6.0)
            assert took_s < 4.0
            assert group.promotions == []
            for number in range(20):
                assert (await caller.execute(f"WRITE seat{number} x"))[0] == "ROW written"
            world.network.heal()
            await trio.sleep(3)
            relays = [line["via"] for line in world.boxes["box-1"].events("way_changed")]
            assert relays[-1] is None
            assert (await caller.execute("READ seat1"))[0] == "ROW x"

        run_in_world(scenario)

    def test_gateways_near_a_cut_send_few_requests_to_gateways_only(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """One gateway of three cannot reach the primary; the other two can."""
        recipients: list[str] = []

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            group = world.groups[0]
            gateways = world.gateways_of(group.name)
            record_renewals(recipients, monkeypatch)
            world.network.cut([gateways[0].ip], [group.primary.address.partition(":")[0]])
            await trio.sleep(CUT_S)
            assert set(recipients) <= {gateway.name for gateway in gateways}
            assert len(recipients) <= MAX_REQUESTS
            assert not group.promotions

        run_in_world(scenario, boxes=24, groups=[make_group(max_connections=20)])

    def test_a_waiting_failover_causes_few_requests(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A box that is cut off may hold a lease; meanwhile others check whether to take over."""
        recipients: list[str] = []

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            group = world.groups[0]
            gateways = world.gateways_of(group.name)
            cut = next(box for box in world.boxes.values() if box not in gateways)
            others = [box.ip for box in world.boxes.values() if box is not cut]
            world.network.cut([cut.ip], [*others, STORE_IP])
            record_renewals(recipients, monkeypatch)
            world.kill_server(group.primary)
            await trio.sleep(LEASE_S + 6.0)
            assert len(group.promotions) == 1
            assert len(recipients) <= MAX_REQUESTS_WHILE_WAITING

        run_in_world(scenario, boxes=24, groups=[make_group(max_connections=20)])

    def test_a_relay_connects_to_endpoints_only(self) -> None:
        async def scenario(world: World) -> None:
            for request in (f"RELAY {STORE}", "RELAY 10.1.0.2:3", "HELLO", "RELAY " + "9" * 200):
                stream = await world.network.host("10.1.0.2").connect("10.1.0.1:4")
                await stream.send_all(f"{request}\r\nGET / HTTP/1.1\r\n\r\n".encode())
                assert await stream.receive_some() == b""

        run_in_world(scenario)


class TestHealedPartition:
    def test_a_primary_that_is_reachable_again_is_not_replaced(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            boxes = [box.ip for box in world.boxes.values()]
            for tenths in range(12, 40, 3):
                world.network.cut(["10.2.0.1"], boxes)
                await trio.sleep(tenths / 10)
                world.network.heal()
                promoted = len(group.promotions)
                await trio.sleep(6)
                if promoted == 0:
                    assert group.promotions == [], f"after a cut of {tenths / 10} s"
                else:
                    return

        run_in_world(scenario)
