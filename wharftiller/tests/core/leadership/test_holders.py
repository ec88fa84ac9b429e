"""The set of endpoints that may hold an acknowledged write."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.errors import BadRequestError
from wharftiller.core.leadership.holders import MAX_NAMES, HolderSet
from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.edges.holders_json import holders_from_json, holders_to_json

ONE, TWO, THREE = "10.2.0.1:5", "10.2.1.1:5", "10.2.2.1:5"


def entry(name: str, address: str) -> EndpointEntry:
    return EndpointEntry(name, "seats", address, "a", leads=False, leaving=False)


def stored(*addresses: str, updates: int = 1, is_restored: bool = False) -> HolderSet:
    members: dict[str, tuple[str, ...]] = {each: (f"at {each}",) for each in addresses}
    return HolderSet(members, True, 7, updates, is_restored)


class TestMembers:
    def test_endpoints_that_follow_each_other_at_one_address_are_one_member(self) -> None:
        holders = HolderSet().with_entries([entry("a", ONE), entry("b", TWO)])
        assert holders.lacks([entry("c", ONE)])
        holders = holders.with_entries([entry("c", ONE)])
        assert holders.members == {ONE: ("a", "c"), TWO: ("b",)}
        assert holders.addresses_of("a") == holders.addresses_of("c") == {ONE}
        assert not holders.lacks([entry("c", ONE), entry("b", TWO)])

    def test_only_the_newest_names_are_kept(self) -> None:
        holders = HolderSet()
        for number in range(MAX_NAMES + 2):
            holders = holders.with_entries([entry(f"n{number}", ONE)])
        assert len(holders.members[ONE]) == MAX_NAMES
        assert holders.addresses_of(f"n{MAX_NAMES + 1}") == {ONE}

    def test_a_member_is_removed_by_its_address(self) -> None:
        assert stored(ONE, TWO).without(ONE).members.keys() == {TWO}


class TestRestoration:
    @pytest.mark.parametrize(
        ("copy", "former", "expected"),
        [
            (stored(ONE, updates=3, is_restored=True), stored(ONE, TWO, updates=4), {ONE, TWO}),
            (stored(ONE, TWO, updates=3, is_restored=True), stored(ONE, updates=4), {ONE}),
            (stored(ONE, TWO, updates=5, is_restored=True), stored(THREE, updates=4), {ONE, TWO}),
            (stored(ONE, TWO, updates=5), stored(THREE, updates=4), {ONE, TWO, THREE}),
            (stored(ONE, updates=3), stored(ONE, TWO, updates=9), {ONE, TWO}),
            (HolderSet(), stored(ONE, TWO), {ONE, TWO}),
        ],
    )
    def test_changes_that_the_copy_lacks_are_made_again(
        self, copy: HolderSet, former: HolderSet, expected: set[str]
    ) -> None:
        merged = copy.with_changes_of(former)
        assert merged.members.keys() == expected
        assert merged.is_known
        assert merged.revision == copy.revision


class TestJson:
    def test_a_set_survives_the_way_to_the_platform(self) -> None:
        holders = attrs.evolve(stored(ONE, TWO, updates=5), members={ONE: ("a", "b"), TWO: ()})
        assert holders_from_json(holders_to_json("seats", holders), 7) == holders

    @pytest.mark.parametrize(
        "value",
        [
            7,
            {},
            {"members": 7},
            {"members": {"x": []}},
            {"members": {ONE: "a"}},
            {"members": {ONE: [1]}},
        ],
    )
    def test_anything_else_is_refused(self, value: object) -> None:
        with pytest.raises(BadRequestError, match="no holders"):
            holders_from_json(value, 1)
