"""Play a plan with and without policies: ``python -m benchmarks.sessions PLAN``."""

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
from benchmarks.sessions.run import play

BAD_PLAN = 2
"""Exit status when a plan cannot be played."""

WIDTH = 120
COUNTS = ("in_time", "late", "refused", "unknown", "failed")


def _experiment(
    plan: Annotated[Path, typer.Argument(help="A TOML file.")],
    off: Annotated[
        list[str] | None, typer.Option("--without", help=f"Some of {', '.join(POLICIES)}; or all.")
    ] = None,
    runs: Annotated[int, typer.Option(help="Runs, each with its own seed.")] = 3,
    svg: Annotated[Path | None, typer.Option(help="Write the table there as a picture.")] = None,
) -> None:
    """Play a plan as it is, and again without each policy named, one at a time."""
    try:
        played = load_plan(plan)
        names = list(POLICIES) if off == ["all"] else off or []
        rows = [("everything on", _counts(played, [], runs))]
        rows += [(f"without {name}", _counts(played, [name], runs)) for name in names]
    except PlanError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(BAD_PLAN) from None
    console = Console(record=svg is not None, width=WIDTH)
    console.print(_table(plan.stem, rows))
    if svg is not None:
        console.save_svg(str(svg), title=plan.stem)


def _counts(plan: Plan, off: list[str], runs: int) -> list[dict[str, float]]:
    """Return the parts of operations by outcome, a run each."""
    found = []
    with without(off):
        for seed in range(1, runs + 1):
            counts = play(plan, seed).counts
            found.append({name: counts[name] / max(1, counts.total()) for name in COUNTS})
    return found


def _table(title: str, rows: list[tuple[str, list[dict[str, float]]]]) -> Table:
    table = Table("policies", *COUNTS, title=f"{title}: % of operations, mean and 95% interval")
    for name, runs in rows:
        table.add_row(name, *(_interval([100 * run[each] for run in runs]) for each in COUNTS))
    return table


def _interval(values: list[float]) -> str:
    mean = statistics.mean(values)
    if len(values) == 1:
        return f"{mean:.2f}"
    half = 1.96 * statistics.stdev(values) / len(values) ** 0.5
    return f"{mean:.2f} ± {half:.2f}"


if __name__ == "__main__":
    typer.run(_experiment)
