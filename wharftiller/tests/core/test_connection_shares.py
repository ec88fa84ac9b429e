"""All boxes' connections stay within a server's limit while their lists differ."""

from __future__ import annotations

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from wharftiller.core.connection_shares import NEW_BOX_CONNECTIONS, apply_box_list, connection_share
from wharftiller.core.tables import Tables

LAG_S = 10.0
LIMIT = 100


@attrs.define
class _Fleet:
    """Boxes that read a list with a lag of at most ``LAG_S``."""

    random: random.Random
    now: float = 0.0
    serial: int = 0
    changes: list[tuple[float, frozenset[str]]] = attrs.field(factory=lambda: [(-1e9, frozenset())])
    tables: dict[str, Tables] = attrs.field(factory=dict)

    def replace(self, removed: str | None) -> None:
        if removed is not None:
            del self.tables[removed]
        self.serial += 1
        name = f"box-{self.serial}"
        self.tables[name] = Tables(name, self.random, list_lag_s=LAG_S)
        self.changes.append((self.now, frozenset(self.tables)))

    def read_lists(self) -> None:
        for table in self.tables.values():
            seen_at = self.now - self.random.uniform(0, LAG_S)
            listed = [names for at, names in self.changes if at <= seen_at][-1]
            apply_box_list(table, tuple(sorted(listed)), self.now)

    def held(self) -> int:
        return sum(connection_share(each, LIMIT) for each in self.tables.values())


class TestConnectionShare:
    @given(st.integers(0, 10_000), st.integers(1, 9))
    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    def test_sum_of_shares_stays_within_the_limit(self, seed: int, boxes: int) -> None:
        fleet = _Fleet(random.Random(seed))
        for _ in range(boxes):
            fleet.replace(None)
        self._run(fleet, 30)
        for _ in range(6):
            leaving = fleet.random.choice([None, *sorted(fleet.tables)])
            fleet.replace(leaving)
            self._run(fleet, fleet.random.randint(21, 30))

    def _run(self, fleet: _Fleet, seconds: int) -> None:
        for _ in range(seconds):
            fleet.now += 1
            fleet.read_lists()
            new_boxes = [
                each
                for each in fleet.tables.values()
                if each.listed_since is None or each.list_read_at - each.listed_since < 2 * LAG_S
            ]
            if len(new_boxes) <= NEW_BOX_CONNECTIONS:
                assert fleet.held() <= LIMIT

    def test_new_box_takes_one_connection_until_every_list_shows_it(self) -> None:
        tables = Tables("a", random.Random(1), list_lag_s=LAG_S)
        for now in range(0, 20):
            apply_box_list(tables, ("a", "b"), float(now))
            assert connection_share(tables, LIMIT) == 1
        apply_box_list(tables, ("a", "b"), 20.0)
        assert connection_share(tables, LIMIT) == (LIMIT - NEW_BOX_CONNECTIONS) // 2

    def test_list_delivered_again_does_not_establish_a_new_box(self) -> None:
        tables = Tables("a", random.Random(1), list_lag_s=LAG_S)
        for _ in range(100):
            apply_box_list(tables, ("a", "b"), 5.0)
        assert connection_share(tables, LIMIT) == 1

    def test_list_that_cannot_be_read_changes_nothing(self) -> None:
        tables = Tables("a", random.Random(1), list_lag_s=LAG_S)
        for now in range(0, 31):
            apply_box_list(tables, ("a", "b", "c"), float(now))
        share = connection_share(tables, LIMIT)
        apply_box_list(tables, ("a",), 20.0)
        assert connection_share(tables, LIMIT) == share
