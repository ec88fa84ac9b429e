"""What a reader tells the boxes that ask it."""

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

QUESTION = {"box": "box-1", "incarnation": "1", "revision": 9, "list_revision": 0}

BYTES_OF_A_CHANGE = 1_000
"""Bytes of an answer after one box of 195 started: 23,417 with the whole list, 275 since."""


def box(number: int, incarnation: str = "1") -> Box:
    address = f"10.1.0.{number}:3"
    return Box(f"box-{number}", address, address, incarnation, "hall-a")


def all_boxes() -> dict[str, Box]:
    return {each.name: each for each in map(box, range(BOXES))}


def told_to(desk: SnapshotServer, list_revision: int) -> dict[str, Any]:
    return desk.answer({**QUESTION, "list_revision": list_revision})


@pytest.fixture
def desk() -> SnapshotServer:
    state = SharedState("box-0", "hall-a", None, DecisionLog("proxy", "box-0"), None)  # type: ignore[arg-type]
    return SnapshotServer(state, "1")


def note(desk: SnapshotServer, revision: int, boxes: dict[str, Box]) -> None:
    desk.note(PlatformSnapshot(desk._state.leases.record, boxes, revision), trio.current_time())


class TestRecord:
    """A record that came back with a copy must renew no lease of those who hear of it."""

    def test_a_record_of_a_copy_is_told_as_one(self, desk: SnapshotServer) -> None:
        of_a_copy = LeadershipRecord(9, updates=3, is_confirmed=False, era=2)
        assert trio.run(self._taken, desk, of_a_copy, LeadershipRecord()) == of_a_copy

    def test_a_record_that_the_asking_box_knows_is_told_as_one(self, desk: SnapshotServer) -> None:
        of_a_copy = LeadershipRecord(9, updates=3, is_confirmed=False, era=2)
        known = LeadershipRecord(9, updates=3, era=1)
        assert trio.run(self._taken, desk, of_a_copy, known) == of_a_copy

    async def _taken(
        self, desk: SnapshotServer, read: LeadershipRecord, known: LeadershipRecord
    ) -> LeadershipRecord:
        """Return what a box that knows ``known`` takes from a reader that read ``read``."""
        desk.note(PlatformSnapshot(read, all_boxes(), read.revision), trio.current_time())
        question = {**QUESTION, "revision": known.revision}
        taken: list[PlatformSnapshot] = []

        def take(listing: PlatformSnapshot, asked_at: float) -> bool:
            taken.append(listing)
            return True

        state = SharedState("box-1", "hall-a", None, DecisionLog("proxy", "box-1"), None)  # type: ignore[arg-type]
        state.leases.adopt(known)
        client = SnapshotClient(state, BoxDirectory(state, None, box(1)), box(1), take)  # type: ignore[arg-type]
        client._take_answer(box(0), desk.answer(question), trio.current_time())
        record = taken[0].record
        assert record.is_confirmed is read.is_confirmed
        assert record.era == read.era
        return record


class TestLists:
    async def _changed(self, desk: SnapshotServer) -> dict[str, Any]:
        note(desk, 1, all_boxes())
        boxes = {**all_boxes(), "box-3": box(3, "2")}
        del boxes["box-7"]
        note(desk, 2, boxes)
        return told_to(desk, 1)

    def test_only_what_changed_is_told(self, desk: SnapshotServer) -> None:
        told = trio.run(self._changed, desk)
        assert [each["name"] for each in told["boxes"]] == ["box-3"]
        assert told["gone"] == ["box-7"]
        assert not told["whole"]
        assert len(orjson.dumps(told)) < BYTES_OF_A_CHANGE

    def test_a_box_that_knows_no_list_is_told_all(self, desk: SnapshotServer) -> None:
        async def ask() -> dict[str, Any]:
            note(desk, 1, all_boxes())
            return told_to(desk, 0)

        told = trio.run(ask)
        assert len(told["boxes"]) == BOXES
        assert told["whole"]

    def test_lists_of_long_ago_are_forgotten(self, desk: SnapshotServer) -> None:
        async def ask() -> dict[str, Any]:
            for revision in range(1, LISTS_KEPT + 3):
                note(desk, revision, {**all_boxes(), "box-3": box(3, str(revision))})
            return told_to(desk, 1)

        assert trio.run(ask)["whole"]

    def test_a_list_that_is_known_is_not_told(self, desk: SnapshotServer) -> None:
        async def ask() -> dict[str, Any]:
            note(desk, 1, all_boxes())
            return told_to(desk, 1)

        assert trio.run(ask)["boxes"] is None
