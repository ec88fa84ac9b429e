"""Metrics over statsd; names are listed in docs/operators/metrics.md."""

from __future__ import annotations

from collections import Counter

import statsd

from wharftiller.edges.transport import split_address


class Metrics:
    """Counters and gauges of one component; sends nothing if the address is empty."""

    def __init__(self, address: str, part: str) -> None:
        self._client: statsd.StatsClient | None = None
        self._sent: Counter[str] = Counter()
        if address:
            host, port = split_address(address)
            self._client = statsd.StatsClient(host, port, prefix=f"wharftiller.{part}")

    def publish(self, counters: Counter[str], gauges: dict[str, float]) -> None:
        """Send the counters' increases since the last call, and the gauges."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in counters.items():
                if value != self._sent[name]:
                    pipe.incr(name, value - self._sent[name])
            for name, gauge in gauges.items():
                pipe.gauge(name, gauge)
        self._sent = Counter(counters)
