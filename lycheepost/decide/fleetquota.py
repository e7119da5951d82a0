"""Hold customers to their quotas over all daemons together.

The load: one customer asks for five times its usual, through ten daemons at once.
Without a quota its work is read in place of what the others ask for; where each daemon
holds it to the whole quota, it gets ten times that.

Each daemon keeps, for each customer, the bucket of the whole fleet. It takes from it
what it lets through itself and, twenty times a second, what its mates say that they let
through. No daemon owns a customer, so none is missed when it dies, and the count of
what was spent is never asked for while a request waits.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance
from lycheepost.decide.quotameter import QuotaCount, QuotaMeter, make_meter
from lycheepost.decide.quotapeers import ASSUMED_DAEMONS, LINGER_SECONDS, QuotaPeers

UPDATE_INTERVAL_SECONDS = 0.05
"""How soon a mate is told of what was let through. A customer that asks for five times
its quota is let through a quarter of a second's worth of it more."""

HEARTBEAT_SECONDS = 0.2
"""How often a mate is told though nothing was let through."""

FULL_UPDATE_INTERVAL_SECONDS = 1.0
"""How often it is told of all customers, for what was lost on the way."""


@dataclass(frozen=True, slots=True)
class QuotaUpdate:
    """What one daemon says to another.

    Attributes:
        start: Differs between two starts of the sender.
        is_entry: Callers are sent to the sender.
        is_synced: Its levels rest on what the whole fleet spent.
        wants_relay: The receiver shall tell its mates what the sender spends.
        counts: What it says of customers.
    """

    start: int
    is_entry: bool
    is_synced: bool
    wants_relay: bool
    counts: Mapping[CustomerId, QuotaCount]


