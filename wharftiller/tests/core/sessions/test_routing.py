"""Tests of the endpoint that a read goes to, and of the log position that it requires."""

from __future__ import annotations

from collections.abc import Collection

import pytest

from wharftiller.core.freshness import FreshPoint, FreshPoints
from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.endpoints import (
    LEAVING_MARGIN_S,
    MIN_SILENCE_S,
    MISSING_GONE_S,
    EndpointRow,
)
from wharftiller.core.sessions.routes import (
    BoundedReads,
    Consistency,
    EndpointEntry,
    OwnWritesReads,
    PrimaryReads,
    Route,
)
from wharftiller.core.sessions.routing import AnyReplica, OnlyPrimary, need_of_read, replica_order
from wharftiller.core.sessions.session import Session
from wharftiller.core.sessions.shares import connection_share


def route(consistency: Consistency) -> Route:
    return Route("r", "seats-db", "seats", consistency, 0.8, 0.25, 1)


def session() -> Session:
    return Session(1, "seats-db", "desk")


def points(*known: tuple[float, int]) -> FreshPoints:
    result = FreshPoints()
    for at, index in known:
        result.add(FreshPoint(at, LogPosition(1, index)))
    return result


def row(name: str, data_centre: str = "a") -> EndpointRow:
    return EndpointRow(EndpointEntry(name, "seats", "10.2.0.1:5", data_centre, False, False))


class TestNeed:
    def test_primary_reads_need_the_primary(self) -> None:
        need = need_of_read(route(PrimaryReads()), session(), points((9.9, 5)), 10.0)
        assert isinstance(need, OnlyPrimary)

    def test_a_bounded_read_needs_the_oldest_position_that_is_new_enough(self) -> None:
        known = points((8.0, 3), (8.6, 4), (9.9, 5))
        need = need_of_read(route(BoundedReads(1.5)), session(), known, 10.0)
        assert need == AnyReplica(LogPosition(1, 4))

    def test_without_a_new_enough_position_the_primary_is_needed(self) -> None:
        need = need_of_read(route(BoundedReads(1.5)), session(), points((8.0, 3)), 10.0)
        assert isinstance(need, OnlyPrimary)

    def test_own_writes_are_needed_too(self) -> None:
        own = session()
        own.wrote("seats", LogPosition(1, 9))
        need = need_of_read(route(OwnWritesReads(1.5)), own, points((9.9, 5)), 10.0)
        assert need == AnyReplica(LogPosition(1, 9))

    def test_an_unsettled_write_needs_the_primary(self) -> None:
        own = session()
        own.wrote("seats", None)
        need = need_of_read(route(BoundedReads(1.5)), own, points((9.9, 5)), 10.0)
        assert isinstance(need, OnlyPrimary)


class TestOrder:
    def order(
        self,
        rows: list[EndpointRow],
        load: dict[str, int],
        now: float = 10.0,
        connected: Collection[str] = ("one", "two", "three"),
    ) -> list[str]:
        found = replica_order(rows, LogPosition(1, 5), "one", "a", load, connected, now)
        return [each.name for each in found]

    def test_replicas_go_before_the_primary_and_the_idle_before_the_busy(self) -> None:
        rows = [row("one"), row("two"), row("three")]
        assert self.order(rows, {"two": 1}) == ["three", "two", "one"]

    def test_the_primary_is_used_when_replicas_are_loaded(self) -> None:
        rows = [row("one"), row("two"), row("three")]
        assert self.order(rows, {"two": 4, "three": 4})[0] == "one"

    def test_the_near_one_goes_first(self) -> None:
        assert self.order([row("one"), row("two", "b"), row("three")], {})[0] == "three"

    def test_a_read_stays_near_until_that_costs_a_statement_of_waiting(self) -> None:
        rows = [row("one", "b"), row("two", "b"), row("three")]
        assert self.order(rows, {"three": 1})[0] == "three"
        assert self.order(rows, {"three": 2})[0] == "two"

    def test_an_idle_replica_elsewhere_goes_before_a_near_primary(self) -> None:
        rows = [row("one"), row("two", "b"), row("three", "c")]
        assert self.order(rows, {})[0] != "one"
        assert self.order(rows, {"two": 2, "three": 2})[0] == "one"

    def test_an_open_connection_offsets_one_waiting_statement(self) -> None:
        rows = [row("one"), row("two"), row("three")]
        assert self.order(rows, {}, connected=["two"])[0] == "two"
        assert self.order(rows, {"two": 2}, connected=["two"])[0] == "three"

    def test_none_is_opened_elsewhere_while_a_near_one_is_open(self) -> None:
        rows = [row("one"), row("two", "b"), row("three")]
        assert self.order(rows, {"three": 2}, connected=["three"])[0] == "three"

    def test_one_known_to_be_behind_is_skipped_for_a_moment(self) -> None:
        behind = row("two")
        behind.record_behind(LogPosition(1, 5), 9.95)
        assert "two" not in self.order([row("one"), behind], {})
        assert "two" in self.order([row("one"), behind], {}, now=10.5)

    @pytest.mark.parametrize("field", ["gone", "leaving_since"])
    def test_gone_and_leaving_ones_get_nothing(self, field: str) -> None:
        out = row("two")
        setattr(out, field, True if field == "gone" else 9.0)
        assert self.order([row("one"), out], {}) == ["one"]


class TestEndpoint:
    def test_it_is_unresponsive_once_an_answer_is_outstanding_for_long(self) -> None:
        endpoint = row("two")
        assert not endpoint.is_suspect(100.0)
        endpoint.record_sent(1, 100.0)
        assert not endpoint.is_suspect(100.0 + MIN_SILENCE_S)
        assert endpoint.is_suspect(100.0 + 2 * MIN_SILENCE_S)
        endpoint.record_reply(1, 101.0, None)
        assert not endpoint.is_suspect(102.0)

    def test_an_answer_to_another_statement_shows_that_it_responds(self) -> None:
        endpoint = row("two")
        endpoint.record_sent(1, 100.0)
        endpoint.record_sent(2, 100.1)
        endpoint.record_reply(2, 100.5, None)
        assert not endpoint.is_suspect(101.0)

    def test_a_missing_entry_is_kept_for_a_while(self) -> None:
        endpoint = row("two")
        endpoint.missing_since = 10.0
        assert not endpoint.is_presumed_removed(10.0 + MISSING_GONE_S - 0.1)
        assert endpoint.is_presumed_removed(10.0 + MISSING_GONE_S)

    def test_a_leaving_primary_is_used_for_a_bounded_time(self) -> None:
        endpoint = row("one")
        endpoint.leaving_since = 10.0
        used_s = endpoint.entry.leaving_serves_s - LEAVING_MARGIN_S
        assert used_s == 5.5
        assert endpoint.may_still_lead(10.0 + used_s - 0.1)
        assert not endpoint.may_still_lead(10.0 + used_s)


class TestShares:
    @pytest.mark.parametrize(("connections", "boxes"), [(23, 9), (38, 8), (53, 71), (5, 1), (1, 9)])
    def test_shares_fit_the_endpoints_limit(self, connections: int, boxes: int) -> None:
        share = connection_share(connections, boxes)
        assert share >= 1
        assert share == 1 or share * boxes <= connections
