"""Large deployments: one box per data centre reads the platform for the others."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from standins.object_store import StoreMode
from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.daemons.sessions.membership import readers
from wharftiller.daemons.sessions.membership.box_server import BoxServer
from wharftiller.daemons.sessions.membership.peer_sync import PeerSync
from wharftiller.edges.http_server import HttpRequest, HttpResponse
from wharftiller.platform.endpoint_entries import ENDPOINT_KIND
from wharftiller.platform.objects import CONFIGURATION_KIND
from wharftiller.platform.store import ObjectStore
from wharftiller.tests.platform.world import STORE_IP, World, run_in_world, write_until_acknowledged

BOXES = 9

MAX_LISTS = 6
"""Maximum listings besides changes received by watches: two per box that starts to watch."""


@pytest.fixture(autouse=True)
def _large(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use readers in a deployment of nine boxes."""
    monkeypatch.setattr(readers, "READERS_MIN_BOXES", 4)


def reader_names(world: World) -> list[str]:
    """Return the names of the boxes that read for others."""
    return [
        box.name
        for box in world.boxes.values()
        if box.process.proxy is not None and box.process.proxy._reads.reads_for_others
    ]


class TestReaders:
    def test_one_box_a_data_centre_reads_and_all_may_write(self) -> None:
        async def scenario(world: World) -> None:
            await trio.sleep(10)
            assert len(reader_names(world)) == 3
            before = world.store.calls
            await trio.sleep(20)
            assert world.store.calls - before < 20 * 3 * 2
            for box in world.boxes.values():
                caller = await world.open_session(box, "primary")
                assert (await caller.execute("WRITE seat1 x"))[0] == "ROW written"

        run_in_world(scenario, boxes=BOXES)

    def test_entries_are_listed_after_changes_only(self) -> None:
        """Without changes a read must not list every entry again."""

        async def scenario(world: World) -> None:
            await trio.sleep(10)
            before = world.store.listed, world.store.calls
            await trio.sleep(20)
            assert world.store.listed - before[0] <= world.store.calls - before[1]
            await world.start_box(10)
            await trio.sleep(3)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert len(box.process.proxy._directory.boxes) == BOXES

        run_in_world(scenario, boxes=BOXES)

    def test_an_outage_of_the_platform_stops_no_write(self) -> None:
        async def scenario(world: World) -> None:
            callers = [await world.open_session(box, "primary") for box in world.boxes.values()]
            world.store.mode = StoreMode.UNAVAILABLE
            # Boxes renew leases through each other while their list is younger than 12 s.
            until = trio.current_time() + 10
            while trio.current_time() < until:
                for caller in callers:
                    assert (await caller.execute("WRITE seat1 x"))[0] == "ROW written"
                await trio.sleep(0.02)

        run_in_world(scenario, boxes=BOXES)

    def test_a_dead_reader_is_replaced_by_the_next(self) -> None:
        async def scenario(world: World) -> None:
            await world.kill_box(world.boxes[reader_names(world)[0]])
            await trio.sleep(8)
            for box in world.boxes.values():
                caller = await world.open_session(box, "primary")
                assert (await caller.execute("WRITE seat1 x"))[0] == "ROW written"

        run_in_world(scenario, boxes=BOXES)

    def test_a_reader_cut_from_the_platform_is_not_relied_on(self) -> None:
        async def scenario(world: World) -> None:
            world.network.cut([world.boxes[reader_names(world)[0]].ip], [STORE_IP])
            world.store.watches_suspended = True
            document = world.store.spec("config", "main")
            await trio.sleep(3)
            world.store.set("config", "main", {**document, "Version": 7})
            await trio.sleep(3)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert box.process.proxy.state.version == 7

        run_in_world(scenario, boxes=BOXES)

    @pytest.mark.parametrize("delay_s", [0.5, 60.0])
    def test_a_platform_read_replaces_a_failed_fetch(
        self, delay_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A reader on a slow link: boxes keep renewing their leases through it."""
        handle = BoxServer.handle

        async def slow(server: BoxServer, request: HttpRequest) -> HttpResponse:
            if request.path == "/peer/known":
                await trio.sleep(delay_s)
            return await handle(server, request)

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            monkeypatch.setattr(BoxServer, "handle", slow)
            document = world.store.spec("config", "main")
            world.store.set("config", "main", {**document, "Version": 7})
            await trio.sleep(PlatformBounds().configuration_in_force_s)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert box.process.proxy.state.version == 7
                assert not box.events("reader_did_not_answer")

        run_in_world(scenario, boxes=BOXES)

    def test_state_that_the_peer_has_is_not_sent(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A change of endpoints must not send the configuration to every box."""
        replies: list[dict[str, Any]] = []
        state_for = PeerSync.state_for

        def recording(peer_sync: PeerSync, request: Any) -> dict[str, Any]:
            replies.append(state_for(peer_sync, request))
            return replies[-1]

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            replies.clear()
            leaving = world.groups[0].servers[2]
            leaving.leaving = True
            world.register(leaving)
            await trio.sleep(3)
            assert replies
            assert all(each["configuration"] is None for each in replies)
            assert any(each["endpoints"] is not None for each in replies)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                row = box.process.proxy.state.endpoints.rows[leaving.name]
                assert row.leaving_since is not None

        monkeypatch.setattr(PeerSync, "state_for", recording)
        run_in_world(scenario, boxes=BOXES)

    def test_changes_received_by_watch_cause_no_listing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Many configurations in quick succession, while a box stops and another starts."""
        list_all, listed = ObjectStore.list_all, []

        async def recording(store: ObjectStore, kind: str, *args: Any, **kwargs: Any) -> Any:
            listed.append(kind)
            return await list_all(store, kind, *args, **kwargs)

        async def scenario(world: World) -> None:
            await trio.sleep(5)
            monkeypatch.setattr(ObjectStore, "list_all", recording)
            document = world.store.spec("config", "main")
            world.boxes["box-9"].stop_requested.set()
            for version in range(2, 22):
                world.store.set("config", "main", {**document, "Version": version})
                await trio.sleep(0.08)
            await world.start_box(12)
            await trio.sleep(3)
            assert listed.count(CONFIGURATION_KIND) + listed.count(ENDPOINT_KIND) <= MAX_LISTS

        run_in_world(scenario, boxes=BOXES)

    def test_a_large_configuration_is_compressed_to_a_tenth(self) -> None:
        routes = [
            {"Name": f"r-{n}", "Host": f"host-{n}", "Kind": "primary", "Service": "seats"}
            for n in range(2_000)
        ]
        plain = HttpResponse(200, {"configuration": routes})
        small = HttpResponse(200, {"configuration": routes}, compressed=True)
        assert len(small.encode()) < len(plain.encode()) / 10

    def test_an_unreachable_primary_is_replaced_within_seconds(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("WRITE seat1 anna")
            world.kill_server(group.primary)
            assert await write_until_acknowledged(caller, "WRITE seat2 boris", 8.0) < 5.0
            assert len(group.promotions) == 1

        run_in_world(scenario, boxes=BOXES)

    def test_a_box_cut_off_from_all_stops_writing(self) -> None:
        async def scenario(world: World) -> None:
            box = world.boxes["box-1"]
            caller = await world.open_session(box, "primary")
            others = [each.ip for each in world.boxes.values() if each is not box]
            world.network.cut([box.ip], [*others, STORE_IP])
            await trio.sleep(7)
            assert (await caller.execute("WRITE seat1 x"))[0].startswith("ERROR BUSY ")

        run_in_world(scenario, boxes=BOXES)
