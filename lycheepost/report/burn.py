"""Computes error budgets and burn rates from slots of counts, without I/O.

A burn rate is the share of bad events divided by the share that the objective
allows: at 1 the budget lasts exactly for its period, at 14.4 a three-day budget
is spent in five hours. A rule fires only while both its long and its short window
exceed the threshold: the long window keeps a short spike from paging anybody, the
short window ends the alarm soon after the fault ends.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepost.generated.report import BurnCount, BurnObjectives, BurnSlot
from lycheepost.report.samples import BUCKET_BOUNDS_SECONDS, add_counts

MINUTE_SECONDS = 60
HOUR_SECONDS = 3600
DAY_SECONDS = 86400
PERIOD_SECONDS = 3 * DAY_SECONDS
"""Period of the error budget, and the longest window."""


class ServiceLevel(Enum):
    """Service levels that have an objective."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    SUCCESS = "success"
    EXACTLY_ONCE = "exactly_once"


class Alarm(Enum):
    """How a rule alerts the person on call."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class AlarmRule:
    """Fires while the burn rate of both windows is at least ``threshold``."""

    long_seconds: int
    short_seconds: int
    threshold: float
    alarm: Alarm


RULES = (
    # A burn rate at the threshold spends 20%, 50%, 100% and 100% of the three-day
    # budget within the long window: 14.4 x 1 h, 6 x 6 h, 3 x 1 d, 1 x 3 d of 72 h.
    AlarmRule(HOUR_SECONDS, 5 * MINUTE_SECONDS, 14.4, Alarm.PAGE),
    AlarmRule(6 * HOUR_SECONDS, 30 * MINUTE_SECONDS, 6.0, Alarm.PAGE),
    AlarmRule(DAY_SECONDS, 2 * HOUR_SECONDS, 3.0, Alarm.TICKET),
    AlarmRule(PERIOD_SECONDS, 6 * HOUR_SECONDS, 1.0, Alarm.TICKET),
)

WINDOWS_SECONDS = tuple(
    sorted({rule.long_seconds for rule in RULES} | {r.short_seconds for r in RULES})
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn of one service level over one window.

    Attributes:
        burn_rate: None without events, since no traffic does not mean no faults.
    """

    window_seconds: int
    n_events: int
    n_bad: int
    burn_rate: float | None


@dataclass(frozen=True, slots=True)
class LevelBurn:
    """The burn of one service level for one customer and model.

    Attributes:
        objective_share: Share of events that must be good.
        budget_left_share: Unspent share of the three-day error budget, negative
            when overspent; None without events.
        windows: Shortest first.
    """

    level: ServiceLevel
    objective_share: float
    budget_left_share: float | None
    alarm: Alarm
    windows: tuple[WindowBurn, ...]


@dataclass(frozen=True, slots=True)
class PairBurn:
    """The burn of all service levels for one customer and model.

    Attributes:
        ttft_p50_seconds, ttft_p99_seconds: Upper bounds of the histogram buckets
            that hold these percentiles over the longest window; None without
            answers, infinite above the last bound.
    """

    customer: str
    model: str
    n_requests: int
    ttft_p50_seconds: float | None
    ttft_p99_seconds: float | None
    levels: tuple[LevelBurn, ...]


def objective_share_of(level: ServiceLevel, objectives: BurnObjectives) -> float:
    """Return the share of events that must be good."""
    match level:
        case ServiceLevel.FIRST_TOKEN | ServiceLevel.BETWEEN_TOKENS:
            return objectives.objective_share
        case ServiceLevel.SUCCESS:
            return objectives.success_share
        case ServiceLevel.EXACTLY_ONCE:
            return objectives.exactly_once_share


def count_events(level: ServiceLevel, count: BurnCount) -> tuple[int, int]:
    """Return the number of events and of bad events of one service level."""
    match level:
        case ServiceLevel.FIRST_TOKEN:
            return count.n_first_tokens, count.n_first_tokens_late
        case ServiceLevel.BETWEEN_TOKENS:
            return count.n_streams, count.n_streams_slow
        case ServiceLevel.SUCCESS:
            return count.n_requests, count.n_failed
        case ServiceLevel.EXACTLY_ONCE:
            return count.n_once, count.n_once_broken


def dedupe_slots(slots: Iterable[BurnSlot]) -> list[BurnSlot]:
    """Remove duplicates, so that each request is counted once.

    A daemon answers with slots that it has also written to the object store, and
    a leaving daemon may have written its open slot early: the copy with the most
    requests is kept. Slots covered by an hourly sum are dropped; both are present
    when the daemons' clocks disagree about the hour.
    """
    kept: dict[tuple[str, str, int, int], BurnSlot] = {}
    for slot in slots:
        key = (
            slot.daemon_id,
            slot.boot_id,
            slot.start_wall_seconds,
            slot.length_seconds,
        )
        if key not in kept or _n_requests(slot) > _n_requests(kept[key]):
            kept[key] = slot
    return [slot for slot in kept.values() if not _is_in_sum(slot, kept)]


