"""Hold customers to their quotas over all daemons together.

The load: one customer asks for five times its usual, through ten daemons at once.
Without a quota its work is read in place of what the others ask for; where each daemon
holds it to the whole quota, it gets ten times that.

Each daemon keeps, for each customer, the bucket of the whole fleet. It takes from it
what it lets through itself and, twenty times a second, what its mates say that they let
through. No daemon owns a customer, so none is missed when it dies, and the count of
what was spent is never asked for while a request waits.

A mate that isn't heard of may be dead, frozen, or serving callers behind a cut. Until
it is certain to serve nobody it is taken to spend its part: those who hear each other
then keep to a second bucket, with their part of the rate and of what was left. Two
halves of a fleet that is cut apart so spend no more together than the whole.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance
from lycheepost.decide.tokenbucket import TokenBucket

TELL_SECONDS = 0.05
"""How soon a mate is told of what was let through. A customer that asks for five times
its quota is let through a quarter of a second's worth of it more."""

HEARTBEAT_SECONDS = 0.2
"""How often a mate is told though nothing was let through."""

WHOLE_SECONDS = 1.0
"""How often it is told of all customers, for what was lost on the way."""

SILENT_SECONDS = 0.6
"""A mate that was silent for so long has missed two heartbeats and a resend."""

LINGER_SECONDS = 4.0
"""A daemon that is no mate any more may go on serving for so long: those who leave take
requests for some seconds, and those who are cut off from the store until they can no
longer confirm their callers' keys."""

CUT_OFF_SECONDS = 20.0
"""The same where most mates went missing at once. Then it is more likely this daemon
that is cut off, and the others may serve for as long as the cut lasts."""

SETTLE_SECONDS = 1.2
"""How long after its start a daemon may not know which others are its mates."""

UNKNOWN_DAEMONS = 10
"""Daemons that the traffic is taken to be divided among until they are known."""

EXTRA_SHARE = 0.2
"""Part of what is tolerated beyond a quota that is let through. It covers requests that
were counted here and did not run, and what daemons count twice or late, so that nobody
is refused below the quota."""

START_SHARE = 0.4
"""The same for what a bucket holds at the start of a daemon that nobody tells how much
is left. When all daemons have lost power, none of them knows what was spent before."""

APPROACH_SHARE = 0.01
"""Part of the difference to the level of a mate that is made up with each word of it.
Ten daemons that each say something twenty times a second agree after a second."""

MOST_WAIT_SECONDS = 10.0
"""A caller that is told to come back later than this has gone elsewhere."""


@dataclass(frozen=True, slots=True)
class QuotaWord:
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
class _Meter:
    """One customer.

    Attributes:
        fleet: What is left for the whole fleet.
        reachable: What is left for the daemons that hear each other, while some are
            missing; None while none is.
        spent: Units let through here since the start.
        told: The count of units that each mate has told.
        lower: A lower quota that does not bind yet.
        promised: Units of refused requests that were told to come back.
    """

    quota: Quota
    fleet: TokenBucket
    reachable: TokenBucket | None = None
    spent: float = 0.0
    told: dict[DaemonId, float] = field(default_factory=dict)
    lower: _Lower | None = None
    promised: float = 0.0
    promised_seconds: float = 0.0
    n_refused: int = 0
    is_changed: bool = False

    def refill(self, now_seconds: float) -> None:
        self.fleet.refill(now_seconds)
        if self.reachable is not None:
            self.reachable.refill(now_seconds)

    def add(self, units: float) -> None:
        self.fleet.add(units)
        if self.reachable is not None:
            self.reachable.add(units)

    def wait_seconds(self) -> float:
        wait_seconds = self.fleet.wait_seconds()
        if self.reachable is None:
            return wait_seconds
        return max(wait_seconds, self.reachable.wait_seconds())


