"""A run's report as tables, on a terminal or as an SVG picture."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.table import Table

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wharftiller.run_report import RunReport


def tables_of(report: RunReport) -> Iterator[Table]:
    """Yield the tables of a report."""
    yield _reads(report)
    yield _changes(report)
    yield _refusals(report)


def _reads(report: RunReport) -> Table:
    table = Table("reading", "by replicas", "by primaries", "part", title="Sampled reads")
    for share in report.reads:
        table.add_row(
            share.reading, str(share.by_replicas), str(share.by_primaries), f"{share.part:.0%}"
        )
    return table


def _changes(report: RunReport) -> Table:
    table = Table(
        "group", "from", "to", "planned", "silent s", "change s", title="Changes of primary"
    )
    for change in report.changes:
        table.add_row(
            change.group,
            change.old,
            change.successor,
            "yes" if change.planned else "no",
            "" if change.silent_s is None else f"{change.silent_s:.2f}",
            f"{change.change_s:.2f}",
        )
    return table


def _refusals(report: RunReport) -> Table:
    table = Table("from second", "reason", "statements", title="Refused or unknown")
    for (begin, reason), count in report.refusals.items():
        table.add_row(f"{begin:.0f}", reason, str(count))
    return table
