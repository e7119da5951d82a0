"""Loads and faults that a way to hold customers to their quotas has to stand."""

from dataclasses import dataclass

from lycheepost.bench.quotaplan import Demand, Fault, FaultKind, Plan
from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota, QuotaTolerance, QuotaUnit

LARGE_RATE = 430_000.0
SMALL_RATE = 29_000.0
USUAL_SHARE = 0.55
"""What customers usually ask for, as a part of their quota."""

HOT_FACTOR = 4.7
"""By how much a customer may exceed what it usually asks for."""

TOLERANCE = QuotaTolerance(share=0.1, units=110_000.0, window_seconds=8.0)
FLOOD_FACTOR = 10.0
"""What a flood asks for, in its customer's quota."""

LARGE = CustomerId("large-0")
SMALL = CustomerId("small-0")
_N_LARGE = 2

_N_LATE = 4

N_ENTRY = 10
"""Entry daemons where the others stand by."""

BESIDE_FLOOD_FACTOR = 5.0
"""What one customer asks for beside others that are inside their quotas."""

SCENARIOS = (
    "usual",
    "callers on one daemon",
    "hot",
    "hot, messages lost",
    "hot, four hear late",
    "half cut off",
    "half cut off in a burst",
    "one cut off",
    "one cut off, usual",
    "half frozen",
    "one killed",
    "one killed, usual",
    "all killed",
    "all killed twice",
    "all killed in a flood",
    "all killed beside a flood",
    "lowered",
    "rolling restart",
    "rolling restart, usual",
)
"""What is compared; daemons are tested under more."""


@dataclass(frozen=True, slots=True)
class _Scenario:
    demands: tuple[Demand, ...]
    faults: tuple[Fault, ...] = ()
    lost_share: float = 0.0
    n_late: int = 0
    n_entry: int | None = None


def make_quotas(n_customers: int) -> dict[CustomerId, Quota]:
    """Return the quotas of some large and many small customers."""
    quotas = {}
    for index in range(n_customers):
        is_large = index < _N_LARGE
        rate = LARGE_RATE if is_large else SMALL_RATE
        name = f"large-{index}" if is_large else f"small-{index - _N_LARGE}"
        quotas[CustomerId(name)] = Quota(QuotaUnit.TOKENS, rate, rate, 200.0)
    return quotas


def _hot(
    quotas: dict[CustomerId, Quota], from_seconds: float = 0.0
) -> tuple[Demand, ...]:
    """Return the usual demand with a large and a small customer far beyond it."""
    hot = (LARGE, SMALL)
    return tuple(
        Demand(
            customer,
            (HOT_FACTOR if customer in hot else 1.0)
            * USUAL_SHARE
            * quota.rate_per_second,
            from_seconds,
        )
        for customer, quota in quotas.items()
    )


def _flood(quotas: dict[CustomerId, Quota]) -> tuple[Demand, ...]:
    """Return demand of one customer that fills its quota in a moment."""
    return (Demand(LARGE, FLOOD_FACTOR * quotas[LARGE].rate_per_second),)


def _beside_flood(quotas: dict[CustomerId, Quota]) -> tuple[Demand, ...]:
    """Return the usual demand with one large customer far beyond its quota."""
    flood = Demand(LARGE, BESIDE_FLOOD_FACTOR * quotas[LARGE].rate_per_second)
    others = (demand for demand in _usual(quotas) if demand.customer != LARGE)
    return (flood, *others)


def _usual(
    quotas: dict[CustomerId, Quota], daemon: int | None = None
) -> tuple[Demand, ...]:
    """Return what customers usually ask for."""
    return tuple(
        Demand(customer, USUAL_SHARE * quota.rate_per_second, daemon=daemon)
        for customer, quota in quotas.items()
    )


def _rolling_restart(n_daemons: int) -> tuple[Fault, ...]:
    """Return kills of one daemon after the other."""
    return tuple(
        Fault(FaultKind.KILL, 6.0 + 2.0 * index, 0.8, (index % n_daemons,))
        for index in range(10)
    )


