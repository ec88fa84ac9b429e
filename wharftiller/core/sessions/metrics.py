"""Counters of statements by outcome and latency, cheap enough to update for each statement."""

from __future__ import annotations

import bisect
import collections

import attrs

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 5.0)
"""Upper bounds of the latency histogram, in seconds; they include the routes' usual goals."""


@attrs.frozen
class AnswerLabels:
    """Labels by which answers are counted.

    Attributes
    ----------
    reading : str
        The route's read consistency.
    statement : str
        The kind of statement.
    outcome : str
        ``done``, or the kind of refusal.
    """

    route: str
    reading: str
    statement: str
    outcome: str


@attrs.define
class LatencyHistogram:
    """Histogram of the time that answers took."""

    buckets: list[int] = attrs.field(factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    sum_s: float = 0.0

    def add(self, took_s: float) -> None:
        """Count one answer."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, took_s)] += 1
        self.sum_s += took_s

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the cumulative count of answers for each bound, as Prometheus expects it."""
        total = 0
        pairs = []
        for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), self.buckets, strict=True):
            total += count
            pairs.append((str(bound), float(total)))
        return pairs


@attrs.define
class ConnectionCounts:
    """Counters of one endpoint's connections.

    Attributes
    ----------
    opened, replaced : int
        Connections opened, and idle connections of other workspaces closed in their favour.
    """

    opened: int = 0
    replaced: int = 0


@attrs.define
class SessionMetrics:
    """All counters of one process.

    Attributes
    ----------
    answers : collections.Counter
        Answers to callers, by their labels.
    latency : dict of str to LatencyHistogram
        Latency of answers, by read consistency.
    statements : collections.Counter
        Statements sent to endpoints, by endpoint and outcome.
    forwarded : collections.Counter
        Statements forwarded to gateways, by gateway and outcome.
    allowances : collections.Counter
        Token requests for workspaces' allowances, by outcome.
    caller_connections : collections.Counter
        Callers' connections, by outcome of the admission.
    connections : dict of str to ConnectionCounts
        Counters of connections, by endpoint.
    events : collections.Counter
        Logged events, by name.
    """

    answers: collections.Counter[AnswerLabels] = attrs.field(factory=collections.Counter)
    latency: dict[str, LatencyHistogram] = attrs.field(
        factory=lambda: collections.defaultdict(LatencyHistogram)
    )
    statements: collections.Counter[tuple[str, str]] = attrs.field(factory=collections.Counter)
    forwarded: collections.Counter[tuple[str, str]] = attrs.field(factory=collections.Counter)
    allowances: collections.Counter[str] = attrs.field(factory=collections.Counter)
    caller_connections: collections.Counter[str] = attrs.field(factory=collections.Counter)
    connections: dict[str, ConnectionCounts] = attrs.field(factory=dict)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def answered(self, labels: AnswerLabels, took_s: float) -> None:
        """Count an answer to a caller."""
        self.answers[labels] += 1
        self.latency[labels.reading].add(took_s)
