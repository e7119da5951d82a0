"""The weights that operators named, and until when older ones may be served.

Pure logic: every method takes ``now_seconds`` or a time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

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

_log = structlog.get_logger(part="targets")


@dataclass(frozen=True, slots=True)
class _Wanted:
    """The newest weights of a model, and until when older ones may be served.

    Attributes:
        is_guessed: The time is the guess of a daemon that has just started.
    """

    version: int
    named_seconds: float
    old_until_seconds: float
    is_guessed: bool


@dataclass(slots=True)
class WantedWeights:
    """What is wanted of each model."""

    _wanted: dict[ModelId, _Wanted] = field(default_factory=dict)
    _told_until: dict[ModelId, float] = field(default_factory=dict)

    def want(
        self,
        model: ModelId,
        version: int,
        named_seconds: float | None,
        held: Iterable[int],
        bound_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Take the newest version that an operator named; return whether it is new.

        Args:
            model: The model.
            version: Place of the version among those of its model.
            named_seconds: It was named at this time or later; None when it was
                found at the start and nothing is known.
            held: Versions that targets hold now.
            bound_seconds: How long after the naming older ones may be served.
            now_seconds: The present time.
        """
        before = self._wanted.get(model)
        if before is not None and version <= before.version:
            return False
        until_seconds = now_seconds + START_SECONDS
        if named_seconds is not None:
            until_seconds = named_seconds + bound_seconds
        is_guessed = named_seconds is None
        if before is not None and _is_due_earlier(before, held, until_seconds):
            # Who is behind by two versions was due for the first one.
            until_seconds = before.old_until_seconds
            is_guessed = before.is_guessed
        known_seconds = now_seconds if named_seconds is None else named_seconds
        self._wanted[model] = _Wanted(version, known_seconds, until_seconds, is_guessed)
        self._correct_guess(model)
        return True

    def note_told(self, model: ModelId, until_seconds: float) -> None:
        """Take from a peer until when older weights of a model may be served.

        The failure: a daemon starts while weights are being changed. It cannot know
        when they were named, and would soon refuse requests that its peers serve.
        """
        self._told_until[model] = until_seconds
        self._correct_guess(model)

    def _correct_guess(self, model: ModelId) -> None:
        wanted, told_seconds = self._wanted.get(model), self._told_until.get(model)
        if wanted is None or told_seconds is None or not wanted.is_guessed:
            return
        _log.info(
            "targets: told until when older weights serve",
            model=model,
            version=wanted.version,
            later_seconds=round(told_seconds - wanted.old_until_seconds, 3),
        )
        self._wanted[model] = replace(
            wanted, old_until_seconds=told_seconds, is_guessed=False
        )

    def due_seconds(self, now_seconds: float) -> dict[ModelId, float]:
        """Return how long older weights may be served, where that is no guess."""
        return {
            model: wanted.old_until_seconds - now_seconds
            for model, wanted in self._wanted.items()
            if not wanted.is_guessed
        }

    def is_outdated(
        self, weights: Mapping[ModelId, WeightsVersion], now_seconds: float
    ) -> bool:
        """Tell whether a target's weights may no longer be served."""
        return any(
            now_seconds >= wanted.old_until_seconds for wanted in self._behind(weights)
        )

    def penalty_seconds(
        self, weights: Mapping[ModelId, WeightsVersion], now_seconds: float
    ) -> float:
        """Return what answers made with a target's weights are worth less."""
        is_old = any(
            now_seconds >= wanted.named_seconds + OLD_FREE_SECONDS
            for wanted in self._behind(weights)
        )
        return OLD_WEIGHTS_SECONDS if is_old else 0.0

    def _behind(self, weights: Mapping[ModelId, WeightsVersion]) -> list[_Wanted]:
        """Return what is wanted of the models that are older than that."""
        return [
            wanted
            for model, version in weights.items()
            if (wanted := self._wanted.get(model)) is not None
            and weights_number(version) < wanted.version
        ]


def _is_due_earlier(before: _Wanted, held: Iterable[int], until_seconds: float) -> bool:
    is_behind = any(number < before.version for number in held)
    return is_behind and before.old_until_seconds < until_seconds


def weights_number(version: WeightsVersion | None) -> int:
    """Return the place of a version among the versions of its model; 0 for none."""
    return int(version) if version else 0