def _calm(quotas: dict[CustomerId, Quota]) -> dict[str, _Scenario]:
    """Return the scenarios in which no daemon fails."""
    usual, hot = _usual(quotas), _hot(quotas)
    lowered = Fault(FaultKind.SCALE, 8.0, factor=0.4)
    return {
        "usual": _Scenario(usual),
        "callers on one daemon": _Scenario(_usual(quotas, daemon=0)),
        "hot": _Scenario(hot),
        "hot, messages lost": _Scenario(hot, lost_share=0.1),
        "hot, four hear late": _Scenario(hot, n_late=_N_LATE),
        "lowered": _Scenario(usual, (lowered,)),
    }


def _parted(quotas: dict[CustomerId, Quota], n_daemons: int) -> dict[str, _Scenario]:
    """Return those in which daemons don't hear each other."""
    usual, hot = _usual(quotas), _hot(quotas)
    half = tuple(range(n_daemons // 2))
    half_off = Fault(FaultKind.CUT, 8.0, 9.0, half)
    one_off = Fault(FaultKind.CUT, 8.0, 9.0, (0,))
    half_frozen = Fault(FaultKind.FREEZE, 8.0, 4.0, half)
    frozen_as_lowered = (
        Fault(FaultKind.FREEZE, 6.0, 3.0, half),
        Fault(FaultKind.SCALE, 7.0, factor=0.3),
    )
    burst = _hot(quotas, from_seconds=8.0)
    return {
        "half cut off": _Scenario(hot, (half_off,)),
        "half cut off in a burst": _Scenario(burst, (half_off,)),
        "one cut off": _Scenario(hot, (one_off,)),
        "one cut off, usual": _Scenario(usual, (one_off,)),
        "half frozen": _Scenario(hot, (half_frozen,)),
        "lowered while half is frozen": _Scenario(hot, frozen_as_lowered),
    }


def _killed(quotas: dict[CustomerId, Quota], n_daemons: int) -> dict[str, _Scenario]:
    """Return those in which daemons end."""
    usual, hot = _usual(quotas), _hot(quotas)
    every = tuple(range(n_daemons))
    one_killed = Fault(FaultKind.KILL, 8.0, 1.0, (0,))
    all_killed = Fault(FaultKind.KILL, 10.0, 0.7, every)
    all_killed_later = Fault(FaultKind.KILL, 14.0, 0.7, every)
    thrice = tuple(
        Fault(FaultKind.KILL, 10.0 + 2.0 * index, 0.7, every) for index in range(3)
    )
    rolling = _rolling_restart(n_daemons)
    return {
        "one killed": _Scenario(hot, (one_killed,)),
        "one killed, usual": _Scenario(usual, (one_killed,)),
        "all killed": _Scenario(hot, (all_killed,)),
        "all killed twice": _Scenario(hot, (all_killed, all_killed_later)),
        "all killed in a flood": _Scenario(_flood(quotas), thrice),
        "all killed beside a flood": _Scenario(
            _beside_flood(quotas), (all_killed,), n_entry=N_ENTRY
        ),
        "rolling restart": _Scenario(hot, rolling),
        "rolling restart, usual": _Scenario(usual, rolling),
    }


def _scenarios(quotas: dict[CustomerId, Quota], n_daemons: int) -> dict[str, _Scenario]:
    return {
        **_calm(quotas),
        **_parted(quotas, n_daemons),
        **_killed(quotas, n_daemons),
    }


def make_plan(scenario: str, n_daemons: int, n_customers: int, seed: int) -> Plan:
    """Return the plan of a named scenario.

    Raises:
        KeyError: There is none of this name.
    """
    quotas = make_quotas(n_customers)
    chosen = _scenarios(quotas, n_daemons)[scenario]
    return Plan(
        n_daemons,
        quotas,
        TOLERANCE,
        chosen.demands,
        chosen.faults,
        lost_share=chosen.lost_share,
        n_late=chosen.n_late,
        n_entry=chosen.n_entry,
        seed=seed,
    )
