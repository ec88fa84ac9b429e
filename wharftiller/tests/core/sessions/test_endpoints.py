"""Tests of an endpoint's state, and of its reset when the endpoint's process restarts."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.endpoints import FIRST_SERVICE_S, EndpointRow
from wharftiller.core.sessions.routes import EndpointEntry

ENTRY = EndpointEntry("one", "seats", "10.2.0.1:5", "a", False, False, started_ms=1_000)


@pytest.fixture
def row() -> EndpointRow:
    """Return an endpoint that reported a position, lacks another, and has a reply outstanding."""
    row = EndpointRow(ENTRY)
    row.record_sent(1, 0.0)
    row.record_reply(1, 0.5, LogPosition(3, 7))
    row.record_behind(LogPosition(3, 9), 0.6)
    row.record_sent(2, 0.7)
    return row


class TestRestart:
    def test_a_restart_resets_the_state(self, row: EndpointRow) -> None:
        assert row.update_entry(attrs.evolve(ENTRY, started_ms=2_000))
        assert (row.position, row.behind, row.outstanding) == (None, None, {})
        assert row.service_s == FIRST_SERVICE_S

    @pytest.mark.parametrize("started_ms", [1_000, None])
    def test_the_same_process_keeps_its_state(
        self, row: EndpointRow, started_ms: int | None
    ) -> None:
        assert not row.update_entry(attrs.evolve(ENTRY, leaving=True, started_ms=started_ms))
        assert row.position == LogPosition(3, 7)
        assert row.outstanding
