"""The weights that operators named, and until when older ones may be served.

Each named version has a time of its own. What a target holds is due with the first
version above it: one that lags behind by two is due earlier than the others, and
does not make them due.

Pure logic: every method takes ``now_seconds`` or a time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import structlog

from lycheepost.core.ids import ModelId, WeightsVersion

OLD_WEIGHTS_MARGIN_SECONDS = 1.5
"""How long before old weights may no longer be served they get no new requests: one
that waits in a target's queue begins that much later."""

OLD_FREE_SECONDS = 1.2
"""So soon after new weights were named, an answer with older ones is as good."""

OLD_WEIGHTS_SECONDS = 0.15
"""Later it is worth a fifth less to its caller: as much as the risk of missing the
objective of half a second by a wait of so much longer."""

START_SECONDS = 2.5
"""How long a daemon that has just started serves weights that it finds outdated. It
cannot know when the newer ones were named."""

KEPT_VERSIONS = 16
"""Versions of a model that are remembered; a target that is further behind is due with
the first of these."""

_log = structlog.get_logger(part="targets")


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model, and until when older ones may be served.

    Attributes:
        version: Its place among the versions of its model.
        named_seconds: It was named then, as far as known.
        old_until_seconds: Older ones may be served until then.
        is_guessed: The time is the guess of a daemon that has just started.
    """

    version: int
    named_seconds: float
    old_until_seconds: float
    is_guessed: bool = False


@dataclass(slots=True)
class WantedWeights:
    """What was named for each model, the oldest version first."""

    _named: dict[ModelId, tuple[NamedVersion, ...]] = field(default_factory=dict)

    def want(
        self,
        model: ModelId,
        version: int,
        named_seconds: float | None,
        bound_seconds: float,
        now_seconds: float,
    ) -> None:
        """Take a version that an operator named; one that is known stays as it is.

        Args:
            model: The model.
            version: Place of the version among those of its model.
            named_seconds: It was named at this time or later; None when it was
                found at the start and nothing is known.
            bound_seconds: How long after the naming older ones may be served.
            now_seconds: The present time.
        """
        if named_seconds is None:
            guess_seconds = now_seconds + START_SECONDS
            named = NamedVersion(version, now_seconds, guess_seconds, is_guessed=True)
        else:
            named = NamedVersion(version, named_seconds, named_seconds + bound_seconds)
        self._add(model, named)

    def note_told(
        self, model: ModelId, version: int, until_seconds: float, now_seconds: float
    ) -> None:
        """Take from a peer until when weights older than a version may be served.

        The failure: a daemon starts while weights are being changed. It cannot know
        when they were named, and would soon refuse requests that its peers serve.
        """
        self._add(model, NamedVersion(version, now_seconds, until_seconds))

    def _add(self, model: ModelId, named: NamedVersion) -> None:
        """Add a version, or put a known time in the place of a guess."""
        known = {item.version: item for item in self._named.get(model, ())}
        before = known.get(named.version)
        if before is not None and (not before.is_guessed or named.is_guessed):
            return
        known[named.version] = named
        ordered = sorted(known.values(), key=lambda item: item.version)
        self._named[model] = tuple(ordered[-KEPT_VERSIONS:])
        _log.info(
            "targets: weights are due",
            model=model,
            version=named.version,
            old_until_seconds=round(named.old_until_seconds, 3),
            is_guessed=named.is_guessed,
        )

    def known(self) -> Mapping[ModelId, tuple[NamedVersion, ...]]:
        """Return the versions whose times are no guess."""
        return {
            model: tuple(item for item in versions if not item.is_guessed)
            for model, versions in self._named.items()
        }

    def is_outdated(
        self, weights: Mapping[ModelId, WeightsVersion], now_seconds: float
    ) -> bool:
        """Tell whether a target's weights may no longer be served."""
        return any(
            now_seconds >= named.old_until_seconds for named in self._above(weights)
        )

    def penalty_seconds(
        self, weights: Mapping[ModelId, WeightsVersion], now_seconds: float
    ) -> float:
        """Return what answers made with a target's weights are worth less."""
        is_old = any(
            now_seconds >= named.named_seconds + OLD_FREE_SECONDS
            for named in self._above(weights)
        )
        return OLD_WEIGHTS_SECONDS if is_old else 0.0

    def _above(self, weights: Mapping[ModelId, WeightsVersion]) -> list[NamedVersion]:
        """Return the first version above each that a target holds."""
        found: list[NamedVersion] = []
        for model, version in weights.items():
            number = weights_number(version)
            versions = self._named.get(model, ())
            first = next((item for item in versions if item.version > number), None)
            if first is not None:
                found.append(first)
        return found


def weights_number(version: WeightsVersion | None) -> int:
    """Return the place of a version among the versions of its model; 0 for none."""
    return int(version) if version else 0
