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
    HEARTBEAT_SECONDS,
    TELL_SECONDS,
    WHOLE_SECONDS,
    FleetQuotas,
)
from lycheepost.generated.messages import QuotaSpent
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.quotanews import from_message, to_message
from lycheepost.utils.tasks import start_task

LOG_SECONDS = 1.0
"""Shortest time between two lines on who is heard."""

IDLE_SECONDS = 0.4
"""Between two looks at whether any customer has a quota."""

_log = structlog.get_logger(part="quotas")


class QuotaExchange:
    """Keeps the quotas of this daemon and those of its peers together.

    Args:
        quotas: The quotas; nobody else passes news to them.
        exchange: The links.
        clock: The clock of the decisions.
        get_mates: Returns the other daemons that serve, in a fleet in which all do;
            None where ``follow_place`` tells.
    """

    def __init__(
        self,
        quotas: FleetQuotas,
        exchange: PeerExchange,
        clock: Clock,
        get_mates: Callable[[], tuple[DaemonId, ...]] | None = None,
    ) -> None:
        self._get_mates = get_mates
        self._quotas = quotas
        self._exchange = exchange
        self._clock = clock
        self._n_share_changes = 0
        self._logged_seconds = float("-inf")
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
        self._quotas.set_standing_by(next(relays, None), len(place.entry), now_seconds)

    async def _run(self) -> None:
        while True:
            if not self._quotas.has_quotas:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            await asyncio.sleep(TELL_SECONDS)
            self._tell()

    def _tell(self) -> None:
        now_seconds = self._clock.now_seconds()
        self._log_share(now_seconds)
        if self._get_mates is not None:
            self._quotas.set_entry(self._get_mates(), now_seconds)
        listeners = self._quotas.listeners(now_seconds)
        if not listeners:
            return
        is_whole = now_seconds - self._whole_seconds > WHOLE_SECONDS
        news = self._quotas.news(is_whole, now_seconds)
        is_due = now_seconds - self._told_seconds > HEARTBEAT_SECONDS
        if not news.words and not is_due:
            return
        self._told_seconds = now_seconds
        if is_whole:
            self._whole_seconds = now_seconds
        message = to_message(news)
        for daemon in listeners:
            self._exchange.send(daemon, message)

    def _log_share(self, now_seconds: float) -> None:
        """Tell of a change of the daemons that are heard, at most once a second."""
        is_due = now_seconds - self._logged_seconds > LOG_SECONDS
        if not is_due or self._n_share_changes == self._quotas.n_share_changes:
            return
        self._logged_seconds = now_seconds
        self._n_share_changes = self._quotas.n_share_changes
        _log.info(
            "quotas: share changed",
            share=round(self._quotas.share, 3),
            n_changes=self._n_share_changes,
        )

    def _take(self, message: QuotaSpent, sender: DaemonId) -> None:
        self._quotas.hear(sender, from_message(message), self._clock.now_seconds())
