"""One customer's remaining quota, as seen by one daemon.

There are two token buckets. The fleet bucket holds the quota minus what all daemons are
known to have admitted. While some daemons are unreachable, a second bucket holds the
share of the reachable ones, so that the two halves of a partitioned fleet don't spend
more together than the whole quota.
"""

from dataclasses import dataclass, field, replace

from lycheepost.core.ids import DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance
from lycheepost.decide.quotademand import QuotaDemand
from lycheepost.decide.quotalevels import (
    AVERAGE_SECONDS,
    LEVEL_VALID_SECONDS,
    PeerLevel,
    correction,
    follow,
)
from lycheepost.decide.quotarecord import (
    RECORDED_DEMAND_SHARE,
    RECORDED_LEVEL_SHARE,
    RecordedUse,
)
from lycheepost.decide.tokenbucket import TokenBucket

USED_TOLERANCE_SHARE = 0.2
"""Fraction of the tolerance that is added to the quota. It covers requests that were
counted but did not run, and units that daemons count twice or late, so that no customer
is refused below its quota."""

START_TOLERANCE_SHARE = 0.4
"""Fraction of the tolerance that a bucket holds when a daemon starts and no peer has
reported a level. After a power loss of all daemons none knows what was spent before."""

MAX_WAIT_SECONDS = 10.0
"""Callers don't wait for a retry time longer than this."""


@dataclass(frozen=True, slots=True)
class QuotaCount:
    """One daemon's report on one customer.

    Attributes:
        spent: Units that it has admitted since its counts last restarted from 0.
        level: Units left for the fleet, as far as it knows.
        asked: Units that were requested from it in the same time, admitted or not.
    """

    spent: float
    level: float
    asked: float = 0.0


@dataclass(frozen=True, slots=True)
class _PendingQuota:
    """A lower quota that is not in force yet.

    Attributes:
        due_seconds: When it comes into force.
    """

    quota: Quota
    due_seconds: float


