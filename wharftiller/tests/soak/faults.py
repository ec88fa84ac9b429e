"""Carry the planned faults out on a deployment."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from standins.object_store import StoreMode
from wharftiller.tests.soak.plan import BOX_KINDS, LINK_KINDS, SERVER_KINDS, FaultKind

if TYPE_CHECKING:
    from standins.line_endpoints import LineServer
    from wharftiller.tests.soak.deployment import BoxProcess, Deployment
    from wharftiller.tests.soak.links import Link
    from wharftiller.tests.soak.plan import Fault

DELAY_S = 0.15
"""Delay of a delayed link, in seconds: fifty round trips between data centres."""

DEAF_WATCHES_S = 1.0
"""Time for which watches tell nothing before the store forgets its history, in seconds."""


async def carry_out(deployment: Deployment, fault: Fault) -> None:
    """Wait until a fault's time, then do to its target what its kind says."""
    await trio.sleep(fault.at_s)
    if fault.kind in BOX_KINDS:
        await _on_box(deployment.boxes[fault.target % len(deployment.boxes)], fault)
    elif fault.kind in LINK_KINDS:
        await _on_link(deployment.links[fault.target % len(deployment.links)], fault)
    elif fault.kind in SERVER_KINDS:
        await _on_server(deployment.servers[fault.target % len(deployment.servers)], fault)
    else:
        await _on_store(deployment, fault)


async def _on_box(box: BoxProcess, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.KILL_BOX:
            box.kill()
            await trio.sleep(fault.for_s / 2)
            _start_again(box)
        case FaultKind.PAUSE_BOX:
            box.signal(signal.SIGSTOP)
            await trio.sleep(fault.for_s)
            box.signal(signal.SIGCONT)
        case FaultKind.STOP_BOX:
            box.stopping_since = trio.current_time()
            box.signal(signal.SIGTERM)
            await box.ended()
            _start_again(box)
        case FaultKind.RELOAD_BOX:
            box.signal(signal.SIGHUP)
        case _:
            raise AssertionError(f"{fault.kind} is no fault of a box")


def _start_again(box: BoxProcess) -> None:
    # A fault of the other series may have started it meanwhile.
    if box.process is None or box.process.poll() is not None:
        box.start()


async def _on_link(link: Link, fault: Fault) -> None:
    match fault.kind:
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
            raise AssertionError(f"{fault.kind} is no fault of a link")


async def _on_server(server: LineServer, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.DEAF_REPLICA:
            server.deaf = True
            await trio.sleep(fault.for_s)
            server.deaf = False
        case FaultKind.LOST_ANSWER:
            server.lose_answers += 1
        case _:
            raise AssertionError(f"{fault.kind} is no fault of an endpoint")


async def _on_store(deployment: Deployment, fault: Fault) -> None:
    store = deployment.store
    match fault.kind:
        case FaultKind.STORE_AWAY | FaultKind.STORE_BUSY:
            store.mode = StoreMode.AWAY if fault.kind is FaultKind.STORE_AWAY else StoreMode.BUSY
            await trio.sleep(fault.for_s)
            store.mode = StoreMode.WELL
        case FaultKind.STORE_LOSES_ANSWERS:
            store.lose_answers += 2
        case FaultKind.STORE_FORGETS:
            store.deaf_watches = True
            await trio.sleep(DEAF_WATCHES_S)
            store.deaf_watches = False
            store.compact_history()
        case FaultKind.CHANGE_CONFIGURATION:
            deployment.configure()
        case _:
            raise AssertionError(f"{fault.kind} is no fault of the store")
