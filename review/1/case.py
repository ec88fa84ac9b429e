"""A primary crashes while the only replica that receives its writes is about to leave."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from review.common import servers
from review.common.checks import lost_commits
from review.common.deployment import CannotRunError, Deployment, run_case

BOXES = {"sof-hall-a": 4, "sof-hall-b": 3, "sof-hall-c": 2}

DEAF_AFTER_S = 1.0
DEAF_S = 6.0
"""Start and duration of the time in which the other replica receives nothing, in seconds."""

CRASH_AFTER_S = 2.5
DOWN_S = 7.0
"""Start and duration of the primary's crash, in seconds."""

DRAIN_S = 8.0
"""Time for which the draining server serves on, in seconds: `DrainMs` and a little more."""


async def scenario(deployment: Deployment, has_trouble: bool) -> int:
    """Let a replica leave while the primary crashes, and check what the promoted one holds."""
    await deployment.start(BOXES, sync_replicas=1)
    (group,) = deployment.groups
    consumers = deployment.consumers
    for box in deployment.boxes:
        for _ in range(2):
            deployment.nursery.start_soon(
                consumers.keep_session, box.name, box.front, f"booking-{group.name}", 0.2, 0.12
            )
    await trio.sleep(3.0)
    primary, leaving, other = group.servers
    leaving.draining = True
    deployment.store.register(leaving)
    deployment.record.note("draining", server=leaving.name)
    if has_trouble:
        deployment.nursery.start_soon(_make_deaf, deployment, other)
        deployment.nursery.start_soon(_crash, deployment, primary)
    await trio.sleep(DRAIN_S)
    deployment.record.note("left", server=leaving.name, log=leaving.received)
    deployment.store.remove("servers", leaving.name)
    servers.stop(leaving)
    await trio.sleep(6.0)
    lost = lost_commits(group, consumers, deployment.record)
    answered = sum(asked.succeeded for asked in consumers.asked.values())
    deployment.record.note("result", asked=len(consumers.asked), succeeded=answered, lost=lost)
    if not answered:
        raise CannotRunError("no statement was served")
    return 1 if lost else 0


async def _make_deaf(deployment: Deployment, server: servers.Server) -> None:
    await trio.sleep(DEAF_AFTER_S)
    deployment.record.note("deaf", server=server.name, log=server.received)
    server.is_deaf = True
    await trio.sleep(DEAF_S)
    server.is_deaf = False
    deployment.record.note("hears_again", server=server.name, log=server.received)


async def _crash(deployment: Deployment, server: servers.Server) -> None:
    await trio.sleep(CRASH_AFTER_S)
    deployment.record.note("crash", server=server.name, log=server.received)
    servers.crash(server)
    await trio.sleep(DOWN_S)
    servers.restart(server)
    deployment.record.note("back", server=server.name, leads=server.leads)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, scenario))
