"""Record the traces of tests/traces anew: ``python -m wharftiller.tests.record_traces``.

Run it when inputs or outputs of the core change on purpose, and read the
difference before committing it.
"""

from __future__ import annotations

import io
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from wharftiller.tests.fakes.world import World, run_world

TRACES = Path(__file__).parent / "traces"


async def lost_primary(world: World) -> None:
    """A booking, the primary killed under another, a third after the promotion."""
    await world.ask("box-1", kind="write", statement={"append": "t", "value": "Ivan"})
    primary = world.primary()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            lambda: world.ask("box-1", kind="write", statement={"append": "t", "value": "Ana"})
        )
        await trio.sleep(0.012)
        world.endpoints[primary].freeze()
        world.network.kill(world.ips[primary])
    await world.ask("box-1", kind="write", statement={"append": "t", "value": "Vera"})


async def lagging_replicas(world: World) -> None:
    """Lookups of several ages while replicas lag far behind."""
    for endpoint in world.endpoints.values():
        endpoint.options.lag_ms = 300
    booked = await world.ask("box-1", kind="write", statement={"append": "t", "value": "Ivan"})
    for max_age_ms in (50, 5_000, 0):
        await world.ask(
            "box-1", kind="read", statement={"get": "t"}, max_age_ms=max_age_ms, after=booked
        )


async def transaction(world: World) -> None:
    """A transaction committed, one rolled back, one that idles too long."""
    for end in ("commit", "rollback"):
        begun = await world.ask("box-1", kind="begin")
        name = begun.body["transaction"]
        await world.ask(
            "box-1", kind="write", statement={"append": "t", "value": end}, transaction=name
        )
        await world.ask("box-1", kind=end, transaction=name)
    idle = await world.ask("box-1", kind="begin")
    await trio.sleep(3)
    await world.ask("box-1", kind="commit", transaction=idle.body["transaction"])


RECORDED: dict[str, Callable[[World], Awaitable[None]]] = {
    "lost_primary": lost_primary,
    "lagging_replicas": lagging_replicas,
    "transaction": transaction,
}


def record(name: str) -> str:
    """Return the trace of box-1's proxy through a scene."""
    scene = RECORDED[name]
    file = io.StringIO()

    async def scenario(world: World) -> None:
        box = await world.replace_box("box-1", file)
        groups = box.proxy.core.tables.groups
        await world.until(lambda: any(group.primary for group in groups.values()))
        await trio.sleep(1)
        await scene(world)

    run_world(scenario)
    return file.getvalue()


def main() -> None:
    """Write every trace."""
    for name in RECORDED:
        (TRACES / f"{name}.trace.jsonl").write_text(record(name), encoding="utf-8")


if __name__ == "__main__":
    main()
