"""Which requests and parts of prompts are suspected of crashing targets, and why."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PromptPartKey, RequestId, RunKey, StartKey, TargetId
from lycheepost.decide.load import InFlight
from lycheepost.decide.partlosses import LostRun, PartLosses
from lycheepost.decide.parttrials import PartTrials, TrialNotice
from lycheepost.decide.quarantine import LossReport, Quarantine
from lycheepost.decide.records import FinishKind, Work


@dataclass(frozen=True, slots=True)
class SuspicionNews:
    """What the peers are to be told.

    Attributes:
        losses: Losses that count against whole requests.
        runs: Lost runs that count against parts of prompts.
        written: When suspected parts were written on, so that they are cleared.
        trials: Trials of suspected parts that begin or end.
    """

    losses: tuple[LossReport, ...] = ()
    runs: tuple[LostRun, ...] = ()
    written: Mapping[PromptPartKey, float] = field(default_factory=dict)
    trials: tuple[TrialNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended.

    Attributes:
        start: The start of its target.
        sent_seconds: When it was sent.
        has_written: Whether its target had completed the first part of the answer.
    """

    work: Work
    start: StartKey
    sent_seconds: float
    has_written: bool


class Suspicion:
    """Evidence against whole requests and against parts of their prompts.

    Args:
        wholes: Losses counted by whole request.
        parts: Losses counted by part.
        trials: Which suspected parts are being tried.

    Attributes:
        wholes: The same.
        parts: The same.
    """

    def __init__(
        self, wholes: Quarantine, parts: PartLosses, trials: PartTrials
    ) -> None:
        self.wholes = wholes
        self.parts = parts
        self._trials = trials
        self._losses: list[LossReport] = []
        self._runs: list[LostRun] = []
        self._written: dict[PromptPartKey, float] = {}

    def is_suspect(self, work: Work, now_seconds: float) -> bool:
        """Return whether a request, or a part of its prompt, is suspected."""
        return bool(self.parts.suspected(work.parts)) or self.wholes.is_suspect(
            work.fingerprint, now_seconds
        )

    def refused_seconds(self, work: Work, now_seconds: float) -> float:
        """Return for how long a request is refused; 0 if it is not."""
        return max(
            self.wholes.remaining_seconds(work.fingerprint, now_seconds),
            self.parts.refused_seconds(work.parts, now_seconds),
        )

    def may_send(self, work: Work, now_seconds: float) -> bool:
        """Return whether a suspect may be sent now, as far as its parts go."""
        suspected = self.parts.suspected(work.parts)
        if not suspected:
            return True
        return self._trials.may_send(work.request, suspected, now_seconds)

    def trial_targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets at which suspected parts are being tried."""
        return self._trials.targets(now_seconds)

    def note_sent(self, work: Work, target: TargetId, now_seconds: float) -> None:
        """Record that a suspect was sent."""
        self._trials.note_sent(work.request, target, now_seconds)

    def note_lost(self, run: EndedRun, now_seconds: float) -> None:
        """Count the loss of a target that ran a request."""
        work, sent_seconds = run.work, run.sent_seconds
        self._trials.end(work.request)
        loss = self.wholes.note_loss(
            work.fingerprint, sent_seconds, now_seconds, run.start
        )
        if loss is not None:
            self._losses.append(loss)
        if not work.parts or run.has_written:
            return
        counted = self._add_run(
            LostRun(
                run_key(work.request, run.start),
                run.start,
                work.parts,
                sent_seconds,
                now_seconds,
            )
        )
        if counted is not None:
            self._runs.append(counted)

    def note_written(self, entry: InFlight, now_seconds: float) -> None:
        """Record that a target has completed the first part of an answer."""
        self._trials.end(entry.work.request)
        for part in self.parts.note_written(entry.work.parts, now_seconds):
            self._written[part] = now_seconds

    def note_ended(
        self, request: RequestId, entry: InFlight | None, kind: FinishKind
    ) -> None:
        """Record the end of an attempt."""
        if entry is not None and kind is FinishKind.COMPLETE:
            self.wholes.clear(entry.work.fingerprint)
        # Whether the target of a cancelled attempt was lost may still be found out.
        if kind not in (FinishKind.CANCELLED, FinishKind.LOSS_UNKNOWN):
            self._trials.end(request)

    def note_withdrawn(self, request: RequestId) -> None:
        """Record that a request does not wait any more."""
        self._trials.end(request)

    def note_peer_loss(self, loss: LossReport) -> None:
        """Count a loss, or a quarantine, of a whole request that a peer reports."""
        if loss.is_quarantined:
            self.wholes.add(loss.fingerprint, loss.until_seconds, loss.starts)
            return
        for start in loss.starts[-1:]:
            self.wholes.note_loss(
                loss.fingerprint, loss.started_seconds, loss.lost_seconds, start
            )

    def note_peer_run(self, run: LostRun) -> None:
        """Count a lost run that a peer reports; tell it what was written on since."""
        self._add_run(run)
        for part in run.parts:
            written_seconds = self.parts.written_seconds(part)
            if written_seconds >= run.started_seconds:
                self._written[part] = written_seconds

    def note_peer_written(self, part: PromptPartKey, written_seconds: float) -> None:
        """Clear a part that a target has written on, as a peer reports."""
        self.parts.note_written((part,), written_seconds)

    def note_peer_trial(self, notice: TrialNotice, now_seconds: float) -> None:
        """Apply the notice of a peer's trial."""
        self._trials.note_peer(notice, now_seconds)

    def _add_run(self, run: LostRun) -> LostRun | None:
        counted = self.parts.note_lost(run)
        if counted is not None:
            self.wholes.explain(self.parts.judgement.explained)
        return counted

    def all_news(self, now_seconds: float) -> SuspicionNews:
        """Return all that is in force, for a peer that may not know it."""
        return SuspicionNews(
            losses=self.wholes.in_force(now_seconds), runs=self.parts.runs
        )

    def take_news(self) -> SuspicionNews | None:
        """Return what is new since the last call; None if nothing is."""
        trials = self._trials.take_news()
        if not (self._losses or self._runs or self._written or trials):
            return None
        news = SuspicionNews(
            tuple(self._losses), tuple(self._runs), dict(self._written), tuple(trials)
        )
        self._losses.clear()
        self._runs.clear()
        self._written.clear()
        return news


def run_key(request: RequestId, start: StartKey) -> RunKey:
    """Return the key of one run of one request."""
    return RunKey(hash_bytes(f"{request} {start}".encode()))


def make_suspicion(
    losses: int, quarantine_seconds: float, trials: PartTrials
) -> Suspicion:
    """Return the suspicion of a daemon that has seen no loss.

    Args:
        losses: Losses after which a whole request is quarantined.
        quarantine_seconds: Length of a quarantine.
        trials: Which suspected parts are being tried.
    """
    return Suspicion(
        Quarantine(losses, quarantine_seconds), PartLosses(quarantine_seconds), trials
    )
