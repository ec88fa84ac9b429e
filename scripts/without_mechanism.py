"""Make a copy of the tree with one mechanism taken out; see scripts/prove.sh."""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
COPIED = ("wharftiller", "standins", "benchmarks", "scripts", "pyproject.toml")


def mechanisms() -> list[dict[str, Any]]:
    """Return every mechanism of the list."""
    text = (ROOT / "wharftiller/tests/mechanisms.toml").read_text(encoding="utf-8")
    found: list[dict[str, Any]] = tomllib.loads(text)["mechanism"]
    return found


def make(number: int, target: Path) -> None:
    """Copy the tree to ``target`` without mechanism ``number`` and print its name."""
    mechanism = mechanisms()[number]
    print(mechanism["name"])
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, target / name)
    path = target / mechanism["file"]
    text = path.read_text(encoding="utf-8")
    if mechanism["find"] not in text:
        sys.exit(
            f"the text of {mechanism['name']!r} is not in {mechanism['file']}; update the list"
        )
    path.write_text(text.replace(mechanism["find"], mechanism["put"], 1), encoding="utf-8")


match sys.argv[1:]:
    case ["count"]:
        print(len(mechanisms()))
    case ["tests", number]:
        print(mechanisms()[int(number)]["tests"])
    case ["make", number, folder]:
        make(int(number), Path(folder))
    case _:
        sys.exit("usage: without_mechanism.py count | tests NUMBER | make NUMBER FOLDER")
