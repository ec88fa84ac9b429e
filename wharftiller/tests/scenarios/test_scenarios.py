"""Runs every scenario file in virtual time."""

from __future__ import annotations

from pathlib import Path

import pytest

from wharftiller.tests.scenarios.runner import run_scenario

SCENARIOS = sorted(Path(__file__).parent.glob("*.scenario"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    run_scenario(path)
