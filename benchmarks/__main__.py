"""Run experiments and print a line a figure: ``python -m benchmarks``."""

from __future__ import annotations

import os
from typing import Annotated

import typer

from benchmarks.experiments import EXPERIMENTS
from benchmarks.measurements import merged
from benchmarks.model import DEPLOYMENTS


def _experiments(
    only: Annotated[list[str] | None, typer.Option(help=f"Some of {sorted(EXPERIMENTS)}.")] = None,
    deployment: Annotated[
        list[str] | None, typer.Option(help=f"Some of {sorted(DEPLOYMENTS)}.")
    ] = None,
    runs: Annotated[int, typer.Option(help="Runs a figure, each with its own seed.")] = 5,
) -> None:
    """Measure policy under load and faults, in virtual time; a seed gives the same figures."""
    typer.echo(f"# {os.cpu_count()} cores; virtual time; seeds 1 to {runs}")
    for place in deployment or sorted(DEPLOYMENTS):
        for name in only or EXPERIMENTS:
            experiment = EXPERIMENTS[name]
            results = [experiment(DEPLOYMENTS[place], seed) for seed in range(1, runs + 1)]
            for measurement in merged(results):
                typer.echo(f"{place}: {measurement.line()}")


if __name__ == "__main__":
    typer.run(_experiments)
