"""The route table in force in this daemon.

Versions only increase, whatever the source: a late table, from a store response that
arrived after a newer one or from a peer that is behind, is ignored. Before the first
table is known, requests must not be answered with "not found" or "key unknown", since
the route or key may exist.
"""

from collections.abc import Callable

import structlog

from lycheepost.core.routing import RouteTable

_log = structlog.get_logger(part="routing")

OnTable = Callable[[RouteTable], None]


class RoutingManager:
    """Holds the newest route table and how fresh it is.

    Attributes:
        table: The route table in force; None before the first one.
        confirmed_seconds: The table was the newest at this time or later, by a clock
            that includes time spent suspended; None if never confirmed.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.confirmed_seconds: float | None = None
        self._subscribers: list[OnTable] = []

    def subscribe(self, callback: OnTable) -> None:
        """Call ``callback`` with each table that comes into force."""
        self._subscribers.append(callback)

    def adopt(self, table: RouteTable, source: str) -> bool:
        """Adopt a table if it is newer than the current one; return whether it was.

        Args:
            table: A complete configuration.
            source: Where the table came from, for the log.
        """
        current = self.table
        if current is not None and table.version <= current.version:
            return False
        self.table = table
        _log.info(
            "routing: configuration in force",
            version=table.version,
            before=None if current is None else current.version,
            n_routes=sum(len(routes) for routes in table.by_host.values()),
            n_keys=len(table.key_holders or ()),
            source=source,
            earlier_confirmed_seconds=self.confirmed_seconds,
        )
        for callback in self._subscribers:
            callback(table)
        return True

    def confirm(self, version: int, confirmed_seconds: float) -> None:
        """Record that ``version`` was the newest at ``confirmed_seconds``.

        A confirmation of any version but the one in force is ignored: it says nothing
        about the keys in use on this daemon.
        """
        if self.table is None or self.table.version != version:
            return
        if self.confirmed_seconds is None or confirmed_seconds > self.confirmed_seconds:
            self.confirmed_seconds = confirmed_seconds

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return the version and the confirmation's age, for the status page."""
        confirmed = self.confirmed_seconds
        return {
            "version": None if self.table is None else self.table.version,
            "confirmed_age_seconds": (
                None if confirmed is None else now_seconds - confirmed
            ),
        }
