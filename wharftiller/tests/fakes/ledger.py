"""An independent ledger: what callers were told, judged against the surviving log.

It knows nothing of how the system decides. A booking's value is its request id,
unless the scenario names one, so a value can be traced to the ask that wrote it.
"""

from __future__ import annotations

import collections

from wharftiller.tests.fakes.world import Told, World


def surviving_writes(world: World, group: int) -> collections.Counter[tuple[str, str]]:
    """Return how often each (business, request id) stands in the newest primary's log."""
    database = world.endpoints[world.primary(group)].database
    return collections.Counter(
        (record.business, record.request_id) for record in database.log if record.kind == "write"
    )


def assert_ledger(world: World) -> None:
    """Check every promise that can be judged from answers and surviving logs."""
    written: collections.Counter[tuple[str, str]] = collections.Counter()
    for group in range(1, world.size.groups + 1):
        written += surviving_writes(world, group)
    doubled = {each: count for each, count in written.items() if count > 1}
    assert not doubled, f"ran more than once: {doubled}"
    fates: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    for told in world.told:
        provisional = told.kind == "write" and "transaction" in told.asked
        if told.kind in ("write", "commit") and not provisional:
            fates[(told.business, told.request_id)].add(told.outcome)
    for ident, outcomes in fates.items():
        if "done" in outcomes:
            assert written[ident] == 1, f"{ident} was acknowledged and is lost"
        elif "not_run" in outcomes and outcomes <= {"not_run"}:
            assert written[ident] == 0, f"{ident} was told not_run and ran"
    _assert_sessions(world.told)


def _assert_sessions(told: list[Told]) -> None:
    """Check that each read's answer has what its session had been told before it asked."""
    for read in told:
        if read.kind != "read" or read.outcome != "done" or read.after is None:
            continue
        earlier: Told | None = read.after
        while earlier is not None:
            if earlier.kind == "write" and earlier.outcome == "done" and earlier.key == read.key:
                assert earlier.value in (read.body["result"] or []), (
                    f"{read.request_id} does not see its session's {earlier.value}"
                )
            earlier = earlier.after
