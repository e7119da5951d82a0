"""Serves the metrics and this daemon's own account of itself."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from lycheepost.utils.metrics import ServedMetrics

METRICS_PATH = "/metrics"
STATUS_PATH = "/admin/status"


class MetricsPage:
    """Answers who asks on the metrics port.

    Args:
        metrics: What is counted.
        status: Returns what this daemon believes, with ages.
    """

    def __init__(
        self, metrics: ServedMetrics, status: Callable[[], dict[str, Any]]
    ) -> None:
        self._metrics = metrics
        self._status = status

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        match request.path:
            case path if path == METRICS_PATH:
                return web.Response(
                    body=self._metrics.text(), content_type="text/plain"
                )
            case path if path == STATUS_PATH:
                body = msgspec.json.encode(self._status(), enc_hook=str)
                return web.Response(body=body, content_type="application/json")
            case _:
                return web.Response(status=404)
