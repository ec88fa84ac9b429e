"""Inject the planned faults into a deployment."""

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

LINK_DELAY_S = 0.15
"""Delay of a delayed link, in seconds; fifty times the round trip between data centres."""

WATCHES_SUSPENDED_S = 1.0
"""Time for which watches deliver nothing before the history is compacted, in seconds."""


async def inject_fault(deployment: Deployment, fault: Fault) -> None:
    """Wait until the fault's time, then inject it into its target."""
    await trio.sleep(fault.at_s)
    if fault.kind in BOX_KINDS:
        await _inject_box_fault(deployment.boxes[fault.target % len(deployment.boxes)], fault)
    elif fault.kind in LINK_KINDS:
        await _inject_link_fault(deployment.links[fault.target % len(deployment.links)], fault)
    elif fault.kind in SERVER_KINDS:
        await _inject_server_fault(
            deployment.servers[fault.target % len(deployment.servers)], fault
        )
    else:
        await _inject_store_fault(deployment, fault)


async def _inject_box_fault(box: BoxProcess, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.KILL_BOX:
            box.kill()
            await trio.sleep(fault.for_s / 2)
            _restart(box)
        case FaultKind.PAUSE_BOX:
            box.signal(signal.SIGSTOP)
            await trio.sleep(fault.for_s)
            box.signal(signal.SIGCONT)
        case FaultKind.STOP_BOX:
            box.stopping_since = trio.current_time()
            box.signal(signal.SIGTERM)
            await box.wait_for_exit()
            _restart(box)
        case FaultKind.RELOAD_BOX:
            box.signal(signal.SIGHUP)
        case _:
            raise AssertionError(f"{fault.kind} is not a fault of a box")


def _restart(box: BoxProcess) -> None:
    # A fault of another series may have started it in the meantime.
    if box.process is None or box.process.poll() is not None:
        box.start()


async def _inject_link_fault(link: Link, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.DELAY_LINK:
            link.delay_s = LINK_DELAY_S
            await trio.sleep(fault.for_s)
            link.delay_s = 0.0
        case FaultKind.RESET_LINK:
            link.reset()
        case FaultKind.SILENCE_LINK:
            link.blocks_to_target = link.blocks_from_target = True
            await trio.sleep(fault.for_s)
            link.blocks_to_target = link.blocks_from_target = False
        case FaultKind.CUT_ONE_WAY:
            link.blocks_from_target = True
            await trio.sleep(fault.for_s)
            link.blocks_from_target = False
        case _:
            raise AssertionError(f"{fault.kind} is not a fault of a link")


async def _inject_server_fault(server: LineServer, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.REPLICATION_SUSPENDED:
            server.replication_suspended = True
            await trio.sleep(fault.for_s)
            server.replication_suspended = False
        case FaultKind.LOST_REPLY:
            server.lose_answers += 1
        case _:
            raise AssertionError(f"{fault.kind} is not a fault of an endpoint")


async def _inject_store_fault(deployment: Deployment, fault: Fault) -> None:
    store = deployment.store
    match fault.kind:
        case FaultKind.STORE_UNAVAILABLE | FaultKind.STORE_BUSY:
            store.mode = (
                StoreMode.UNAVAILABLE
                if fault.kind is FaultKind.STORE_UNAVAILABLE
                else StoreMode.BUSY
            )
            await trio.sleep(fault.for_s)
            store.mode = StoreMode.NORMAL
        case FaultKind.STORE_LOSES_REPLIES:
            store.lose_answers += 2
        case FaultKind.STORE_COMPACTS_HISTORY:
            store.watches_suspended = True
            await trio.sleep(WATCHES_SUSPENDED_S)
            store.watches_suspended = False
            store.compact_history()
        case FaultKind.CHANGE_CONFIGURATION:
            deployment.configure()
        case _:
            raise AssertionError(f"{fault.kind} is not a fault of the store")
