"""Tests of applying intents to configurations."""

from __future__ import annotations

import pytest

from wharftiller.core.configuration import (
    Configuration,
    EndpointSpec,
    GroupSpec,
    PoolSpec,
    configuration_faults,
)
from wharftiller.core.errors import ConfigurationError
from wharftiller.core.intents import (
    ChangePool,
    ChangePrimary,
    CreateGroup,
    CreatePool,
    DrainEndpoint,
    Intent,
    RemoveGroup,
    apply_intent,
    differences,
)


def group(name: str = "g", count: int = 3) -> GroupSpec:
    endpoints = tuple(
        EndpointSpec(f"{name}-{letter}", "hall-1", "127.0.0.1:1", "127.0.0.1:2")
        for letter in "abcd"[:count]
    )
    return GroupSpec(name, endpoints)


START = Configuration(4, {"p": PoolSpec("p", ("g",), {"rila": "g"})}, {"g": group()})


class TestApplyIntent:
    @pytest.mark.parametrize(
        ("intent", "message"),
        [
            (CreatePool(PoolSpec("p", ())), "exists already"),
            (RemoveGroup("g"), "used by pools"),
            (RemoveGroup("x"), "known are ['g']"),
            (ChangePrimary("g", "g-z"), "none of group 'g'"),
            (ChangePool("p", add_groups=("h",), add_businesses={"rila": "h"}), "left behind"),
        ],
    )
    def test_refusal_names_the_remedy(self, intent: Intent, message: str) -> None:
        with pytest.raises(ConfigurationError, match=message.replace("[", r"\[")):
            apply_intent(START, intent, "plan")

    def test_drain_marks_one_endpoint(self) -> None:
        drained = apply_intent(START, DrainEndpoint("g", "g-b"), "plan")
        leaving = [each.name for each in drained.groups["g"].endpoints if each.leaving]
        assert leaving == ["g-b"]
        assert START.groups["g"].endpoints[1].leaving is False


class TestConfigurationFaults:
    def test_every_broken_rule_is_reported(self) -> None:
        wanted = apply_intent(START, CreateGroup(group("h", 2)), "plan")
        wanted = apply_intent(wanted, CreatePool(PoolSpec("q", ("x",), {"b": "y"})), "plan")
        faults = configuration_faults(wanted)
        assert len(faults) == 3
        assert "exactly three" in faults[0]

    @pytest.mark.parametrize("name", ["a/b", "", "x" * 65, "name with spaces"])
    def test_invalid_name_is_refused(self, name: str) -> None:
        pool = PoolSpec("q", ("g",), {name: "g"})
        wanted = apply_intent(START, CreatePool(pool), "plan")
        assert "is not a valid name" in configuration_faults(wanted)[0]

    def test_business_of_two_pools_on_one_group_is_refused(self) -> None:
        pool = PoolSpec("q", ("g",), {"rila": "g"})
        wanted = apply_intent(START, CreatePool(pool), "plan")
        assert "would share its rows" in configuration_faults(wanted)[0]

    def test_two_drained_endpoints_are_refused(self) -> None:
        once = apply_intent(START, DrainEndpoint("g", "g-b"), "plan")
        twice = apply_intent(once, DrainEndpoint("g", "g-a"), "plan")
        assert configuration_faults(once) == []
        assert "one at a time" in configuration_faults(twice)[0]


class TestDifferences:
    def test_only_what_differs_is_listed(self) -> None:
        old = {"a": {"x": 1, "y": [1, 2]}, "b": None}
        new = {"a": {"x": 2, "y": [1, 3]}, "b": {"name": "q"}}
        assert differences(old, new) == ["a.x: 1 -> 2", "a.y[1]: 2 -> 3", "b: nothing -> 'q'"]
