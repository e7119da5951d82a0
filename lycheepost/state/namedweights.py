"""The weights versions that operators named, and until when older ones may be served.

Each named version sets its own deadline for older ones. For a target the deadline of
the first version above its own applies: a target two versions behind has an earlier
deadline than the others, without shortening theirs.

Pure logic: every method takes ``now_seconds`` or a time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import structlog

from lycheepost.core.ids import ModelId, WeightsVersion

OLD_WEIGHTS_MARGIN_SECONDS = 1.5
"""Old weights get no new requests this long before their deadline, because a request
may wait that long in a target's queue before it starts."""

OLD_WEIGHTS_GRACE_SECONDS = 1.2
"""Old weights have no penalty for this long after new ones were named."""

OLD_WEIGHTS_PENALTY_SECONDS = 0.15
"""After the grace period a response with old weights is worth a fifth less to the
caller. Waiting this much longer costs the caller as much on average, by the risk of
missing an objective of half a second."""

UNKNOWN_NAMING_GRACE_SECONDS = 2.5
"""How long a newly started daemon serves weights that it finds outdated, as it does not
know when the newer ones were named."""

MAX_VERSIONS = 16
"""Versions kept per model; for a target that is further behind, the deadline of the
first kept one applies."""

_log = structlog.get_logger(part="targets")


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model, and until when older ones may be served.

    Attributes:
        version: Ordinal of the version within its model.
        named_seconds: When the version was named, as far as known.
        old_until_seconds: Deadline for serving older versions.
        is_guessed: Whether the time is an assumption of a newly started daemon.
    """

    version: int
    named_seconds: float
    old_until_seconds: float
    is_guessed: bool = False


@dataclass(slots=True)
class NamedWeights:
    """The named versions of each model, oldest first."""

    _named: dict[ModelId, tuple[NamedVersion, ...]] = field(default_factory=dict)

    def add(
        self,
        model: ModelId,
        version: int,
        named_seconds: float | None,
        bound_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record a version that an operator named; a known one is not changed.

        The store's rows are read again as a whole when their source changes. A version
        that was found at the start is among them, but was not named since.

        Args:
            model: The model.
            version: Ordinal of the version within its model.
            named_seconds: The version was named at this time or later; None if it was
                found at the daemon's start and the time is unknown.
            bound_seconds: How long older versions may be served after the naming.
            now_seconds: The current time.
        """
        if any(item.version == version for item in self._named.get(model, ())):
            return
        if named_seconds is None:
            guess_seconds = now_seconds + UNKNOWN_NAMING_GRACE_SECONDS
            named = NamedVersion(version, now_seconds, guess_seconds, is_guessed=True)
        else:
            named = NamedVersion(version, named_seconds, named_seconds + bound_seconds)
        self._add(model, named)

    def add_reported(
        self, model: ModelId, version: int, until_seconds: float, now_seconds: float
    ) -> None:
        """Record a peer's report of the deadline for weights older than a version.

        A daemon that starts during a weights change does not know when the new version
        was named. Without the report it would refuse requests that its peers serve.
        """
        self._add(model, NamedVersion(version, now_seconds, until_seconds))

    def _add(self, model: ModelId, named: NamedVersion) -> None:
        """Add a version, or replace a guessed time by one that a peer knows."""
        known = {item.version: item for item in self._named.get(model, ())}
        before = known.get(named.version)
        if before is not None and (not before.is_guessed or named.is_guessed):
            return
        known[named.version] = named
        ordered = sorted(known.values(), key=lambda item: item.version)
        self._named[model] = tuple(ordered[-MAX_VERSIONS:])
        _log.info(
            "targets: weights version named",
            model=model,
            version=named.version,
            old_until_seconds=round(named.old_until_seconds, 3),
            is_guessed=named.is_guessed,
        )

    def known(self) -> Mapping[ModelId, tuple[NamedVersion, ...]]:
        """Return the versions whose times are known."""
        return {
            model: tuple(item for item in versions if not item.is_guessed)
            for model, versions in self._named.items()
        }

    def is_outdated(
        self, weights: Mapping[ModelId, WeightsVersion], now_seconds: float
    ) -> bool:
        """Return whether a target's weights may no longer be served."""
        return any(
            now_seconds >= named.old_until_seconds for named in self._above(weights)
        )

    def penalty_seconds(
        self, weights: Mapping[ModelId, WeightsVersion], now_seconds: float
    ) -> float:
        """Return the penalty for a target's weights, as an equivalent waiting time."""
        is_old = any(
            now_seconds >= named.named_seconds + OLD_WEIGHTS_GRACE_SECONDS
            for named in self._above(weights)
        )
        return OLD_WEIGHTS_PENALTY_SECONDS if is_old else 0.0

    def next_change_seconds(self, now_seconds: float) -> float:
        """Return when older weights get a penalty or a deadline passes next."""
        times = (
            at
            for versions in self._named.values()
            for named in versions
            for at in (
                named.named_seconds + OLD_WEIGHTS_GRACE_SECONDS,
                named.old_until_seconds,
            )
        )
        return min((at for at in times if at > now_seconds), default=float("inf"))

    def _above(self, weights: Mapping[ModelId, WeightsVersion]) -> list[NamedVersion]:
        """Return the first named version above each one that a target holds."""
        found: list[NamedVersion] = []
        for model, version in weights.items():
            number = weights_number(version)
            versions = self._named.get(model, ())
            first = next((item for item in versions if item.version > number), None)
            if first is not None:
                found.append(first)
        return found


def weights_number(version: WeightsVersion | None) -> int:
    """Return the ordinal of a version within its model; 0 for none."""
    return int(version) if version else 0
