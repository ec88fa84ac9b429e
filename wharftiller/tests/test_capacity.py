"""Tests of the arithmetic of docs/CAPACITY.md on known numbers."""

from __future__ import annotations

from collections import defaultdict

import pytest

from benchmarks.capacity import fill_tables
from benchmarks.capacity_rows import platform_rows, proxy_rows, relay_rows, steward_rows
from benchmarks.capacity_scale import Row, Scale

ONES: dict[str, float] = defaultdict(lambda: 1.0)
SMALL = Scale(daemons=100, databases=1_000, connections=5_000, statements_per_s=2_000)


def result(rows: list[Row], what: str) -> float:
    return next(row.result for row in rows if row.what.startswith(what))


class TestRows:
    @pytest.mark.parametrize(
        ("rows", "what", "expected"),
        [
            (proxy_rows, "caller connections", 5_000 / 100 * 1.0 / 1e6),
            (proxy_rows, "statements", 100 * 20 / 1.0),
            (proxy_rows, "configuration held, all", 1_000 / 1e6),
            (proxy_rows, "configuration held, home", 1_000 * 3 * 3 / 100 / 1e6),
            (steward_rows, "groups watched", 1_000 * 2 * 3 / 100),
            (steward_rows, "reports, network", 60 / 1.04 * 1.4 / 1e3),
            (steward_rows, "changes received", 13_000 / 86_400 / 1e3),
            (relay_rows, "one change to every follower", (100 / 12 - 3) / 3),
            (relay_rows, "one shard object", 1_000 / 256 / 1e3),
            (platform_rows, "steady reads", 36 / 5 + 36 / 5),
            (platform_rows, "reads of one change within", 108),
            (platform_rows, "writes with a lease", 1_000 / 3),
        ],
    )
    def test_result(self, rows, what: str, expected: float) -> None:  # type: ignore[no-untyped-def]
        assert result(rows(SMALL, ONES), what) == pytest.approx(expected)

    def test_row_says_whether_its_limit_is_held(self) -> None:
        row = Row("x", "1 × 2", 2.0, "MB", 1.0, "m", "built")
        assert "**missed**" in row.line()
        assert "held" in Row("x", "1 × 2", 2.0, "MB", 2.0, "m", "built").line()


class TestFillTables:
    def test_tables_are_replaced_and_the_rest_kept(self) -> None:
        page = "a\n<!-- t -->\nold\n<!-- end of t -->\nb\n"
        once = fill_tables(page, {"t": "new"})
        assert once == "a\n<!-- t -->\nnew\n<!-- end of t -->\nb\n"
        assert fill_tables(once, {"t": "new"}) == once
