"""One run of the soak: a deployment, callers, faults, and the promises at its end."""

from __future__ import annotations

import random
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import trio

from standins.object_store import Mood
from wharftiller.tests.soak.callers import SoakCaller
from wharftiller.tests.soak.deployment import Deployment
from wharftiller.tests.soak.ledger import Ledger
from wharftiller.tests.soak.links import Link
from wharftiller.tests.soak.plan import Fault, FaultKind, plan_faults

if TYPE_CHECKING:
    from collections.abc import Iterator

STARTED_S = 30.0
"""Time within which every box must serve after the start, in seconds: a loaded machine."""

RECOVERED_S = 30.0
"""Time within which every box must take writes of every group after the last fault, in seconds."""

DELAY_S = 0.15
"""Delay of a delayed link, in seconds: fifty round trips between data centres."""


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
        shape = self._shape
        try:
            async with trio.open_nursery() as nursery:
                await self._deployment.start(nursery)
                if not await self._all_serve(STARTED_S):
                    return ["not every box served after the start"]
                async with trio.open_nursery() as load:
                    until = trio.current_time() + shape.seconds
                    for number in range(shape.callers):
                        draw = random.Random(f"{self._seed}/{number}")
                        caller = SoakCaller(number, self._deployment, draw)
                        load.start_soon(caller.run, until)
                    for fault in plan_faults(self._seed, shape.seconds, shape.kinds):
                        load.start_soon(self._carry_out, fault)
                self._deployment.each_link(Link.heal)
                if not await self._all_serve(RECOVERED_S):
                    self.ledger.faults.append("not every box took writes after the last fault")
                nursery.cancel_scope.cancel()
        finally:
            self._deployment.end()
        return self.ledger.broken()

    async def _all_serve(self, within_s: float) -> bool:
        """Wait until a write of each group passes through each box."""
        with trio.move_on_after(within_s):
            for box in self._deployment.boxes:
                for group in self._deployment.groups:
                    while not await self._serves(box.callers, group.name):
                        await trio.sleep(0.2)
            return True
        return False

    async def _serves(self, address: str, group: str) -> bool:
        host, port = address.split(":")
        try:
            with trio.fail_after(3.0):
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

    # Faults -------------------------------------------------------------

    async def _carry_out(self, fault: Fault) -> None:
        await trio.sleep(fault.at_s)
        deployment = self._deployment
        box = deployment.boxes[fault.target % len(deployment.boxes)]
        link = deployment.links[fault.target % len(deployment.links)]
        match fault.kind:
            case FaultKind.KILL_BOX:
                box.kill()
                await trio.sleep(fault.for_s / 2)
                self._start_again(fault.target)
            case FaultKind.PAUSE_BOX:
                box.signal(signal.SIGSTOP)
                await trio.sleep(fault.for_s)
                box.signal(signal.SIGCONT)
            case FaultKind.STOP_BOX:
                box.stopping_since = trio.current_time()
                box.signal(signal.SIGTERM)
                await box.ended()
                self._start_again(fault.target)
            case FaultKind.RELOAD_BOX:
                box.signal(signal.SIGHUP)
            case FaultKind.DELAY_LINK:
                link.delay_s = DELAY_S
                await trio.sleep(fault.for_s)
                link.delay_s = 0.0
            case FaultKind.RESET_LINK:
                link.reset()
            case FaultKind.SILENCE_LINK:
                link.silent_there = link.silent_back = True
                await trio.sleep(fault.for_s)
                link.silent_there = link.silent_back = False
            case FaultKind.CUT_ONE_WAY:
                link.silent_back = True
                await trio.sleep(fault.for_s)
                link.silent_back = False
            case _:
                await self._carry_out_inside(fault)

    def _start_again(self, target: int) -> None:
        box = self._deployment.boxes[target % len(self._deployment.boxes)]
        # A fault of the other series may have started it meanwhile.
        if box.process is None or box.process.poll() is not None:
            box.start()

    async def _carry_out_inside(self, fault: Fault) -> None:
        """Have a stand-in misbehave."""
        store = self._deployment.store
        server = self._deployment.servers[fault.target % len(self._deployment.servers)]
        match fault.kind:
            case FaultKind.STORE_AWAY | FaultKind.STORE_BUSY:
                store.mood = Mood.AWAY if fault.kind is FaultKind.STORE_AWAY else Mood.BUSY
                await trio.sleep(fault.for_s)
                store.mood = Mood.WELL
            case FaultKind.STORE_LOSES_ANSWERS:
                store.lose_answers += 2
            case FaultKind.STORE_FORGETS:
                store.deaf_watches = True
                await trio.sleep(1.0)
                store.deaf_watches = False
                store.forget_history()
            case FaultKind.DEAF_REPLICA:
                server.deaf = True
                await trio.sleep(fault.for_s)
                server.deaf = False
            case FaultKind.LOST_ANSWER:
                server.lose_answers += 1
            case FaultKind.CHANGE_CONFIGURATION:
                self._deployment.configure()
            case _:
                raise AssertionError(f"{fault.kind} is carried out from outside")


def seeds_of(words: list[str]) -> Iterator[int]:
    """Yield the seeds that ``3 7 10-12`` names."""
    for word in words:
        first, _, last = word.partition("-")
        yield from range(int(first), int(last or first) + 1)
