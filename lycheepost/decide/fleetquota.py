"""Customer quotas enforced across all daemons of the fleet.

A customer may send five times its usual load through ten daemons at once. Without a
quota it displaces the work of other customers, and if each daemon enforced the whole
quota by itself, the customer would get ten times its quota.

Each daemon keeps a token bucket for the whole fleet per customer. It subtracts what it
admits itself and, twenty times a second, what its peers report that they admitted. No
daemon owns a customer, so the loss of a daemon loses no state, and no request waits
for a remote call.
"""

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance
from lycheepost.decide.quotameter import QuotaCount, QuotaMeter, make_meter
from lycheepost.decide.quotapeers import ASSUMED_DAEMONS, LINGER_SECONDS, QuotaPeers
from lycheepost.decide.quotarecord import (
    MAX_RECORDED_CUSTOMERS,
    QuotaRecord,
)

UPDATE_INTERVAL_SECONDS = 0.05
"""Time between two updates to a peer. In this time a customer that asks for five times
its quota is admitted up to as many units as its quota refills in a quarter of a
second."""

HEARTBEAT_SECONDS = 0.2
"""Time between two updates to a peer when no request was admitted."""

FULL_UPDATE_INTERVAL_SECONDS = 1.0
"""Time between two updates that cover all customers, which replace lost messages."""

RECORD_VALID_SECONDS = 3.0
"""How long after its start a daemon that doesn't reach all peers goes by the recorded
demand. The roles of daemons change for some seconds after a start of all."""

HOLD_SECONDS = 1.6
"""How long after its start a daemon holds requests that exceed only its own share:
until ``SETTLE_SECONDS`` have passed, and some messages more."""


@dataclass(frozen=True, slots=True)
class QuotaUpdate:
    """A quota update from one daemon to another.

    Attributes:
        start: Changes whenever the sender's counts restart from 0, also at each start
            of the sender.
        is_entry: Whether the sender is an entry daemon.
        is_synced: Whether its levels include what the whole fleet spent.
        wants_relay: Whether the receiver should relay what the sender spends.
        counts: Units spent and left per customer.
    """

    start: int
    is_entry: bool
    is_synced: bool
    wants_relay: bool
    counts: Mapping[CustomerId, QuotaCount]


