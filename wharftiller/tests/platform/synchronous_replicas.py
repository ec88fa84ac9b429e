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

BOXES = 4

DOWN_S = 1.5
"""Time for which killed boxes are down, in seconds."""

NOTICED_S = 8.0
"""Time within which a change of the stored holders is noticed and mended, in seconds."""

GONE_LONG_S = 25.0
"""Time after which a holder that crashed without a word is no longer waited for, in seconds."""

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
    run_in_world(scenario, groups=[make_group(sync_replicas=1)], boxes=BOXES)


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


def members(world: World) -> dict[str, list[str]]:
    """Return the stored holders of the group."""
    spec = world.store.spec("wharftiller", "holders.seats")
    return {} if spec is None else spec["members"]


def has_record(world: World) -> bool:
    """Return whether a primary is recorded."""
    return world.store.spec("wharftiller", "leadership") is not None


async def kill_all(world: World) -> None:
    """Kill all boxes."""
    for box in list(world.boxes.values()):
        await world.kill_box(box)


async def start_all(world: World) -> None:
    """Start all boxes."""
    for number in range(1, BOXES + 1):
        await world.start_box(number, "abca"[number - 1])


async def restart_together(world: World) -> None:
    """Kill all boxes at once and start them again."""
    await kill_all(world)
    await trio.sleep(DOWN_S)
    await start_all(world)


async def restart_in_turn(world: World) -> None:
    """Kill one box after the other and start each again."""
    for number in range(1, BOXES + 1):
        await world.kill_box(world.boxes[f"box-{number}"])
        await trio.sleep(DOWN_S / 2)
        await world.start_box(number, "abca"[number - 1])


async def restart_twice(world: World) -> None:
    """Restart all boxes, and again as soon as they have found each other."""
    await restart_together(world)
    await trio.sleep(1.0)
    await restart_together(world)


RESTARTS = [restart_together, restart_in_turn, restart_twice]


async def check_nothing_lost(world: World, old: LineServer, seats: set[str]) -> None:
    """Check that the group serves again and holds ``seats`` once its primary ``old`` is back."""
    group = world.groups[0]
    for server in group.servers:
        server.replication_suspended = False
    old.down = False
    world.network.heal()
    await seconds_until_writable(world, 12.0)
    assert seats <= seats_of(group.primary)
