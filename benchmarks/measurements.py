"""Measured quantities: the values of several runs, printed as a line."""

from __future__ import annotations

import statistics

import attrs


@attrs.frozen
class Measurement:
    """One measured quantity.

    Attributes
    ----------
    values : tuple of float
        One value for each run.
    aim : str
        Target of the requirements; empty if there is none.
    """

    name: str
    unit: str
    values: tuple[float, ...]
    aim: str = ""

    def line(self) -> str:
        """Return name, median, unit, spread and aim."""
        if not self.values:
            return f"{self.name}  not measured"
        median = statistics.median(self.values)
        low, high = min(self.values), max(self.values)
        spread = f"{len(self.values)} runs, {low:.4g} to {high:.4g}"
        aim = f"; aim {self.aim}" if self.aim else ""
        return f"{self.name}  {median:.4g}  {self.unit}  ({spread}{aim})"


def merge_runs(runs: list[list[Measurement]]) -> list[Measurement]:
    """Return one measurement for each name, with the values of every run."""
    merged: dict[str, Measurement] = {}
    for run in runs:
        for measurement in run:
            before = merged.get(measurement.name)
            values = (*before.values, *measurement.values) if before else measurement.values
            merged[measurement.name] = attrs.evolve(measurement, values=values)
    return list(merged.values())


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` (0 to 1) of ``values`` lie; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
