"""The weights version of each request, by the configuration in force."""

from dataclasses import dataclass, field

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import CustomerId, ModelId, WeightsVersion
from lycheepost.decide.versions import VersionChooser, make_version_chooser
from lycheepost.generated.configuration import Model
from lycheepost.state.view import ConfigurationView

_KEY_BYTES = 4096
"""Of the first segment: enough to tell tenants and templates apart, little enough
to cost nothing."""


@dataclass
class RequestVersions:
    """Chooses versions; counts a model's targets once per revision."""

    _revision: int = -1
    _chooser: VersionChooser = field(default_factory=lambda: VersionChooser({}, {}))

    def choose(
        self,
        view: ConfigurationView,
        model: Model,
        customer: CustomerId,
        segments: tuple[bytes, ...],
    ) -> WeightsVersion:
        """Return the weights that a request is to be served with."""
        if not model.next_weights_version:
            return WeightsVersion(model.weights_version)
        if self._revision != view.configuration.revision:
            self._chooser = make_version_chooser(view.configuration)
            self._revision = view.configuration.revision
        outermost = segments[0][:_KEY_BYTES] if segments else b""
        key = hash_bytes(outermost, hash_bytes(customer.encode()))
        return self._chooser.choose(ModelId(model.model), key)
