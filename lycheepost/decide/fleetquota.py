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
from lycheepost.decide.quotamates import LINGER_SECONDS, UNKNOWN_DAEMONS, QuotaMates
from lycheepost.decide.quotameter import QuotaCount, QuotaMeter, make_meter

TELL_SECONDS = 0.05
"""How soon a mate is told of what was let through. A customer that asks for five times
its quota is let through a quarter of a second's worth of it more."""

HEARTBEAT_SECONDS = 0.2
"""How often a mate is told though nothing was let through."""

WHOLE_SECONDS = 1.0
"""How often it is told of all customers, for what was lost on the way."""


@dataclass(frozen=True, slots=True)
class QuotaNews:
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
        self.share = 1.0 / UNKNOWN_DAEMONS
        self.n_share_changes = 0
        self._start = start
        self._started_seconds = started_seconds
        self._tolerance = QuotaTolerance()
        self._meters: dict[CustomerId, QuotaMeter] = {}
        self._mates = QuotaMates(started_seconds)
        self._looked_seconds = float("-inf")
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
        self._mates.set_fleet(n_daemons)

    def set_entry(self, mates: Iterable[DaemonId], now_seconds: float) -> None:
        """Follow the other daemons that callers are sent to, as one of them."""
        if self._mates.is_standing_by:
            # Those who forgot this daemon would count what it spent as one of them
            # before a second time.
            self._count_anew()
        self._mates.set_entry(mates, now_seconds)
        self._look(now_seconds)

    def set_standing_by(
        self, relay: DaemonId | None, n_entry: int, now_seconds: float
    ) -> None:
        """Follow whom to tell as a daemon that callers are not sent to.

        Args:
            relay: The daemon that tells the others what is let through here.
            n_entry: Daemons that callers are sent to.
            now_seconds: The present time.
        """
        if self._mates.is_alone and relay != self._mates.relay:
            self._count_anew()
        self._mates.set_standing_by(relay, n_entry)
        self._look(now_seconds)

    def listeners(self, now_seconds: float) -> tuple[DaemonId, ...]:
        """Return who is told.

        A daemon that stands by tells its relay, while there is something to tell.
        """
        self._look(now_seconds)
        if not self._mates.is_alone:
            return self._mates.listeners()
        relay = self._mates.relay
        has_spent = now_seconds - self._spent_seconds < LINGER_SECONDS
        return (relay,) if relay is not None and has_spent else ()

    def news(self, is_whole: bool, now_seconds: float) -> QuotaNews:
        """Return what the listeners shall be told now.

        Args:
            is_whole: Of every customer that has less than its burst left, also where
                nothing was let through here.
            now_seconds: The present time.
        """
        self._catch_up(now_seconds)
        counts = {
            customer: QuotaCount(meter.spent, meter.fleet.level)
            for customer, meter in self._meters.items()
            if meter.is_changed or (is_whole and meter.fleet.level < meter.quota.burst)
        }
        for customer in counts:
            self._meters[customer].is_changed = False
        mates = self._mates
        return QuotaNews(
            self._start, mates.is_entry, mates.is_synced, mates.is_alone, counts
        )

    def hear(self, daemon: DaemonId, news: QuotaNews, now_seconds: float) -> None:
        """Take what another daemon says.

        A daemon that is no mate any more, and was forgotten here, isn't one again for
        what it still says: its counts reach back to what was counted long ago.
        """
        for meter, _count in self._known(news):
            meter.catch_up(now_seconds)
        if news.wants_relay:
            self._hear_relayed(daemon, news, now_seconds)
        elif self._mates.is_alone:
            self._hear_relay(daemon, news, now_seconds)
        elif news.is_entry or self._mates.is_mate(daemon):
            self._hear_mate(daemon, news, now_seconds)
        self._look(now_seconds)

    def _hear_relayed(
        self, daemon: DaemonId, news: QuotaNews, now_seconds: float
    ) -> None:
        """Count what a daemon that stands by lets through as let through here."""
        goes_on = self._mates.note_relayed(daemon, news.start, now_seconds)
        for meter, count in self._known(news):
            if not goes_on:
                meter.told.pop(daemon, None)
            self._spend(meter, meter.note_spent(daemon, count.spent), now_seconds)

    def _hear_relay(
        self, daemon: DaemonId, news: QuotaNews, now_seconds: float
    ) -> None:
        """Take over what is left; the relay has counted what was spent here."""
        if daemon != self._mates.relay:
            return
        self._mates.note_relay(now_seconds)
        for meter, count in self._known(news):
            meter.take_level(count)

    def _hear_mate(self, daemon: DaemonId, news: QuotaNews, now_seconds: float) -> None:
        mates = self._mates
        goes_on = mates.note_mate(daemon, news.start, news.is_entry, now_seconds)
        adopts = news.is_synced and not mates.is_synced
        for meter, count in self._known(news):
            if not goes_on:
                meter.told.pop(daemon, None)
            is_first = daemon not in meter.told
            if adopts or (is_first and news.is_synced):
                # What it let through before this daemon heard of it is in its level.
                meter.take_lower_level(daemon, count)
            else:
                meter.take_mate_count(daemon, count)
        mates.is_synced = mates.is_synced or (mates.is_entry and adopts)

    def _known(self, news: QuotaNews) -> Iterator[tuple[QuotaMeter, QuotaCount]]:
        for customer, count in news.counts.items():
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
        if now_seconds - self._looked_seconds > TELL_SECONDS:
            self._look(now_seconds)
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

    def give_back(self, customer: CustomerId, units: float, now_seconds: float) -> None:
        """Return the units of a request that was let through and never ran."""
        meter = self._meters.get(customer)
        if meter is None:
            return
        meter.catch_up(now_seconds)
        self._spend(meter, -units, now_seconds)

    def _spend(self, meter: QuotaMeter, units: float, now_seconds: float) -> None:
        silent_seconds = now_seconds - self._spent_seconds
        if self._mates.is_alone and silent_seconds > LINGER_SECONDS:
            self._count_anew()
        meter.spend(units)
        self._spent_seconds = now_seconds

    def _count_anew(self) -> None:
        """Begin new counts, where others may have forgotten the ones before."""
        self._start += 1
        for meter in self._meters.values():
            meter.spent = 0.0

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return what is left for each customer and what was refused here."""
        self._catch_up(now_seconds)
        return {
            "share": round(self.share, 3),
            "is_synced": self._mates.is_synced,
            "customers": {
                customer: meter.status() for customer, meter in self._meters.items()
            },
        }

    def _catch_up(self, now_seconds: float) -> None:
        for meter in self._meters.values():
            meter.catch_up(now_seconds)

    def _look(self, now_seconds: float) -> None:
        """Follow which mates are heard of."""
        self._looked_seconds = now_seconds
        for daemon in self._mates.forget(now_seconds):
            self._forget_counts(daemon)
        share = self._mates.find_share(now_seconds)
        if share == self.share:
            return
        self.n_share_changes += 1
        self.share = share
        self._catch_up(now_seconds)
        for meter in self._meters.values():
            meter.divide(share)

    def _forget_counts(self, daemon: DaemonId) -> None:
        for meter in self._meters.values():
            meter.told.pop(daemon, None)
