"""Compute the tables of docs/CAPACITY.md from the measured slopes: ``make capacity``."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from benchmarks.capacity_rows import (
    burst_rows,
    platform_rows,
    proxy_rows,
    relay_rows,
    steward_rows,
)
from benchmarks.capacity_scale import Row, Scale

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
SLOPES_FILE = Path(__file__).with_name("slopes.json")


TABLES = {
    "proxy": proxy_rows,
    "steward": steward_rows,
    "relay": relay_rows,
    "platform": platform_rows,
    "bursts": burst_rows,
}


def rows_table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    head = "| what | arithmetic | result | limit | mechanism | state |"
    return "\n".join([head, "| --- " * 6 + "|", *(row.line() for row in rows)])


def slopes_table(slopes: dict[str, dict[str, float]]) -> str:
    """Return the measured slopes as a Markdown table."""
    lines = ["| slope | median | lowest | highest | runs |", "| --- | --- | --- | --- | --- |"]
    for name, slope in slopes.items():
        values = " | ".join(f"{slope[key]:.4g}" for key in ("median", "low", "high"))
        lines.append(f"| {name} | {values} | {slope['runs']:.0f} |")
    return "\n".join(lines)


def fill_tables(page: str, tables: dict[str, str]) -> str:
    """Return ``page`` with each table between its begin and end markers."""
    for name, text in tables.items():
        begin, end = f"<!-- {name} -->", f"<!-- end of {name} -->"
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(end)
        page = f"{before}{begin}\n{text}\n{end}{after}"
    return page


def main() -> None:
    """Write the tables into docs/CAPACITY.md."""
    if not SLOPES_FILE.exists():
        sys.exit("slopes.json is missing; run scripts/slopes.sh and scripts/live.sh to measure it")
    measured = json.loads(SLOPES_FILE.read_text())
    slopes = {name: slope["median"] for name, slope in measured.items()}
    tables = {name: rows_table(rows(Scale(), slopes)) for name, rows in TABLES.items()}
    tables["slopes"] = slopes_table(measured)
    PAGE.write_text(fill_tables(PAGE.read_text(), tables), encoding="utf-8")


if __name__ == "__main__":
    main()
