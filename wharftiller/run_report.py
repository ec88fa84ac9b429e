"""Report of a run from its boxes' decision logs: reads by server, failovers, refusals."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from wharftiller.decisions import is_sampled
from wharftiller.run_losses import SLICE_S, Loss, losses_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wharftiller.request_timeline import LoggedEvent


@attrs.frozen
class ReadShare:
    """Sampled reads of one consistency, by the role of the server."""

    reading: str
    by_replicas: int
    by_primaries: int

    @property
    def fraction(self) -> float:
        """Fraction of the reads that replicas served."""
        return self.by_replicas / max(1, self.by_replicas + self.by_primaries)


@attrs.frozen
class Failover:
    """One failover.

    Attributes
    ----------
    silent_s : float or None
        Time from the last log line that the old primary was silent until the new one was
        recorded, in seconds; None if no box logged such a line.
    failover_s : float
        Time from the start of the failover until it was recorded, in seconds.
    """

    group: str
    old: str
    successor: str
    planned: bool
    silent_s: float | None
    failover_s: float


@attrs.frozen
class RunReport:
    """Summary of a run's logs.

    Attributes
    ----------
    refusals : dict
        Refused or unsettled statements by start of the time slice, in seconds after the first
        line, and reason.
    losses : list of Loss
        Statements not served within their goal, by cause and time slice.
    """

    reads: list[ReadShare]
    failovers: list[Failover]
    refusals: dict[tuple[float, str], int]
    losses: list[Loss] = attrs.field(factory=list)


def report_of(events: Iterable[LoggedEvent]) -> RunReport:
    """Return the report of a run; lines dropped by the rate limit are missing from its counts."""
    ordered = sorted(events, key=lambda each: each.at)
    first_at = ordered[0].at if ordered else 0.0
    refusals = _refusals(ordered, first_at)
    return RunReport(_reads(ordered), _failovers(ordered), refusals, losses_of(ordered, first_at))


def _reads(events: list[LoggedEvent]) -> list[ReadShare]:
    counts: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0])
    for event in events:
        fields = event.fields
        if event.event != "answered" or not is_sampled(str(fields.get("request"))):
            # Slow answers are logged regardless of sampling and would bias the fractions.
            continue
        if fields.get("access") == "read" and fields.get("endpoint"):
            by_primary = fields["endpoint"] == fields.get("lead")
            counts[str(fields.get("reading"))][by_primary] += 1
    return [
        ReadShare(reading, replicas, primaries)
        for reading, (replicas, primaries) in sorted(counts.items())
    ]


def _failovers(events: list[LoggedEvent]) -> list[Failover]:
    started: dict[tuple[str, str], LoggedEvent] = {}
    orders: dict[str, list[LoggedEvent]] = collections.defaultdict(list)
    failovers = []
    for event in events:
        group = str(event.fields.get("group"))
        match event.event:
            case "change_of_primary_starts":
                started[event.box, group] = event
            case "promotion_ordered" if event.fields.get("ok"):
                orders[event.box].append(event)
            case "record_written":
                for order in orders.pop(event.box, ()):
                    group = str(order.fields["group"])
                    start = started.get((event.box, group))
                    if start is not None:
                        failovers.append(_failover(events, group, start, order, event))
    return failovers


def _failover(
    events: list[LoggedEvent],
    group: str,
    start: LoggedEvent,
    order: LoggedEvent,
    written: LoggedEvent,
) -> Failover:
    old = str(start.fields.get("old"))
    silent_at = [
        event.at
        for event in events
        if event.event == "endpoint_silent"
        and event.fields.get("endpoint") == old
        and event.at <= start.at
    ]
    silent_s = written.at - silent_at[-1] if silent_at else None
    successor = str(order.fields.get("endpoint"))
    planned = bool(start.fields.get("planned"))
    return Failover(group, old, successor, planned, silent_s, written.at - start.at)


def _refusals(events: list[LoggedEvent], first_at: float) -> dict[tuple[float, str], int]:
    counts: collections.Counter[tuple[float, str]] = collections.Counter()
    for event in events:
        if event.event in ("refused", "unsettled"):
            begin = (event.at - first_at) // SLICE_S * SLICE_S
            counts[begin, str(event.fields.get("reason"))] += 1
    return dict(sorted(counts.items()))
