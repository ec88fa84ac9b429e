"""Steps of tests with a group whose replicas are synchronous."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.tests.platform.world import make_group, run_in_world, write_until_acknowledged

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins.line_endpoints import LineServer
    from wharftiller.tests.platform.world import World

WRITES = 20
"""Writes that are acknowledged before the primary fails."""

DRAIN_S = 7.0
"""Time for which a leaving server serves on, in seconds."""

CRASH_S = 7.0
"""Time after which a crashed primary returns with its log, in seconds."""

LIST_S = 2.0
"""Duration of a list of endpoints for which boxes do not wait, in seconds."""

FAILOVER_S = 4.0
"""Maximum time without writes where a complete replica is known, in seconds."""


def run_with_synchronous_replicas(scenario: Callable[[World], Awaitable[None]]) -> None:
    """Run a scenario with a group whose writes need one replica."""
    run_in_world(scenario, groups=[make_group(sync_replicas=1)], boxes=4)


async def write_seats(world: World, first: int = 0) -> set[str]:
    """Have writes acknowledged; return the seats written."""
    caller = await world.open_session(world.boxes["box-1"], "primary")
    seats = {f"seat{first + number}" for number in range(WRITES)}
    for seat in sorted(seats):
        assert (await caller.execute(f"WRITE {seat} anna"))[0] == "ROW written"
    caller.close()
    return seats


def seats_of(server: LineServer) -> set[str]:
    """Return the seats that a server's log holds."""
    return {key for record in server.log for key, _ in record.writes}


def start_leaving(world: World, server: LineServer) -> None:
    """Announce that a server is about to end."""
    server.leaving = True
    world.register(server)


def end_server(world: World, server: LineServer) -> None:
    """End a server that was leaving, and remove its entry."""
    world.store.remove("servers", server.name)
    server.down = True
    world.network.kill(server.address.partition(":")[0])


def holder_of_failover(world: World) -> str:
    """Return the box that holds the failover in the record; empty if there is none."""
    record = world.store.spec("wharftiller", "leadership")
    has_failover = any("successor" in state for state in record["groups"].values())
    return str(record["holder"]).partition("/")[0] if has_failover else ""


async def wait_until(condition: Callable[[], bool], within_s: float) -> None:
    """Wait until ``condition`` holds; fails if it does not within ``within_s`` seconds."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.001)


def is_ordered(world: World) -> bool:
    """Return whether the record holds a failover whose promotion may have been ordered."""
    groups = world.store.spec("wharftiller", "leadership")["groups"]
    return any(state.get("ordered") for state in groups.values())


async def seconds_until_writable(world: World, within_s: float) -> float:
    """Return after how long a write is acknowledged."""
    caller = await world.open_session(world.boxes["box-1"], "primary")
    return await write_until_acknowledged(caller, "WRITE last vera", within_s)
