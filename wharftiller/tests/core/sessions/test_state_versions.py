"""Tests of whether another box has newer state."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.core.sessions.state_versions import StateVersions, digest_of

MINE = StateVersions(version=3, endpoints_revision=10, endpoints_digest=7)
ENTRIES = [
    EndpointEntry(name, "seats", "10.2.0.1:5", "a", leads=False, leaving=False) for name in "abc"
]


class TestStateVersions:
    @pytest.mark.parametrize(
        ("changes", "configuration", "endpoints"),
        [
            ({}, False, False),
            ({"version": 4}, True, False),
            ({"version": 2}, False, False),
            ({"endpoints_revision": 11}, False, False),
            ({"endpoints_revision": 11, "endpoints_digest": 8}, False, True),
            ({"endpoints_revision": 9, "endpoints_digest": 8}, False, False),
        ],
    )
    def test_only_what_is_newer_and_different_is_lacked(
        self, changes: dict[str, int], configuration: bool, endpoints: bool
    ) -> None:
        theirs = attrs.evolve(MINE, **changes)
        assert MINE.lacks_configuration(theirs) is configuration
        assert MINE.lacks_endpoints(theirs) is endpoints
        assert MINE.lacks(theirs) is (configuration or endpoints)

    def test_json_round_trip(self) -> None:
        assert StateVersions.from_json(MINE.to_json()) == MINE

    @pytest.mark.parametrize("value", [None, [], [1, 2], [1, 2, "x"], "123456", {"version": 1}])
    def test_anything_else_is_refused(self, value: object) -> None:
        with pytest.raises((TypeError, ValueError)):
            StateVersions.from_json(value)  # type: ignore[arg-type]


class TestDigest:
    def test_the_order_does_not_matter(self) -> None:
        assert digest_of(ENTRIES) == digest_of(reversed(ENTRIES))

    def test_any_field_does(self) -> None:
        changed = [*ENTRIES[:2], attrs.evolve(ENTRIES[2], leaving=True)]
        assert digest_of(ENTRIES) != digest_of(changed)
        assert digest_of(ENTRIES) != digest_of(ENTRIES[:2])