@dataclass(slots=True)
class _Mate:
    """Another daemon that lets requests through.

    Attributes:
        named_seconds: When it last was one of the mates.
        start: Differs between two starts of it; None before its first word.
        heard_seconds: When it last said something.
    """

    named_seconds: float
    start: int | None = None
    heard_seconds: float = float("-inf")

    def is_heard(self, now_seconds: float) -> bool:
        return now_seconds - self.heard_seconds <= SILENT_SECONDS


@dataclass(frozen=True, slots=True)
class QuotaNews:
    """What one daemon says to another.

    Attributes:
        start: Differs between two starts of the sender.
        is_entry: Callers are sent to the sender.
        is_seasoned: Its levels rest on what the whole fleet spent.
        wants_relay: The receiver shall tell its mates what the sender spends.
        words: What it says of customers.
    """

    start: int
    is_entry: bool
    is_seasoned: bool
    wants_relay: bool
    words: Mapping[CustomerId, QuotaWord]


class FleetQuotas:
    """The quotas of all customers, as one daemon of the fleet holds them.

    Args:
        start: Differs between two starts of this daemon.
        started_seconds: When this daemon started.

    Attributes:
        n_share_changes: Rises with each change of ``share``.
    """

    def __init__(self, start: int, started_seconds: float) -> None:
        self._start = start
        self._started_seconds = started_seconds
        self._tolerance = QuotaTolerance()
        self._meters: dict[CustomerId, _Meter] = {}
        self._mates: dict[DaemonId, _Mate] = {}
        self._relayed: dict[DaemonId, _Mate] = {}
        self._relay: DaemonId | None = None
        self._relay_heard_seconds = float("-inf")
        self._n_daemons = UNKNOWN_DAEMONS
        self._n_expected = UNKNOWN_DAEMONS
        self._is_entry = False
        self._share = 1.0 / UNKNOWN_DAEMONS
        self._is_seasoned = False
        self._looked_seconds = float("-inf")
        self._spent_seconds = float("-inf")
        self.n_share_changes = 0

    @property
    def share(self) -> float:
        """Return the part of each quota that those who hear each other may spend."""
        return self._share

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
            self._set_terms(meter, meter.quota)

    def set_quotas(
        self, quotas: Mapping[CustomerId, Quota], now_seconds: float
    ) -> None:
        """Follow the quotas in force; a customer that isn't named has none."""
        for customer in self._meters.keys() - quotas.keys():
            del self._meters[customer]
        for customer, quota in quotas.items():
            meter = self._meters.get(customer)
            if meter is None or meter.quota.unit is not quota.unit:
                self._meters[customer] = self._make_meter(quota, now_seconds)
            else:
                self._change(meter, quota, now_seconds)

    def _change(self, meter: _Meter, quota: Quota, now_seconds: float) -> None:
        """Follow a change; a lower quota binds one window after it came.

        Its customer has asked for what the higher one allowed, and is not to be
        refused for that.
        """
        self._catch_up(meter, now_seconds)
        if not _is_lower(quota, meter.quota):
            meter.lower = None
            self._set_terms(meter, quota)
            return
        due_seconds = now_seconds + self._tolerance.window_seconds
        if meter.lower is not None:
            due_seconds = meter.lower.due_seconds
        meter.lower = _Lower(quota, due_seconds)

    def _catch_up(self, meter: _Meter, now_seconds: float) -> None:
        """Bring a customer's buckets up to date."""
        lower = meter.lower
        if lower is not None and now_seconds >= lower.due_seconds:
            meter.refill(lower.due_seconds)
            meter.lower = None
            self._set_terms(meter, lower.quota)
        meter.refill(now_seconds)

    def _make_meter(self, quota: Quota, now_seconds: float) -> _Meter:
        spare = START_SHARE * self._tolerance.of(quota)
        rate, capacity = self._terms(quota)
        age_seconds = now_seconds - self._started_seconds
        level = min(capacity, min(quota.burst, spare) + rate * age_seconds)
        fleet = TokenBucket(rate, capacity, level, now_seconds)
        meter = _Meter(quota, fleet, promised_seconds=now_seconds)
        if self._share < 1.0:
            part = self._share
            left = part * min(capacity, max(level, spare))
            meter.reachable = TokenBucket(
                part * rate, part * capacity, left, now_seconds
            )
        return meter

    def _set_terms(self, meter: _Meter, quota: Quota) -> None:
        meter.quota = quota
        rate, capacity = self._terms(quota)
        meter.fleet.set_terms(rate, capacity)
        if meter.reachable is not None:
            meter.reachable.set_terms(self._share * rate, self._share * capacity)

    def _terms(self, quota: Quota) -> tuple[float, float]:
        """Return the rate and the capacity of a quota's bucket."""
        more = 1.0 + EXTRA_SHARE * self._tolerance.share
        capacity = more * quota.burst + EXTRA_SHARE * self._tolerance.units
        return more * quota.rate_per_second, capacity

    def set_fleet(self, n_daemons: int) -> None:
        """Follow how many daemons there may be, also those that were not heard yet.

        Until they are known a daemon that starts takes itself for one of many.
        """
        self._n_expected = min(UNKNOWN_DAEMONS, n_daemons)

    def set_entry(self, mates: Iterable[DaemonId], now_seconds: float) -> None:
        """Follow the other daemons that callers are sent to, as one of them."""
        self._is_entry = True
        self._relay = None
        for daemon in mates:
            mate = self._mates.setdefault(daemon, _Mate(now_seconds))
            mate.named_seconds = now_seconds
        self._n_daemons = 1 + len(self._mates)
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
        self._is_entry = False
        self._is_seasoned = False
        if relay != self._relay:
            self._relay_heard_seconds = float("-inf")
        self._relay = relay
        self._n_daemons = 1 + max(n_entry, len(self._mates))
        self._look(now_seconds)

    def listeners(self, now_seconds: float) -> tuple[DaemonId, ...]:
        """Return who is told.

        These are the mates, who lately was a mate, and who stands by and has asked.
        One that stands by tells its relay, while there is something to tell.
        """
        self._look(now_seconds)
        if self._is_entry or self._mates:
            return tuple(sorted({*self._mates, *self._relayed}))
        has_spent = now_seconds - self._spent_seconds < LINGER_SECONDS
        return (self._relay,) if self._relay and has_spent else ()

    def news(self, is_whole: bool, now_seconds: float) -> QuotaNews:
        """Return what the listeners shall be told now.

        Args:
            is_whole: Of every customer that has less than its burst left, also where
                nothing was let through here.
            now_seconds: The present time.
        """
        for meter in self._meters.values():
            self._catch_up(meter, now_seconds)
        words = {
            customer: QuotaWord(meter.spent, meter.fleet.level)
            for customer, meter in self._meters.items()
            if meter.is_changed or (is_whole and meter.fleet.level < meter.quota.burst)
        }
        for customer in words:
            self._meters[customer].is_changed = False
        return QuotaNews(
            self._start,
            self._is_entry,
            self._is_seasoned,
            not (self._is_entry or self._mates),
            words,
        )

    def hear(self, daemon: DaemonId, news: QuotaNews, now_seconds: float) -> None:
        """Take what another daemon says."""
        for customer in news.words.keys() & self._meters.keys():
            self._catch_up(self._meters[customer], now_seconds)
        if news.wants_relay:
            self._hear_relayed(daemon, news, now_seconds)
        elif daemon == self._relay and not self._mates:
            self._hear_relay(news, now_seconds)
        else:
            self._hear_mate(daemon, news, now_seconds)
        self._look(now_seconds)

    def _hear_relayed(
        self, daemon: DaemonId, news: QuotaNews, now_seconds: float
    ) -> None:
        """Count what a daemon that stands by lets through as let through here."""
        known = _note_heard(self._relayed, daemon, news, now_seconds)
        for meter, word in self._known(news):
            before = meter.told.get(daemon, 0.0) if known else 0.0
            meter.told[daemon] = word.spent
            self._spend(meter, word.spent - before, now_seconds)

    def _hear_relay(self, news: QuotaNews, now_seconds: float) -> None:
        """Take over what is left; the relay has counted what was spent here."""
        self._relay_heard_seconds = now_seconds
        for meter, word in self._known(news):
            meter.fleet.level = min(meter.fleet.capacity, word.level)

    def _hear_mate(self, daemon: DaemonId, news: QuotaNews, now_seconds: float) -> None:
        known = _note_heard(self._mates, daemon, news, now_seconds)
        if news.is_entry:
            self._mates[daemon].named_seconds = now_seconds
        adopts = news.is_seasoned and not self._is_seasoned
        for meter, word in self._known(news):
            before = meter.told.get(daemon) if known else None
            meter.told[daemon] = word.spent
            if before is not None and not adopts:
                meter.add(before - word.spent)
                self._approach(meter, word, news.is_seasoned)
            elif news.is_seasoned:
                # What it let through before this daemon heard of it is in its level.
                meter.add(min(0.0, word.level - meter.fleet.level))
            else:
                meter.add(-word.spent)
        self._is_seasoned = self._is_seasoned or (self._is_entry and adopts)

    def _approach(self, meter: _Meter, word: QuotaWord, is_seasoned: bool) -> None:
        """Go some way to the level that a mate tells.

        Levels part where daemons hear of a change of the quota at different moments,
        and stay apart while a customer is beyond it. Each goes to the mean, so that
        together they believe in no more than before.
        """
        if is_seasoned and self._is_seasoned:
            meter.fleet.add(APPROACH_SHARE * (word.level - meter.fleet.level))

    def _known(self, news: QuotaNews) -> Iterator[tuple[_Meter, QuotaWord]]:
        for customer, word in news.words.items():
            meter = self._meters.get(customer)
            if meter is not None:
                yield meter, word

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
        self._catch_up(meter, now_seconds)
        wait_seconds = meter.wait_seconds()
        if wait_seconds > 0.0:
            meter.n_refused += 1
            return min(MOST_WAIT_SECONDS, wait_seconds + _promise(meter, units))
        self._spend(meter, units, now_seconds)
        return None

    def give_back(self, customer: CustomerId, units: float, now_seconds: float) -> None:
        """Return the units of a request that was let through and never ran."""
        meter = self._meters.get(customer)
        if meter is None:
            return
        self._catch_up(meter, now_seconds)
        self._spend(meter, -units, now_seconds)

    def _spend(self, meter: _Meter, units: float, now_seconds: float) -> None:
        is_silent = not (self._is_entry or self._mates)
        if is_silent and now_seconds - self._spent_seconds > LINGER_SECONDS:
            self._count_anew()
        meter.add(-units)
        meter.spent += units
        meter.is_changed = True
        self._spent_seconds = now_seconds

    def _count_anew(self) -> None:
        """Begin new counts: the relay has forgotten the ones before."""
        self._start += 1
        for meter in self._meters.values():
            meter.spent = 0.0

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return what is left for each customer and what was refused here."""
        for meter in self._meters.values():
            self._catch_up(meter, now_seconds)
        return {
            "share": round(self._share, 3),
            "is_seasoned": self._is_seasoned,
            "customers": {
                customer: _describe(meter) for customer, meter in self._meters.items()
            },
        }

    def _look(self, now_seconds: float) -> None:
        """Follow which mates are heard of."""
        self._looked_seconds = now_seconds
        self._forget(now_seconds)
        share = self._find_share(now_seconds)
        if share == self._share:
            return
        self.n_share_changes += 1
        for meter in self._meters.values():
            self._catch_up(meter, now_seconds)
            _divide(meter, share)
        self._share = share

    def _find_share(self, now_seconds: float) -> float:
        """Return the part of a quota that those who hear each other may spend."""
        n_heard = 1 + _count_heard(self._mates, now_seconds)
        n_daemons = max(self._n_daemons, 1 + len(self._mates))
        if not self._is_entry and not self._mates:
            silent_seconds = now_seconds - self._relay_heard_seconds
            return 1.0 if silent_seconds <= SILENT_SECONDS else 1.0 / n_daemons
        if now_seconds - self._started_seconds < SETTLE_SECONDS:
            n_daemons = max(n_daemons, self._n_expected)
        elif n_heard == n_daemons and self._is_entry:
            self._is_seasoned = True
        return n_heard / n_daemons

    def _forget(self, now_seconds: float) -> None:
        """Forget who was a mate and can no longer serve anybody."""
        n_heard = 1 + _count_heard(self._mates, now_seconds)
        is_cut_off = 2 * n_heard <= 1 + len(self._mates)
        most_seconds = CUT_OFF_SECONDS if is_cut_off else LINGER_SECONDS
        for daemon, mate in list(self._mates.items()):
            if now_seconds - mate.named_seconds > most_seconds:
                self._drop(self._mates, daemon)
        for daemon, mate in list(self._relayed.items()):
            if now_seconds - mate.heard_seconds > LINGER_SECONDS:
                self._drop(self._relayed, daemon)
        if self._is_entry:
            self._n_daemons = 1 + len(self._mates)

    def _drop(self, mates: dict[DaemonId, _Mate], daemon: DaemonId) -> None:
        del mates[daemon]
        for meter in self._meters.values():
            meter.told.pop(daemon, None)


def _is_lower(quota: Quota, before: Quota) -> bool:
    """Tell whether a quota allows less than the one before in any way."""
    return quota.rate_per_second < before.rate_per_second or quota.burst < before.burst


def _count_heard(mates: Mapping[DaemonId, _Mate], now_seconds: float) -> int:
    return sum(mate.is_heard(now_seconds) for mate in mates.values())


def _note_heard(
    mates: dict[DaemonId, _Mate], daemon: DaemonId, news: QuotaNews, now_seconds: float
) -> bool:
    """Note that a daemon spoke; return whether its counts go on from before."""
    mate = mates.setdefault(daemon, _Mate(now_seconds))
    goes_on = mate.start == news.start
    mate.start = news.start
    mate.heard_seconds = now_seconds
    return goes_on


def _divide(meter: _Meter, share: float) -> None:
    """Let the daemons that hear each other spend their part of what is left."""
    if share >= 1.0:
        meter.reachable = None
        return
    fleet = meter.fleet
    left = share * max(0.0, fleet.level)
    if meter.reachable is not None:
        left = min(left, meter.reachable.level)
    meter.reachable = TokenBucket(
        share * fleet.rate_per_second, share * fleet.capacity, left, fleet.at_seconds
    )


def _promise(meter: _Meter, units: float) -> float:
    """Return how much later than the last refused request this one shall come back.

    The load: a hundred refused requests of one customer. Told the same moment they
    come back together and are refused together, so each is told when its own units
    will have come.
    """
    rate_per_second = meter.fleet.rate_per_second
    now_seconds = meter.fleet.at_seconds
    elapsed_seconds = now_seconds - meter.promised_seconds
    meter.promised_seconds = now_seconds
    meter.promised = max(0.0, meter.promised - rate_per_second * elapsed_seconds)
    wait_seconds = meter.promised / rate_per_second
    most_units = MOST_WAIT_SECONDS * rate_per_second
    meter.promised = min(most_units, meter.promised + units)
    return wait_seconds


def _describe(meter: _Meter) -> dict[str, object]:
    return {
        "unit": meter.quota.unit.value,
        "rate_per_second": meter.quota.rate_per_second,
        "burst": meter.quota.burst,
        "left": round(meter.fleet.level, 1),
        "spent_here": meter.spent,
        "n_refused_here": meter.n_refused,
    }
