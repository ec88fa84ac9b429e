"""No acknowledged write is lost, in recorded, random and generated message histories."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wharftiller.core.messages import Report
from wharftiller.core.positions import LogPosition
from wharftiller.core.replication import has_replicated
from wharftiller.tests.fakes.histories import (
    History,
    Op,
    Rule,
    Step,
    random_steps,
    read_steps,
)

TRACES = Path(__file__).parent.parent / "traces"
RANDOM_HISTORIES = 4_000


def log_term_alone(report: Report, target: LogPosition) -> bool:
    return report.log_term == target.term and report.position >= target.index


def promised_term_alone(report: Report, target: LogPosition) -> bool:
    return report.promised == target.term and report.position >= target.index


WEAKER_RULES: dict[str, tuple[Rule, int]] = {
    "log_term_alone": (log_term_alone, 2),
    "promised_term_alone": (promised_term_alone, 2),
    "fence_of_one": (has_replicated, 1),
}


class TestAcknowledgement:
    @pytest.mark.parametrize(
        "path", sorted(TRACES.glob("*.history.jsonl")), ids=lambda path: path.name
    )
    def test_recorded_history_loses_nothing(self, path: Path) -> None:
        history = History(has_replicated).run(read_steps(path))
        assert history.lost == []

    @pytest.mark.parametrize("name", sorted(WEAKER_RULES))
    def test_recorded_history_loses_under_the_weaker_rule(self, name: str) -> None:
        rule, majority = WEAKER_RULES[name]
        path = TRACES / f"{name}.history.jsonl"
        assert History(rule, majority).run(read_steps(path)).lost != []

    def test_random_histories_lose_nothing(self) -> None:
        acknowledged = 0
        for seed in range(RANDOM_HISTORIES):
            history = History(has_replicated).run(random_steps(random.Random(seed), 80))
            assert history.lost == [], f"seed {seed}"
            acknowledged += len(history.acknowledged)
        assert acknowledged > RANDOM_HISTORIES / 10

    @given(st.lists(st.builds(Step, st.sampled_from(Op), st.integers(0, 999)), max_size=60))
    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    def test_any_history_loses_nothing(self, steps: list[Step]) -> None:
        assert History(has_replicated).run(steps).lost == []


class TestHasReplicated:
    @pytest.mark.parametrize(
        ("promised", "log_term", "position", "expected"),
        [
            (3, 3, 7, True),
            (3, 3, 6, False),
            (4, 3, 7, False),
            (3, 2, 9, False),
            (4, 4, 9, False),
        ],
    )
    def test_both_terms_and_the_position_count(
        self, promised: int, log_term: int, position: int, expected: bool
    ) -> None:
        report = Report("b", promised, log_term, position)
        assert has_replicated(report, LogPosition(3, 7)) is expected
