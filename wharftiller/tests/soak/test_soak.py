"""A short soak test with fixed seeds, and tests of the checks on its history."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest
import trio

from wharftiller.tests.soak.history import Commit, History, ReadResult, WriteOutcome
from wharftiller.tests.soak.run import Shape, SoakRun

SHORT = Shape(seconds=5.0)
SCARCE = attrs.evolve(SHORT, boxes=6, connections=8)

COMMIT = Commit("1", "seat", 1, "seats", "seats-0", 1, 10.0)
DONE = WriteOutcome("1", "seat", 1, "done", 10.1)
READ = ReadResult("2", "seat", "primary", 0, 11.0, 0)


class TestSoak:
    @pytest.mark.parametrize(("seed", "shape"), [(2, SHORT), (8, SCARCE)])
    def test_no_guarantee_is_violated(self, seed: int, shape: Shape, tmp_path: Path) -> None:
        run = SoakRun(seed, shape, tmp_path)
        assert trio.run(run.run) == []
        assert run.history.writes
        assert run.history.reads


class TestHistory:
    def test_a_correct_history_has_no_violation(self) -> None:
        read = attrs.evolve(READ, number=1)
        assert History(commits=[COMMIT], writes=[DONE], reads=[read]).violations() == []

    @pytest.mark.parametrize(
        ("history", "expected_text"),
        [
            (History(writes=[DONE]), "committed nowhere"),
            (History(commits=[COMMIT, COMMIT], writes=[DONE]), "2 times"),
            (History(commits=[COMMIT], writes=[attrs.evolve(DONE, code="ABORTED")]), "refused"),
            (
                History(commits=[COMMIT], writes=[DONE], promoted_at={("seats", 2): 9.0}),
                "newer one led",
            ),
            (History(commits=[COMMIT], writes=[DONE], reads=[READ]), "saw 0"),
            (
                History(
                    commits=[COMMIT],
                    writes=[DONE],
                    reads=[attrs.evolve(READ, kind="bounded_staleness", started_at=11.7)],
                ),
                "saw 0",
            ),
            (
                History(
                    commits=[COMMIT],
                    writes=[DONE],
                    reads=[attrs.evolve(READ, kind="read_own_writes", own_number=1)],
                ),
                "saw 0",
            ),
        ],
    )
    def test_a_violation_is_found(self, history: History, expected_text: str) -> None:
        assert expected_text in " ".join(history.violations())

    def test_a_promotion_in_another_group_is_no_violation(self) -> None:
        """Terms of different groups are not compared."""
        history = History(commits=[COMMIT], writes=[DONE], promoted_at={("tours", 2): 9.0})
        assert history.violations() == []

    def test_a_bounded_read_may_miss_a_recent_write(self) -> None:
        read = attrs.evolve(READ, kind="bounded_staleness", started_at=10.5)
        assert History(commits=[COMMIT], writes=[DONE], reads=[read]).violations() == []

    def test_a_write_rolled_back_by_a_promotion_need_not_be_seen(self) -> None:
        history = History(commits=[COMMIT], writes=[DONE], reads=[READ], rolled_back={"1"})
        assert history.violations() == []
