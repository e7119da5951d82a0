"""Records that enter and leave the capacity decisions."""

from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.core.ids import ModelId, TargetId, WeightsVersion
from lycheepost.generated.configuration import (
    CapacityStepState,
    Configuration,
    Model,
    Target,
)
from lycheepost.generated.engine import EngineHealth, EngineHealthState

SERVING_SHARES = (0.1, 0.25, 0.5, 1.0)
"""Shares of normal traffic that a warming target passes through. An engine comes
back with an empty cache; all its traffic at once would be recomputed prefixes,
and its callers would wait behind them."""
FULL_SHARE = 1.0
FAILED_TARGETS_LIMIT = 2
"""One failed target may be a bad machine; two of one intent point at the weights
or the role, and going on would take target after target out of service."""

ACTIVE_STEPS = frozenset(
    {
        CapacityStepState.DRAINING,
        CapacityStepState.LOADING,
        CapacityStepState.WARMING,
    }
)
"""States in which a target is in the midst of a step."""


@dataclass(frozen=True, slots=True)
class Observed:
    """What the daemon that holds the duty knows of one target now.

    Attributes:
        is_serving: No sign of the target is worse than serving.
        is_gone: The platform lists its VM no more, so it can load nothing.
        health: Its answer this time; None when it was not asked or is silent.
        n_running: Requests it runs; None when unknown.
        load_wall_seconds: When ``n_running`` was measured.
        wrong_seconds: Time since it was first seen with other weights than the
            configuration says, and not with the right ones since.
    """

    is_serving: bool
    is_gone: bool = False
    health: EngineHealth | None = None
    n_running: int | None = None
    load_wall_seconds: float = 0.0
    wrong_seconds: float = 0.0

    @property
    def is_lost(self) -> bool:
        """Return whether the target surely runs no more.

        A listing may be partial: a target that answers is there all the same.
        """
        return self.is_gone and self.health is None

    @property
    def is_loading(self) -> bool:
        """Return whether the target itself says that it loads weights."""
        return (
            self.health is not None and self.health.state is EngineHealthState.LOADING
        )


UNSEEN = Observed(is_serving=False)
"""A target of which nothing is known counts as neither serving nor gone."""

Observations = Mapping[TargetId, Observed]


@dataclass(frozen=True, slots=True)
class CapacityTiming:
    """Times that the decisions keep; see ``OperatorSettings``."""

    drain_settle_seconds: float = 5.0
    load_timeout_seconds: float = 1800.0
    warm_step_seconds: float = 15.0
    repair_after_seconds: float = 10.0
    """A target reported with other weights for this long is loaded again; shorter
    sightings are reports that lag behind a change."""
    keep_ended_seconds: float = 86_400.0
    """Ended intents stay in the configuration for a day, for operators to read."""


@dataclass(frozen=True, slots=True)
class OrderAction:
    """Tell a target its desired end state; repeated until it has come there."""

    target: TargetId
    order_id: str
    desired_version: int
    state: EngineHealthState
    model: str = ""
    weights_version: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class WarmAction:
    """Import kept KV into a target that is about to take traffic."""

    target: TargetId
    model: ModelId
    weights_version: WeightsVersion


CapacityAction = OrderAction | WarmAction


@dataclass(frozen=True, slots=True)
class CapacityDecision:
    """What to do now.

    Attributes:
        configuration: The next revision to commit on the given one; None when
            nothing is to be recorded.
        actions: What to send now. They follow only from what is recorded
            already, so a crash after a send leaves nothing unknown.
    """

    configuration: Configuration | None
    actions: tuple[CapacityAction, ...]


def held_version(target: Target, model: Model | None) -> str:
    """Return the weights that the configuration says ``target`` holds."""
    if target.weights_version or model is None:
        return target.weights_version
    return model.weights_version


def accepted_versions(model: Model) -> frozenset[str]:
    """Return the weights that requests for ``model`` may be served with."""
    return frozenset({model.weights_version, model.next_weights_version}) - {""}


def newest_version(model: Model) -> str:
    """Return the weights that a target should load now."""
    return model.next_weights_version or model.weights_version
