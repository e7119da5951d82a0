"""The recorded state of each target, and the scheduler's views built from it.

The views are built several times per second, while most targets don't change for
minutes. A view is kept until one of the values that it was built from changes.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lycheepost.core.ids import AvailabilityZone, ModelId, WeightsVersion
from lycheepost.core.routing import ListedTarget, RouteTable
from lycheepost.decide.records import TargetView
from lycheepost.state.namedweights import NamedWeights, weights_number
from lycheepost.state.targetviews import TargetCondition, make_view

CROSS_ZONE_PENALTY_SECONDS = 0.004
"""Cost of a target in another availability zone: one round trip for the connection and
one for the request, whose traffic is also billed."""

NO_ZONE = AvailabilityZone("")

_Versions = tuple[tuple[ModelId, WeightsVersion], ...]


@dataclass(frozen=True, slots=True)
class _BuiltView:
    """A view, and the values that it was built from."""

    view: TargetView
    listed: ListedTarget
    table: RouteTable | None
    condition: TargetCondition

    def is_of(
        self, listed: ListedTarget, table: RouteTable | None, condition: TargetCondition
    ) -> bool:
        # Records are replaced, never changed, so that identity is sufficient.
        return (
            self.listed is listed
            and self.table is table
            and self.condition.weights is condition.weights
            and self.condition.is_excluded == condition.is_excluded
            and self.condition.penalty_seconds == condition.penalty_seconds
        )


@dataclass(slots=True)
class TargetRecord:
    """The recorded state of one target.

    Attributes:
        listed: The target as it registered.
        weights: Last known weights, by model; replaced when they change.
        removed_seconds: When its removal takes effect; None while it is registered.
        weights_changed_seconds: When ``weights`` last changed.
        changing_until_seconds: When a weights change in progress ends at the latest.
    """

    listed: ListedTarget
    weights: Mapping[ModelId, WeightsVersion]
    removed_seconds: float | None = None
    weights_changed_seconds: float = float("-inf")
    changing_until_seconds: float = float("-inf")
    _built: _BuiltView | None = field(default=None, init=False, repr=False)

    def view(self, table: RouteTable | None, condition: TargetCondition) -> TargetView:
        """Return the view for this condition."""
        built = self._built
        if built is None or not built.is_of(self.listed, table, condition):
            view = make_view(self.listed, condition, table)
            built = self._built = _BuiltView(view, self.listed, table, condition)
        return built.view


@dataclass(frozen=True, slots=True)
class _WeightsState:
    is_outdated: bool
    penalty_seconds: float


class ViewBuilder:
    """Builds the views of all targets at one time.

    Targets of one group mostly hold the same weights, which are checked once.

    Args:
        named_weights: The weights versions that operators named.
        table: The route table; None before the first one.
        availability_zone: Zone of this daemon; empty to treat all zones alike.
        prefers_new_weights: Whether older weights than the named ones have a cost.
        now_seconds: The time that the views are valid for.
    """

    def __init__(
        self,
        named_weights: NamedWeights,
        table: RouteTable | None,
        availability_zone: AvailabilityZone,
        prefers_new_weights: bool,
        now_seconds: float,
    ) -> None:
        self._named_weights = named_weights
        self._table = table
        self._availability_zone = availability_zone
        self._prefers_new_weights = prefers_new_weights
        self._now_seconds = now_seconds
        self._states: dict[_Versions, _WeightsState] = {}

    def build(self, record: TargetRecord, is_ejected: bool) -> TargetView:
        """Return the view of one target."""
        state = self._weights_state(record.weights)
        is_changing = self._now_seconds < record.changing_until_seconds
        condition = TargetCondition(
            weights=record.weights,
            is_excluded=is_ejected or is_changing or state.is_outdated,
            penalty_seconds=self._zone_penalty_seconds(record) + state.penalty_seconds,
        )
        return record.view(self._table, condition)

    def newest_weights(self) -> dict[ModelId, WeightsVersion]:
        """Return the newest weights of each model among the targets built so far."""
        newest: dict[ModelId, WeightsVersion] = {}
        for versions in self._states:
            for model, version in versions:
                if weights_number(version) > weights_number(newest.get(model)):
                    newest[model] = version
        return newest

    def _weights_state(
        self, weights: Mapping[ModelId, WeightsVersion]
    ) -> _WeightsState:
        versions = tuple(weights.items())
        state = self._states.get(versions)
        if state is None:
            state = self._states[versions] = _WeightsState(
                self._named_weights.is_outdated(weights, self._now_seconds),
                self._weights_penalty_seconds(weights),
            )
        return state

    def _weights_penalty_seconds(
        self, weights: Mapping[ModelId, WeightsVersion]
    ) -> float:
        if not self._prefers_new_weights:
            return 0.0
        return self._named_weights.penalty_seconds(weights, self._now_seconds)

    def _zone_penalty_seconds(self, record: TargetRecord) -> float:
        is_near = record.listed.availability_zone == self._availability_zone
        if is_near or not self._availability_zone:
            return 0.0
        return CROSS_ZONE_PENALTY_SECONDS
