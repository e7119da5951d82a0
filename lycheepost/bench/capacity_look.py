"""What one look at capacity costs the daemon that holds the duty, by fleet size.

Only one daemon of the fleet pays it, every ``capacity_tick_seconds``. Asking
targets is bounded by a setting and not measured here.
"""

import time
from dataclasses import dataclass

from lycheepost.core.ids import TargetId
from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    Configuration,
    Model,
    Target,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.operators.capacity import decide_capacity
from lycheepost.operators.capacity_records import CapacityTiming, Observed

N_GROUPS = 8
_N_ROLLING = 1
"""Groups with a rollout at the same time."""
_LOOKS = 5
_TICK_SECONDS = 2.0


@dataclass(frozen=True)
class LookRecord:
    """The cost of a look at one fleet size.

    Attributes:
        core_share: Part of a core, at one look per two seconds.
    """

    n_targets: int
    quiet_ms: float
    rollout_ms: float
    core_share: float


def measure_looks(sizes: tuple[int, ...]) -> list[LookRecord]:
    """Return the cost of a look with no intent and with one rollout."""
    return [_measure(n_targets) for n_targets in sizes]


def _measure(n_targets: int) -> LookRecord:
    quiet_ms = _time_looks(_make_fleet(n_targets, []))
    intents = [
        CapacityIntent(
            intent=f"i{index}",
            kind=CapacityIntentKind.NEW_WEIGHTS,
            target_group=f"g{index}",
            state=CapacityIntentState.SCHEDULED,
            model=f"m{index}",
            weights_version="w2",
        )
        for index in range(_N_ROLLING)
    ]
    rollout_ms = _time_looks(_make_fleet(n_targets, intents))
    return LookRecord(
        n_targets=n_targets,
        quiet_ms=round(quiet_ms, 2),
        rollout_ms=round(rollout_ms, 2),
        core_share=round(rollout_ms / 1000 / _TICK_SECONDS, 4),
    )


def _make_fleet(n_targets: int, intents: list[CapacityIntent]) -> Configuration:
    groups = [
        TargetGroup(
            target_group=f"g{index}",
            kind=TargetGroupKind.ENGINE,
            concurrent_loads=3,
            min_serving=1,
        )
        for index in range(N_GROUPS)
    ]
    return Configuration(
        revision=1,
        target_groups=groups,
        models=[
            Model(model=f"m{index}", weights_version="w1", target_group=f"g{index}")
            for index in range(N_GROUPS)
        ],
        targets=[
            Target(
                target=f"t{index}",
                target_group=f"g{index % N_GROUPS}",
                availability_zone=f"z{index % 9}",
                url=f"http://127.0.0.1:{1024 + index}",
                weights_version="w1",
            )
            for index in range(n_targets)
        ],
        capacity_intents=intents,
    )


def _time_looks(configuration: Configuration) -> float:
    """Return milliseconds per look, the one that begins the rollout left out."""
    observed = {
        TargetId(target.target): Observed(is_serving=True)
        for target in configuration.targets
    }
    timing = CapacityTiming()
    first = decide_capacity(configuration, observed, 1.0, timing)
    current = first.configuration or configuration
    started = time.perf_counter()
    for number in range(_LOOKS):
        decide_capacity(current, observed, 2.0 + number, timing)
    return (time.perf_counter() - started) / _LOOKS * 1000
