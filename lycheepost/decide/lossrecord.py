"""What a start of all daemons must still know of requests that crash targets."""

from dataclasses import dataclass, replace

from lycheepost.core.ids import BodyFingerprint, PromptPartKey, StartKey
from lycheepost.decide.partlosses import LostRun
from lycheepost.decide.quarantine import LossReport
from lycheepost.decide.suspicion import Suspicion, SuspicionNews

MAX_RECORDED_RUNS = 128
"""Newest lost runs that are recorded, so that a row stays below 64 KiB. Three of them
blame a part."""

MAX_RECORDED_QUARANTINES = 128
"""Quarantines that are recorded, those that end last, for the same reason."""


@dataclass(frozen=True, slots=True)
class RecordedQuarantine:
    """A quarantined request.

    Attributes:
        until_seconds: When the quarantine ends.
        starts: The starts of the targets whose losses count.
    """

    fingerprint: BodyFingerprint
    until_seconds: float
    starts: tuple[StartKey, ...] = ()


@dataclass(frozen=True, slots=True)
class LossRecord:
    """Quarantines in force, and the lost runs that speak against blamed parts.

    Suspects are left out: their next run may clear them.
    """

    quarantines: tuple[RecordedQuarantine, ...] = ()
    runs: tuple[LostRun, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything is recorded."""
        return bool(self.quarantines or self.runs)


def is_verdict(news: SuspicionNews, suspicion: Suspicion) -> bool:
    """Return whether news hold a quarantine, or a loss of a blamed part."""
    if any(loss.is_quarantined for loss in news.losses):
        return True
    blamed = _blamed(suspicion) if news.runs else frozenset()
    return any(run.parts & blamed for run in news.runs)


def make_record(suspicion: Suspicion, now_seconds: float) -> LossRecord:
    """Return the record of all that is known now."""
    quarantines = tuple(
        RecordedQuarantine(loss.fingerprint, loss.until_seconds, loss.starts)
        for loss in sorted(
            suspicion.wholes.in_force(now_seconds), key=lambda loss: loss.until_seconds
        )[-MAX_RECORDED_QUARANTINES:]
    )
    blamed = _blamed(suspicion)
    runs = tuple(
        replace(run, parts=run.parts & blamed)
        for run in suspicion.parts.runs
        if run.parts & blamed
    )
    return LossRecord(quarantines, runs[-MAX_RECORDED_RUNS:])


def apply_record(suspicion: Suspicion, record: LossRecord, now_seconds: float) -> None:
    """Take what was recorded before a start."""
    for run in record.runs:
        suspicion.note_peer_run(run)
    for item in record.quarantines:
        suspicion.note_peer_loss(
            LossReport(
                item.fingerprint,
                now_seconds,
                now_seconds,
                item.until_seconds,
                True,
                item.starts,
            )
        )


def _blamed(suspicion: Suspicion) -> frozenset[PromptPartKey]:
    blames = suspicion.parts.judgement.parts
    return frozenset(part for part, blame in blames.items() if blame.is_blamed)
