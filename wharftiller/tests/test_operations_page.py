"""docs/OPERATIONS.md names exactly the events and metrics of the sources."""

from __future__ import annotations

import re
from pathlib import Path

import wharftiller

PACKAGE = Path(wharftiller.__file__).parent
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
SOURCES = [
    path
    for path in sorted(PACKAGE.rglob("*.py"))
    if "tests" not in path.parts
    and ({"sessions", "platform"} & set(path.parts) or path.name == "decisions.py")
]
EVENT = re.compile(r"\.(?:change|event|_write)\(\s*\"([a-z_]+)\"")
CONDITIONAL = re.compile(r"\.(?:change|event)\(\s*\"([a-z_]+)\" if \w+ else \"([a-z_]+)\"")
NAMED = re.compile(r"`([a-z_]+)`")


def logged_events() -> set[str]:
    """Return the names of all events that the sources log."""
    found: set[str] = {"refused", "unsettled"}
    for path in SOURCES:
        text = path.read_text()
        found |= set(EVENT.findall(text))
        for pair in CONDITIONAL.findall(text):
            found |= set(pair)
    return found


def section(name: str) -> str:
    """Return the text of a section of the page."""
    return PAGE.read_text().partition(f"\n## {name}\n")[2].partition("\n## ")[0]


class TestEvents:
    def test_the_page_names_just_the_events_that_are_logged(self) -> None:
        named = set(NAMED.findall("".join(re.findall(r"^\| `.*?\|", section("Events"), re.M))))
        assert named == logged_events()


class TestMetrics:
    def test_the_page_names_just_the_metrics_that_are_exported(self) -> None:
        gauges = (PACKAGE / "daemons" / "sessions" / "gauges.py").read_text()
        found = set(re.findall(r"(?:_plain|Gauge)\(\s*\"([a-z_]+)\"", gauges))
        page = (PACKAGE / "edges" / "metrics_page.py").read_text()
        found |= set(re.findall(r"f\"\{PREFIX\}_([a-z_]+)\"", page))
        named = set(re.findall(r"`wharftiller_([a-z_]+)`", section("Metrics")))
        assert {name.removesuffix("_total") for name in named} == found
