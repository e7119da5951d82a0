"""Metrics by statsd over UDP; names are listed in docs/METRICS.md.

A metric must never delay or fail a request: a datagram that cannot be sent is
dropped, and with no host set nothing is sent at all.
"""

from typing import Protocol

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
