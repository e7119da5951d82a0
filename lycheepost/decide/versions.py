"""Chooses the weights version that serves a request.

During a rollout some targets of a model hold the current version and some the next. A
request must run on one version from its fingerprint to its last token: cached blocks,
continuation on another target, and the engine's check that its weights are the
requested ones depend on it. Requests are split by a stable key, in proportion to the
capacity of the targets of each version, so that requests that share a prefix stay
together on warm caches while the split follows the rollout.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import ModelId, TargetGroupId, WeightsVersion
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.generated.configuration import Model

_KEY_BYTES = 8
_KEYS = 2**64
_TAKING_WORK = (TargetState.SERVING, TargetState.WARMING)


@dataclass(frozen=True)
class VersionSplit:
    """The two versions of a model during a rollout.

    Attributes:
        next_share: Share of the requests for ``next_version``, 0 to 1.
    """

    current_version: WeightsVersion
    next_version: WeightsVersion
    next_share: float


class VersionChooser:
    """Versions by model; created by ``make_version_chooser``."""

    def __init__(
        self,
        versions: dict[ModelId, WeightsVersion],
        splits: dict[ModelId, VersionSplit],
    ) -> None:
        self._versions = versions
        self._splits = splits

    def choose(self, model: ModelId, key: int) -> WeightsVersion:
        """Return the version for a request.

        Args:
            model: A model of the revision.
            key: The same for requests that share a prefix, such as the hash of
                the customer and the outermost message.
        """
        split = self._splits.get(model)
        if split is None:
            return self._versions[model]
        data = (key % _KEYS).to_bytes(_KEY_BYTES, "big")
        point = hash_bytes(data) / _KEYS
        return split.next_version if point < split.next_share else split.current_version


def make_version_chooser(
    models: Iterable[Model], targets: Iterable[TargetView]
) -> VersionChooser:
    """Return the chooser for the current targets.

    Args:
        models: The models in force.
        targets: The scheduler's targets. Those that take no new work do not count
            towards their version's capacity, since a target's reported version may be a
            second old just after it loaded weights.
    """
    capacity: dict[tuple[TargetGroupId, str], float] = {}
    for target in targets:
        if target.state in _TAKING_WORK:
            key = (target.target_group, str(target.weights_version))
            share = target.concurrency_limit * target.serving_share
            capacity[key] = capacity.get(key, 0.0) + share
    models = tuple(models)
    versions = {
        ModelId(model.model): WeightsVersion(model.weights_version) for model in models
    }
    splits = {
        ModelId(model.model): _make_split(model, capacity)
        for model in models
        if model.next_weights_version
    }
    return VersionChooser(versions, splits)


def _make_split(
    model: Model, capacity: dict[tuple[TargetGroupId, str], float]
) -> VersionSplit:
    group = TargetGroupId(model.target_group)
    next_capacity = capacity.get((group, model.next_weights_version), 0.0)
    current_capacity = capacity.get((group, model.weights_version), 0.0)
    total = current_capacity + next_capacity
    return VersionSplit(
        current_version=WeightsVersion(model.weights_version),
        next_version=WeightsVersion(model.next_weights_version),
        next_share=next_capacity / total if total else 0.0,
    )