class FleetQuotas:
    """The quotas of all customers, as one daemon of the fleet holds them.

    Args:
        start: Differs between two starts of this daemon.
        started_seconds: When this daemon started.

    Attributes:
        share: The part of each quota that those who hear each other may spend.
        n_share_changes: Rises with each change of ``share``.
    """

    def __init__(self, start: int, started_seconds: float) -> None:
        self.share = 1.0 / ASSUMED_DAEMONS
        self.n_share_changes = 0
        self._start = start
        self._started_seconds = started_seconds
        self._tolerance = QuotaTolerance()
        self._meters: dict[CustomerId, QuotaMeter] = {}
        self._peers = QuotaPeers(started_seconds)
        self._refreshed_seconds = float("-inf")
        self._spent_seconds = float("-inf")

    @property
    def has_quotas(self) -> bool:
        """Tell whether any customer has a quota."""
        return bool(self._meters)

    def set_tolerance(self, tolerance: QuotaTolerance) -> None:
        """Follow how far the fleet may go beyond a quota."""
        if tolerance == self._tolerance:
            return
        self._tolerance = tolerance
        for meter in self._meters.values():
            meter.set_tolerance(tolerance)

    def set_quotas(
        self, quotas: Mapping[CustomerId, Quota], now_seconds: float
    ) -> None:
        """Follow the quotas in force; a customer that isn't named has none."""
        for customer in self._meters.keys() - quotas.keys():
            del self._meters[customer]
        age_seconds = now_seconds - self._started_seconds
        for customer, quota in quotas.items():
            meter = self._meters.get(customer)
            if meter is None or meter.quota.unit is not quota.unit:
                self._meters[customer] = make_meter(
                    quota, self._tolerance, self.share, age_seconds, now_seconds
                )
            else:
                meter.change(quota, now_seconds)

    def set_fleet(self, n_daemons: int) -> None:
        """Follow how many daemons there may be, also those that were not heard yet."""
        self._peers.set_fleet(n_daemons)

    def set_entry(self, peers: Iterable[DaemonId], now_seconds: float) -> None:
        """Follow the other daemons that callers are sent to, as one of them."""
        if self._peers.is_standby:
            # Those who forgot this daemon would count what it spent as one of them
            # before a second time.
            self._restart_counts()
        self._peers.set_entry(peers, now_seconds)
        self._refresh_peers(now_seconds)

    def set_standby(
        self, relay: DaemonId | None, n_entry: int, now_seconds: float
    ) -> None:
        """Follow whom to tell as a daemon that callers are not sent to.

        Args:
            relay: The daemon that tells the others what is let through here.
            n_entry: Daemons that callers are sent to.
            now_seconds: The present time.
        """
        if self._peers.needs_relay and relay != self._peers.relay:
            self._restart_counts()
        self._peers.set_standby(relay, n_entry)
        self._refresh_peers(now_seconds)

    def listeners(self, now_seconds: float) -> tuple[DaemonId, ...]:
        """Return who is told.

        A daemon that stands by tells its relay, while there is something to tell.
        """
        self._refresh_peers(now_seconds)
        if not self._peers.needs_relay:
            return self._peers.listeners()
        relay = self._peers.relay
        has_spent = now_seconds - self._spent_seconds < LINGER_SECONDS
        return (relay,) if relay is not None and has_spent else ()

    def update(self, is_full: bool, now_seconds: float) -> QuotaUpdate:
        """Return what the listeners shall be told now.

        Args:
            is_full: Of every customer that has less than its burst left, also where
                nothing was let through here.
            now_seconds: The present time.
        """
        self._catch_up(now_seconds)
        counts = {
            customer: QuotaCount(meter.spent, meter.fleet.level)
            for customer, meter in self._meters.items()
            if meter.is_changed or (is_full and meter.fleet.level < meter.quota.burst)
        }
        for customer in counts:
            self._meters[customer].is_changed = False
        peers = self._peers
        return QuotaUpdate(
            self._start, peers.is_entry, peers.is_synced, peers.needs_relay, counts
        )

    def receive(
        self, daemon: DaemonId, update: QuotaUpdate, now_seconds: float
    ) -> None:
        """Take what another daemon says.

        A daemon that is no mate any more, and was forgotten here, isn't one again for
        what it still says: its counts reach back to what was counted long ago.
        """
        for meter, _count in self._known(update):
            meter.catch_up(now_seconds)
        if update.wants_relay:
            self._receive_from_standby(daemon, update, now_seconds)
        elif self._peers.needs_relay:
            self._receive_from_relay(daemon, update, now_seconds)
        elif update.is_entry or self._peers.is_peer(daemon):
            self._receive_from_peer(daemon, update, now_seconds)
        self._refresh_peers(now_seconds)

    def _receive_from_standby(
        self, daemon: DaemonId, update: QuotaUpdate, now_seconds: float
    ) -> None:
        """Count what a daemon that stands by lets through as let through here."""
        is_same_start = self._peers.note_relayed(daemon, update.start, now_seconds)
        for meter, count in self._known(update):
            if not is_same_start:
                meter.reported_spent.pop(daemon, None)
            self._spend(
                meter, meter.update_reported_spent(daemon, count.spent), now_seconds
            )

    def _receive_from_relay(
        self, daemon: DaemonId, update: QuotaUpdate, now_seconds: float
    ) -> None:
        """Take over what is left; the relay has counted what was spent here."""
        if daemon != self._peers.relay:
            return
        self._peers.note_relay(now_seconds)
        for meter, count in self._known(update):
            meter.adopt_level(count)

    def _receive_from_peer(
        self, daemon: DaemonId, update: QuotaUpdate, now_seconds: float
    ) -> None:
        peers = self._peers
        is_same_start = peers.note_peer(
            daemon, update.start, update.is_entry, now_seconds
        )
        adopts = update.is_synced and not peers.is_synced
        for meter, count in self._known(update):
            if not is_same_start:
                meter.reported_spent.pop(daemon, None)
            is_first = daemon not in meter.reported_spent
            if adopts or (is_first and update.is_synced):
                # What it let through before this daemon heard of it is in its level.
                meter.adopt_lower_level(daemon, count)
            else:
                meter.add_peer_count(daemon, count)
        peers.is_synced = peers.is_synced or (peers.is_entry and adopts)

    def _known(self, update: QuotaUpdate) -> Iterator[tuple[QuotaMeter, QuotaCount]]:
        for customer, count in update.counts.items():
            meter = self._meters.get(customer)
            if meter is not None:
                yield meter, count

    def take(
        self, customer: CustomerId, units: float, now_seconds: float
    ) -> float | None:
        """Let a request through, or return after how many seconds to come back.

        Returns:
            None when it was let through; its units are spent then.
        """
        meter = self._meters.get(customer)
        if meter is None:
            return None
        if now_seconds - self._refreshed_seconds > UPDATE_INTERVAL_SECONDS:
            self._refresh_peers(now_seconds)
        meter.catch_up(now_seconds)
        if meter.wait_seconds() > 0.0:
            return meter.refuse(units)
        self._spend(meter, units, now_seconds)
        return None

    def refused(self) -> Iterator[tuple[CustomerId, QuotaMeter]]:
        """Yield the customers of whom requests were refused here."""
        for customer, meter in self._meters.items():
            if meter.n_refused:
                yield customer, meter

    def left(self, customer: CustomerId) -> float | None:
        """Return what is left for a customer; None where it has no quota."""
        meter = self._meters.get(customer)
        return None if meter is None else meter.fleet.level

    def refund(self, customer: CustomerId, units: float, now_seconds: float) -> None:
        """Return the units of a request that was let through and never ran."""
        meter = self._meters.get(customer)
        if meter is None:
            return
        meter.catch_up(now_seconds)
        self._spend(meter, -units, now_seconds)

    def _spend(self, meter: QuotaMeter, units: float, now_seconds: float) -> None:
        silent_seconds = now_seconds - self._spent_seconds
        if self._peers.needs_relay and silent_seconds > LINGER_SECONDS:
            self._restart_counts()
        meter.spend(units)
        self._spent_seconds = now_seconds

    def _restart_counts(self) -> None:
        """Begin new counts, where others may have forgotten the ones before."""
        self._start += 1
        for meter in self._meters.values():
            meter.spent = 0.0

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return what is left for each customer and what was refused here."""
        self._catch_up(now_seconds)
        return {
            "share": round(self.share, 3),
            "is_synced": self._peers.is_synced,
            "customers": {
                customer: meter.status() for customer, meter in self._meters.items()
            },
        }

    def _catch_up(self, now_seconds: float) -> None:
        for meter in self._meters.values():
            meter.catch_up(now_seconds)

    def _refresh_peers(self, now_seconds: float) -> None:
        """Follow which mates are heard of."""
        self._refreshed_seconds = now_seconds
        for daemon in self._peers.forget(now_seconds):
            self._forget_counts(daemon)
        share = self._peers.find_share(now_seconds)
        if share == self.share:
            return
        self.n_share_changes += 1
        self.share = share
        self._catch_up(now_seconds)
        for meter in self._meters.values():
            meter.divide(share)

    def _forget_counts(self, daemon: DaemonId) -> None:
        for meter in self._meters.values():
            meter.reported_spent.pop(daemon, None)
