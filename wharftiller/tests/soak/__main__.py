"""Run the soak test: ``python -m wharftiller.tests.soak 1-50``; without seeds, a random one."""

from __future__ import annotations

import argparse
import secrets
import tempfile
from pathlib import Path

import trio

from wharftiller.tests.soak.run import Shape, SoakRun, parse_seeds


def main() -> None:
    """Run every seed and print the violations with the folder of the logs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", help="seeds and ranges; a random one if none is given")
    parser.add_argument("--boxes", type=int, default=4)
    parser.add_argument("--groups", type=int, default=2)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--connections", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    shape = Shape(
        arguments.boxes,
        arguments.groups,
        arguments.callers,
        arguments.connections,
        arguments.seconds,
    )
    failed = passed = 0
    for seed in parse_seeds(arguments.seeds or [str(secrets.randbelow(10**6))]):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        run = SoakRun(seed, shape, folder)
        violations = trio.run(run.run)
        history = run.history
        counts = f"{len(history.writes)} writes, {len(history.reads)} reads"
        print(f"seed {seed}: {counts}, {len(violations)} violations", flush=True)
        for line in violations[:10]:
            print(f"  {line}; logs in {folder}", flush=True)
        failed += bool(violations)
        passed += not violations
    print(f"{passed} passed, {failed} failed")


if __name__ == "__main__":
    main()
