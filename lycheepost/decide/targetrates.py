"""Rates of single targets whose speed differs within their group.

The group's measured rates describe its usual target. For each target the ratio of its
first-token times to the predictions from those rates is averaged over many more
requests than for ``decide.slow``, which detects sudden changes. The prior is the usual
speed that the target states, or else that of its group. The ratios are used only while
they differ by more than the errors of the measurement: in an even group those errors
would move work away from the targets that cache its prefix.

Pure logic.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from lycheepost.decide.partcondition import PartCondition

MAX_OBSERVED_RATIO = 3.0
"""Bounds the influence of one response that hung; what is slower than this for long is
left to ``decide.slow``."""

GROUP_OBSERVATIONS = 12.0
"""Weight of the group's rates as the prior, in observations."""

STATED_OBSERVATIONS = 12.0
"""Weight of a stated speed as the prior, in observations. Part of a first-token time
doesn't depend on the speed, so that observations soon outweigh it."""

STATED_EVIDENCE = 120.0
"""Weight of a stated speed as evidence that targets differ, in observations."""

INITIAL_VARIANCE = 0.36
"""Variance of the logarithm of one observation, until measured."""

MEMORY_OBSERVATIONS = 60.0
"""Observations that the average remembers, so that it follows a lasting change."""

MIN_OBSERVATIONS = 12.0
"""Observations, also of the prior, from which a target counts for the condition."""

ENTER_FACTOR = 1.5
LEAVE_FACTOR = 1.25
"""Ratio of the slowest quarter to the fastest from which the ratios are used, and below
which they no longer are. At less than 1.5 a prediction without them errs by no more
than a quarter."""

ENTER_NOISE_FACTOR = 2.5
LEAVE_NOISE_FACTOR = 1.5
"""The same as multiples of the difference that errors of the measurement cause. They
come in episodes: while a hot prefix keeps a target busy, all errors there are alike."""

QUARTERS_APART = 2.54
"""Distance of the means of the outer quarters of a normal distribution, in standard
deviations."""

UPDATE_SECONDS = 1.0
"""Interval between two decisions on whether the ratios are used."""

HALF_LIFE_SECONDS = 30.0
"""Time in which observations lose half of their weight. A target that gets no work
because it was slow is thus tried again within a minute or two."""


