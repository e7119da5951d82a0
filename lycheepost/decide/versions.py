"""Choose the weights version that a request is served with.

While a model changes from one version to the next, some of its targets hold the
one and some the other. A request must run on one version from its fingerprint
to its last token: cached blocks, continuation on another target and the check
on the engine all go by it. Requests are split by a stable key in the ratio of
what the targets of each version may take, so that callers who share a prefix
stay together on warm caches while the split moves over with the rollout.
"""

from dataclasses import dataclass

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import ModelId, TargetGroupId, WeightsVersion
from lycheepost.generated.configuration import (
    Configuration,
    Model,
    TargetDesiredState,
)

_KEY_BYTES = 8
_KEYS = 2**64


@dataclass(frozen=True)
class VersionSplit:
    """The two versions of a model in change.

    Attributes:
        following_share: Part of the requests for ``following``, 0 to 1.
    """

    current: WeightsVersion
    following: WeightsVersion
    following_share: float


class VersionChooser:
    """Versions by model for one revision; made by ``make_version_chooser``."""

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
        return split.following if point < split.following_share else split.current


def make_version_chooser(configuration: Configuration) -> VersionChooser:
    """Return the chooser of one revision; make it once when it is adopted."""
    capacity: dict[tuple[TargetGroupId, str], float] = {}
    for target in configuration.targets:
        if target.desired_state is TargetDesiredState.SERVING:
            key = (TargetGroupId(target.target_group), target.weights_version)
            share = target.concurrency_limit * target.serving_share
            capacity[key] = capacity.get(key, 0.0) + share
    versions = {
        ModelId(model.model): WeightsVersion(model.weights_version)
        for model in configuration.models
    }
    splits = {
        ModelId(model.model): _make_split(model, capacity)
        for model in configuration.models
        if model.next_weights_version
    }
    return VersionChooser(versions, splits)


def _make_split(
    model: Model, capacity: dict[tuple[TargetGroupId, str], float]
) -> VersionSplit:
    group = TargetGroupId(model.target_group)
    following = capacity.get((group, model.next_weights_version), 0.0)
    # A target without a version of its own follows the model's current one.
    current = capacity.get((group, model.weights_version), 0.0)
    current += capacity.get((group, ""), 0.0)
    total = current + following
    return VersionSplit(
        current=WeightsVersion(model.weights_version),
        following=WeightsVersion(model.next_weights_version),
        following_share=following / total if total else 0.0,
    )
