"""Run the soak by hand: ``python -m wharftiller.tests.soak 1-50``, or with a fresh seed."""

from __future__ import annotations

import argparse
import secrets
import tempfile
from pathlib import Path

import trio

from wharftiller.tests.soak.run import Shape, SoakRun, seeds_of


def main() -> None:
    """Run every seed; keep the logs of those that break a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", help="seeds and ranges; a fresh one if none is given")
    parser.add_argument("--boxes", type=int, default=4)
    parser.add_argument("--groups", type=int, default=2)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--connections", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=15.0)
    told = parser.parse_args()
    shape = Shape(told.boxes, told.groups, told.callers, told.connections, told.seconds)
    failed = passed = 0
    for seed in seeds_of(told.seeds or [str(secrets.randbelow(10**6))]):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        run = SoakRun(seed, shape, folder)
        broken = trio.run(run.run)
        ledger = run.ledger
        counts = f"{len(ledger.told)} writes, {len(ledger.seen)} reads"
        print(f"seed {seed}: {counts}, {len(broken)} broken promises", flush=True)
        for line in broken[:10]:
            print(f"  {line}; logs in {folder}", flush=True)
        failed += bool(broken)
        passed += not broken
    print(f"{passed} passed, {failed} failed")


if __name__ == "__main__":
    main()
