"""Choose the weights version of each request by the targets that serve now."""

from dataclasses import dataclass, field

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import CustomerId, ModelId, WeightsVersion
from lycheepost.decide.records import TargetView
from lycheepost.decide.versions import VersionChooser, make_version_chooser
from lycheepost.generated.configuration import Model
from lycheepost.state.view import ConfigurationView

_KEY_PREFIX_BYTES = 4096
"""Bytes of the first segment that are hashed: enough to distinguish tenants and
templates, few enough for a negligible cost."""


@dataclass
class RequestVersions:
    """Chooses versions.

    The targets of each version are counted when targets change, not per request.
    """

    _chooser: VersionChooser = field(default_factory=lambda: VersionChooser({}, {}))

    def replace(self, view: ConfigurationView, targets: tuple[TargetView, ...]) -> None:
        """Replace the targets that versions are chosen by."""
        self._chooser = make_version_chooser(view.models.values(), targets)

    def choose(
        self, model: Model, customer: CustomerId, segments: tuple[bytes, ...]
    ) -> WeightsVersion:
        """Return the weights version to serve a request with."""
        if not model.next_weights_version:
            return WeightsVersion(model.weights_version)
        first_segment = segments[0][:_KEY_PREFIX_BYTES] if segments else b""
        key = hash_bytes(first_segment, hash_bytes(customer.encode()))
        return self._chooser.choose(ModelId(model.model), key)
