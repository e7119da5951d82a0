"""Serves the metrics and the status of this daemon over HTTP."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from lycheepost.utils.boundedreads import given_up_counts
from lycheepost.utils.metrics import ServedMetrics

METRICS_PATH = "/metrics"
STATUS_PATH = "/admin/status"


class MetricsPage:
    """The request handler of the metrics port.

    Args:
        metrics: The metrics to serve.
        status: Returns the status of this daemon, with the ages of its data.
        refused_counts: Returns how many clients were refused, by reason.
    """

    def __init__(
        self,
        metrics: ServedMetrics,
        status: Callable[[], dict[str, Any]],
        refused_counts: Callable[[], dict[str, int]],
    ) -> None:
        self._metrics = metrics
        self._status = status
        self._refused_counts = refused_counts

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        match request.path:
            case path if path == METRICS_PATH:
                for name, number in given_up_counts().items():
                    self._metrics.gauge(f"answers_given_up.{name}", number)
                for name, number in self._refused_counts().items():
                    self._metrics.gauge(f"clients_refused.{name}", number)
                return web.Response(
                    body=self._metrics.text(), content_type="text/plain"
                )
            case path if path == STATUS_PATH:
                body = msgspec.json.encode(self._status(), enc_hook=str)
                return web.Response(body=body, content_type="application/json")
            case _:
                return web.Response(status=404)
