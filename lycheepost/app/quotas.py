"""Exchanges with the peers how much of each customer's quota was used."""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from lycheepost.app.fleettopology import FleetTopology
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
from lycheepost.peers.quota_messages import from_message, to_message
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between log lines on reachable peers, and between sets of gauges."""

MAX_CUSTOMERS_WITH_GAUGES = 32
"""Only the first customers with refused requests get gauges of their own. The limit
bounds memory, as metrics never drop a name."""

IDLE_SECONDS = 0.4
"""Interval between checks for quotas while no customer has one."""

_log = structlog.get_logger(part="quotas")


class QuotaExchange:
    """Keeps the quota counts of this daemon and its peers in step.

    Args:
        quotas: The quotas; no other component passes updates to them.
        exchange: The links to the peers.
        clock: The clock that the scheduler uses.
        metrics: Receives the gauges.
        get_peers: Returns the other live daemons, in a fleet where all daemons are
            entry daemons; None if ``set_topology`` is called instead.
    """

    def __init__(
        self,
        quotas: FleetQuotas,
        exchange: PeerExchange,
        clock: Clock,
        metrics: Metrics,
        get_peers: Callable[[], tuple[DaemonId, ...]] | None = None,
    ) -> None:
        self._get_peers = get_peers
        self._metrics = metrics
        self._customers_with_gauges: set[CustomerId] = set()
        self._quotas = quotas
        self._exchange = exchange
        self._clock = clock
        self._n_share_changes = 0
        self._last_logged_seconds = float("-inf")
        self._last_published_seconds = float("-inf")
        self._last_full_report_seconds = float("-inf")
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(QuotaSpent, self._receive)

    async def start(self) -> None:
        """Start sending counts."""
        self._task = start_task(self._run(), "quotas")

    async def drain(self) -> None:
        """Do nothing: requests are admitted until the end of the drain."""

    async def stop(self) -> None:
        """Stop sending counts."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return each customer's remaining quota, as known to this daemon."""
        return self._quotas.status(self._clock.now_seconds())

    def set_table(self, table: RouteTable) -> None:
        """Set the quotas of the current route table."""
        self.set_quotas(table.quotas)

    def set_quotas(self, quotas: Mapping[CustomerId, Quota]) -> None:
        """Set the current quotas."""
        self._quotas.set_quotas(quotas, self._clock.now_seconds())

    def set_fleet(self, n_daemons: int) -> None:
        """Set the number of daemons that have a row in the store, once it was read."""
        self._quotas.set_fleet(n_daemons)

    def set_topology(self, me: DaemonId, topology: FleetTopology) -> None:
        """Set the topology of the fleet as seen by this daemon."""
        now_seconds = self._clock.now_seconds()
        if me in topology.entry:
            self._quotas.set_entry(topology.peers, now_seconds)
            return
        relays = (daemon for daemon in topology.sources if daemon in topology.entry)
        self._quotas.set_standby(next(relays, None), len(topology.entry), now_seconds)

    async def _run(self) -> None:
        while True:
            if not self._quotas.has_quotas:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS)
            try:
                self._exchange_once(self._clock.now_seconds())
            except Exception:
                # If the task ended, the peers would assume that this daemon is cut off
                # and grant their customers only a part of each quota from then on.
                _log.exception("quotas: one exchange failed")

    def _exchange_once(self, now_seconds: float) -> None:
        if self._get_peers is not None:
            self._quotas.set_entry(self._get_peers(), now_seconds)
        self._publish(now_seconds)
        self._report(now_seconds)

    def _publish(self, now_seconds: float) -> None:
        """Send the counts to the listeners, or a heartbeat without counts."""
        listeners = self._quotas.listeners(now_seconds)
        if not listeners:
            return
        is_whole = (
            now_seconds - self._last_full_report_seconds > FULL_UPDATE_INTERVAL_SECONDS
        )
        update = self._quotas.update(is_whole, now_seconds)
        is_due = now_seconds - self._last_published_seconds > HEARTBEAT_SECONDS
        if not update.counts and not is_due:
            return
        self._last_published_seconds = now_seconds
        if is_whole:
            self._last_full_report_seconds = now_seconds
        message = to_message(update)
        self._exchange.send_to_each(listeners, message)

    def _report(self, now_seconds: float) -> None:
        """Log changes and set gauges, at most once per ``LOG_INTERVAL_SECONDS``."""
        if now_seconds - self._last_logged_seconds < LOG_INTERVAL_SECONDS:
            return
        self._last_logged_seconds = now_seconds
        self._log_share()
        for customer, meter in self._quotas.refused():
            if len(self._customers_with_gauges) < MAX_CUSTOMERS_WITH_GAUGES:
                self._customers_with_gauges.add(customer)
            if customer in self._customers_with_gauges:
                self._metrics.gauge(f"quota_left.{customer}", meter.fleet.level)
                self._metrics.gauge(f"quota_refused.{customer}", meter.n_refused)

    def _log_share(self) -> None:
        """Log a change of the set of reachable daemons."""
        n_changes = self._quotas.n_share_changes
        if n_changes == self._n_share_changes:
            return
        self._n_share_changes = n_changes
        share = round(self._quotas.share, 3)
        _log.info("quotas: share changed", share=share, n_changes=n_changes)

    def _receive(self, message: QuotaSpent, sender: DaemonId) -> None:
        update = from_message(message)
        n_invalid = len(message.customers) - len(update.counts)
        if n_invalid:
            _log.warning("quotas: invalid counts ignored", sender=sender, n=n_invalid)
        self._quotas.receive(sender, update, self._clock.now_seconds())