@dataclass(slots=True)
class QuotaMeter:
    """The quota of one customer; made by ``make_meter``.

    Attributes:
        tolerance: How far the fleet may exceed the quota.
        fleet: Units left for the whole fleet.
        reachable: Units left for the reachable daemons while others are unreachable;
            None while all are reachable.
        spent: Units admitted here since the counts last restarted from 0.
        asked: Units requested here in the same time, admitted or not.
        reported_spent: Units spent as last reported by each daemon.
        demand: Units that the customer requests from the whole fleet.
        recorded: The use that an earlier start of the fleet recorded; None where there
            is no record, or once peers have reported their levels.
        n_refused: Requests refused here.
        is_changed: Whether units were admitted here since the last update to the peers.
    """

    quota: Quota
    tolerance: QuotaTolerance
    fleet: TokenBucket
    reachable: TokenBucket | None = None
    spent: float = 0.0
    asked: float = 0.0
    reported_spent: dict[DaemonId, float] = field(default_factory=dict)
    demand: QuotaDemand = field(default_factory=QuotaDemand)
    recorded: RecordedUse | None = None
    n_refused: int = 0
    is_changed: bool = False
    _reported_asked: dict[DaemonId, float] = field(default_factory=dict)
    _reported_levels: dict[DaemonId, PeerLevel] = field(default_factory=dict)
    _level_heard_seconds: float = float("-inf")
    """When a peer last reported its level."""
    _gap_seconds: float = float("-inf")
    """When a peer last reported its level after a silence."""
    _told_spent: float = 0.0
    """``spent`` at the last update to the peers."""
    _corrected_seconds: float = 0.0
    """When the level was last compared with those of the peers."""
    _pending: _PendingQuota | None = None
    _partition_spent: float = 0.0
    """Units spent by the reachable daemons since others became unreachable."""
    _promised: float = 0.0
    """Units of refused requests whose retry time has not come yet."""
    _promised_seconds: float = 0.0
    """When ``_promised`` was last updated."""

    def catch_up(self, now_seconds: float) -> None:
        """Refill the buckets, and apply a lower quota that is due."""
        pending = self._pending
        if pending is not None and now_seconds >= pending.due_seconds:
            self._refill(pending.due_seconds)
            self._pending = None
            self._set_terms(pending.quota)
        self._refill(now_seconds)

    def _refill(self, now_seconds: float) -> None:
        self.fleet.refill(now_seconds)
        if self.reachable is not None:
            self.reachable.refill(now_seconds)

    def change(self, quota: Quota, now_seconds: float) -> None:
        """Change the quota; a lower one comes into force after one window.

        Until then the customer's requests are within the higher quota, and refusing
        them would be wrong.
        """
        self.catch_up(now_seconds)
        if not _is_lower(quota, self.quota):
            self._pending = None
            self._set_terms(quota)
            return
        due_seconds = now_seconds + self.tolerance.window_seconds
        if self._pending is not None:
            due_seconds = self._pending.due_seconds
        self._pending = _PendingQuota(quota, due_seconds)

    def set_tolerance(self, tolerance: QuotaTolerance) -> None:
        """Set how far the fleet may exceed the quota."""
        self.tolerance = tolerance
        self._set_terms(self.quota)

    def _set_terms(self, quota: Quota) -> None:
        share = self.share
        self.quota = quota
        rate, capacity = find_terms(quota, self.tolerance)
        self.fleet.set_terms(rate, capacity)
        if self.reachable is not None:
            self.reachable.set_terms(share * rate, share * capacity)

    @property
    def share(self) -> float:
        """Return the fraction of the quota that the reachable daemons may spend."""
        if self.reachable is None:
            return 1.0
        return self.reachable.rate_per_second / self.fleet.rate_per_second

    def divide(self, share: float) -> None:
        """Limit the reachable daemons to their share of the units left."""
        if share >= 1.0:
            self.reachable = None
            self._partition_spent = 0.0
            return
        fleet = self.fleet
        before = max(0.0, fleet.level + self._partition_spent)
        left = share * before - self._partition_spent
        self.reachable = TokenBucket(
            share * fleet.rate_per_second,
            share * fleet.capacity,
            left,
            fleet.at_seconds,
        )

    def wait_seconds(self) -> float:
        """Return the time until a request may be admitted; 0 for now."""
        wait_seconds = self.fleet.wait_seconds()
        if self.reachable is None:
            return wait_seconds
        return max(wait_seconds, self.reachable.wait_seconds())

    def spend(self, units: float) -> None:
        """Count units that were admitted here, or refunded if negative."""
        self._add(-units)
        self.spent += units
        self.is_changed = True

    def _add(self, units: float) -> None:
        self.fleet.add(units)
        if self.reachable is not None:
            self.reachable.add(units)
            self._partition_spent -= units

    def ask(self, units: float) -> None:
        """Count units that were requested here.

        Peers are told with the next units that are admitted: a demand need not be known
        as soon as what was spent.
        """
        self.asked += units
        self.demand.add(units, self.fleet.at_seconds)

    def restart_counts(self) -> None:
        """Restart the counts from 0."""
        self.spent = self.asked = self._told_spent = 0.0

    def apply_record(self, use: RecordedUse) -> None:
        """Start from the use that an earlier start of the fleet recorded.

        A debt beyond the capacity isn't believed: it would take longer to pay than any
        request that the fleet admits.
        """
        self.recorded = use
        level = max(use.level, -self.fleet.capacity)
        self._add(min(0.0, level - self.fleet.level))

    def use(self) -> RecordedUse:
        """Return the use to record."""
        now_seconds = self.fleet.at_seconds
        return RecordedUse(self.fleet.level, self.demand.per_second(now_seconds))

    def demand_share(self) -> float:
        """Return the demand as a fraction of the rate of the quota."""
        demand_per_second = self.demand.per_second(self.fleet.at_seconds)
        return demand_per_second / self.quota.rate_per_second

    def is_near_quota(self) -> bool:
        """Return whether the customer is near its quota, or beyond it."""
        return (
            self.fleet.level < RECORDED_LEVEL_SHARE * self.quota.burst
            or self.demand_share() > RECORDED_DEMAND_SHARE
        )

    def pass_share(self) -> float | None:
        """Return the fraction of the recorded demand that the quota allows.

        None if no use was recorded.
        """
        if self.recorded is None:
            return None
        demand_per_second = self.recorded.demand_per_second
        return min(1.0, self.fleet.rate_per_second / max(1e-9, demand_per_second))

    def refuse(self, units: float, wait_seconds: float) -> float:
        """Count a refused request; return the seconds after which it may retry.

        If a hundred refused requests got the same retry time, they would return and be
        refused together. So each gets the time at which its own units are refilled.

        Args:
            units: Units of the request.
            wait_seconds: Time until any request may be admitted.
        """
        self.n_refused += 1
        rate_per_second = self.fleet.rate_per_second
        now_seconds = self.fleet.at_seconds
        elapsed_seconds = now_seconds - self._promised_seconds
        self._promised_seconds = now_seconds
        promised = max(0.0, self._promised - rate_per_second * elapsed_seconds)
        max_units = MAX_WAIT_SECONDS * rate_per_second
        self._promised = min(max_units, promised + units)
        return min(MAX_WAIT_SECONDS, wait_seconds + promised / rate_per_second)

    def update_reported_spent(self, daemon: DaemonId, spent: float) -> float:
        """Store a daemon's spent count; return its increase."""
        before = self.reported_spent.get(daemon, 0.0)
        self.reported_spent[daemon] = spent
        return spent - before

    def update_reported_asked(self, daemon: DaemonId, asked: float) -> float:
        """Store a daemon's asked count; return its increase, 0 for the first one."""
        before = self._reported_asked.get(daemon, asked)
        self._reported_asked[daemon] = asked
        return max(0.0, asked - before)

    def forget(self, daemon: DaemonId) -> None:
        """Drop the counts that a daemon reported."""
        self.reported_spent.pop(daemon, None)
        self._reported_asked.pop(daemon, None)
        self._reported_levels.pop(daemon, None)

    def add_peer_demand(self, daemon: DaemonId, count: QuotaCount) -> None:
        """Count what was requested from a peer since its last update."""
        units = self.update_reported_asked(daemon, count.asked)
        self.demand.add(units, self.fleet.at_seconds)

    def add_peer_count(self, daemon: DaemonId, count: QuotaCount) -> None:
        """Subtract what a peer admitted since its last update.

        Its level is not adopted. A busy daemon processes updates late, so its level is
        always too high, and each of its updates would raise the other daemons' levels.
        """
        self._add(-self.update_reported_spent(daemon, count.spent))
        now_seconds = self.fleet.at_seconds
        before = self._reported_levels.get(daemon)
        if before is None or now_seconds - before.at_seconds > AVERAGE_SECONDS:
            self._gap_seconds = now_seconds
        self._reported_levels[daemon] = follow(
            before,
            count.level,
            self.fleet.level + self.spent - self._told_spent,
            now_seconds,
        )
        self._level_heard_seconds = now_seconds

    def approach_peers(self) -> None:
        """Approach the level that most daemons report; called before each update."""
        now_seconds = self.fleet.at_seconds
        elapsed_seconds = now_seconds - self._corrected_seconds
        self._corrected_seconds = now_seconds
        untold = self.spent - self._told_spent
        self._told_spent = self.spent
        if now_seconds - self._level_heard_seconds > LEVEL_VALID_SECONDS:
            return
        own_level, levels = self.fleet.level + untold, self._reported_levels
        if self._compares_averages():
            own_level, levels = 0.0, self._mean_levels_above()
        units = correction(
            own_level,
            levels,
            self.fleet.rate_per_second,
            elapsed_seconds,
            now_seconds,
        )
        before = self.fleet.level
        self.fleet.add(units)
        self._note_corrected(self.fleet.level - before)

    def _compares_averages(self) -> bool:
        """Return whether average differences from the peers count.

        Right after a silence of peers, what they admitted in it is still being counted.
        """
        reported_seconds = self.fleet.at_seconds - self._gap_seconds
        return self.demand_share() > 1.0 and reported_seconds > AVERAGE_SECONDS

    def _mean_levels_above(self) -> dict[DaemonId, PeerLevel]:
        return {
            daemon: PeerLevel(peer.mean_above, peer.at_seconds)
            for daemon, peer in self._reported_levels.items()
        }

    def _note_corrected(self, units: float) -> None:
        """Count a change of the own level that no peer makes."""
        if units:
            self._reported_levels = {
                daemon: replace(peer, mean_above=peer.mean_above - units)
                for daemon, peer in self._reported_levels.items()
            }

    def adopt_lower_level(self, daemon: DaemonId, count: QuotaCount) -> None:
        """Adopt the level of a better informed daemon if it is lower.

        It replaces a recorded level also where it is higher: the record may be old.
        """
        self.reported_spent[daemon] = count.spent
        change = count.level - self.fleet.level
        if self.recorded is None:
            self._add(min(0.0, change))
            self._note_corrected(min(0.0, change))
            return
        self.recorded = None
        # The peer may not have counted yet what was admitted here.
        rise = change - max(0.0, self.spent)
        adopted = rise if rise > 0.0 else min(0.0, change)
        self._add(adopted)
        self._note_corrected(adopted)

    def adopt_level(self, count: QuotaCount) -> None:
        """Adopt the level of a daemon that has counted all units spent here."""
        self.fleet.level = min(self.fleet.capacity, count.level)

    def status(self) -> dict[str, object]:
        """Return the quota, the units left, and the requests refused here."""
        return {
            "unit": self.quota.unit.value,
            "rate_per_second": self.quota.rate_per_second,
            "burst": self.quota.burst,
            "left": round(self.fleet.level, 1),
            "spent_here": self.spent,
            "n_refused_here": self.n_refused,
        }


