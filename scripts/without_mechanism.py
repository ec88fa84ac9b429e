"""Make a copy of the tree with one mechanism removed; see scripts/prove.sh."""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
COPIED = ("wharftiller", "standins", "benchmarks", "scripts", "pyproject.toml", "KNOWN-RED.txt")


def load_mechanisms() -> list[dict[str, Any]]:
    """Return the mechanisms of wharftiller/tests/mechanisms.toml."""
    text = (ROOT / "wharftiller/tests/mechanisms.toml").read_text(encoding="utf-8")
    mechanisms: list[dict[str, Any]] = tomllib.loads(text)["mechanism"]
    return mechanisms


def make_copy(number: int, target: Path) -> None:
    """Copy the tree to ``target`` without mechanism ``number`` and print its name."""
    mechanism = load_mechanisms()[number]
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
            f"the find text of {mechanism['name']!r} is not in {mechanism['file']}; "
            "update wharftiller/tests/mechanisms.toml"
        )
    path.write_text(text.replace(mechanism["find"], mechanism["put"], 1), encoding="utf-8")


match sys.argv[1:]:
    case ["count"]:
        print(len(load_mechanisms()))
    case ["tests", number]:
        print(load_mechanisms()[int(number)]["tests"])
    case ["make", number, folder]:
        make_copy(int(number), Path(folder))
    case _:
        sys.exit("usage: without_mechanism.py count | tests NUMBER | make NUMBER FOLDER")
