"""Successor of an unverified primary: guards against the promotion of an outdated endpoint."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.leadership.record import Leading
from wharftiller.core.leadership.verification import (
    ORDERS_EFFECT_S,
    VerificationEvidence,
    choose_successor,
)
from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.statements import EndpointStatus

RECORDED = Leading("one", 1, is_unverified=True)


def status(term: int, index: int, *, leads: bool = False) -> EndpointStatus:
    return EndpointStatus(leads, term, LogPosition(term, index), connections=1)


STILL_LED = {"one": status(1, 9, leads=True), "two": status(1, 8), "three": status(1, 9)}
REPLACED = {
    "one": status(1, 12, leads=True),
    "two": status(2, 9, leads=True),
    "three": status(2, 9),
}


def evidence(
    statuses: dict[str, EndpointStatus], *silent: str, **changes: object
) -> VerificationEvidence:
    known = VerificationEvidence(
        statuses, frozenset(silent), frozenset(), ORDERS_EFFECT_S, is_settled=False
    )
    return attrs.evolve(known, **changes)  # type: ignore[arg-type]


class TestAllAnswer:
    def test_a_recorded_primary_that_reports_to_lead_is_kept(self) -> None:
        assert choose_successor(RECORDED, evidence(STILL_LED)) == "one"

    def test_a_newer_term_refutes_the_record(self) -> None:
        """Even if the log of the old primary is longer."""
        assert choose_successor(RECORDED, evidence(REPLACED)) == "two"

    def test_orders_from_before_may_still_take_effect(self) -> None:
        early = evidence(STILL_LED, unverified_s=ORDERS_EFFECT_S - 0.1)
        assert choose_successor(RECORDED, early) is None

    def test_nobody_leads_the_newest_term(self) -> None:
        statuses = {"one": status(1, 12, leads=True), "three": status(2, 9)}
        assert choose_successor(RECORDED, evidence(statuses)) is None
        assert choose_successor(RECORDED, evidence(statuses, is_settled=True)) == "three"


class TestSomeAreUnresponsive:
    @pytest.mark.parametrize(
        "unseen",
        [{"silent": frozenset({"two"})}, {"vanished": frozenset({"two"})}],
        ids=["registered", "gone"],
    )
    def test_an_unreachable_endpoint_may_be_in_use(self, unseen: dict[str, object]) -> None:
        statuses = {"one": status(1, 12, leads=True), "three": status(1, 9)}
        assert choose_successor(RECORDED, evidence(statuses, **unseen)) is None
        assert choose_successor(RECORDED, evidence(statuses, **unseen, is_settled=True)) == "one"

    def test_a_newer_term_of_a_replica_refutes_the_record_too(self) -> None:
        statuses = {"one": status(1, 12, leads=True), "three": status(2, 9)}
        assert choose_successor(RECORDED, evidence(statuses, "two", is_settled=True)) == "three"

    def test_no_acknowledged_write_is_left_behind(self) -> None:
        """Each write is on two of three endpoints, so only one may be unresponsive."""
        primary = {"one": STILL_LED["one"]}
        both = {**primary, "two": STILL_LED["two"]}
        two = evidence(both, "three", is_settled=True, sync_replicas=1)
        one = evidence(primary, "two", "three", is_settled=True, sync_replicas=1)
        assert choose_successor(RECORDED, two) == "one"
        assert choose_successor(RECORDED, one) is None

    def test_a_leader_beside_holders_that_have_ended_is_kept_once_all_leases_are_over(self) -> None:
        """One that had crashed would have returned by then."""
        ended = {"ended": frozenset({"10.2.4.1:5", "10.2.5.1:5"}), "sync_replicas": 1}
        assert choose_successor(RECORDED, evidence(STILL_LED, **ended)) is None
        assert choose_successor(RECORDED, evidence(STILL_LED, **ended, is_settled=True)) == "one"

    def test_holders_that_have_ended_count_where_nobody_leads(self) -> None:
        statuses = {"one": status(1, 12), "three": status(1, 9)}
        both = evidence(statuses, "two", is_settled=True, sync_replicas=1)
        assert choose_successor(RECORDED, both) == "one"
        ended = attrs.evolve(both, ended=frozenset({"10.2.4.1:5"}))
        assert choose_successor(RECORDED, ended) is None

    def test_nothing_is_decided_while_nobody_answers(self) -> None:
        nobody = evidence({}, "one", "two", "three", is_settled=True)
        assert choose_successor(RECORDED, nobody) is None