def make_meter(
    quota: Quota,
    tolerance: QuotaTolerance,
    share: float,
    age_seconds: float,
    now_seconds: float,
) -> QuotaMeter:
    """Return the meter of a customer.

    Args:
        quota: Its quota.
        tolerance: How far the fleet may exceed it.
        share: Fraction of it that the reachable daemons may spend.
        age_seconds: Time since the start of this daemon.
        now_seconds: The current time.
    """
    start_units = START_TOLERANCE_SHARE * tolerance.of(quota)
    rate, capacity = find_terms(quota, tolerance)
    level = min(capacity, min(quota.burst, start_units) + rate * age_seconds)
    fleet = TokenBucket(rate, capacity, level, now_seconds)
    meter = QuotaMeter(quota, tolerance, fleet, _promised_seconds=now_seconds)
    if share < 1.0:
        left = share * min(capacity, max(level, start_units))
        meter.reachable = TokenBucket(share * rate, share * capacity, left, now_seconds)
    return meter


def find_terms(quota: Quota, tolerance: QuotaTolerance) -> tuple[float, float]:
    """Return the refill rate and the capacity of a quota's bucket."""
    more = 1.0 + USED_TOLERANCE_SHARE * tolerance.share
    capacity = more * quota.burst + USED_TOLERANCE_SHARE * tolerance.units
    return more * quota.rate_per_second, capacity


def _is_lower(quota: Quota, before: Quota) -> bool:
    """Return whether a quota has a lower rate or burst than the previous one."""
    return quota.rate_per_second < before.rate_per_second or quota.burst < before.burst
