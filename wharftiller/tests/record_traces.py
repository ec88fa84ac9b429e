"""Regenerate the traces of tests/traces: ``python -m wharftiller.tests.record_traces``.

Run it when inputs or outputs of the core change on purpose, and review the
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
    """One booking, one during which the primary is killed, and one after the promotion."""
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
    """Lookups with several maximum ages while replicas lag."""
    for endpoint in world.endpoints.values():
        endpoint.options.lag_ms = 300
    booked = await world.ask("box-1", kind="write", statement={"append": "t", "value": "Ivan"})
    for max_age_ms in (50, 5_000, 0):
        await world.ask(
            "box-1", kind="read", statement={"get": "t"}, max_age_ms=max_age_ms, after=booked
        )


async def transaction(world: World) -> None:
    """One transaction committed, one rolled back, and one that exceeds the idle timeout."""
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


SCENARIOS: dict[str, Callable[[World], Awaitable[None]]] = {
    "lost_primary": lost_primary,
    "lagging_replicas": lagging_replicas,
    "transaction": transaction,
}


def record(name: str) -> str:
    """Return the trace of box-1's proxy during a scenario."""
    run_steps = SCENARIOS[name]
    file = io.StringIO()

    async def scenario(world: World) -> None:
        box = await world.replace_box("box-1", file)
        groups = box.proxy.core.tables.groups
        await world.wait_until(lambda: any(group.primary for group in groups.values()))
        await trio.sleep(1)
        await run_steps(world)

    run_world(scenario)
    return file.getvalue()


def main() -> None:
    """Write all traces."""
    for name in SCENARIOS:
        (TRACES / f"{name}.trace.jsonl").write_text(record(name), encoding="utf-8")


if __name__ == "__main__":
    main()
