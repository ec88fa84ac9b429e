"""Tests of the limit of callers' connections, and of which of them a full box closes."""

from __future__ import annotations

import pytest

from wharftiller.core.sessions.connection_limits import (
    MAX_GROWTH,
    MIN_CALLERS,
    MIN_HANDSHAKE_S,
    MIN_IDLE_S,
    MIN_OWN_DESCRIPTORS,
    BoxLimits,
    ConnectionLimiter,
    TooFewDescriptorsError,
    room_for_callers,
)

FILES = 200
DESCRIPTORS_AND_MEMORY_MB = [(700, 152), (1_640, 152), (4_300, 200), (8_192, 552)]


def small_limiter() -> ConnectionLimiter[str]:
    """Return a limiter with room for the minimum of callers."""
    limiter: ConnectionLimiter[str] = ConnectionLimiter(
        BoxLimits(descriptors=MIN_OWN_DESCRIPTORS + MIN_CALLERS)
    )
    limiter.set_own_connections(0)
    return limiter


class TestRoom:
    @pytest.mark.parametrize(("descriptors", "memory_mb"), DESCRIPTORS_AND_MEMORY_MB)
    def test_a_box_takes_most_of_what_it_can(self, descriptors: int, memory_mb: float) -> None:
        room = room_for_callers(BoxLimits(descriptors, FILES, memory_mb), own=60)
        assert room >= 0.5 * min(descriptors - FILES, (memory_mb - 96) * 16)

    @pytest.mark.parametrize(("descriptors", "memory_mb"), DESCRIPTORS_AND_MEMORY_MB)
    @pytest.mark.parametrize("own", [0, 60, 200, 400])
    def test_callers_and_the_box_itself_fit_together(
        self, descriptors: int, memory_mb: float, own: int
    ) -> None:
        limits = BoxLimits(descriptors, FILES, memory_mb)
        room = room_for_callers(limits, own)
        assert room == MIN_CALLERS or room + own < limits.connections

    def test_descriptors_are_reserved_for_further_connections_of_the_box(self) -> None:
        limits = BoxLimits(8_192, FILES, 10_000)
        assert limits.connections - room_for_callers(limits, 300) - 300 >= MAX_GROWTH

    def test_memory_bounds_the_room_where_descriptors_do_not(self) -> None:
        assert room_for_callers(BoxLimits(8_192, FILES, 152), 60) == 896

    def test_the_error_names_the_number_of_descriptors_needed(self) -> None:
        needed = FILES + MIN_OWN_DESCRIPTORS + MIN_CALLERS
        BoxLimits(needed, FILES).check()
        with pytest.raises(TooFewDescriptorsError, match=f"{needed} are needed"):
            BoxLimits(needed - 1, FILES).check()


class TestConnectionLimiter:
    def test_it_is_unready_before_it_is_full_and_ready_only_with_room_again(self) -> None:
        limiter = small_limiter()
        for number in range(MIN_CALLERS - 1):
            limiter.add_handshake(str(number), 0.0)
        assert limiter.is_nearly_full
        assert not limiter.is_full
        limiter.remove("0")
        assert limiter.is_nearly_full
        limiter.remove("1")
        limiter.remove("2")
        assert not limiter.is_nearly_full

    def test_the_oldest_handshake_is_closed_first(self) -> None:
        limiter = small_limiter()
        limiter.add_handshake("idle", 0.0)
        limiter.set_idle("idle", 0.0)
        limiter.add_handshake("silent", 5.0)
        assert limiter.connection_to_close(5.0 + MIN_HANDSHAKE_S) == "silent"

    def test_then_the_one_that_is_idle_longest(self) -> None:
        limiter = small_limiter()
        for name, at in (("one", 0.0), ("two", 1.0), ("three", 2.0)):
            limiter.set_idle(name, at)
        limiter.set_busy("one")
        limiter.set_idle("one", 3.0)
        assert limiter.connection_to_close(10.0) == "two"

    def test_busy_and_new_connections_are_not_closed(self) -> None:
        limiter = small_limiter()
        limiter.set_busy("busy")
        limiter.add_handshake("new", 9.9)
        limiter.set_idle("idle for a moment", 10.0 - MIN_IDLE_S / 2)
        assert limiter.connection_to_close(10.0) is None

    def test_each_connection_is_counted_once_in_whatever_state(self) -> None:
        limiter = small_limiter()
        for number in range(50):
            caller = str(number % 7)
            limiter.add_handshake(caller, 0.0)
            limiter.set_idle(caller, 0.0)
            limiter.set_busy(caller)
            limiter.set_idle(caller, 1.0)
        assert len(limiter) == 7
        for number in range(7):
            limiter.remove(str(number))
        assert len(limiter) == 0
