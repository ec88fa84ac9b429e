"""One run of the soak: a deployment, callers, faults, and the promises at its end."""

from __future__ import annotations

import random
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.tests.soak.callers import SoakCaller
from wharftiller.tests.soak.deployment import Deployment
from wharftiller.tests.soak.faults import carry_out
from wharftiller.tests.soak.ledger import Ledger
from wharftiller.tests.soak.links import Link
from wharftiller.tests.soak.plan import FaultKind, plan_faults

if TYPE_CHECKING:
    from collections.abc import Iterator

STARTED_S = 30.0
"""Time within which every box must serve after the start, in seconds: a loaded machine."""

RECOVERED_S = 30.0
"""Time within which every box must take writes of every group after the last fault, in seconds."""

PROBE_S = 3.0
"""Time that one write through a box may take before it counts as failed, in seconds."""

PROBE_AGAIN_S = 0.2
"""Pause before such a write is tried again, in seconds."""


@attrs.frozen
class Shape:
    """How large a run is.

    Attributes
    ----------
    connections : int
        Connections that an endpoint takes; with few, homes serve the other boxes.
    seconds : float
        How long callers ask and faults come, in seconds.
    """

    boxes: int = 4
    groups: int = 2
    callers: int = 12
    connections: int = 20
    seconds: float = 15.0
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)


class SoakRun:
    """Everything of one seed."""

    def __init__(self, seed: int, shape: Shape, folder: Path) -> None:
        self._seed = seed
        self._shape = shape
        self._probes = 0
        self.ledger = Ledger()
        self._deployment = Deployment(
            folder, self.ledger, shape.boxes, shape.groups, shape.connections
        )

    async def run(self) -> list[str]:
        """Return the promises that were broken, in words."""
        try:
            async with trio.open_nursery() as nursery:
                await self._deployment.start(nursery)
                if not await self._all_serve(STARTED_S):
                    nursery.cancel_scope.cancel()
                    return ["not every box served after the start"]
                await self._load()
                self._deployment.each_link(Link.heal)
                if not await self._all_serve(RECOVERED_S):
                    self.ledger.faults.append("not every box took writes after the last fault")
                nursery.cancel_scope.cancel()
        finally:
            self._deployment.end()
        return self.ledger.broken()

    async def _load(self) -> None:
        """Have callers ask and faults come, until both have ended."""
        shape = self._shape
        async with trio.open_nursery() as load:
            until = trio.current_time() + shape.seconds
            for number in range(shape.callers):
                draw = random.Random(f"{self._seed}/{number}")
                caller = SoakCaller(number, self._deployment, draw)
                load.start_soon(caller.run, until)
            for fault in plan_faults(self._seed, shape.seconds, shape.kinds):
                load.start_soon(carry_out, self._deployment, fault)

    async def _all_serve(self, within_s: float) -> bool:
        """Wait until a write of each group passes through each box."""
        with trio.move_on_after(within_s):
            for box in self._deployment.boxes:
                for group in self._deployment.groups:
                    while not await self._serves(box.callers, group.name):
                        await trio.sleep(PROBE_AGAIN_S)
            return True
        return False

    async def _serves(self, address: str, group: str) -> bool:
        host, port = address.split(":")
        try:
            with trio.fail_after(PROBE_S):
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    self._probes += 1
                    write = f"QUERY probe{self._probes} WRITE probe 0"
                    ask = f"CONNECT {group}-primary soak\r\n{write}\r\n"
                    await stream.send_all(ask.encode())
                    answer = b""
                    while answer.count(b"READY") < 2:
                        data = await stream.receive_some()
                        if not data:
                            return False
                        answer += data
                    return b"ROW written" in answer
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return False


def seeds_of(words: list[str]) -> Iterator[int]:
    """Yield the seeds that ``3 7 10-12`` names."""
    for word in words:
        first, _, last = word.partition("-")
        yield from range(int(first), int(last or first) + 1)
