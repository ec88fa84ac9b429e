"""Snapshots that a reader sends to other boxes."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
import trio

from wharftiller.core.leadership.record import LeadershipRecord
from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.daemons.sessions.membership.readers import (
    LISTS_KEPT,
    SnapshotClient,
    SnapshotServer,
)
from wharftiller.daemons.sessions.state import SharedState
from wharftiller.decisions import DecisionLog

BOXES = 195

REQUEST = {"box": "box-1", "incarnation": "1", "revision": 9, "list_revision": 0}

MAX_CHANGE_BYTES = 1_000
"""Maximum size of a reply after one box of 195 restarted; the whole list takes 23 kB."""


def box(number: int, incarnation: str = "1") -> Box:
    address = f"10.1.0.{number}:3"
    return Box(f"box-{number}", address, address, incarnation, "hall-a")


def all_boxes() -> dict[str, Box]:
    return {each.name: each for each in map(box, range(BOXES))}


def reply_to(server: SnapshotServer, list_revision: int) -> dict[str, Any]:
    return server.handle_read({**REQUEST, "list_revision": list_revision})


@pytest.fixture
def server() -> SnapshotServer:
    state = SharedState("box-0", "hall-a", None, DecisionLog("proxy", "box-0"), None)  # type: ignore[arg-type]
    return SnapshotServer(state, "1")


def store(server: SnapshotServer, revision: int, boxes: dict[str, Box]) -> None:
    server.store(
        PlatformSnapshot(server._state.leases.record, boxes, revision), trio.current_time()
    )


class TestRecord:
    """A record restored from a backup must renew no lease of boxes that receive it."""

    def test_a_restored_record_is_sent_as_one(self, server: SnapshotServer) -> None:
        from_copy = LeadershipRecord(9, updates=3, is_confirmed=False, era=2)
        assert trio.run(self._applied, server, from_copy, LeadershipRecord()) == from_copy

    def test_a_restored_record_that_the_requester_has_is_marked(
        self, server: SnapshotServer
    ) -> None:
        from_copy = LeadershipRecord(9, updates=3, is_confirmed=False, era=2)
        known = LeadershipRecord(9, updates=3, era=1)
        assert trio.run(self._applied, server, from_copy, known) == from_copy

    async def _applied(
        self, server: SnapshotServer, read: LeadershipRecord, known: LeadershipRecord
    ) -> LeadershipRecord:
        """Return what a box with the record ``known`` applies from a reader that read ``read``."""
        server.store(PlatformSnapshot(read, all_boxes(), read.revision), trio.current_time())
        request = {**REQUEST, "revision": known.revision}
        applied: list[PlatformSnapshot] = []

        def apply(snapshot: PlatformSnapshot, asked_at: float) -> bool:
            applied.append(snapshot)
            return True

        state = SharedState("box-1", "hall-a", None, DecisionLog("proxy", "box-1"), None)  # type: ignore[arg-type]
        state.leases.adopt(known)
        client = SnapshotClient(state, BoxDirectory(state, None, box(1)), box(1), apply)  # type: ignore[arg-type]
        client._take_reply(box(0), server.handle_read(request), trio.current_time())
        record = applied[0].record
        assert record.is_confirmed is read.is_confirmed
        assert record.era == read.era
        return record


class TestLists:
    async def _changed(self, server: SnapshotServer) -> dict[str, Any]:
        store(server, 1, all_boxes())
        boxes = {**all_boxes(), "box-3": box(3, "2")}
        del boxes["box-7"]
        store(server, 2, boxes)
        return reply_to(server, 1)

    def test_only_changes_are_sent(self, server: SnapshotServer) -> None:
        reply = trio.run(self._changed, server)
        assert [each["name"] for each in reply["boxes"]] == ["box-3"]
        assert reply["gone"] == ["box-7"]
        assert not reply["whole"]
        assert len(orjson.dumps(reply)) < MAX_CHANGE_BYTES

    def test_a_box_without_a_list_gets_all(self, server: SnapshotServer) -> None:
        async def ask() -> dict[str, Any]:
            store(server, 1, all_boxes())
            return reply_to(server, 0)

        reply = trio.run(ask)
        assert len(reply["boxes"]) == BOXES
        assert reply["whole"]

    def test_old_lists_are_dropped(self, server: SnapshotServer) -> None:
        async def ask() -> dict[str, Any]:
            for revision in range(1, LISTS_KEPT + 3):
                store(server, revision, {**all_boxes(), "box-3": box(3, str(revision))})
            return reply_to(server, 1)

        assert trio.run(ask)["whole"]

    def test_a_current_list_is_not_sent_again(self, server: SnapshotServer) -> None:
        async def ask() -> dict[str, Any]:
            store(server, 1, all_boxes())
            return reply_to(server, 1)

        assert trio.run(ask)["boxes"] is None
