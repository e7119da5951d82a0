"""Input and output records of the capacity decisions."""

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
"""Successive shares of normal traffic for a warming target. An engine restarts with an
empty cache; with its full traffic at once, recomputing prefixes would delay its
callers."""
FULL_SHARE = 1.0
FAILED_TARGETS_LIMIT = 2
"""One failed target may be a faulty machine. Two failed targets of one intent indicate
a fault in the weights or the role, and continuing would take more targets out of
service."""

ACTIVE_STEPS = frozenset(
    {
        CapacityStepState.DRAINING,
        CapacityStepState.LOADING,
        CapacityStepState.WARMING,
    }
)
"""States of a step in progress."""


@dataclass(frozen=True, slots=True)
class Observed:
    """What the holder of the duty knows about one target now.

    Attributes:
        is_serving: No signal about the target is worse than serving.
        is_gone: The platform no longer lists its VM, so it cannot be loading.
        health: Its current response; None if it was not asked or did not respond.
        n_running: Number of requests it runs; None if unknown.
        load_wall_seconds: When ``n_running`` was measured.
        wrong_seconds: Time since it was first seen with weights other than configured,
            without having been seen with the right ones since.
    """

    is_serving: bool
    is_gone: bool = False
    health: EngineHealth | None = None
    n_running: int | None = None
    load_wall_seconds: float = 0.0
    wrong_seconds: float = 0.0

    @property
    def is_lost(self) -> bool:
        """Return whether the target certainly no longer runs.

        A listing may be incomplete: a target that responds still exists.
        """
        return self.is_gone and self.health is None

    @property
    def is_loading(self) -> bool:
        """Return whether the target reports that it is loading weights."""
        return (
            self.health is not None and self.health.state is EngineHealthState.LOADING
        )


UNSEEN = Observed(is_serving=False)
"""A target without observations counts as neither serving nor gone."""

Observations = Mapping[TargetId, Observed]


@dataclass(frozen=True, slots=True)
class CapacityTiming:
    """Time limits and delays of the decisions; see ``OperatorSettings``."""

    drain_settle_seconds: float = 5.0
    load_timeout_seconds: float = 1800.0
    warm_step_seconds: float = 15.0
    repair_after_seconds: float = 10.0
    """A target that reports other weights for this long is loaded again; shorter
    mismatches are reports that lag behind a change."""
    keep_ended_seconds: float = 86_400.0
    """Ended intents stay in the configuration for a day, for operators to inspect."""


@dataclass(frozen=True, slots=True)
class OrderAction:
    """Send a target its desired end state; repeated until the target reaches it."""

    target: TargetId
    order_id: str
    desired_version: int
    state: EngineHealthState
    model: str = ""
    weights_version: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class WarmAction:
    """Import stored KV into a target that is about to receive traffic."""

    target: TargetId
    model: ModelId
    weights_version: WeightsVersion


CapacityAction = OrderAction | WarmAction


@dataclass(frozen=True, slots=True)
class CapacityDecision:
    """The outcome of one decision.

    Attributes:
        configuration: The next revision to commit; None if nothing changed.
        actions: Actions to send now. They depend only on what is already recorded, so a
            crash after sending leaves no unrecorded effect.
    """

    configuration: Configuration | None
    actions: tuple[CapacityAction, ...]


def held_version(target: Target, model: Model | None) -> str:
    """Return the weights that ``target`` holds according to the configuration."""
    if target.weights_version or model is None:
        return target.weights_version
    return model.weights_version


def accepted_versions(model: Model) -> frozenset[str]:
    """Return the weights that requests for ``model`` may be served with."""
    return frozenset({model.weights_version, model.next_weights_version}) - {""}


def newest_version(model: Model) -> str:
    """Return the weights that a target should load now."""
    return model.next_weights_version or model.weights_version
