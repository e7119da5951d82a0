"""Blames lost targets on single parts of prompts.

A part of a prompt may crash each target that begins to write an answer on it, in
requests that have nothing else in common. A run that was on a target when it was lost,
and had written nothing, speaks against each of its shared parts. A run that wrote
clears its parts, on whichever target and through whichever daemon. What is left over is
suspected, tried one request at a time (``decide.parttrials``), and after a few losses
one after the other refused by all daemons.

Several parts may always be lost together, or have been on the same lost targets. They
are then refused only together, so that requests with one of them can still clear it, or
show that it is the cause. A part that is blamed by itself explains the losses of the
targets that it ran on: other parts and requests there are not blamed.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PromptPartKey, RunKey, StartKey

LOSSES_TO_BLAME = 3
"""Losses one after the other after which a part is refused. Two may be a coincidence:
another part that is not suspected yet, or a failing rack, may hit the target of a
trial."""

MAX_LOST_RUNS = 512
"""Lost runs that are kept; a judgement of them takes some milliseconds."""

MAX_WRITTEN_PARTS = 20_000
"""Parts whose last answer is remembered: more than a daemon sees in some minutes."""


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that had written nothing when its target was lost.

    Attributes:
        run_id: Identifies it over all daemons.
        start: The start of the target.
        parts: The shared parts of its prompt that may be the cause.
        started_seconds: When it was sent.
        lost_seconds: When the loss of its target was detected.
    """

    run_id: RunKey
    start: StartKey
    parts: frozenset[PromptPartKey]
    started_seconds: float
    lost_seconds: float


@dataclass(frozen=True, slots=True)
class PartBlame:
    """What speaks against one part.

    Attributes:
        n_losses: Lost targets; a run sent before the loss before counts with it.
        lost_seconds: When the last of them was detected.
        always_with: Itself and the parts that may as well be the cause: those that all
            its lost runs have, or that were on all its lost targets.
    """

    n_losses: int
    lost_seconds: float
    always_with: frozenset[PromptPartKey]

    @property
    def is_blamed(self) -> bool:
        """Return whether requests with these parts are refused."""
        return self.n_losses >= LOSSES_TO_BLAME


@dataclass(frozen=True, slots=True)
class Judgement:
    """What the lost runs say.

    Attributes:
        parts: The suspected and the blamed parts.
        explained: Starts of targets that were lost to a part blamed by itself.
    """

    parts: Mapping[PromptPartKey, PartBlame] = field(default_factory=dict)
    explained: frozenset[StartKey] = frozenset()


def judge(runs: Iterable[LostRun]) -> Judgement:
    """Return which parts the lost runs speak against.

    A part that is blamed by itself stays the cause of its losses, whatever comes later:
    a sound part that comes with it, and then with another such part, has more losses.

    Args:
        runs: Lost runs in the order of their losses, without cleared parts.
    """
    evidence = _Evidence()
    left: list[LostRun] = []
    explained: set[StartKey] = set()
    causes: set[PromptPartKey] = set()
    for lost in _by_start(runs):
        parts = frozenset[PromptPartKey]().union(*(run.parts for run in lost))
        if parts & causes:
            explained.add(lost[0].start)
        kept = _without_explained(lost, causes, explained)
        left += kept
        evidence.add_all(kept)
        cause = evidence.next_cause(parts - causes)
        if cause is None:
            continue
        causes.add(cause)
        explained.update(item.start for item in left if cause in item.parts)
        left = _without_explained(left, causes, explained)
        evidence = _Evidence()
        evidence.add_all(left)
    return Judgement(evidence.judge_blames(causes), frozenset(explained))


def _by_start(runs: Iterable[LostRun]) -> list[list[LostRun]]:
    """Return the runs of each lost target, in the order of their losses.

    All of them are looked at before a part is blamed: each may be the cause.
    """
    found: dict[StartKey, list[LostRun]] = {}
    for run in runs:
        found.setdefault(run.start, []).append(run)
    return list(found.values())


def _without_explained(
    runs: list[LostRun], causes: set[PromptPartKey], explained: set[StartKey]
) -> list[LostRun]:
    """Return the runs with what explained losses say of other parts left out."""
    kept = []
    for run in runs:
        if run.start in explained:
            run = replace(run, parts=run.parts & causes)
        if run.parts:
            kept.append(run)
    return kept


