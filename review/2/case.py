"""A box restarts while the store loses the answer of its withdrawal."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from review.common import servers
from review.common.checks import commits_at_old_primary, stale_primary_reads
from review.common.deployment import CannotRunError, Deployment, run_case
from review.common.servers import Group, Server, wait_for

BOXES = {"sof-hall-a": 4, "sof-hall-b": 3, "sof-hall-c": 2}
SERVICES = 3
RESTARTED = "front-sof-hall-b-2"
RESTART_S = 1.0
"""Time after which a machine that was stopped starts again, in seconds."""

LISTED_S = 1.4
"""Time from the registration of the new process until the late call is done, in seconds."""

GAP_S = 0.7
"""Time between the replacements of two primaries, in seconds."""

DRAIN_S = 8.0
"""Time for which a draining server serves on, in seconds: `DrainMs` and a little more."""


async def scenario(deployment: Deployment, has_trouble: bool) -> int:
    """Restart a box, replace the primaries, and check what was served."""
    await deployment.start(BOXES, SERVICES)
    store, consumers = deployment.store, deployment.consumers
    for box in deployment.boxes:
        for group in deployment.groups:
            for _ in range(2):
                deployment.nursery.start_soon(
                    consumers.keep_session, box.name, box.front, f"booking-{group.name}", 0.15, 0.08
                )
    await trio.sleep(4.0)
    restarted = next(box for box in deployment.boxes if box.name == RESTARTED)
    if has_trouble:
        withdrawal = f"/v1/objects/wharftiller/box.{RESTARTED}"
        store.is_late = lambda call: call.method == "DELETE" and call.path == withdrawal
    await deployment.terminate(restarted)
    await trio.sleep(RESTART_S)
    store.is_late = lambda call: False
    deployment.start_box(restarted)
    if not await deployment.wait_ready([restarted], 5.0):
        raise CannotRunError("the restarted box did not become ready")
    await trio.sleep(LISTED_S)
    store.do_late.set()
    if has_trouble and not await wait_for(lambda: bool(store.late_done), 6.0):
        raise CannotRunError("the box sent no withdrawal")
    await _replace_primaries(deployment)
    stale = sum(stale_primary_reads(g, consumers, deployment.record) for g in deployment.groups)
    at_old = sum(commits_at_old_primary(g, consumers, deployment.record) for g in deployment.groups)
    answered = sum(asked.succeeded for asked in consumers.asked.values())
    deployment.record.note(
        "result", asked=len(consumers.asked), succeeded=answered, stale=stale, at_old=at_old
    )
    if answered < 0.5 * len(consumers.asked):
        raise CannotRunError("too few statements were served")
    return 1 if stale else 0


async def _replace_primaries(deployment: Deployment) -> None:
    """Replace every primary: the new server starts first, then the old one drains and ends."""
    old = [group.newest for group in deployment.groups]
    for server in old:
        deployment.add_server(server.group, server.zone, log=server.log)
    await trio.sleep(0.3)
    for server in old:
        server.draining = True
        deployment.store.register(server)
        deployment.record.note("draining", server=server.name)
        await trio.sleep(GAP_S)
    await trio.sleep(DRAIN_S)
    for server in old:
        _end(deployment, server)
    await trio.sleep(1.0)
    if not all(_was_replaced_once(group) for group in deployment.groups):
        raise CannotRunError("the primaries were not replaced once each")


def _end(deployment: Deployment, server: Server) -> None:
    deployment.record.note("left", server=server.name)
    deployment.store.remove("servers", server.name)
    servers.stop(server)


def _was_replaced_once(group: Group) -> bool:
    return len(group.promoted_at) == 1


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, scenario))
