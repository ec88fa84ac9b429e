"""Counts of how statements ended and how long they took, cheap enough for each one."""

from __future__ import annotations

import bisect
import collections

import attrs

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 5.0)
"""Upper bounds of the latency histogram, in seconds; the routes' goals (0.15 to 0.6) are bounds."""


@attrs.frozen
class AnswerLabels:
    """By what answers are counted.

    Attributes
    ----------
    reading : str
        The route's kind of reading.
    statement : str
        What kind of statement it was.
    outcome : str
        ``done``, or the reason of the refusal.
    """

    route: str
    reading: str
    statement: str
    outcome: str


@attrs.define
class LatencyHistogram:
    """Answers by the time they took."""

    buckets: list[int] = attrs.field(factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    sum_s: float = 0.0

    def add(self, took_s: float) -> None:
        """Count one answer."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, took_s)] += 1
        self.sum_s += took_s

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the count of answers within each bound, as collectors want them."""
        total = 0
        pairs = []
        for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), self.buckets, strict=True):
            total += count
            pairs.append((str(bound), float(total)))
        return pairs


@attrs.define
class ConnectionCounts:
    """Connections of one endpoint.

    Attributes
    ----------
    opened, replaced : int
        Connections opened, and idle ones of other workspaces closed for them.
    """

    opened: int = 0
    replaced: int = 0


@attrs.define
class SessionMetrics:
    """Everything counted by one process.

    Attributes
    ----------
    statements : collections.Counter
        Statements sent to endpoints, by endpoint and outcome.
    forwarded : collections.Counter
        Statements passed to homes, by home and outcome.
    connections : dict of str to ConnectionCounts
        By endpoint.
    allowances : collections.Counter
        Operations of workspaces with an allowance, by whether a token was asked for them in vain.
    doors : collections.Counter
        Callers' connections, by what came of them at the door.
    """

    answers: collections.Counter[AnswerLabels] = attrs.field(factory=collections.Counter)
    latency: dict[str, LatencyHistogram] = attrs.field(
        factory=lambda: collections.defaultdict(LatencyHistogram)
    )
    statements: collections.Counter[tuple[str, str]] = attrs.field(factory=collections.Counter)
    forwarded: collections.Counter[tuple[str, str]] = attrs.field(factory=collections.Counter)
    allowances: collections.Counter[str] = attrs.field(factory=collections.Counter)
    doors: collections.Counter[str] = attrs.field(factory=collections.Counter)
    connections: dict[str, ConnectionCounts] = attrs.field(factory=dict)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def answered(self, labels: AnswerLabels, took_s: float) -> None:
        """Count an answer to a caller."""
        self.answers[labels] += 1
        self.latency[labels.reading].add(took_s)
