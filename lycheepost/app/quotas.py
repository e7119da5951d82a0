"""Tell the peers what was let through of each customer's quota, and hear theirs."""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from lycheepost.app.fleetplace import FleetPlace
from lycheepost.core.clock import Clock
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota
from lycheepost.core.routing import RouteTable
from lycheepost.decide.fleetquota import (
    FULL_UPDATE_INTERVAL_SECONDS,
    HEARTBEAT_SECONDS,
    UPDATE_INTERVAL_SECONDS,
    FleetQuotas,
)
from lycheepost.generated.messages import QuotaSpent
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.quotanews import from_message, to_message
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

REPORT_SECONDS = 1.0
"""Shortest time between two lines on who is heard, and between two sets of gauges."""

MOST_MEASURED = 32
"""Customers with gauges of their own, the first ones of whom requests were refused:
each name stays in the metrics for good."""

IDLE_SECONDS = 0.4
"""Between two looks at whether any customer has a quota."""

_log = structlog.get_logger(part="quotas")


class QuotaExchange:
    """Keeps the quotas of this daemon and those of its peers together.

    Args:
        quotas: The quotas; nobody else passes news to them.
        exchange: The links.
        clock: The clock of the decisions.
        metrics: Where gauges go.
        get_mates: Returns the other daemons that serve, in a fleet in which all do;
            None where ``follow_place`` tells.
    """

    def __init__(
        self,
        quotas: FleetQuotas,
        exchange: PeerExchange,
        clock: Clock,
        metrics: Metrics,
        get_mates: Callable[[], tuple[DaemonId, ...]] | None = None,
    ) -> None:
        self._get_mates = get_mates
        self._metrics = metrics
        self._measured: set[CustomerId] = set()
        self._quotas = quotas
        self._exchange = exchange
        self._clock = clock
        self._n_share_changes = 0
        self._reported_seconds = float("-inf")
        self._told_seconds = float("-inf")
        self._whole_seconds = float("-inf")
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(QuotaSpent, self._take)

    async def start(self) -> None:
        """Begin to tell."""
        self._task = start_task(self._run(), "quotas")

    async def drain(self) -> None:
        """Go on: requests are let through until the end."""

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return what is left for each customer, as seen here."""
        return self._quotas.status(self._clock.now_seconds())

    def set_table(self, table: RouteTable) -> None:
        """Follow the quotas of the route table in force."""
        self.set_quotas(table.quotas)

    def set_quotas(self, quotas: Mapping[CustomerId, Quota]) -> None:
        """Follow the quotas in force."""
        self._quotas.set_quotas(quotas, self._clock.now_seconds())

    def set_fleet(self, n_daemons: int) -> None:
        """Follow how many daemons have a row in the store, once it was read."""
        self._quotas.set_fleet(n_daemons)

    def follow_place(self, me: DaemonId, place: FleetPlace) -> None:
        """Follow the place of this daemon in the fleet."""
        now_seconds = self._clock.now_seconds()
        if me in place.entry:
            self._quotas.set_entry(place.mates, now_seconds)
            return
        relays = (daemon for daemon in place.sources if daemon in place.entry)
        self._quotas.set_standby(next(relays, None), len(place.entry), now_seconds)

    async def _run(self) -> None:
        while True:
            if not self._quotas.has_quotas:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS)
            try:
                self._exchange_once(self._clock.now_seconds())
            except Exception:
                # Without the next message the others would take this daemon for cut
                # off, and hold their customers to a part of each quota for good.
                _log.exception("quotas: one exchange failed")

    def _exchange_once(self, now_seconds: float) -> None:
        if self._get_mates is not None:
            self._quotas.set_entry(self._get_mates(), now_seconds)
        self._tell(now_seconds)
        self._report(now_seconds)

    def _tell(self, now_seconds: float) -> None:
        """Tell the listeners what was let through, or that this daemon lives."""
        listeners = self._quotas.listeners(now_seconds)
        if not listeners:
            return
        is_whole = now_seconds - self._whole_seconds > FULL_UPDATE_INTERVAL_SECONDS
        update = self._quotas.update(is_whole, now_seconds)
        is_due = now_seconds - self._told_seconds > HEARTBEAT_SECONDS
        if not update.counts and not is_due:
            return
        self._told_seconds = now_seconds
        if is_whole:
            self._whole_seconds = now_seconds
        message = to_message(update)
        self._exchange.send_to_each(listeners, message)

    def _report(self, now_seconds: float) -> None:
        """Log and measure, at most once a second."""
        if now_seconds - self._reported_seconds < REPORT_SECONDS:
            return
        self._reported_seconds = now_seconds
        self._log_share()
        for customer, meter in self._quotas.refused():
            if len(self._measured) < MOST_MEASURED:
                self._measured.add(customer)
            if customer in self._measured:
                self._metrics.gauge(f"quota_left.{customer}", meter.fleet.level)
                self._metrics.gauge(f"quota_refused.{customer}", meter.n_refused)

    def _log_share(self) -> None:
        """Tell of a change of the daemons that are heard."""
        n_changes = self._quotas.n_share_changes
        if n_changes == self._n_share_changes:
            return
        self._n_share_changes = n_changes
        share = round(self._quotas.share, 3)
        _log.info("quotas: share changed", share=share, n_changes=n_changes)

    def _take(self, message: QuotaSpent, sender: DaemonId) -> None:
        update = from_message(message)
        n_left_out = len(message.customers) - len(update.counts)
        if n_left_out:
            _log.warning("quotas: counts left out", sender=sender, n=n_left_out)
        self._quotas.receive(sender, update, self._clock.now_seconds())