class _Evidence:
    """What lost runs say of each part, as far as they were added."""

    def __init__(self) -> None:
        self._blames: dict[PromptPartKey, PartBlame] = {}
        self._starts: dict[PromptPartKey, set[StartKey]] = {}

    def add_all(self, runs: Iterable[LostRun]) -> None:
        """Add runs, in the order of their losses."""
        for run in runs:
            for part in run.parts:
                self._add(part, run)

    def _add(self, part: PromptPartKey, run: LostRun) -> None:
        blame = self._blames.get(part)
        starts = self._starts.setdefault(part, set())
        is_new = run.start not in starts
        starts.add(run.start)
        if blame is None:
            self._blames[part] = PartBlame(1, run.lost_seconds, run.parts)
            return
        # Runs that were lost at about the same time, as when a rack fails, are one
        # loss: a popular part would have been on all of its targets.
        is_next = is_new and run.started_seconds > blame.lost_seconds
        self._blames[part] = PartBlame(
            blame.n_losses + is_next,
            run.lost_seconds if is_next else blame.lost_seconds,
            blame.always_with & run.parts,
        )

    def next_cause(self, parts: Iterable[PromptPartKey]) -> PromptPartKey | None:
        """Return the one of the parts that is blamed by itself with most losses."""
        alone = [
            (self._blames[part].n_losses, part)
            for part in parts
            if part in self._blames and self._is_alone(part)
        ]
        return max(alone)[1] if alone else None

    def judge_blames(
        self, causes: Collection[PromptPartKey]
    ) -> dict[PromptPartKey, PartBlame]:
        """Return what speaks against each part.

        Args:
            causes: Parts that are blamed by themselves already.
        """
        return {
            part: blame
            if part in causes or not blame.is_blamed
            else replace(blame, always_with=blame.always_with | self._rivals(part))
            for part, blame in self._blames.items()
        }

    def _is_alone(self, part: PromptPartKey) -> bool:
        blame = self._blames[part]
        is_single = blame.is_blamed and len(blame.always_with) == 1
        return is_single and not self._rivals(part)

    def _rivals(self, part: PromptPartKey) -> frozenset[PromptPartKey]:
        """Return the other parts that were on all lost targets of a part."""
        starts = self._starts[part]
        return frozenset(
            other
            for other, other_starts in self._starts.items()
            if other != part and starts <= other_starts
        )


