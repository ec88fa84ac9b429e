"""An independent ledger: checks the replies that callers received against the surviving logs.

It uses no code of the system under test. A booking's value is its request id, unless the
scenario names one, so that a value can be traced to the request that wrote it.
"""

from __future__ import annotations

import collections

from wharftiller.tests.fakes.world import Exchange, World


def surviving_writes(world: World, group: int) -> collections.Counter[tuple[str, str]]:
    """Return how often each (business, request id) is in the newest primary's log."""
    database = world.endpoints[world.primary(group)].database
    return collections.Counter(
        (record.business, record.request_id) for record in database.log if record.kind == "write"
    )


def assert_ledger(world: World) -> None:
    """Check every guarantee that replies and surviving logs can show."""
    written: collections.Counter[tuple[str, str]] = collections.Counter()
    for group in range(1, world.size.groups + 1):
        written += surviving_writes(world, group)
    doubled = {each: count for each, count in written.items() if count > 1}
    assert not doubled, f"ran more than once: {doubled}"
    outcomes_of: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    for exchange in world.exchanges:
        is_provisional = exchange.kind == "write" and "transaction" in exchange.request
        if exchange.kind in ("write", "commit") and not is_provisional:
            outcomes_of[(exchange.business, exchange.request_id)].add(exchange.outcome)
    for ident, outcomes in outcomes_of.items():
        if "done" in outcomes:
            assert written[ident] == 1, f"{ident} was acknowledged and is lost"
        elif "not_run" in outcomes and outcomes <= {"not_run"}:
            assert written[ident] == 0, f"{ident} was answered not_run, but ran"
    _assert_sessions(world.exchanges)


def _assert_sessions(exchanges: list[Exchange]) -> None:
    """Check that each read sees the writes acknowledged to its session before it."""
    for read in exchanges:
        if read.kind != "read" or read.outcome != "done" or read.after is None:
            continue
        earlier: Exchange | None = read.after
        while earlier is not None:
            if earlier.kind == "write" and earlier.outcome == "done" and earlier.key == read.key:
                assert earlier.value in (read.body["result"] or []), (
                    f"{read.request_id} does not see its session's {earlier.value}"
                )
            earlier = earlier.after
