"""Search random histories for lost writes: ``python -m wharftiller.tests.platform.search 0-99``.

The order of tasks, the ids of requests and of processes are drawn from a seed too, so that a
history is the same in each run.
"""

from __future__ import annotations

import argparse
import itertools
import random
import secrets
from typing import TYPE_CHECKING, Any

import pytest
import trio._core._run

from wharftiller.tests.platform.holder_histories import HolderHistory
from wharftiller.tests.platform.synchronous_histories import SynchronousHistory
from wharftiller.tests.platform.world import Caller
from wharftiller.tests.soak.run import parse_seeds

if TYPE_CHECKING:
    from collections.abc import Callable


def fix_order(order: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Draw the order of tasks and all ids from the seed ``order``."""
    drawn = random.Random(order)
    numbers = itertools.count(1)
    execute = Caller.execute

    async def execute_numbered(
        caller: Caller, text: str, request_id: str | None = None
    ) -> list[str]:
        return await execute(caller, text, request_id or f"q{next(numbers):x}")

    monkeypatch.setattr(Caller, "execute", execute_numbered)
    monkeypatch.setattr(secrets, "token_hex", lambda size=16: drawn.randbytes(size).hex())
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio._core._run._r.seed(order)
    random.seed(order)


def histories(arguments: argparse.Namespace) -> Callable[[int], SynchronousHistory]:
    """Return what makes the history of a seed."""
    if arguments.plain:
        return SynchronousHistory
    return lambda seed: HolderHistory(seed, restores=arguments.restores)


def parse_arguments() -> Any:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="+", help="seeds and ranges, like 0-99")
    parser.add_argument("--plain", action="store_true", help="histories of SynchronousHistory")
    parser.add_argument("--restores", action="store_true", help="restore the platform at times")
    parser.add_argument("--order", type=int, help="seed of the order of tasks; the history's")
    return parser.parse_args()


def main() -> None:
    """Play every seed; print those that lose writes or do not serve again."""
    arguments = parse_arguments()
    make_history = histories(arguments)
    played = lost = idle = 0
    for seed in parse_seeds(arguments.seeds):
        with pytest.MonkeyPatch.context() as monkeypatch:
            fix_order(seed if arguments.order is None else arguments.order, monkeypatch)
            history = make_history(seed)
            history.run(monkeypatch)
        played += 1
        lost += bool(history.lost)
        idle += not history.serves_again
        if history.lost or not history.serves_again:
            print(f"seed {seed}: lost {history.lost}, serves {history.serves_again}", flush=True)
    print(f"{played} played, {lost} lost writes, {idle} did not serve again")


if __name__ == "__main__":
    main()