class FleetQuotas:
    """The quotas of all customers, as tracked by one daemon of the fleet.

    Args:
        start: Differs between two starts of this daemon; increases whenever its counts
            restart from 0.
        started_seconds: When this daemon started.

    Attributes:
        share: Fraction of each quota that the reachable daemons may spend together.
        n_share_changes: Number of changes of ``share``.
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
        self._record: QuotaRecord | None = None
        self._rng = random.Random(start)

    @property
    def has_quotas(self) -> bool:
        """Return whether any customer has a quota."""
        return bool(self._meters)

    @property
    def is_synced(self) -> bool:
        """Return whether this is an entry daemon that knows what the fleet spent."""
        return self._peers.is_entry and self._peers.is_synced

    @property
    def n_sharing(self) -> int:
        """Return the number of daemons that share the quotas, this one included."""
        return 1 + len(self._peers.listeners())

    def set_tolerance(self, tolerance: QuotaTolerance) -> None:
        """Set how far the fleet may exceed a quota."""
        if tolerance == self._tolerance:
            return
        self._tolerance = tolerance
        for meter in self._meters.values():
            meter.set_tolerance(tolerance)

    def set_quotas(
        self, quotas: Mapping[CustomerId, Quota], now_seconds: float
    ) -> None:
        """Set the quotas in force; a customer without an entry has none."""
        for customer in self._meters.keys() - quotas.keys():
            del self._meters[customer]
        age_seconds = now_seconds - self._started_seconds
        for customer, quota in quotas.items():
            meter = self._meters.get(customer)
            if meter is None or meter.quota.unit is not quota.unit:
                self._meters[customer] = make_meter(
                    quota, self._tolerance, self.share, age_seconds, now_seconds
                )
                self._apply_record(customer, now_seconds)
            else:
                meter.change(quota, now_seconds)

    def set_record(self, record: QuotaRecord, now_seconds: float) -> None:
        """Set the use that an earlier start of the fleet recorded.

        It has no effect once peers have reported what the fleet spent.
        """
        self._record = record
        for customer in record:
            self._apply_record(customer, now_seconds)

    def _apply_record(self, customer: CustomerId, now_seconds: float) -> None:
        meter = self._meters.get(customer)
        use = None if self._record is None else self._record.get(customer)
        is_late = now_seconds - self._started_seconds > RECORD_VALID_SECONDS
        if meter is None or use is None or is_late or self._peers.is_synced:
            return
        meter.catch_up(now_seconds)
        meter.apply_record(use)

    def make_record(self, now_seconds: float) -> QuotaRecord:
        """Return the use of the customers near their quotas."""
        self._catch_up(now_seconds)
        found = {
            customer: meter.use()
            for customer, meter in self._meters.items()
            if meter.is_near_quota()
        }
        if len(found) <= MAX_RECORDED_CUSTOMERS:
            return found
        by_demand = sorted(found, key=self._demand_share, reverse=True)
        return {name: found[name] for name in by_demand[:MAX_RECORDED_CUSTOMERS]}

    def _demand_share(self, customer: CustomerId) -> float:
        return self._meters[customer].demand_share()

    def set_fleet(self, n_daemons: int) -> None:
        """Set how many daemons there may be, including those not yet reachable."""
        self._peers.set_fleet(n_daemons)

    def set_entry(self, peers: Iterable[DaemonId], now_seconds: float) -> None:
        """Make this daemon an entry daemon, with the other entry daemons as peers."""
        if self._peers.is_standby:
            # Otherwise peers that have dropped this daemon's counts would count its
            # earlier units again.
            self._restart_counts()
        self._peers.set_entry(peers, now_seconds)
        self._refresh_peers(now_seconds)

    def set_standby(
        self, relay: DaemonId | None, n_entry: int, now_seconds: float
    ) -> None:
        """Make this daemon a standby daemon, which reports through a relay.

        Args:
            relay: The daemon that reports to the others what is admitted here.
            n_entry: Number of entry daemons.
            now_seconds: The current time.
        """
        if self._peers.needs_relay and relay != self._peers.relay:
            self._restart_counts()
        self._peers.set_standby(relay, n_entry)
        self._refresh_peers(now_seconds)

    def listeners(self, now_seconds: float) -> tuple[DaemonId, ...]:
        """Return the daemons to send updates to.

        A standby daemon sends only to its relay, and only while it spends units.
        """
        self._refresh_peers(now_seconds)
        if not self._peers.needs_relay:
            return self._peers.listeners()
        relay = self._peers.relay
        has_spent = now_seconds - self._spent_seconds < LINGER_SECONDS
        return (relay,) if relay is not None and has_spent else ()

    def update(self, is_full: bool, now_seconds: float) -> QuotaUpdate:
        """Return the update to send to the listeners now.

        Args:
            is_full: Whether to include every customer that has less than its burst
                left, also where nothing was admitted here.
            now_seconds: The current time.
        """
        self._catch_up(now_seconds)
        for meter in self._meters.values():
            meter.approach_peers()
        counts = {
            customer: QuotaCount(meter.spent, meter.fleet.level, meter.asked)
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
        """Apply an update from another daemon.

        An update from a former peer that was dropped here doesn't make it a peer again:
        its counts include units that were counted long ago.
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
        """Count what a standby daemon admits as admitted by this daemon."""
        is_same_start = self._peers.note_relayed(daemon, update.start, now_seconds)
        for meter, count in self._known(update):
            if not is_same_start:
                meter.forget(daemon)
            asked = meter.update_reported_asked(daemon, count.asked)
            meter.ask(asked)
            self._spend(
                meter, meter.update_reported_spent(daemon, count.spent), now_seconds
            )

    def _receive_from_relay(
        self, daemon: DaemonId, update: QuotaUpdate, now_seconds: float
    ) -> None:
        """Adopt the relay's levels, which already include what was spent here."""
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
                meter.forget(daemon)
            meter.add_peer_demand(daemon, count)
            is_first = daemon not in meter.reported_spent
            if adopts or (is_first and update.is_synced):
                # Its level includes what it admitted before its first update here.
                meter.adopt_lower_level(daemon, count)
            else:
                meter.add_peer_count(daemon, count)
        peers.is_synced = peers.is_synced or (peers.is_entry and adopts)

    def _known(self, update: QuotaUpdate) -> Iterator[tuple[QuotaMeter, QuotaCount]]:
        for customer, count in update.counts.items():
            meter = self._meters.get(customer)
            if meter is not None:
                yield meter, count

    def hold_seconds(self, customer: CustomerId, now_seconds: float) -> float:
        """Return how long to hold a request before asking again; 0 for not at all.

        Shortly after its start a daemon without peers has a small share of each quota.
        A customer that was not near its quota when the fleet was killed is likely to be
        inside it, so its requests wait until the daemon knows what others admit.
        """
        meter = self._meters.get(customer)
        remaining_seconds = HOLD_SECONDS - (now_seconds - self._started_seconds)
        if meter is None or self._record is None or customer in self._record:
            return 0.0
        if remaining_seconds <= 0.0 or self.share >= 1.0:
            return 0.0
        meter.catch_up(now_seconds)
        if meter.fleet.wait_seconds() > 0.0 or meter.wait_seconds() <= 0.0:
            return 0.0
        return UPDATE_INTERVAL_SECONDS

    def take(
        self, customer: CustomerId, units: float, now_seconds: float
    ) -> float | None:
        """Admit a request, or return the seconds after which to retry.

        Returns:
            None if the request was admitted, in which case its units are spent.
        """
        meter = self._meters.get(customer)
        if meter is None:
            return None
        if now_seconds - self._refreshed_seconds > UPDATE_INTERVAL_SECONDS:
            self._refresh_peers(now_seconds)
        meter.catch_up(now_seconds)
        meter.ask(units)
        wait_seconds = self._wait_seconds(meter, units, now_seconds)
        if wait_seconds > 0.0:
            return meter.refuse(units, wait_seconds)
        self._spend(meter, units, now_seconds)
        return None

    def _wait_seconds(
        self, meter: QuotaMeter, units: float, now_seconds: float
    ) -> float:
        """Return the time until a request may be admitted; 0 for now.

        Shortly after a start of all daemons, each admits the part of the requests that
        the quota allows of the recorded demand. Its share of the quota would not do:
        one long request overdraws it, and tens of daemons that don't know each other
        would each admit one.
        """
        pass_share = meter.pass_share()
        age_seconds = now_seconds - self._started_seconds
        if (
            self.share >= 1.0
            or pass_share is None
            or age_seconds > RECORD_VALID_SECONDS
        ):
            return meter.wait_seconds()
        if self._rng.random() < pass_share:
            return meter.fleet.wait_seconds()
        return max(meter.fleet.wait_seconds(), units / meter.fleet.rate_per_second)

    def refused(self) -> Iterator[tuple[CustomerId, QuotaMeter]]:
        """Yield the customers with requests refused by this daemon."""
        for customer, meter in self._meters.items():
            if meter.n_refused:
                yield customer, meter

    def left(self, customer: CustomerId) -> float | None:
        """Return the units left for a customer; None if it has no quota."""
        meter = self._meters.get(customer)
        return None if meter is None else meter.fleet.level

    def refund(self, customer: CustomerId, units: float, now_seconds: float) -> None:
        """Refund the units of a request that was admitted but never ran."""
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
        """Restart the counts from 0, since others may have dropped the old ones."""
        self._start += 1
        for meter in self._meters.values():
            meter.restart_counts()

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return the units left and the requests refused here, per customer."""
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
        """Drop departed peers and update the share of the reachable ones."""
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
            meter.forget(daemon)
