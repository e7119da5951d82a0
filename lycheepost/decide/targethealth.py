"""Outlier ejection of targets by the results of their requests.

It covers targets that are gone but still listed, that pass health checks but fail part
of their requests, and that accept requests but never respond. These cause refused
connections, a failure rate far above that of the group's other targets, and timeouts.
Such a target is ejected for a time that doubles with each ejection, after which real
requests test it again. Targets are compared with the others of their group, so a
service that fails everywhere loses none of its targets, and at most half of a group is
ejected for failed requests. Targets with a rate limit cannot take over the work of
others, so they do not count for that half.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.core.ids import TargetId

HALF_LIFE_SECONDS = 3.0
"""Half-life of the counts. They then cover a few tens of requests per target, and a
recovered target is trusted again within ten seconds."""

MIN_EJECTION_SECONDS = 0.5
"""A restarted process takes about a second; a target whose listen queue was full for a
moment must not be ejected for longer than this."""

MAX_EJECTION_SECONDS = 4.0
"""Each test of a dead target costs one request a connection attempt."""

MIN_BAD_RESULTS = 2.0
"""A single failure may be random: targets usually fail a few requests in a hundred."""

MIN_BAD_SHARE = 0.3
"""Failure rate above which a target is ejected."""

MIN_PEER_RATIO = 2.5
"""Factor by which its failure rate must also exceed that of the other targets."""


class Ending(Enum):
    """Result of a request with regard to its target's health."""

    GOOD = "good"
    BAD = "bad"
    """The target failed, refused, broke off or did not respond."""
    UNREACHABLE = "unreachable"
    """The target accepted no connection."""


@dataclass(slots=True)
class _Record:
    good: float = 0.0
    bad: float = 0.0
    updated_seconds: float = 0.0
    ejected_until_seconds: float = float("-inf")
    ejection_seconds: float = 0.0
    is_unreachable: bool = False

    def decay(self, now_seconds: float) -> None:
        share = 0.5 ** ((now_seconds - self.updated_seconds) / HALF_LIFE_SECONDS)
        self.good *= share
        self.bad *= share
        self.updated_seconds = now_seconds

    @property
    def bad_share(self) -> float:
        return self.bad / max(self.good + self.bad, 1e-9)


@dataclass(slots=True)
class TargetHealth:
    """Request results and ejections of the targets of one group."""

    _records: dict[TargetId, _Record] = field(default_factory=dict)

    def observe(self, target: TargetId, ending: Ending, now_seconds: float) -> bool:
        """Count one result; return whether the target is ejected now."""
        record = self._records.setdefault(target, _Record(updated_seconds=now_seconds))
        record.decay(now_seconds)
        match ending:
            case Ending.GOOD:
                record.good += 1.0
                record.is_unreachable = False
                if record.bad < MIN_BAD_RESULTS / 2:
                    record.ejection_seconds = 0.0
                return False
            case Ending.BAD:
                record.bad += 1.0
                if not self._is_bad(target, record):
                    return False
            case Ending.UNREACHABLE:
                record.is_unreachable = True
        self._eject(record, now_seconds)
        return True

    def _is_bad(self, target: TargetId, record: _Record) -> bool:
        if record.bad < MIN_BAD_RESULTS or record.bad_share < MIN_BAD_SHARE:
            return False
        others = [item for name, item in self._records.items() if name != target]
        bad = sum(item.bad for item in others)
        total = bad + sum(item.good for item in others)
        return record.bad_share > MIN_PEER_RATIO * bad / max(total, 1.0)

    def _eject(self, record: _Record, now_seconds: float) -> None:
        if now_seconds < record.ejected_until_seconds:
            return
        doubled = 2.0 * record.ejection_seconds
        ejection_seconds = min(max(MIN_EJECTION_SECONDS, doubled), MAX_EJECTION_SECONDS)
        record.ejection_seconds = ejection_seconds
        record.ejected_until_seconds = now_seconds + ejection_seconds
        # The first requests after the ejection decide whether it is ejected again.
        record.bad /= 2.0

    def next_change_seconds(self, now_seconds: float) -> float:
        """Return when the next ejection ends; infinite if no target is ejected."""
        ends = (record.ejected_until_seconds for record in self._records.values())
        return min((at for at in ends if at > now_seconds), default=float("inf"))

    def has_ejections(self, now_seconds: float) -> bool:
        """Return whether the ejection of any target has not ended."""
        return self.next_change_seconds(now_seconds) < float("inf")

    def ejected(
        self,
        targets: Iterable[TargetId],
        now_seconds: float,
        limited: Container[TargetId] = (),
    ) -> frozenset[TargetId]:
        """Return those of ``targets`` that are ejected now.

        Args:
            targets: The targets of the group.
            now_seconds: The current time.
            limited: Targets with a rate limit.
        """
        names = tuple(targets)
        found = [name for name in names if self._is_ejected(name, now_seconds)]
        unreachable = [name for name in found if self._records[name].is_unreachable]
        if len(unreachable) == len(names):
            # This daemon's own network link may be down, so ejecting all is pointless.
            return frozenset()
        n_found = sum(name not in limited for name in found)
        n_unlimited = sum(name not in limited for name in names)
        if 2 * len(found) > len(names) or 2 * n_found > n_unlimited:
            return frozenset(unreachable)
        return frozenset(found)

    def _is_ejected(self, target: TargetId, now_seconds: float) -> bool:
        record = self._records.get(target)
        return record is not None and now_seconds < record.ejected_until_seconds

    def forget_one(self, target: TargetId) -> None:
        """Drop a restarted target, whose results belong to its previous start."""
        self._records.pop(target, None)

    def forget(self, kept: Iterable[TargetId]) -> None:
        """Drop all targets except ``kept``."""
        names = set(kept)
        for target in [name for name in self._records if name not in names]:
            del self._records[target]
