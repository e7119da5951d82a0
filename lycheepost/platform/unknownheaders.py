"""Logs the names of response headers that the adapter does not know.

Without the log a signal that the platform has added would go unnoticed: the header is
forwarded to the client, and the daemon behaves as before.
"""

from collections.abc import Iterable

import structlog

from lycheepost.platform import headers as names

MAX_NAMES = 32
"""Keeps a server that invents header names from filling the log."""

_KNOWN = names.HOP_BY_HOP | {
    name.lower()
    for name in (
        names.ATTEMPT_ID,
        names.SEAL,
        names.NOT_RUN,
        names.TARGET,
        names.LOAD,
        names.RATE_LIMIT,
        names.BRITTLE,
        names.LEAVING,
        names.WEIGHTS,
        names.RETRY_AFTER,
        "Cache-Control",
        "Content-Encoding",
        "Content-Type",
        "Date",
        "Server",
    )
}

_log = structlog.get_logger(part="targets")


class UnknownHeaders:
    """Logs each unknown name once."""

    def __init__(self) -> None:
        self._seen: set[str] = set()

    def note(self, headers: Iterable[str]) -> None:
        """Log the unknown names among the headers of one response."""
        for name in headers:
            lowered = name.lower()
            if lowered in _KNOWN or lowered in self._seen:
                continue
            if len(self._seen) >= MAX_NAMES:
                return
            self._seen.add(lowered)
            _log.warning("targets: unknown response header", name=name)
