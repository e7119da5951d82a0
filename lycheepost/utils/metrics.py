"""Metrics by statsd over UDP, or served as text; names are in docs/METRICS.md.

A metric must never delay or fail a request: a datagram that cannot be sent is
dropped, and with no host set nothing is sent at all.
"""

from typing import Protocol

import prometheus_client
import statsd

from lycheepost.generated.settings import MetricSettings


class Metrics(Protocol):
    """What parts of the program may report."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, name: str, seconds: float) -> None:
        """Report a duration."""
        ...


class NoMetrics:
    """Metrics that go nowhere."""

    def count(self, name: str, by: int = 1) -> None:
        """Drop a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop a duration."""


class StatsdMetrics:
    """Metrics sent to a statsd server.

    Args:
        client: Swallows send errors by itself.
    """

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Report a duration, sent in milliseconds as statsd expects."""
        self._client.timing(name, seconds * 1000)


FIRST_BUCKET_SECONDS = 0.002
N_BUCKETS = 15
"""Doubling from 2 ms to 33 s: a round trip to a target, and twice the longest
time that a caller waits."""


class ServedMetrics:
    """Metrics kept here until somebody fetches them as text."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        labels = ("name",)
        self._counter = prometheus_client.Counter(
            "lycheepost_events", "Events by name", labels, registry=self._registry
        )
        self._gauge = prometheus_client.Gauge(
            "lycheepost_state", "States by name", labels, registry=self._registry
        )
        self._histogram = prometheus_client.Histogram(
            "lycheepost_seconds",
            "Durations by name",
            labels,
            registry=self._registry,
            buckets=[FIRST_BUCKET_SECONDS * 2**step for step in range(N_BUCKETS)],
        )

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counter.labels(name).inc(by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauge.labels(name).set(value)

    def timing(self, name: str, seconds: float) -> None:
        """Count a duration in its bucket."""
        self._histogram.labels(name).observe(seconds)

    def text(self) -> bytes:
        """Return everything in the text format that collectors fetch."""
        return bytes(prometheus_client.generate_latest(self._registry))


def make_metrics(settings: MetricSettings) -> Metrics:
    """Return the metrics that the settings ask for."""
    if not settings.statsd_host:
        return NoMetrics()
    client = statsd.StatsClient(
        host=settings.statsd_host,
        port=settings.statsd_port,
        prefix=settings.prefix,
    )
    return StatsdMetrics(client)
