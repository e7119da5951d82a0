"""Ways to hold customers to a quota over a whole fleet, for comparison.

``shared`` is what daemons do: each keeps the bucket of the whole fleet, less what the
others say that they let through. ``divided`` gives each daemon a bucket of its own with
a part of the rate, by recent demand. ``owner`` asks the one daemon that keeps a
customer's bucket, for each request.
"""

import random
from collections.abc import Sequence
from typing import Any

import msgspec

from lycheepost.bench.quotaworld import MakePolicy, World
from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota
from lycheepost.decide.fleetquota import (
    FULL_UPDATE_INTERVAL_SECONDS,
    HEARTBEAT_SECONDS,
    UPDATE_INTERVAL_SECONDS,
    FleetQuotas,
)
from lycheepost.decide.quotameter import START_TOLERANCE_SHARE
from lycheepost.decide.quotarecord import RECORD_INTERVAL_SECONDS, draws_record
from lycheepost.decide.tokenbucket import TokenBucket
from lycheepost.peers.quota_messages import to_message

Told = tuple[Any, int, tuple[DaemonId, ...]]

DEMAND_SECONDS = 2.0
"""Over which demand is averaged where the rate is divided by it."""

LEAST_SHARE = 0.3
"""Part of the rate that is divided evenly, for callers that come to another daemon."""

READ_SECONDS = 0.1
"""From a daemon's first request until it has read how many daemons there are."""

QUESTION_BYTES = 60
"""A question to an owner, or its answer."""


class SharedPolicy:
    """What daemons do."""

    def __init__(self, start: int, at_seconds: float, world: World) -> None:
        self.quotas = FleetQuotas(start, at_seconds)
        self.quotas.set_tolerance(world.plan.tolerance)
        self.quotas.set_record(world.record, at_seconds)
        self._world = world
        self._rng = random.Random(start)
        self._recorded_seconds = at_seconds
        self._n_daemons = world.plan.n_daemons
        self._started_seconds = at_seconds
        self._told_seconds = self._whole_seconds = float("-inf")

    def set_quotas(self, quotas: dict[CustomerId, Quota], now_seconds: float) -> None:
        """Follow the quotas in force."""
        self.quotas.set_quotas(quotas, now_seconds)

    def set_mates(self, mates: Sequence[DaemonId], now_seconds: float) -> None:
        """Follow who else serves."""
        self.quotas.set_entry(mates, now_seconds)

    def set_relay(self, relay: DaemonId, n_entry: int, now_seconds: float) -> None:
        """Stand by."""
        self.quotas.set_standby(relay, n_entry, now_seconds)

    def take(
        self, customer: CustomerId, units: float, now_seconds: float
    ) -> float | None:
        """Let a request through, or return when to come back."""
        if now_seconds - self._started_seconds >= READ_SECONDS:
            self.quotas.set_fleet(self._n_daemons)
        return self.quotas.take(customer, units, now_seconds)

    def tell(self, now_seconds: float) -> Told | None:
        """Return a message, its size and its listeners."""
        if now_seconds - self._told_seconds < UPDATE_INTERVAL_SECONDS:
            return None
        self._record(now_seconds)
        is_whole = now_seconds - self._whole_seconds > FULL_UPDATE_INTERVAL_SECONDS
        listeners = self.quotas.listeners(now_seconds)
        update = self.quotas.update(is_whole, now_seconds)
        is_due = now_seconds - self._told_seconds > HEARTBEAT_SECONDS
        if not update.counts and not is_due:
            return None
        self._told_seconds = now_seconds
        if is_whole:
            self._whole_seconds = now_seconds
        n_bytes = len(msgspec.msgpack.encode(to_message(update)))
        return update, n_bytes, listeners

    def _record(self, now_seconds: float) -> None:
        if now_seconds - self._recorded_seconds < RECORD_INTERVAL_SECONDS:
            return
        self._recorded_seconds = now_seconds
        if self.quotas.is_synced and draws_record(
            self.quotas.n_sharing, self._rng.random()
        ):
            self._world.record = self.quotas.make_record(now_seconds)

    def receive(self, sender: DaemonId, message: Any, now_seconds: float) -> None:
        """Take a message."""
        self.quotas.receive(sender, message, now_seconds)


def _take_from(bucket: TokenBucket, units: float, now_seconds: float) -> float | None:
    """Take units from a bucket, or return when to come back."""
    bucket.refill(now_seconds)
    wait_seconds = bucket.wait_seconds()
    if wait_seconds > 0.0:
        return wait_seconds
    bucket.add(-units)
    return None


