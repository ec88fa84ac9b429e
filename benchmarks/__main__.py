"""Run experiments and print a line for each measurement: ``python -m benchmarks``."""

from __future__ import annotations

import os
from typing import Annotated

import typer

from benchmarks.experiments import EXPERIMENTS
from benchmarks.measurements import merge_runs
from benchmarks.model import DEPLOYMENTS


def _experiments(
    only: Annotated[list[str] | None, typer.Option(help=f"Some of {sorted(EXPERIMENTS)}.")] = None,
    deployment: Annotated[
        list[str] | None, typer.Option(help=f"Some of {sorted(DEPLOYMENTS)}.")
    ] = None,
    runs: Annotated[int, typer.Option(help="Runs of each experiment, each with its own seed.")] = 5,
) -> None:
    """Measure policies under load and faults, in virtual time; a seed gives the same values."""
    typer.echo(f"# {os.cpu_count()} cores; virtual time; seeds 1 to {runs}")
    for deployment_name in deployment or sorted(DEPLOYMENTS):
        for name in only or EXPERIMENTS:
            experiment = EXPERIMENTS[name]
            results = [
                experiment(DEPLOYMENTS[deployment_name], seed) for seed in range(1, runs + 1)
            ]
            for measurement in merge_runs(results):
                typer.echo(f"{deployment_name}: {measurement.line()}")


if __name__ == "__main__":
    typer.run(_experiments)
