"""What the scheduler is shown of one target: a pure pass over what is known of it."""

from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.core.ids import ModelId, WeightsVersion
from lycheepost.core.routing import ListedTarget, RouteTable
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.decide.routes import fetch_token_seconds


@dataclass(frozen=True, slots=True)
class Standing:
    """What is believed of a target beside its registration.

    Attributes:
        weights: Weights in place, by model.
        is_left_alone: It gets no new work now, because of its weights or its health.
        penalty_seconds: What its answers are worth less, told as a wait.
    """

    weights: Mapping[ModelId, WeightsVersion]
    is_left_alone: bool
    penalty_seconds: float


def make_view(
    listed: ListedTarget, standing: Standing, table: RouteTable | None
) -> TargetView:
    """Return the view of a target.

    Args:
        listed: The target as it registered.
        standing: What is believed of it.
        table: The route table, which tells what its group is able to do; None before
            the first one.
    """
    group = None if table is None else table.groups.get(listed.target_group)
    engine = None if group is None else group.engine
    fetch_seconds = 0.0
    if table is not None:
        fetch_seconds = fetch_token_seconds(table, listed.availability_zone, engine)
    return TargetView(
        target=listed.target,
        target_group=listed.target_group,
        availability_zone=listed.availability_zone,
        state=_state_of(listed, standing),
        incarnation=listed.start.incarnation,
        weights_version=WeightsVersion(",".join(sorted(standing.weights.values()))),
        concurrency_limit=listed.slots,
        cache_tokens=0 if engine is None else engine.kv_tokens,
        penalty_seconds=standing.penalty_seconds,
        fetch_token_seconds=fetch_seconds,
    )


def _state_of(listed: ListedTarget, standing: Standing) -> TargetState:
    if listed.is_leaving:
        return TargetState.LEAVING
    return TargetState.GONE if standing.is_left_alone else TargetState.SERVING