def _is_in_sum(slot: BurnSlot, kept: dict[tuple[str, str, int, int], BurnSlot]) -> bool:
    if slot.length_seconds >= HOUR_SECONDS:
        return False
    hour_start = slot.start_wall_seconds // HOUR_SECONDS * HOUR_SECONDS
    return (slot.daemon_id, slot.boot_id, hour_start, HOUR_SECONDS) in kept


def _n_requests(slot: BurnSlot) -> int:
    return sum(
        count.n_requests + count.n_first_tokens + count.n_once for count in slot.counts
    )


_Pair = tuple[str, str]


def sum_window(
    slots: Iterable[BurnSlot], window_seconds: int, wall_seconds: float
) -> dict[_Pair, BurnCount]:
    """Add up the slots that end within the window before ``wall_seconds``."""
    sums: dict[_Pair, BurnCount] = {}
    from_seconds = wall_seconds - window_seconds
    for slot in slots:
        if slot.start_wall_seconds + slot.length_seconds <= from_seconds:
            continue
        for count in slot.counts:
            key = (count.customer, count.model)
            sums[key] = add_counts(sums[key], count) if key in sums else count
    return sums


def assess(
    slots: Iterable[BurnSlot], objectives: BurnObjectives, wall_seconds: float
) -> list[PairBurn]:
    """Return the burn of every customer and model, the most urgent first."""
    slots = dedupe_slots(slots)
    by_pair: dict[_Pair, dict[int, BurnCount]] = defaultdict(dict)
    for window_seconds in WINDOWS_SECONDS:
        for pair, count in sum_window(slots, window_seconds, wall_seconds).items():
            by_pair[pair][window_seconds] = count
    pairs = [
        _assess_pair(pair, windows, objectives) for pair, windows in by_pair.items()
    ]
    return sorted(pairs, key=_sort_key, reverse=True)


def _assess_pair(
    pair: _Pair, windows: dict[int, BurnCount], objectives: BurnObjectives
) -> PairBurn:
    longest = windows[WINDOWS_SECONDS[-1]]
    return PairBurn(
        customer=pair[0],
        model=pair[1],
        n_requests=longest.n_requests,
        ttft_p50_seconds=first_token_quantile(longest, 0.5),
        ttft_p99_seconds=first_token_quantile(longest, 0.99),
        levels=tuple(
            _assess_level(level, windows, objectives) for level in ServiceLevel
        ),
    )


def _assess_level(
    level: ServiceLevel, windows: dict[int, BurnCount], objectives: BurnObjectives
) -> LevelBurn:
    objective_share = objective_share_of(level, objectives)
    allowed_share = 1 - objective_share
    burns = {}
    for window_seconds in WINDOWS_SECONDS:
        count = windows.get(window_seconds)
        n_events, n_bad = count_events(level, count) if count else (0, 0)
        rate = n_bad / n_events / allowed_share if n_events else None
        burns[window_seconds] = WindowBurn(window_seconds, n_events, n_bad, rate)
    spent = burns[PERIOD_SECONDS].burn_rate
    return LevelBurn(
        level=level,
        objective_share=objective_share,
        budget_left_share=None if spent is None else 1 - spent,
        alarm=_choose_alarm(burns),
        windows=tuple(burns.values()),
    )


def _choose_alarm(burns: dict[int, WindowBurn]) -> Alarm:
    for rule in RULES:
        rates = (
            burns[rule.long_seconds].burn_rate,
            burns[rule.short_seconds].burn_rate,
        )
        if all(rate is not None and rate >= rule.threshold for rate in rates):
            return rule.alarm
    return Alarm.NONE


_ALARM_ORDER = {Alarm.NONE: 0, Alarm.TICKET: 1, Alarm.PAGE: 2}


def _sort_key(pair: PairBurn) -> tuple[int, float]:
    alarm = max(_ALARM_ORDER[level.alarm] for level in pair.levels)
    spent = max(1 - (level.budget_left_share or 0.0) for level in pair.levels)
    return alarm, spent


def first_token_quantile(count: BurnCount, quantile: float) -> float | None:
    """Return the upper bound of the histogram bucket that holds a quantile."""
    n_wanted = sum(count.first_token_buckets) * quantile
    if not n_wanted:
        return None
    n_seen = 0
    for bound, n_here in zip(
        (*BUCKET_BOUNDS_SECONDS, math.inf), count.first_token_buckets, strict=False
    ):
        n_seen += n_here
        if n_seen >= n_wanted:
            return bound
    return math.inf
