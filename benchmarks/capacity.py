"""Work out the tables of docs/CAPACITY.md from the measured slopes: ``make capacity``."""

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


def table(rows: list[Row]) -> str:
    """Return a Markdown table."""
    head = "| what | arithmetic | result | limit | mechanism | state |"
    return "\n".join([head, "| --- " * 6 + "|", *(row.line() for row in rows)])


def slopes_table(found: dict[str, dict[str, float]]) -> str:
    """Return the measured slopes as a Markdown table."""
    lines = ["| slope | median | lowest | highest | runs |", "| --- | --- | --- | --- | --- |"]
    for name, slope in found.items():
        figures = " | ".join(f"{slope[part]:.4g}" for part in ("median", "low", "high"))
        lines.append(f"| {name} | {figures} | {slope['runs']:.0f} |")
    return "\n".join(lines)


def filled(page: str, tables: dict[str, str]) -> str:
    """Return ``page`` with each table put between its two marks."""
    for name, text in tables.items():
        begin, end = f"<!-- {name} -->", f"<!-- end of {name} -->"
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(end)
        page = f"{before}{begin}\n{text}\n{end}{after}"
    return page


def main() -> None:
    """Write the tables into the page."""
    if not SLOPES_FILE.exists():
        sys.exit("no slopes.json; measure first with scripts/slopes.sh and scripts/live.sh")
    found = json.loads(SLOPES_FILE.read_text())
    slopes = {name: slope["median"] for name, slope in found.items()}
    tables = {name: table(rows(Scale(), slopes)) for name, rows in TABLES.items()}
    tables["slopes"] = slopes_table(found)
    PAGE.write_text(filled(PAGE.read_text(), tables), encoding="utf-8")


if __name__ == "__main__":
    main()
