"""Run a plan with and without policies: ``python -m benchmarks.sessions PLAN``."""

from __future__ import annotations

import statistics
import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from benchmarks.sessions.plan import Plan, PlanError, load_plan
from benchmarks.sessions.policies import POLICIES, without
from benchmarks.sessions.run import run_plan

BAD_PLAN = 2
"""Exit status for an invalid plan."""

WIDTH = 120
OUTCOMES = ("in_time", "late", "refused", "unknown", "failed")


def _experiment(
    plan: Annotated[Path, typer.Argument(help="A TOML file.")],
    off: Annotated[
        list[str] | None, typer.Option("--without", help=f"Some of {', '.join(POLICIES)}; or all.")
    ] = None,
    runs: Annotated[int, typer.Option(help="Runs, each with its own seed.")] = 3,
    svg: Annotated[Path | None, typer.Option(help="Write the table there as a picture.")] = None,
) -> None:
    """Run a plan with all policies, and again without each policy named, one at a time."""
    try:
        loaded = load_plan(plan)
        names = list(POLICIES) if off == ["all"] else off or []
        rows = [("everything on", _outcome_fractions(loaded, [], runs))]
        rows += [(f"without {name}", _outcome_fractions(loaded, [name], runs)) for name in names]
    except PlanError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(BAD_PLAN) from None
    console = Console(record=svg is not None, width=WIDTH)
    console.print(_table(plan.stem, rows))
    if svg is not None:
        console.save_svg(str(svg), title=plan.stem)


def _outcome_fractions(plan: Plan, off: list[str], runs: int) -> list[dict[str, float]]:
    """Return the fractions of operations by outcome, for each run."""
    fractions = []
    with without(off):
        for seed in range(1, runs + 1):
            counts = run_plan(plan, seed).counts
            fractions.append({name: counts[name] / max(1, counts.total()) for name in OUTCOMES})
    return fractions


def _table(title: str, rows: list[tuple[str, list[dict[str, float]]]]) -> Table:
    table = Table("policies", *OUTCOMES, title=f"{title}: % of operations, mean and 95% interval")
    for name, runs in rows:
        table.add_row(name, *(_interval([100 * run[each] for run in runs]) for each in OUTCOMES))
    return table


def _interval(values: list[float]) -> str:
    mean = statistics.mean(values)
    if len(values) == 1:
        return f"{mean:.2f}"
    margin = 1.96 * statistics.stdev(values) / len(values) ** 0.5
    return f"{mean:.2f} ± {margin:.2f}"


if __name__ == "__main__":
    typer.run(_experiment)
