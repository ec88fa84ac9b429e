"""All processes start again while the primary is down, after a replica has left as planned.

With `SyncReplicas` 1 the primary and the replica that left are the only ones that hold the last
acknowledged commits. The promoted server has to hold all of them.
"""

from __future__ import annotations

import os
import sys
import tempfile
from pathlib import Path

import trio

from review.support_2 import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Client,
    Deployment,
    Group,
    Record,
    new_group,
)

SETTLE_S = 6.0
"""Time of quiet traffic before the replica says that it leaves, in seconds."""

DEAF_AFTER_S = 4.0
"""Time from then until the other replica goes deaf, in seconds."""

CRASH_AFTER_S = 3.0
"""Time from then until the primary crashes, in seconds."""

LEFT_AFTER_S = 1.0
"""Time from the crash until the leaving replica ends, in seconds: 8 s after it said so."""

KILL_AFTER_S = 0.3
"""Time from then until all processes are killed, in seconds."""

DOWN_S = 1.5
"""Time for which they are down, in seconds."""

PRIMARY_DOWN_S = 7.0
"""Time for which the primary is down, in seconds: the dose of the site."""

DEAF_S = 6.5
"""Time for which the other replica receives nothing, in seconds: the dose of the site."""

WATCHED_S = 8.0
"""Time after the return of the primary for which the deployment is watched, in seconds."""

WRITE_EVERY_S = 0.05


async def write_on(client: Client, group: Group, name: str) -> None:
    """Write for ever; note each write that is answered with success."""
    number = 0
    while True:
        number += 1
        request_id = f"{name}{number:06d}"
        answer = await client.ask(request_id, f"WRITE {name} {number}")
        if answer.code == "done":
            group.acknowledged[request_id] = trio.current_time()
        await trio.sleep(WRITE_EVERY_S)


async def play(deployment: Deployment, group: Group, has_trouble: bool) -> None:
    """Play the case."""
    primary, deaf, leaving = group.servers
    record = deployment.record
    await trio.sleep(SETTLE_S)
    if not has_trouble:
        await trio.sleep(DEAF_AFTER_S + CRASH_AFTER_S + PRIMARY_DOWN_S + WATCHED_S)
        return
    leaving.leaving = True
    record.add(f"{leaving.name} says that it leaves")
    await trio.sleep(DEAF_AFTER_S)
    deaf.replication_suspended = True
    record.add(f"{deaf.name} receives nothing for {DEAF_S} s")
    await trio.sleep(CRASH_AFTER_S)
    deployment.crash(primary)
    crashed_at = trio.current_time()
    await trio.sleep(LEFT_AFTER_S)
    deployment.crash(leaving, has_left=True)
    await trio.sleep(KILL_AFTER_S)
    for box in deployment.boxes:
        box.end()
    record.add("all processes are killed")
    await trio.sleep(DOWN_S)
    for box in deployment.boxes:
        box.start()
    record.add("all processes start again")
    await trio.sleep_until(crashed_at + DEAF_S - CRASH_AFTER_S)
    deaf.replication_suspended = False
    record.add(f"{deaf.name} receives again")
    await trio.sleep_until(crashed_at + PRIMARY_DOWN_S)
    await deployment.bring_back(primary)
    await trio.sleep(WATCHED_S)


async def main(folder: Path, has_trouble: bool) -> int:
    """Run the case; return the exit status."""
    record = Record()
    group = new_group("ledger", record, sync_replicas=1, max_connections=23)
    deployment = Deployment(folder, record, [group], boxes=3)
    status = COULD_NOT_RUN
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            await deployment.wait_until_ready()
            for name in "abc":
                client = Client(f"client-{name}", deployment.boxes, "ledger-primary", record)
                nursery.start_soon(write_on, client, group, name)
            await play(deployment, group, has_trouble)
            nursery.cancel_scope.cancel()
        is_idle = len(group.acknowledged) < 100
        status = COULD_NOT_RUN if is_idle else BROKEN if group.lost else HELD
    finally:
        deployment.end()
        record.add(f"acknowledged {len(group.acknowledged)}, lost {len(group.lost)}")
        record.write(Path(__file__).parent / "record.txt")
    return status


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(trio.run(main, Path(temporary), os.environ.get("TROUBLE") != "0"))
