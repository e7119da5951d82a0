"""Counts calls to the platform's store by purpose."""

from collections import Counter

import structlog

from lycheepost.ports.table import Transaction

LOG_INTERVAL_SECONDS = 5.0
"""Minimum time between two log lines on the calls of a process."""

_log = structlog.get_logger(part="store")


class StoreCallCounts:
    """Calls since the last log line, by kind."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._logged_seconds = float("-inf")

    def note(self, kind: str) -> None:
        """Count one call."""
        self._counts[kind] += 1

    def log_if_due(self, now_seconds: float) -> None:
        """Log the counts if there are any and the interval has passed."""
        if (
            not self._counts
            or now_seconds < self._logged_seconds + LOG_INTERVAL_SECONDS
        ):
            return
        self._logged_seconds = now_seconds
        _log.info("store: calls", counts=dict(sorted(self._counts.items())))
        self._counts.clear()


def read_kind(table: str, first_key: str) -> str:
    """Return the kind of a read of rows."""
    return f"read {table} {_subject(first_key)}".rstrip()


def feed_kind(table: str) -> str:
    """Return the kind of a poll for changes."""
    return f"feed {table}"


def commit_kind(transaction: Transaction) -> str:
    """Return the kind of a transaction, taken from its first row."""
    key = transaction.writes[0].key if transaction.writes else ""
    return f"commit {_subject(key)}".rstrip()


def _subject(key: str) -> str:
    """Return the first segment of a key, which names the type of the row."""
    return key.partition("/")[0]
