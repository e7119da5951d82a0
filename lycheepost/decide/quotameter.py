"""What is left of one customer's quota, as one daemon sees it.

Two buckets. That of the fleet is less what any daemon let through, as far as it is
known here. While some daemons aren't heard, a second one holds the part of those that
hear each other, so that two halves of a fleet that is cut apart spend no more together
than the whole.
"""

from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance
from lycheepost.decide.tokenbucket import TokenBucket

USED_TOLERANCE_SHARE = 0.2
"""Part of what is tolerated beyond a quota that is let through. It covers requests that
were counted here and did not run, and what daemons count twice or late, so that nobody
is refused below the quota."""

START_TOLERANCE_SHARE = 0.4
"""The same for what a bucket holds at the start of a daemon that nobody tells how much
is left. When all daemons have lost power, none of them knows what was spent before."""

MAX_WAIT_SECONDS = 10.0
"""A caller that is told to come back later than this has gone elsewhere."""


@dataclass(frozen=True, slots=True)
class QuotaCount:
    """What one daemon says of one customer.

    Attributes:
        spent: Units that it has let through since its start.
        level: Units that are left for the fleet, as far as it knows.
    """

    spent: float
    level: float


@dataclass(frozen=True, slots=True)
class _Lower:
    """A lower quota that does not bind yet.

    Attributes:
        due_seconds: When it binds.
    """

    quota: Quota
    due_seconds: float


@dataclass(slots=True)
class QuotaMeter:
    """One customer; made by ``make_meter``.

    Attributes:
        tolerance: How far the fleet may go beyond the quota.
        fleet: What is left for the whole fleet.
        reachable: What is left for the daemons that hear each other, while some are
            missing; None while none is.
        spent: Units let through here since the start.
        reported_spent: The count of units that each daemon has told.
        n_refused: Requests refused here.
        is_changed: Something was let through since the mates were told.
    """

    quota: Quota
    tolerance: QuotaTolerance
    fleet: TokenBucket
    reachable: TokenBucket | None = None
    spent: float = 0.0
    reported_spent: dict[DaemonId, float] = field(default_factory=dict)
    n_refused: int = 0
    is_changed: bool = False
    _lower: _Lower | None = None
    _partition_spent: float = 0.0
    """By those who hear each other, since they are fewer than all."""
    _promised: float = 0.0
    _promised_seconds: float = 0.0

    def catch_up(self, now_seconds: float) -> None:
        """Bring the buckets up to date."""
        lower = self._lower
        if lower is not None and now_seconds >= lower.due_seconds:
            self._refill(lower.due_seconds)
            self._lower = None
            self._set_terms(lower.quota)
        self._refill(now_seconds)

    def _refill(self, now_seconds: float) -> None:
        self.fleet.refill(now_seconds)
        if self.reachable is not None:
            self.reachable.refill(now_seconds)

    def change(self, quota: Quota, now_seconds: float) -> None:
        """Follow a change; a lower quota binds one window after it came.

        Its customer has asked for what the higher one allowed, and is not to be
        refused for that.
        """
        self.catch_up(now_seconds)
        if not _is_lower(quota, self.quota):
            self._lower = None
            self._set_terms(quota)
            return
        due_seconds = now_seconds + self.tolerance.window_seconds
        if self._lower is not None:
            due_seconds = self._lower.due_seconds
        self._lower = _Lower(quota, due_seconds)

    def set_tolerance(self, tolerance: QuotaTolerance) -> None:
        """Follow how far the fleet may go beyond the quota."""
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
        """Return the part of the quota that those who hear each other may spend."""
        if self.reachable is None:
            return 1.0
        return self.reachable.rate_per_second / self.fleet.rate_per_second

    def divide(self, share: float) -> None:
        """Let the daemons that hear each other spend their part of what is left."""
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
        """Return the time until a request may pass; 0 for now."""
        wait_seconds = self.fleet.wait_seconds()
        if self.reachable is None:
            return wait_seconds
        return max(wait_seconds, self.reachable.wait_seconds())

    def spend(self, units: float) -> None:
        """Count units that were let through here, or given back."""
        self._add(-units)
        self.spent += units
        self.is_changed = True

    def _add(self, units: float) -> None:
        self.fleet.add(units)
        if self.reachable is not None:
            self.reachable.add(units)
            self._partition_spent -= units

    def refuse(self, units: float) -> float:
        """Count a refused request; return after how many seconds it may come back.

        The load: a hundred refused requests of one customer. Told the same moment they
        come back together and are refused together, so each is told when its own units
        will have come.
        """
        self.n_refused += 1
        rate_per_second = self.fleet.rate_per_second
        now_seconds = self.fleet.at_seconds
        elapsed_seconds = now_seconds - self._promised_seconds
        self._promised_seconds = now_seconds
        promised = max(0.0, self._promised - rate_per_second * elapsed_seconds)
        max_units = MAX_WAIT_SECONDS * rate_per_second
        self._promised = min(max_units, promised + units)
        wait_seconds = self.wait_seconds() + promised / rate_per_second
        return min(MAX_WAIT_SECONDS, wait_seconds)

    def update_reported_spent(self, daemon: DaemonId, spent: float) -> float:
        """Take the count of a daemon; return by how much it has risen."""
        before = self.reported_spent.get(daemon, 0.0)
        self.reported_spent[daemon] = spent
        return spent - before

    def add_peer_count(self, daemon: DaemonId, count: QuotaCount) -> None:
        """Count what a mate let through since it last spoke.

        Its level isn't followed. A busy daemon hears late of what was spent, so that
        its level is always too high, and each message of it would raise the others
        again.
        """
        self._add(-self.update_reported_spent(daemon, count.spent))

    def adopt_lower_level(self, daemon: DaemonId, count: QuotaCount) -> None:
        """Take the level of a daemon that knows more, if it is the lower one."""
        self.reported_spent[daemon] = count.spent
        self._add(min(0.0, count.level - self.fleet.level))

    def adopt_level(self, count: QuotaCount) -> None:
        """Take the level of a daemon that has counted all that was spent here."""
        self.fleet.level = min(self.fleet.capacity, count.level)

    def status(self) -> dict[str, object]:
        """Return the quota, what is left of it, and what was refused here."""
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
        tolerance: How far the fleet may go beyond it.
        share: Part of it that the daemons that hear each other may spend.
        age_seconds: Since the start of this daemon.
        now_seconds: The present time.
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
    """Return the rate and the capacity of a quota's bucket."""
    more = 1.0 + USED_TOLERANCE_SHARE * tolerance.share
    capacity = more * quota.burst + USED_TOLERANCE_SHARE * tolerance.units
    return more * quota.rate_per_second, capacity


def _is_lower(quota: Quota, before: Quota) -> bool:
    """Tell whether a quota allows less than the one before in any way."""
    return quota.rate_per_second < before.rate_per_second or quota.burst < before.burst