class PartLosses:
    """The lost runs that are known, of all daemons, and what they say.

    Args:
        quarantine_seconds: How long a blamed part is refused. Then one request with it
            is tried.

    Attributes:
        n_judged: How often the lost runs were judged.
    """

    def __init__(self, quarantine_seconds: float) -> None:
        self.n_judged = 0
        self._quarantine_seconds = quarantine_seconds
        self._runs: list[LostRun] = []
        self._written: dict[PromptPartKey, float] = {}
        self._judgement: Judgement | None = Judgement()
        self._digest: int | None = 0
        self._has_changed = False

    @property
    def runs(self) -> tuple[LostRun, ...]:
        """Return the lost runs, in the order of their losses."""
        return tuple(self._runs)

    @property
    def judgement(self) -> Judgement:
        """Return what the lost runs say."""
        if self._judgement is None:
            self.n_judged += 1
            self._judgement = judge(self._runs)
        return self._judgement

    def take_changed(self) -> bool:
        """Return whether the lost runs have changed since the last call."""
        has_changed = self._has_changed
        self._has_changed = False
        return has_changed

    def note_lost(self, run: LostRun) -> LostRun | None:
        """Add a lost run, detected here or by a peer.

        Returns:
            The run without the parts that have been written on since it was sent; None
            if none is left or it is known.
        """
        parts = frozenset(part for part in run.parts if not self.is_cleared(part, run))
        run = replace(run, parts=parts)
        for index, known in enumerate(self._runs):
            if known.run_id == run.run_id:
                self._merge(index, parts)
                return None
        if not parts:
            return None
        self._runs.append(run)
        self._runs.sort(key=lambda item: item.lost_seconds)
        self._note_changed()
        self._drop_old(run.lost_seconds)
        return run

    def _merge(self, index: int, parts: frozenset[PromptPartKey]) -> None:
        """Drop the parts of a known run that another daemon knows to be cleared."""
        known = self._runs[index]
        if known.parts <= parts:
            return
        self._runs[index] = replace(known, parts=known.parts & parts)
        self._runs = [run for run in self._runs if run.parts]
        self._note_changed()

    def digest(self) -> int:
        """Return a digest of the lost runs, in any order; 0 for none."""
        if self._digest is None:
            self._digest = 0
            for run in self._runs:
                self._digest ^= hash_bytes(f"{run.run_id} {sorted(run.parts)}".encode())
        return self._digest

    def is_cleared(self, part: PromptPartKey, run: LostRun) -> bool:
        """Return whether a part has been written on since a run was sent."""
        return self.written_seconds(part) >= run.started_seconds

    def written_seconds(self, part: PromptPartKey) -> float:
        """Return when a part was last written on; minus infinity for never."""
        return self._written.get(part, -math.inf)

    def note_written(
        self, parts: Iterable[PromptPartKey], written_seconds: float
    ) -> frozenset[PromptPartKey]:
        """Clear the parts of a run that has begun to write, here or through a peer.

        Returns:
            The parts of them that were suspected.
        """
        suspected: set[PromptPartKey] = set()
        written = self._written
        for part in parts:
            written[part] = max(written_seconds, written.pop(part, -math.inf))
            if self._runs and part in self.judgement.parts:
                suspected.add(part)
        while len(written) > MAX_WRITTEN_PARTS:
            del written[next(iter(written))]
        if suspected:
            self._clear()
        return frozenset(suspected)

    def _clear(self) -> None:
        runs = (
            replace(
                run,
                parts=frozenset(
                    part for part in run.parts if not self.is_cleared(part, run)
                ),
            )
            for run in self._runs
        )
        self._runs = [run for run in runs if run.parts]
        self._note_changed()

    def _note_changed(self) -> None:
        self._judgement = None
        self._digest = None
        self._has_changed = True

    def _drop_old(self, now_seconds: float) -> None:
        """Drop what is older than a quarantine and its trial, and keep the number low.

        Runs that speak against a blamed part are kept longest: without them it would
        have to crash targets again.
        """
        oldest_seconds = now_seconds - 2.0 * self._quarantine_seconds
        self._runs = [run for run in self._runs if run.lost_seconds >= oldest_seconds]
        if len(self._runs) <= MAX_LOST_RUNS:
            return
        parts = self.judgement.parts
        self._runs.sort(
            key=lambda run: (
                any(part in parts and parts[part].is_blamed for part in run.parts),
                run.lost_seconds,
            )
        )
        del self._runs[: len(self._runs) - MAX_LOST_RUNS]
        self._runs.sort(key=lambda run: run.lost_seconds)
        self._note_changed()

    def suspected(self, parts: frozenset[PromptPartKey]) -> frozenset[PromptPartKey]:
        """Return those of the parts that are suspected or blamed."""
        if not self._runs or not parts:
            return frozenset()
        return parts & self.judgement.parts.keys()

    def refused_seconds(
        self, parts: frozenset[PromptPartKey], now_seconds: float
    ) -> float:
        """Return for how long a request with these parts is refused; 0 if it is not."""
        longest_seconds = 0.0
        for part in self.suspected(parts):
            blame = self.judgement.parts[part]
            if blame.is_blamed and blame.always_with <= parts:
                until_seconds = blame.lost_seconds + self._quarantine_seconds
                longest_seconds = max(longest_seconds, until_seconds - now_seconds)
        return longest_seconds

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return the suspected and the blamed parts for the status page."""
        return {
            f"{part:016x}": {
                "n_losses": blame.n_losses,
                "lost_ago_seconds": round(now_seconds - blame.lost_seconds, 3),
                "always_with": sorted(f"{name:016x}" for name in blame.always_with),
                "is_blamed": blame.is_blamed,
            }
            for part, blame in self.judgement.parts.items()
        }
