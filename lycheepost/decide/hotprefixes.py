"""Counts the prefixes that most requests of one daemon share.

A starting target is warmed with the stored blocks of these prefixes before it takes
traffic. Only a bounded number of prefixes is counted, by the space-saving algorithm: a
new prefix replaces the rarest one and takes over its count. So memory does not grow
with the prefixes of 990 customers. Counts are halved periodically, so that prefixes
that are no longer hot are replaced.
"""

from dataclasses import dataclass

from lycheepost.core.ids import ModelId, PrefixDigest, WeightsVersion
from lycheepost.decide.records import PrefixLevel

MAX_PREFIXES = 512
"""About 100 KB. A target is warmed with a few dozen; the others keep the counts of
those accurate."""
_HALVE_AFTER_REQUESTS = 20_000
"""Requests; a little over three minutes at 100 per second."""


@dataclass(frozen=True, slots=True)
class HotPrefix:
    """One shared prefix.

    Attributes:
        cache_salt: Separates customers' blocks on engines.
    """

    model: ModelId
    weights_version: WeightsVersion
    cache_salt: str
    digest: PrefixDigest


class HotPrefixes:
    """Counts shared prefixes; the last level of a prompt is not shared."""

    def __init__(self) -> None:
        self._counts: dict[HotPrefix, int] = {}
        self._n_noted = 0

    def note(
        self,
        model: ModelId,
        weights_version: WeightsVersion,
        cache_salt: str,
        levels: tuple[PrefixLevel, ...],
    ) -> None:
        """Count all levels of one request but the last."""
        for level in levels[:-1]:
            prefix = HotPrefix(model, weights_version, cache_salt, level.digest)
            self._count(prefix)
        self._n_noted += 1
        if self._n_noted >= _HALVE_AFTER_REQUESTS:
            self._halve()

    def top(
        self, model: ModelId, weights_version: WeightsVersion, n: int
    ) -> list[HotPrefix]:
        """Return the hottest prefixes of one weights version, the hottest first."""
        counted = [
            (count, prefix)
            for prefix, count in self._counts.items()
            if (prefix.model, prefix.weights_version) == (model, weights_version)
        ]
        counted.sort(key=lambda item: item[0], reverse=True)
        return [prefix for _, prefix in counted[:n]]

    def _count(self, prefix: HotPrefix) -> None:
        if prefix in self._counts:
            self._counts[prefix] += 1
            return
        inherited = 0
        if len(self._counts) >= MAX_PREFIXES:
            rarest = min(self._counts, key=self._counts.__getitem__)
            inherited = self._counts.pop(rarest)
        self._counts[prefix] = inherited + 1

    def _halve(self) -> None:
        self._n_noted = 0
        self._counts = {
            prefix: count // 2 for prefix, count in self._counts.items() if count > 1
        }
