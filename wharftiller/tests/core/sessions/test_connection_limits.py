"""The door of a box: room by what the box has, and who leaves when it is full."""

from __future__ import annotations

import pytest

from wharftiller.core.sessions.connection_limits import (
    CALLERS_FLOOR,
    MAX_GROWTH,
    MIN_HANDSHAKE_S,
    MIN_IDLE_S,
    OWN_FLOOR,
    BoxLimits,
    ConnectionLimiter,
    TooFewDescriptorsError,
    room_for_callers,
)

FILES = 200
ALL = [(700, 152), (1_640, 152), (4_300, 200), (8_192, 552)]


def small_door() -> ConnectionLimiter[str]:
    """Return a door with room for the least number of callers."""
    door: ConnectionLimiter[str] = ConnectionLimiter(
        BoxLimits(descriptors=OWN_FLOOR + CALLERS_FLOOR)
    )
    door.note_own(0)
    return door


class TestRoom:
    @pytest.mark.parametrize(("descriptors", "memory_mb"), ALL)
    def test_a_box_takes_most_of_what_it_can(self, descriptors: int, memory_mb: float) -> None:
        room = room_for_callers(BoxLimits(descriptors, FILES, memory_mb), own=60)
        assert room >= 0.5 * min(descriptors - FILES, (memory_mb - 96) * 16)

    @pytest.mark.parametrize(("descriptors", "memory_mb"), ALL)
    @pytest.mark.parametrize("own", [0, 60, 200, 400])
    def test_callers_and_the_box_itself_fit_together(
        self, descriptors: int, memory_mb: float, own: int
    ) -> None:
        limits = BoxLimits(descriptors, FILES, memory_mb)
        room = room_for_callers(limits, own)
        assert room == CALLERS_FLOOR or room + own < limits.connections

    def test_the_box_may_double_what_it_holds_before_callers_are_in_its_way(self) -> None:
        limits = BoxLimits(8_192, FILES, 10_000)
        assert limits.connections - room_for_callers(limits, 300) - 300 >= MAX_GROWTH

    def test_memory_bounds_the_room_where_descriptors_do_not(self) -> None:
        assert room_for_callers(BoxLimits(8_192, FILES, 152), 60) == 896

    def test_too_few_descriptors_are_named_with_what_is_needed(self) -> None:
        needed = FILES + OWN_FLOOR + CALLERS_FLOOR
        BoxLimits(needed, FILES).check()
        with pytest.raises(TooFewDescriptorsError, match=f"{needed} are needed"):
            BoxLimits(needed - 1, FILES).check()


class TestDoor:
    def test_it_is_unready_before_it_is_full_and_ready_only_with_room_again(self) -> None:
        door = small_door()
        for number in range(CALLERS_FLOOR - 1):
            door.came(str(number), 0.0)
        assert door.is_nearly_full
        assert not door.is_full
        door.left("0")
        assert door.is_nearly_full
        door.left("1")
        door.left("2")
        assert not door.is_nearly_full

    def test_who_never_asked_for_anything_leaves_first(self) -> None:
        door = small_door()
        door.came("rests", 0.0)
        door.rests("rests", 0.0)
        door.came("silent", 5.0)
        assert door.who_leaves(5.0 + MIN_HANDSHAKE_S) == "silent"

    def test_then_who_rests_longest(self) -> None:
        door = small_door()
        for name, at in (("one", 0.0), ("two", 1.0), ("three", 2.0)):
            door.rests(name, at)
        door.works("one")
        door.rests("one", 3.0)
        assert door.who_leaves(10.0) == "two"

    def test_nobody_leaves_who_works_or_has_just_come(self) -> None:
        door = small_door()
        door.works("busy")
        door.came("new", 9.9)
        door.rests("rested a moment", 10.0 - MIN_IDLE_S / 2)
        assert door.who_leaves(10.0) is None

    def test_a_crowd_in_any_order_is_counted_once(self) -> None:
        door = small_door()
        for number in range(50):
            caller = str(number % 7)
            door.came(caller, 0.0)
            door.rests(caller, 0.0)
            door.works(caller)
            door.rests(caller, 1.0)
        assert len(door) == 7
        for number in range(7):
            door.left(str(number))
        assert len(door) == 0
