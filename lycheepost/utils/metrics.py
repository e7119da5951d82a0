"""Metrics over statsd (UDP) or served as text; docs/METRICS.md lists the names.

A metric must never delay or fail a request: a datagram that cannot be sent is
dropped, and without a configured host nothing is sent.
"""

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

import statsd

from lycheepost.generated.settings import MetricSettings


class Metrics(Protocol):
    """Interface to report metrics."""

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
    """Discards all metrics."""

    def count(self, name: str, by: int = 1) -> None:
        """Drop a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop a duration."""


class StatsdMetrics:
    """Metrics sent to a statsd server.

    Args:
        client: Ignores send errors.
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


BUCKET_SECONDS = tuple(0.002 * 2**step for step in range(15))
"""Upper bounds of buckets, doubling from 2 ms, a round trip to a target, to 33 s, twice
the longest time that a caller waits."""


@dataclass(slots=True)
class _Timings:
    """Durations of one metric by bucket; the last bucket has no upper bound."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_SECONDS) + 1))
    total_seconds: float = 0.0

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Return for each upper bound the number of durations up to it."""
        bounds = [*map(str, BUCKET_SECONDS), "+Inf"]
        sums = itertools.accumulate(self.buckets)
        return list(zip(bounds, sums, strict=True))


class ServedMetrics:
    """Metrics held in memory and served as text on request.

    They are plain numbers. The library that formats them is imported by the first
    request, as the import would add a tenth of a second to a daemon's start.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, _Timings] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Count a duration in its bucket."""
        timings = self._timings.setdefault(name, _Timings())
        timings.buckets[bisect.bisect_left(BUCKET_SECONDS, seconds)] += 1
        timings.total_seconds += seconds

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return bytes(generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by the Prometheus registry."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counts = CounterMetricFamily("lycheepost_events", "Events", labels=["name"])
        for name, number in self._counts.items():
            counts.add_metric([name], number)
        yield counts
        gauges = GaugeMetricFamily("lycheepost_state", "States", labels=["name"])
        for name, value in self._gauges.items():
            gauges.add_metric([name], value)
        yield gauges
        durations = HistogramMetricFamily(
            "lycheepost_seconds", "Durations", labels=["name"]
        )
        for name, timings in self._timings.items():
            durations.add_metric(
                [name], timings.cumulative_counts(), timings.total_seconds
            )
        yield durations


def make_metrics(settings: MetricSettings) -> Metrics:
    """Return the metrics client for the settings."""
    if not settings.statsd_host:
        return NoMetrics()
    client = statsd.StatsClient(
        host=settings.statsd_host,
        port=settings.statsd_port,
        prefix=settings.prefix,
    )
    return StatsdMetrics(client)
