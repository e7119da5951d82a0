"""Estimated durations of capacity changes, for their plans."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.generated.configuration import (
    Model,
    Target,
    TargetDesiredState,
    TargetGroup,
)
from lycheepost.generated.operators import (
    PlanConflict,
    WeightsFact,
)
from lycheepost.operators.capacity_records import SERVING_SHARES
from lycheepost.operators.items import Draft

WeightsKey = tuple[str, str]
"""Model and weights version."""


@dataclass(frozen=True)
class CapacityContext:
    """What planning a capacity change needs in addition to the configuration.

    Attributes:
        intent_name: Name of the new intent; the same at plan and confirm.
        now_wall_seconds: Current time, as seconds since the Unix epoch.
        weights: What the weight store reported about the requested versions.
        drain_seconds: Minimum time for a target to drain.
        warm_step_seconds: Interval between increases of a warming target's share.
    """

    intent_name: str
    now_wall_seconds: float
    weights: Mapping[WeightsKey, WeightsFact]
    drain_seconds: float
    warm_step_seconds: float

    @property
    def warm_seconds(self) -> float:
        """Return the time from a target's load until it has its full share."""
        return self.warm_step_seconds * (len(SERVING_SHARES) - 1)


def members_of(draft: Draft, group: str) -> list[Target]:
    """Return the targets of a group that are not retired."""
    return [
        target
        for target in draft.all("targets")
        if target.target_group == group
        and target.desired_state is not TargetDesiredState.RETIRED
    ]


def serving_of(targets: list[Target]) -> list[Target]:
    """Return the ``targets`` whose desired state is serving."""
    serving = TargetDesiredState.SERVING
    return [target for target in targets if target.desired_state is serving]


def model_of(draft: Draft, group: str) -> Model | None:
    """Return the model of a group; None when it serves none or several."""
    models = [item for item in draft.all("models") if item.target_group == group]
    return models[0] if len(models) == 1 else None


def make_conflict(subject: str, reason: str, is_blocking: bool = False) -> PlanConflict:
    """Return a conflict of a plan."""
    return PlanConflict(subject=subject, reason=reason, is_blocking=is_blocking)


def estimate_load(
    model: Model | None, version: str, context: CapacityContext
) -> tuple[float, list[PlanConflict]]:
    """Return the duration of one load, and a conflict if it is not known."""
    if model is None:
        return 0.0, []
    key = (model.model, version or model.weights_version)
    fact = context.weights.get(key)
    subject = f"models/{model.model}"
    if fact is None or not fact.is_known:
        reason = "the weight store did not answer; times are not known"
        return 0.0, [make_conflict(subject, reason)]
    if not fact.is_present:
        reason = f"the weight store has no version {key[1]}"
        return 0.0, [make_conflict(subject, reason, is_blocking=True)]
    return fact.load_seconds, []


def estimate_rolling(
    draft: Draft,
    group: TargetGroup,
    changing: list[Target],
    load_seconds: float,
    context: CapacityContext,
) -> tuple[float, list[PlanConflict]]:
    """Return the time to change targets while enough others serve.

    Changing standby targets reduces no capacity. Of the serving ones, only as many are
    out of service at once as ``min_serving`` permits, and each counts again only after
    warming.
    """
    serving = serving_of(members_of(draft, group.target_group))
    n_spare = len(serving) - group.min_serving
    n_serving = len(serving_of(changing))
    n_standby = len(changing) - n_serving
    if n_serving and n_spare < 1:
        subject = f"target_groups/{group.target_group}"
        reason = (
            f"{len(serving)} targets serve and min_serving is {group.min_serving};"
            " none can be taken out"
        )
        return 0.0, [make_conflict(subject, reason, is_blocking=True)]
    loads = group.concurrent_loads
    seconds = math.ceil(n_standby / loads) * load_seconds
    if n_serving:
        n_waves = math.ceil(n_serving / min(loads, n_spare))
        wave_seconds = context.drain_seconds + load_seconds + context.warm_seconds
        seconds += n_waves * wave_seconds
    return seconds, []
