"""One run of the soak test: a deployment, callers and faults, and the checks at the end."""

from __future__ import annotations

import random
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.tests.soak.callers import SoakCaller
from wharftiller.tests.soak.deployment import Deployment
from wharftiller.tests.soak.faults import inject_fault
from wharftiller.tests.soak.history import History
from wharftiller.tests.soak.links import Link
from wharftiller.tests.soak.plan import FaultKind, plan_faults

if TYPE_CHECKING:
    from collections.abc import Iterator

START_TIMEOUT_S = 30.0
"""Time within which every box must serve after the start, in seconds."""

RECOVERY_TIMEOUT_S = 30.0
"""Time within which every box must accept writes after the last fault, in seconds."""

PROBE_TIMEOUT_S = 3.0
"""Timeout of one probe write through a box, in seconds."""

PROBE_RETRY_S = 0.2
"""Pause between probe writes, in seconds."""


@attrs.frozen
class Shape:
    """Size of a run.

    Attributes
    ----------
    connections : int
        Connection limit of an endpoint; with a low one, boxes use gateways.
    seconds : float
        Duration of the load and the faults, in seconds.
    """

    boxes: int = 4
    groups: int = 2
    callers: int = 12
    connections: int = 20
    seconds: float = 15.0
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)


class SoakRun:
    """The run of one seed."""

    def __init__(self, seed: int, shape: Shape, folder: Path) -> None:
        self._seed = seed
        self._shape = shape
        self._probe_count = 0
        self.history = History()
        self._deployment = Deployment(
            folder, self.history, shape.boxes, shape.groups, shape.connections
        )

    async def run(self) -> list[str]:
        """Run, and return a description of every violated guarantee."""
        try:
            async with trio.open_nursery() as nursery:
                await self._deployment.start(nursery)
                if not await self._wait_until_serving(START_TIMEOUT_S):
                    nursery.cancel_scope.cancel()
                    return ["not every box served after the start"]
                await self._run_load()
                self._deployment.for_each_link(Link.heal)
                if not await self._wait_until_serving(RECOVERY_TIMEOUT_S):
                    self.history.findings.append(
                        "not every box accepted writes after the last fault"
                    )
                nursery.cancel_scope.cancel()
        finally:
            self._deployment.kill_boxes()
        return self.history.violations()

    async def _run_load(self) -> None:
        """Run callers and faults until both have ended."""
        shape = self._shape
        async with trio.open_nursery() as load:
            until = trio.current_time() + shape.seconds
            for number in range(shape.callers):
                rng = random.Random(f"{self._seed}/{number}")
                caller = SoakCaller(number, self._deployment, rng)
                load.start_soon(caller.run, until)
            for fault in plan_faults(self._seed, shape.seconds, shape.kinds):
                load.start_soon(inject_fault, self._deployment, fault)

    async def _wait_until_serving(self, within_s: float) -> bool:
        """Wait until each box accepts a write to each group."""
        with trio.move_on_after(within_s):
            for box in self._deployment.boxes:
                for group in self._deployment.groups:
                    while not await self._accepts_write(box.caller_address, group.name):
                        await trio.sleep(PROBE_RETRY_S)
            return True
        return False

    async def _accepts_write(self, address: str, group: str) -> bool:
        host, port = address.split(":")
        try:
            with trio.fail_after(PROBE_TIMEOUT_S):
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    self._probe_count += 1
                    write = f"QUERY probe{self._probe_count} WRITE probe 0"
                    request = f"CONNECT {group}-primary soak\r\n{write}\r\n"
                    await stream.send_all(request.encode())
                    reply = b""
                    while reply.count(b"READY") < 2:
                        data = await stream.receive_some()
                        if not data:
                            return False
                        reply += data
                    return b"ROW written" in reply
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return False


def parse_seeds(arguments: list[str]) -> Iterator[int]:
    """Yield the seeds of arguments such as ``3 7 10-12``."""
    for argument in arguments:
        first, _, last = argument.partition("-")
        yield from range(int(first), int(last or first) + 1)
