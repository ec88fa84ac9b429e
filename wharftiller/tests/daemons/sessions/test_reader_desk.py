"""What a reader tells the boxes that ask it."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
import trio

from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.readers import LISTS_KEPT, ReaderDesk
from wharftiller.daemons.sessions.seams import SharedListing
from wharftiller.daemons.sessions.state import SharedState
from wharftiller.decisions import DecisionLog

BOXES = 195

BYTES_OF_A_CHANGE = 1_000
"""Bytes of an answer after one box of 195 started: 23,417 with the whole list, 275 since."""


def box(number: int, incarnation: str = "1") -> Box:
    address = f"10.1.0.{number}:3"
    return Box(f"box-{number}", address, address, incarnation, "hall-a")


def all_boxes() -> dict[str, Box]:
    return {each.name: each for each in map(box, range(BOXES))}


def told_to(desk: ReaderDesk, list_revision: int) -> dict[str, Any]:
    question = {"box": "box-1", "incarnation": "1", "revision": 9, "list_revision": list_revision}
    return desk.answer(question)


@pytest.fixture
def desk() -> ReaderDesk:
    state = SharedState("box-0", "hall-a", None, DecisionLog("proxy", "box-0"), None)  # type: ignore[arg-type]
    return ReaderDesk(state, "1")


def note(desk: ReaderDesk, revision: int, boxes: dict[str, Box]) -> None:
    desk.note(SharedListing(desk._state.leases.record, boxes, revision), trio.current_time())


class TestLists:
    async def _changed(self, desk: ReaderDesk) -> dict[str, Any]:
        note(desk, 1, all_boxes())
        boxes = {**all_boxes(), "box-3": box(3, "2")}
        del boxes["box-7"]
        note(desk, 2, boxes)
        return told_to(desk, 1)

    def test_only_what_changed_is_told(self, desk: ReaderDesk) -> None:
        told = trio.run(self._changed, desk)
        assert [each["name"] for each in told["boxes"]] == ["box-3"]
        assert told["gone"] == ["box-7"]
        assert not told["whole"]
        assert len(orjson.dumps(told)) < BYTES_OF_A_CHANGE

    def test_a_box_that_knows_no_list_is_told_all(self, desk: ReaderDesk) -> None:
        async def ask() -> dict[str, Any]:
            note(desk, 1, all_boxes())
            return told_to(desk, 0)

        told = trio.run(ask)
        assert len(told["boxes"]) == BOXES
        assert told["whole"]

    def test_lists_of_long_ago_are_forgotten(self, desk: ReaderDesk) -> None:
        async def ask() -> dict[str, Any]:
            for revision in range(1, LISTS_KEPT + 3):
                note(desk, revision, {**all_boxes(), "box-3": box(3, str(revision))})
            return told_to(desk, 1)

        assert trio.run(ask)["whole"]

    def test_a_list_that_is_known_is_not_told(self, desk: ReaderDesk) -> None:
        async def ask() -> dict[str, Any]:
            note(desk, 1, all_boxes())
            return told_to(desk, 1)

        assert trio.run(ask)["boxes"] is None
