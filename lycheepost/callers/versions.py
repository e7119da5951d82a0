"""The weights version of each request, by the targets that serve now."""

from dataclasses import dataclass, field

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import CustomerId, ModelId, WeightsVersion
from lycheepost.decide.records import TargetView
from lycheepost.decide.versions import VersionChooser, make_version_chooser
from lycheepost.generated.configuration import Model
from lycheepost.state.view import ConfigurationView

_KEY_PREFIX_BYTES = 4096
"""Of the first segment: enough to tell tenants and templates apart, little enough
to cost nothing."""


@dataclass
class RequestVersions:
    """Chooses versions; counts targets when they change, not per request."""

    _chooser: VersionChooser = field(default_factory=lambda: VersionChooser({}, {}))

    def replace(self, view: ConfigurationView, targets: tuple[TargetView, ...]) -> None:
        """Choose by these targets from now on."""
        self._chooser = make_version_chooser(view.models.values(), targets)

    def choose(
        self, model: Model, customer: CustomerId, segments: tuple[bytes, ...]
    ) -> WeightsVersion:
        """Return the weights that a request is to be served with."""
        if not model.next_weights_version:
            return WeightsVersion(model.weights_version)
        outermost = segments[0][:_KEY_PREFIX_BYTES] if segments else b""
        key = hash_bytes(outermost, hash_bytes(customer.encode()))
        return self._chooser.choose(ModelId(model.model), key)
