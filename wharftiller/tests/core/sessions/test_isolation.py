"""Tests of when a box is isolated, and of the sessions that it sheds then."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.sessions.isolation import (
    BALANCER_REACTION_S,
    MAX_ISOLATED_S,
    EnterIsolation,
    Isolation,
    IsolationInputs,
    LeaveIsolation,
    ShedSessions,
    Unchanged,
)

CUT_OFF = IsolationInputs(
    now=10.0,
    groups=3,
    unusable=frozenset({"one", "two"}),
    away={"one": "b", "two": "c"},
    elsewhere=frozenset({"b", "c"}),
    silent=frozenset({"b", "c"}),
)
"""A box of data centre a, cut off from the others."""


def isolated() -> Isolation:
    isolation = Isolation()
    assert isolation.decide(CUT_OFF) == EnterIsolation(frozenset({"b", "c"}))
    return isolation


def later(by_s: float, **changes: object) -> IsolationInputs:
    return attrs.evolve(CUT_OFF, now=CUT_OFF.now + by_s, **changes)  # type: ignore[arg-type]


class TestBegin:
    @pytest.mark.parametrize(
        "inputs",
        [
            attrs.evolve(CUT_OFF, groups=4),
            attrs.evolve(CUT_OFF, silent=frozenset({"b"})),
            attrs.evolve(CUT_OFF, silent=frozenset()),
            attrs.evolve(CUT_OFF, away={"one": "b"}),
        ],
        ids=["half", "some-answer", "all-answer", "one-stands-here"],
    )
    def test_it_begins_only_if_most_primaries_are_out_of_reach(
        self, inputs: IsolationInputs
    ) -> None:
        assert Isolation().decide(inputs) == Unchanged()

    def test_no_data_centre_is_probed_while_most_primaries_can_be_used(self) -> None:
        assert not Isolation().centres_to_probe(attrs.evolve(CUT_OFF, groups=4))
        assert Isolation().centres_to_probe(CUT_OFF) == {"b", "c"}


class TestEnd:
    def test_it_ends_once_one_data_centre_answers(self) -> None:
        isolation = isolated()
        assert isolation.decide(later(1.0, silent=frozenset({"b"}))) == LeaveIsolation()
        assert isolation.since is None

    def test_it_lasts_while_all_data_centres_are_silent(self) -> None:
        isolation = isolated()
        assert isinstance(isolation.decide(later(MAX_ISOLATED_S + 1)), ShedSessions)
        assert isolation.decide(later(MAX_ISOLATED_S + 9)) == Unchanged()

    def test_it_expires_where_a_further_data_centre_is_reached(self) -> None:
        isolation = isolated()
        further = frozenset({"b", "c", "d"})
        assert isolation.decide(later(MAX_ISOLATED_S + 1, elsewhere=further)) == LeaveIsolation()
        assert isolation.decide(later(MAX_ISOLATED_S + 2, elsewhere=further)) == Unchanged()


class TestSessions:
    def test_they_are_shed_once_when_the_balancer_has_reacted(self) -> None:
        isolation = isolated()
        assert isolation.decide(later(BALANCER_REACTION_S - 0.1)) == Unchanged()
        assert isolation.decide(later(BALANCER_REACTION_S + 0.1)) == ShedSessions(CUT_OFF.unusable)
        assert isolation.decide(later(BALANCER_REACTION_S + 1.0)) == Unchanged()