class DividedPolicy:
    """A bucket in each daemon, with a part of the rate by recent demand."""

    def __init__(self, at_seconds: float, world: World) -> None:
        self._world = world
        self._buckets: dict[CustomerId, TokenBucket] = {}
        self._quotas: dict[CustomerId, Quota] = {}
        self._demand: dict[CustomerId, float] = {}
        self._others: dict[DaemonId, dict[CustomerId, float]] = {}
        self._mates: tuple[DaemonId, ...] = ()
        self._at_seconds = at_seconds
        self._told_seconds = float("-inf")

    def set_quotas(self, quotas: dict[CustomerId, Quota], now_seconds: float) -> None:
        """Follow the quotas in force."""
        self._quotas = quotas
        for customer, quota in quotas.items():
            if customer not in self._buckets:
                part = 1.0 / self._world.plan.n_daemons
                level = part * quota.burst
                rate = part * quota.rate_per_second
                self._buckets[customer] = TokenBucket(rate, level, level, now_seconds)
        self._divide()

    def _divide(self) -> None:
        n_daemons = max(1 + len(self._mates), len(self._others) + 1)
        for customer, quota in self._quotas.items():
            mine = self._demand.get(customer, 0.0)
            others = sum(item.get(customer, 0.0) for item in self._others.values())
            part = mine / (mine + others) if mine + others > 0.0 else 1.0 / n_daemons
            share = LEAST_SHARE / n_daemons + (1.0 - LEAST_SHARE) * part
            bucket = self._buckets[customer]
            bucket.rate_per_second = share * quota.rate_per_second
            bucket.capacity = share * quota.burst
            bucket.level = min(bucket.capacity, bucket.level)

    def set_mates(self, mates: Sequence[DaemonId], now_seconds: float) -> None:
        """Follow who else serves."""
        self._mates = tuple(mates)
        for name in set(self._others) - set(mates):
            del self._others[name]

    def set_relay(self, relay: DaemonId, n_entry: int, now_seconds: float) -> None:
        """Stand by; nothing is reported."""

    def take(
        self, customer: CustomerId, units: float, now_seconds: float
    ) -> float | None:
        """Let a request through, or return when to come back."""
        self._fade(now_seconds)
        self._demand[customer] = self._demand.get(customer, 0.0) + units
        bucket = self._buckets[customer]
        return _take_from(bucket, units, now_seconds)

    def _fade(self, now_seconds: float) -> None:
        elapsed_seconds = now_seconds - self._at_seconds
        self._at_seconds = now_seconds
        kept = 0.5 ** (elapsed_seconds / DEMAND_SECONDS)
        for customer in self._demand:
            self._demand[customer] *= kept

    def tell(self, now_seconds: float) -> Told | None:
        """Return a message, its size and its listeners."""
        if now_seconds - self._told_seconds < UPDATE_INTERVAL_SECONDS:
            return None
        self._told_seconds = now_seconds
        self._fade(now_seconds)
        for bucket in self._buckets.values():
            bucket.refill(now_seconds)
        self._divide()
        demand = {name: units for name, units in self._demand.items() if units > 1.0}
        return demand, len(msgspec.msgpack.encode(demand)), self._mates

    def receive(self, sender: DaemonId, message: Any, now_seconds: float) -> None:
        """Take a message."""
        self._others[sender] = message


class OwnerPolicy:
    """One daemon keeps a customer's bucket; where it can't be asked, a part of it."""

    def __init__(self, name: DaemonId, at_seconds: float, world: World) -> None:
        self._name = name
        self._world = world
        self._mates: tuple[DaemonId, ...] = ()
        self._quotas: dict[CustomerId, Quota] = {}
        self._owned: dict[CustomerId, TokenBucket] = {}
        self._parts: dict[CustomerId, TokenBucket] = {}
        self._is_first = at_seconds <= 0.0

    def set_quotas(self, quotas: dict[CustomerId, Quota], now_seconds: float) -> None:
        """Follow the quotas in force."""
        self._quotas = quotas
        n_daemons = self._world.plan.n_daemons
        for customer, quota in quotas.items():
            if customer in self._owned:
                rate = quota.rate_per_second
                self._owned[customer].set_terms(rate, quota.burst)
                self._parts[customer].set_terms(
                    rate / n_daemons, quota.burst / n_daemons
                )
                continue
            started = min(
                quota.burst,
                START_TOLERANCE_SHARE * self._world.plan.tolerance.of(quota),
            )
            level = quota.burst if self._is_first else started
            rate = quota.rate_per_second
            self._owned[customer] = TokenBucket(rate, quota.burst, level, now_seconds)
            self._parts[customer] = TokenBucket(
                rate / n_daemons,
                quota.burst / n_daemons,
                level / n_daemons,
                now_seconds,
            )

    def set_mates(self, mates: Sequence[DaemonId], now_seconds: float) -> None:
        """Follow who else serves."""
        self._mates = tuple(mates)

    def set_relay(self, relay: DaemonId, n_entry: int, now_seconds: float) -> None:
        """Stand by; nothing is reported."""

    def take(
        self, customer: CustomerId, units: float, now_seconds: float
    ) -> float | None:
        """Let a request through, or return when to come back."""
        key = hash_bytes(customer.encode())
        names = [self._name, *self._mates]
        owner = DaemonId(next(iter(rendezvous_order(key, names))))
        bucket = self._parts[customer]
        if owner == self._name:
            bucket = self._owned[customer]
        elif self._world.is_serving(owner) and self._world.can_reach(self._name, owner):
            self._world.audit.n_bytes += 2 * QUESTION_BYTES
            policy = self._world.daemons[owner].policy
            assert isinstance(policy, OwnerPolicy)
            bucket = policy._owned[customer]
        return _take_from(bucket, units, now_seconds)

    def tell(self, now_seconds: float) -> Told | None:
        """Return a message, its size and its listeners."""
        return None

    def receive(self, sender: DaemonId, message: Any, now_seconds: float) -> None:
        """Take a message; none is sent."""


def make_shared(
    _name: DaemonId, start: int, at_seconds: float, world: World
) -> SharedPolicy:
    """Return the policy of daemons."""
    return SharedPolicy(start, at_seconds, world)


def make_divided(
    _name: DaemonId, _start: int, at_seconds: float, world: World
) -> DividedPolicy:
    """Return a policy that divides the rate."""
    return DividedPolicy(at_seconds, world)


def make_owner(
    name: DaemonId, _start: int, at_seconds: float, world: World
) -> OwnerPolicy:
    """Return a policy that asks one owner."""
    return OwnerPolicy(name, at_seconds, world)


POLICIES: dict[str, MakePolicy] = {
    "shared": make_shared,
    "divided": make_divided,
    "owner": make_owner,
}
