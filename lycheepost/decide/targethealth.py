"""Which targets to leave alone for a moment, told from how their requests end.

The failures: a target that is gone but still listed, one whose health answer is
good while it fails part of its requests, and one that takes requests and says
nothing. They show as connections refused, failures far above those of its peers,
and silence. A target that shows so is left alone for a moment that doubles each
time; then real requests try it again. Targets are compared with their peers, so a
service that fails everywhere loses none of its targets, and at most half of a
group is left alone for what its requests show.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.core.ids import TargetId

HALF_LIFE_SECONDS = 3.0
"""Endings count half after this time: a few tens of requests per target at the
present rates, and a target that recovered is trusted again within ten seconds."""

MIN_EJECTION_SECONDS = 0.5
"""A process that was restarted takes about a second; one whose listener was only
full for a moment must not be lost for longer."""

MAX_EJECTION_SECONDS = 4.0
"""Each try of a dead target costs one request a connection attempt."""

MIN_BAD_RESULTS = 2.0
"""One bad ending may be chance: targets fail a few in a hundred by themselves."""

MIN_BAD_SHARE = 0.3
"""Share of bad endings above which a target is left alone."""

MIN_PEER_RATIO = 2.5
"""How far above its peers' share it must be as well."""


class Ending(Enum):
    """How a request ended at a target, as far as the target's health goes."""

    GOOD = "good"
    BAD = "bad"
    """It failed, refused, broke off or stayed silent."""
    UNREACHABLE = "unreachable"
    """It took no connection."""


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
    """What the endings of requests tell about the targets of one group."""

    _records: dict[TargetId, _Record] = field(default_factory=dict)

    def observe(self, target: TargetId, ending: Ending, now_seconds: float) -> bool:
        """Count one ending; return whether the target is left alone from now on."""
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
        # The next requests after the rest shall judge it anew.
        record.bad /= 2.0

    def ejected(
        self, targets: Iterable[TargetId], now_seconds: float
    ) -> frozenset[TargetId]:
        """Return those of ``targets`` to leave alone now."""
        names = tuple(targets)
        found = [name for name in names if self._is_ejected(name, now_seconds)]
        unreachable = [name for name in found if self._records[name].is_unreachable]
        if len(unreachable) == len(names):
            # Perhaps it is our own link that is down; there is nothing to lose.
            return frozenset()
        if 2 * len(found) > len(names):
            return frozenset(unreachable)
        return frozenset(found)

    def _is_ejected(self, target: TargetId, now_seconds: float) -> bool:
        record = self._records.get(target)
        return record is not None and now_seconds < record.ejected_until_seconds

    def forget_one(self, target: TargetId) -> None:
        """Forget a target: it has started again, and its endings were another's."""
        self._records.pop(target, None)

    def forget(self, kept: Iterable[TargetId]) -> None:
        """Forget all targets but ``kept``."""
        names = set(kept)
        for target in [name for name in self._records if name not in names]:
            del self._records[target]
