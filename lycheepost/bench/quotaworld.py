"""A fleet in virtual time that holds customers to their quotas.

Daemons, the messages between them, and the faults that strike them, in steps of some
milliseconds. What decides is a policy of ``bench.quotapolicies``; an audit looks at
what was let through, as somebody who sees the whole fleet.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from time import perf_counter
from typing import Any, Protocol

from lycheepost.bench.quotaaudit import Audit
from lycheepost.bench.quotaplan import FaultKind, Plan
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota
from lycheepost.decide.quotarecord import QuotaRecord
from lycheepost.decide.tokenbucket import TokenBucket

STEP_SECONDS = 0.01
LEAST_DELAY_SECONDS = 0.001
MOST_DELAY_SECONDS = 0.02
LATE_SECONDS = 0.8
"""How much later a daemon hears whose processor is busy."""

LINK_SECONDS = 0.4
"""From the start of a daemon until it has links and says something over them."""

APPLY_SECONDS = 1.0
"""Longest time until a daemon hears of a change of the quotas."""

DETECT_SECONDS = 1.2
"""Until the others take a silent daemon for gone."""

STALE_ADDRESS_SECONDS = 1.2
"""From the start of all daemons until callers use the entry daemons only. Before it,
each daemon gives them its own address."""

LONG_TOKENS = 9200.0
SHORT_TOKENS = 880.0
MOST_TOKENS = 57000.0
LONG_SHARE = 0.45
_LOG_SPREAD = 0.7


class Policy(Protocol):
    """How one daemon holds customers to their quotas."""

    def set_quotas(self, quotas: dict[CustomerId, Quota], now_seconds: float) -> None:
        """Follow the quotas in force."""
        ...

    def set_mates(self, mates: Sequence[DaemonId], now_seconds: float) -> None:
        """Follow the other daemons that serve, as far as this one knows."""
        ...

    def set_relay(self, relay: DaemonId, n_entry: int, now_seconds: float) -> None:
        """Stand by, and report through an entry daemon."""
        ...

    def take(
        self, customer: CustomerId, units: float, now_seconds: float
    ) -> float | None:
        """Let a request through, or return when to come back."""
        ...

    def tell(self, now_seconds: float) -> tuple[Any, int, tuple[DaemonId, ...]] | None:
        """Return a message, its size in bytes and who gets it; None for no message."""
        ...

    def receive(self, sender: DaemonId, message: Any, now_seconds: float) -> None:
        """Take a message."""
        ...


MakePolicy = Callable[[DaemonId, int, float, "World"], Policy]


class Health(Enum):
    """What a daemon does at the moment."""

    SERVING = "serving"
    FROZEN = "frozen"
    DEAD = "dead"


@dataclass(slots=True)
class _Daemon:
    name: DaemonId
    policy: Policy
    started_seconds: float
    health: Health = Health.SERVING
    silent_since_seconds: float = float("inf")
    held: list[tuple[CustomerId, float, bool]] = field(default_factory=list)


class World:
    """One run of a fleet.

    Args:
        plan: What happens.
        make_policy: Makes the policy of a daemon at each start of it.

    Attributes:
        daemons: By name.
        quotas: In force now.
        record: The use of the quotas that daemons recorded last.
    """

    def __init__(self, plan: Plan, make_policy: MakePolicy) -> None:
        self.plan = plan
        self.audit = Audit()
        self.now_seconds = 0.0
        self.quotas = dict(plan.quotas)
        self.record: QuotaRecord = {}
        self._make_policy = make_policy
        self._rng = random.Random(plan.seed)
        self._starts = itertools.count(1)
        self._messages: list[tuple[float, int, DaemonId, DaemonId, Any]] = []
        self._numbers = itertools.count()
        self._changes: list[tuple[float, DaemonId]] = []
        self._cut: frozenset[DaemonId] = frozenset()
        self._restarted_seconds = float("-inf")
        self._n_entry = plan.n_daemons if plan.n_entry is None else plan.n_entry
        names = [DaemonId(f"d{index}") for index in range(plan.n_daemons)]
        self.daemons = {name: self._start(name, -60.0) for name in names}
        self._ideal = {
            customer: TokenBucket(quota.rate_per_second, quota.burst, quota.burst, 0.0)
            for customer, quota in plan.quotas.items()
        }

    def _start(self, name: DaemonId, at_seconds: float) -> _Daemon:
        policy = self._make_policy(name, next(self._starts), at_seconds, self)
        policy.set_quotas(self.quotas, max(0.0, at_seconds))
        return _Daemon(name, policy, at_seconds)

    def can_reach(self, one: DaemonId, other: DaemonId) -> bool:
        """Tell whether messages go between two daemons now."""
        return (one in self._cut) == (other in self._cut)

    def is_serving(self, name: DaemonId) -> bool:
        """Tell whether a daemon answers now."""
        return self.daemons[name].health is Health.SERVING

    def run(self) -> Audit:
        """Play it to its end."""
        arrivals = iter(sorted(self._arrivals()))
        events = sorted(self._events(), key=lambda event: event[0])
        upcoming = next(arrivals, None)
        while self.now_seconds < self.plan.seconds:
            self.now_seconds += STEP_SECONDS
            while events and events[0][0] <= self.now_seconds:
                events.pop(0)[1]()
            self._apply_changes()
            self._deliver()
            while upcoming is not None and upcoming[0] <= self.now_seconds:
                self._arrive(*upcoming)
                upcoming = next(arrivals, None)
            self._tell()
        return self.audit

    def _arrivals(self) -> Iterator[tuple[float, int, CustomerId, float]]:
        mean_units = LONG_SHARE * LONG_TOKENS + (1.0 - LONG_SHARE) * SHORT_TOKENS
        for demand in self.plan.demands:
            at_seconds = demand.from_seconds
            until_seconds = min(demand.until_seconds, self.plan.seconds)
            per_second = demand.units_per_second / mean_units
            while True:
                at_seconds += self._rng.expovariate(per_second)
                if at_seconds >= until_seconds:
                    break
                index = demand.daemon
                if index is None:
                    index = self._rng.randrange(self.plan.n_daemons)
                yield at_seconds, index, demand.customer, self._units()

    def _units(self) -> float:
        is_long = self._rng.random() < LONG_SHARE
        mean_units = LONG_TOKENS if is_long else SHORT_TOKENS
        spread = self._rng.lognormvariate(-(_LOG_SPREAD**2) / 2, _LOG_SPREAD)
        return float(round(min(MOST_TOKENS, mean_units * spread)))

    def _events(self) -> Iterator[tuple[float, Callable[[], None]]]:
        for fault in self.plan.faults:
            names = tuple(DaemonId(f"d{index}") for index in fault.daemons)
            until_seconds = fault.at_seconds + fault.for_seconds
            match fault.kind:
                case FaultKind.KILL:
                    yield fault.at_seconds, partial(self._kill, names)
                    yield until_seconds, partial(self._restart, names)
                case FaultKind.FREEZE:
                    yield fault.at_seconds, partial(self._freeze, names)
                    yield until_seconds, partial(self._thaw, names)
                case FaultKind.CUT:
                    yield fault.at_seconds, partial(self._set_cut, names)
                    yield until_seconds, partial(self._set_cut, ())
                case FaultKind.SCALE:
                    yield fault.at_seconds, partial(self._scale, fault.factor)

    def _kill(self, names: Sequence[DaemonId]) -> None:
        for name in names:
            self.daemons[name].health = Health.DEAD
            self.daemons[name].silent_since_seconds = self.now_seconds

    def _restart(self, names: Sequence[DaemonId]) -> None:
        for name in names:
            self.daemons[name] = self._start(name, self.now_seconds)
        if len(names) == len(self.daemons):
            self._restarted_seconds = self.now_seconds

    def _freeze(self, names: Sequence[DaemonId]) -> None:
        for name in names:
            self.daemons[name].health = Health.FROZEN
            self.daemons[name].silent_since_seconds = self.now_seconds

    def _thaw(self, names: Sequence[DaemonId]) -> None:
        for name in names:
            daemon = self.daemons[name]
            daemon.health = Health.SERVING
            daemon.silent_since_seconds = float("inf")
            held, daemon.held = daemon.held, []
            for customer, units, is_owed in held:
                self._decide(daemon, customer, units, is_owed)
            self._tell_quotas(daemon)

    def _set_cut(self, names: Sequence[DaemonId]) -> None:
        self._cut = frozenset(names)

    def _scale(self, factor: float) -> None:
        self.quotas = {
            customer: Quota(
                quota.unit,
                factor * quota.rate_per_second,
                factor * quota.burst,
                quota.plain_units,
            )
            for customer, quota in self.quotas.items()
        }
        for customer, quota in self.quotas.items():
            self._ideal[customer].set_terms(quota.rate_per_second, quota.burst)
        for name in self.daemons:
            due_seconds = self.now_seconds + self._rng.uniform(0.0, APPLY_SECONDS)
            heapq.heappush(self._changes, (due_seconds, name))

    def _apply_changes(self) -> None:
        """Let daemons hear of the quotas in force, each at its own moment."""
        while self._changes and self._changes[0][0] <= self.now_seconds:
            _due, name = heapq.heappop(self._changes)
            if self.is_serving(name):
                self._tell_quotas(self.daemons[name])

    def _tell_quotas(self, daemon: _Daemon) -> None:
        """Let a daemon hear of the quotas; lower ones bind it a window later."""
        daemon.policy.set_quotas(self.quotas, self.now_seconds)
        if self.quotas != self.plan.quotas:
            window_seconds = self.plan.tolerance.window_seconds
            self.audit.lowered = (self.quotas, self.now_seconds + window_seconds)

    def _arrive(
        self, at_seconds: float, index: int, customer: CustomerId, units: float
    ) -> None:
        ideal = self._ideal[customer]
        ideal.refill(at_seconds)
        is_owed = ideal.wait_seconds() == 0.0
        if is_owed:
            ideal.add(-units)
        else:
            self.audit.n_beyond[customer] += 1
        if self.now_seconds - self._restarted_seconds > STALE_ADDRESS_SECONDS:
            index %= self._n_entry
        daemon = self.daemons[DaemonId(f"d{index}")]
        match daemon.health:
            case Health.SERVING:
                self._decide(daemon, customer, units, is_owed)
            case Health.FROZEN:
                daemon.held.append((customer, units, is_owed))

    def _decide(
        self, daemon: _Daemon, customer: CustomerId, units: float, is_owed: bool
    ) -> None:
        audit = self.audit
        audit.n_requests[customer] += 1
        began_seconds = perf_counter()
        wait_seconds = daemon.policy.take(customer, units, self.now_seconds)
        audit.decide_seconds += perf_counter() - began_seconds
        if wait_seconds is None:
            audit.passed[customer].append((self.now_seconds, units))
        else:
            audit.n_refused[customer] += 1
            audit.n_owed_refused[customer] += is_owed

    def _tell(self) -> None:
        for daemon in self.daemons.values():
            age_seconds = self.now_seconds - daemon.started_seconds
            if daemon.health is not Health.SERVING or age_seconds < LINK_SECONDS:
                continue
            self._set_role(daemon)
            told = daemon.policy.tell(self.now_seconds)
            if told is not None:
                message, n_bytes, listeners = told
                for listener in listeners:
                    self._send(daemon.name, listener, message, n_bytes)

    def _set_role(self, daemon: _Daemon) -> None:
        mates = self._mates(daemon.name)
        if _number(daemon.name) < self._n_entry:
            daemon.policy.set_mates(mates, self.now_seconds)
        elif mates:
            relay = mates[_number(daemon.name) % len(mates)]
            daemon.policy.set_relay(relay, len(mates), self.now_seconds)

    def _mates(self, name: DaemonId) -> list[DaemonId]:
        """Return the other entry daemons, also those that fell silent of late."""
        return [
            other.name
            for other in itertools.islice(self.daemons.values(), self._n_entry)
            if other.name != name
            and self.now_seconds - other.silent_since_seconds < DETECT_SECONDS
        ]

    def _send(
        self, sender: DaemonId, listener: DaemonId, message: Any, n_bytes: int
    ) -> None:
        self.audit.n_bytes += n_bytes
        is_lost = self._rng.random() < self.plan.lost_share
        if listener not in self.daemons or is_lost:
            return
        delay_seconds = self._rng.uniform(LEAST_DELAY_SECONDS, MOST_DELAY_SECONDS)
        if self._is_late(listener):
            delay_seconds += LATE_SECONDS
        due_seconds = self.now_seconds + delay_seconds
        item = (due_seconds, next(self._numbers), sender, listener, message)
        heapq.heappush(self._messages, item)

    def _is_late(self, name: DaemonId) -> bool:
        return _number(name) < self.plan.n_late

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.now_seconds:
            _due, _number, sender, listener, message = heapq.heappop(self._messages)
            daemon = self.daemons[listener]
            is_linked = self.now_seconds - daemon.started_seconds >= LINK_SECONDS
            if (
                daemon.health is Health.SERVING
                and is_linked
                and self.can_reach(sender, listener)
            ):
                daemon.policy.receive(sender, message, self.now_seconds)


def _number(name: DaemonId) -> int:
    return int(name.removeprefix("d"))
