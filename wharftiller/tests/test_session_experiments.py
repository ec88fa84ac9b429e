"""Experiments on the session proxy: plans, policies and runs."""

from __future__ import annotations

import importlib
from pathlib import Path

import pytest

from benchmarks.sessions.plan import Fault, Plan, PlanError, load_plan
from benchmarks.sessions.policies import POLICIES, without
from benchmarks.sessions.run import run_plan

PLANS = Path(__file__).parents[2] / "benchmarks" / "sessions" / "plans"
SMALL = Plan(boxes=[1, 1], operations_per_s=30.0, sessions=20, length_s=3.0)


class TestPlans:
    @pytest.mark.parametrize("path", sorted(PLANS.glob("*.toml")), ids=lambda path: path.stem)
    def test_each_saved_plan_loads(self, path: Path) -> None:
        assert load_plan(path).faults

    @pytest.mark.parametrize(
        ("text", "named"),
        [
            ("boxes = [3]", "boxes"),
            ("box = 3", "box"),
            ("length_s", "no plan"),
            ('[[faults]]\nkind = "flood"\nat = 1', "flood"),
        ],
    )
    def test_an_invalid_plan_is_refused_with_its_cause(
        self, text: str, named: str, tmp_path: Path
    ) -> None:
        path = tmp_path / "plan.toml"
        path.write_text(text)
        with pytest.raises(PlanError, match=named):
            load_plan(path)


class TestPolicies:
    @pytest.mark.parametrize("name", sorted(POLICIES))
    def test_each_is_switched_off_and_restored(self, name: str) -> None:
        policy = POLICIES[name]
        module = importlib.import_module(policy.module)
        before = getattr(module, policy.name)
        assert before != policy.off
        with without([name]):
            assert getattr(module, policy.name) == policy.off
        assert getattr(module, policy.name) == before

    def test_an_unknown_policy_is_refused(self) -> None:
        with pytest.raises(PlanError, match="no policy 'luck'"), without(["luck"]):
            pass


class TestRuns:
    def test_a_run_without_faults_serves_all_in_time(self) -> None:
        outcomes = run_plan(SMALL, 1)
        assert outcomes.counts.total() > 60
        assert outcomes.in_time > 0.99

    def test_boxes_fail_without_power_and_recover(self) -> None:
        plan = Plan(
            boxes=[1, 1],
            operations_per_s=30.0,
            sessions=20,
            length_s=6.0,
            faults=[Fault("power_off_all", at=1.0, for_s=1.0)],
        )
        outcomes = run_plan(plan, 1)
        assert 0.5 < outcomes.in_time < 0.95
