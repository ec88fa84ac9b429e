"""The metrics page, in the Prometheus text format.

The Prometheus library is imported at the first request, so that a box that is not
scraped does not load it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from prometheus_client.metrics_core import Metric

    from wharftiller.core.sessions.metrics import SessionMetrics

PREFIX = "wharftiller"


def metrics_page(metrics: SessionMetrics, gauges: Iterable[Gauge]) -> bytes:
    """Return the metrics page."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(metrics, gauges))
    return generate_latest(registry)


class Gauge:
    """A gauge: its current values by label values."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        values: Iterable[tuple[tuple[str, ...], float]],
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.labels = labels
        self.values = list(values)


class _Collector:
    """Converts the session metrics and gauges to metric families."""

    def __init__(self, metrics: SessionMetrics, gauges: Iterable[Gauge]) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield every metric family."""
        yield from self._counters()
        yield from self._histograms()
        for gauge in self._gauges:
            yield _gauge_family(gauge)

    def _counters(self) -> Iterator[Metric]:
        from prometheus_client.core import CounterMetricFamily

        answers = CounterMetricFamily(
            f"{PREFIX}_answers",
            "Answers to callers.",
            labels=("route", "reading", "statement", "outcome"),
        )
        for labels, count in self._metrics.answers.items():
            values = (labels.route, labels.reading, labels.statement, labels.outcome)
            answers.add_metric(values, count)
        yield answers
        statements = CounterMetricFamily(
            f"{PREFIX}_endpoint_statements",
            "Statements sent to endpoints, by what came of them.",
            labels=("endpoint", "outcome"),
        )
        for pair, count in self._metrics.statements.items():
            statements.add_metric(pair, count)
        yield statements
        forwarded = CounterMetricFamily(
            f"{PREFIX}_forwarded_statements",
            "Statements passed to a group's home box, by what came of them.",
            labels=("home", "outcome"),
        )
        for pair, count in self._metrics.forwarded.items():
            forwarded.add_metric(pair, count)
        yield forwarded
        allowances = CounterMetricFamily(
            f"{PREFIX}_allowances",
            "Questions for tokens of workspaces' allowances, by what came of them.",
            labels=("outcome",),
        )
        for outcome, count in self._metrics.allowances.items():
            allowances.add_metric((outcome,), count)
        yield allowances
        admissions = CounterMetricFamily(
            f"{PREFIX}_doors",
            "Callers' connections, by what came of them at the door.",
            labels=("outcome",),
        )
        for outcome, count in self._metrics.caller_connections.items():
            admissions.add_metric((outcome,), count)
        yield admissions
        yield from self._connections()
        events = CounterMetricFamily(
            f"{PREFIX}_events",
            "Logged events, those left out of the log included.",
            labels=("event",),
        )
        for event, count in self._metrics.events.items():
            events.add_metric((event,), count)
        yield events

    def _connections(self) -> Iterator[Metric]:
        from prometheus_client.core import CounterMetricFamily

        opened = CounterMetricFamily(
            f"{PREFIX}_connections_opened", "Connections opened.", labels=("endpoint",)
        )
        replaced = CounterMetricFamily(
            f"{PREFIX}_connections_replaced",
            "Idle connections closed for another workspace's.",
            labels=("endpoint",),
        )
        for endpoint, counts in self._metrics.connections.items():
            opened.add_metric((endpoint,), counts.opened)
            replaced.add_metric((endpoint,), counts.replaced)
        yield opened
        yield replaced

    def _histograms(self) -> Iterator[Metric]:
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(
            f"{PREFIX}_answer_seconds",
            "Time from a statement's arrival to its answer.",
            labels=("reading",),
        )
        for reading, histogram in self._metrics.latency.items():
            family.add_metric((reading,), histogram.cumulative(), histogram.sum_s)
        yield family


def _gauge_family(gauge: Gauge) -> Metric:
    from prometheus_client.core import GaugeMetricFamily

    family = GaugeMetricFamily(f"{PREFIX}_{gauge.name}", gauge.help_text, labels=gauge.labels)
    for labels, value in gauge.values:
        family.add_metric(labels, value)
    return family
