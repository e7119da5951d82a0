"""Build the scheduler's view of one target; pure logic."""

from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.core.ids import ModelId, WeightsVersion
from lycheepost.core.routing import ListedTarget, RouteTable
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.decide.routes import fetch_token_seconds


@dataclass(frozen=True, slots=True)
class TargetCondition:
    """The state of a target in addition to its registration.

    Attributes:
        weights: Loaded weights, by model.
        is_excluded: Whether the target gets no new work, because of its weights or its
            health.
        penalty_seconds: Cost of using the target, as an equivalent waiting time.
    """

    weights: Mapping[ModelId, WeightsVersion]
    is_excluded: bool
    penalty_seconds: float


def make_view(
    listed: ListedTarget, condition: TargetCondition, table: RouteTable | None
) -> TargetView:
    """Return the view of a target.

    Args:
        listed: The target as it registered.
        condition: Its state in addition to the registration.
        table: The route table, which defines the properties of its group; None before
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
        state=_state_of(listed, condition),
        incarnation=listed.start.incarnation,
        weights_version=WeightsVersion(",".join(sorted(condition.weights.values()))),
        concurrency_limit=listed.slots,
        cache_tokens=0 if engine is None else engine.kv_tokens,
        penalty_seconds=condition.penalty_seconds,
        fetch_token_seconds=fetch_seconds,
        event_tokens=1 if engine is None else engine.event_tokens,
        memory_tokens=0 if engine is None else engine.kv_tokens,
        software_version=listed.software_version,
    )


def _state_of(listed: ListedTarget, condition: TargetCondition) -> TargetState:
    if listed.is_leaving:
        return TargetState.LEAVING
    return TargetState.GONE if condition.is_excluded else TargetState.SERVING