@dataclass(slots=True)
class DurationRatio:
    """Averaged logarithm of one target's observed over predicted durations.

    Attributes:
        n_observations: Number of observations remembered.
        sum_log: Sum of their logarithms.
        sum_square: Sum of the squares of their logarithms.
        stated_log: Logarithm of the ratio that the target states; None for no
            statement.
    """

    n_observations: float = 0.0
    sum_log: float = 0.0
    sum_square: float = 0.0
    stated_log: float | None = None

    def observe(self, ratio: float) -> None:
        """Update the average by one request."""
        ratio = min(MAX_OBSERVED_RATIO, max(1.0 / MAX_OBSERVED_RATIO, ratio))
        log_ratio = math.log(ratio)
        keep = 1.0
        if self.n_observations >= MEMORY_OBSERVATIONS:
            keep = 1.0 - 1.0 / MEMORY_OBSERVATIONS
        self.n_observations = self.n_observations * keep + 1.0
        self.sum_log = self.sum_log * keep + log_ratio
        self.sum_square = self.sum_square * keep + log_ratio * log_ratio

    def fade(self, share: float) -> None:
        """Reduce the weight of the observations to ``share``."""
        self.n_observations *= share
        self.sum_log *= share
        self.sum_square *= share

    def variance_sum(self) -> float:
        """Return the sum of the squared deviations from the average."""
        if not self.n_observations:
            return 0.0
        return self.sum_square - self.sum_log * self.sum_log / self.n_observations

    def evidence(self, stated_weight: float) -> "Evidence":
        """Return the average of the observations and of the stated ratio.

        Args:
            stated_weight: Weight of the stated ratio, in observations.
        """
        n_observations, sum_log = self.n_observations, self.sum_log
        if self.stated_log is not None:
            n_observations += stated_weight
            sum_log += stated_weight * self.stated_log
        return Evidence(n_observations, sum_log / max(1e-9, n_observations))

    def value(self) -> float:
        """Return the ratio, drawn towards the prior by few observations."""
        evidence = self.evidence(STATED_OBSERVATIONS)
        n_observations = evidence.n_observations
        if self.stated_log is None:
            n_observations += GROUP_OBSERVATIONS
        share = evidence.n_observations / n_observations
        return math.exp(evidence.mean_log * share)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one target's ratio.

    Attributes:
        n_observations: How many observations it is worth.
        mean_log: Their average, as a logarithm.
    """

    n_observations: float
    mean_log: float


@dataclass(frozen=True, slots=True)
class Unevenness:
    """How much the targets of a group differ in speed.

    Attributes:
        n_targets: Targets with enough observations.
        factor: Durations of the slowest quarter over those of the fastest.
        noise_factor: The factor that errors of the measurement alone would cause.
    """

    n_targets: int
    factor: float
    noise_factor: float


def measure_unevenness(ratios: Sequence[DurationRatio]) -> Unevenness:
    """Compare the slowest quarter of the targets with the fastest."""
    known = [
        evidence
        for evidence in (item.evidence(STATED_EVIDENCE) for item in ratios)
        if evidence.n_observations >= MIN_OBSERVATIONS
    ]
    if len(known) < 2:
        return Unevenness(len(known), 1.0, 1.0)
    logs = sorted(item.mean_log for item in known)
    n_outer = max(1, len(logs) // 4)
    gap = _mean(logs[-n_outer:]) - _mean(logs[:n_outer])
    mean_error = _mean([1.0 / item.n_observations for item in known])
    error = math.sqrt(_variance(ratios) * mean_error)
    return Unevenness(len(known), math.exp(gap), math.exp(QUARTERS_APART * error))


def _variance(ratios: Sequence[DurationRatio]) -> float:
    """Return the variance of one observation's logarithm within the targets."""
    n_observations = sum(item.n_observations for item in ratios)
    total = sum(item.variance_sum() for item in ratios)
    total += INITIAL_VARIANCE * GROUP_OBSERVATIONS
    return max(0.0, total) / (n_observations + GROUP_OBSERVATIONS)


def needs_target_rates(uneven: Unevenness, is_in_use: bool) -> PartCondition:
    """Return whether a group needs rates of each target.

    Args:
        uneven: The measured differences.
        is_in_use: Whether such rates are in use; they then stay until the differences
            have become clearly smaller.
    """
    factor, noise_multiple = (
        (LEAVE_FACTOR, LEAVE_NOISE_FACTOR)
        if is_in_use
        else (ENTER_FACTOR, ENTER_NOISE_FACTOR)
    )
    limit = max(factor, uneven.noise_factor**noise_multiple)
    is_met = uneven.n_targets > 1 and uneven.factor > limit
    return PartCondition(
        is_met,
        f"slowest quarter of {uneven.n_targets} targets takes {uneven.factor:.2f} "
        f"times as long as the fastest, limit {limit:.2f}",
    )


class TargetRates:
    """Decides for one group whether the ratios of its targets are used.

    Args:
        is_enabled: False if the mechanism is switched off.
    """

    def __init__(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._updated_seconds = float("-inf")
        self.uneven = Unevenness(0, 1.0, 1.0)
        self.condition = PartCondition(
            False, "not measured" if is_enabled else "switched off"
        )

    def is_due(self, now_seconds: float) -> bool:
        """Return whether it is time to decide again."""
        return (
            self._is_enabled and now_seconds - self._updated_seconds >= UPDATE_SECONDS
        )

    def update(self, ratios: Sequence[DurationRatio], now_seconds: float) -> None:
        """Fade the targets' ratios, and decide whether they are used."""
        elapsed_seconds = min(now_seconds - self._updated_seconds, HALF_LIFE_SECONDS)
        self._updated_seconds = now_seconds
        for item in ratios:
            item.fade(0.5 ** (elapsed_seconds / HALF_LIFE_SECONDS))
        self.uneven = measure_unevenness(ratios)
        self.condition = needs_target_rates(self.uneven, self.condition.is_met)

    def ratio(self, ratio: DurationRatio) -> float:
        """Return the ratio to use for a target: its own, or that of its group."""
        return ratio.value() if self.condition.is_met else 1.0


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
