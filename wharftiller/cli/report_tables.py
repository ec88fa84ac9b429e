"""A run's report as tables, on a terminal or as an SVG picture."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.table import Table

from wharftiller.run_losses import Loss

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wharftiller.run_report import RunReport

COUNT_COLUMNS = ("refused", "unknown", "late", "of the refused: too early to replace")
"""Columns of counts in the tables of losses."""

BAR = "\u2588"
BAR_WIDTH = 40
"""Width of the longest bar, in characters."""


def tables_of(report: RunReport) -> Iterator[Table]:
    """Yield the tables of a report."""
    yield _reads(report)
    yield _failovers(report)
    yield _refusals(report)
    yield _losses(report)
    yield _causes(report)


def _reads(report: RunReport) -> Table:
    table = Table("reading", "by replicas", "by primaries", "part", title="Sampled reads")
    for share in report.reads:
        table.add_row(
            share.reading, str(share.by_replicas), str(share.by_primaries), f"{share.fraction:.0%}"
        )
    return table


def _failovers(report: RunReport) -> Table:
    table = Table(
        "group", "from", "to", "planned", "silent s", "change s", title="Changes of primary"
    )
    for failover in report.failovers:
        table.add_row(
            failover.group,
            failover.old,
            failover.successor,
            "yes" if failover.planned else "no",
            "" if failover.silent_s is None else f"{failover.silent_s:.2f}",
            f"{failover.failover_s:.2f}",
        )
    return table


def _refusals(report: RunReport) -> Table:
    table = Table("from second", "reason", "statements", title="Refused or unknown")
    for (begin, reason), count in report.refusals.items():
        table.add_row(f"{begin:.0f}", reason, str(count))
    return table


def _losses(report: RunReport) -> Table:
    table = Table(
        "from second", "cause", *COUNT_COLUMNS, "", title="Not served within the goal, by moment"
    )
    largest = max((loss.total for loss in report.losses), default=1)
    for loss in report.losses:
        bar = BAR * max(1, round(BAR_WIDTH * loss.total / largest))
        table.add_row(f"{loss.begin:.0f}", loss.cause, *_counts(loss), bar)
    return table


def _causes(report: RunReport) -> Table:
    table = Table("cause", *COUNT_COLUMNS, title="Not served within the goal, in all")
    causes: dict[str, Loss] = {}
    for loss in report.losses:
        total = causes.setdefault(loss.cause, Loss(0.0, loss.cause))
        total.refused += loss.refused
        total.unknown += loss.unknown
        total.late += loss.late
        total.before_failover += loss.before_failover
    for total in sorted(causes.values(), key=lambda each: -each.total):
        table.add_row(total.cause, *_counts(total))
    return table


def _counts(loss: Loss) -> tuple[str, ...]:
    return str(loss.refused), str(loss.unknown), str(loss.late), str(loss.before_failover)
