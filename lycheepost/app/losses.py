"""Shares with the fleet which requests and prompt parts were on lost targets.

Requests that crash their targets may come through any daemon. Each daemon reports every
loss, every quarantine, every trial and what clears a suspect to the others, so that a
further loss is recognised at whichever daemon it occurs. A daemon that starts, or is
reached again, is told all that is in force.
"""

import asyncio
from collections.abc import Callable

import structlog

from lycheepost.app.rowrecorder import RowRecorder
from lycheepost.app.ticker import Ticker
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    BodyFingerprint,
    DaemonId,
    PromptPartKey,
    RunKey,
    StartKey,
    TargetId,
)
from lycheepost.decide.lossrecord import (
    LossRecord,
    apply_record,
    is_verdict,
    make_record,
)
from lycheepost.decide.partlosses import LostRun
from lycheepost.decide.parttrials import TrialNotice
from lycheepost.decide.quarantine import LossReport, SuspectNotice
from lycheepost.decide.suspicion import SuspicionNews
from lycheepost.generated.messages import (
    LostPromptRun,
    PeerHello,
    PromptPartsDigest,
    PromptPartsLost,
    PromptPartsWritten,
    PromptPartTrial,
    QuarantineNotice,
    SuspectPlaced,
    WrittenPromptPart,
)
from lycheepost.peers.exchange import PeerExchange
from lycheepost.utils.metrics import Metrics

BATCH_SECONDS = 0.01
"""Lost runs and cleared parts within this time are told in one message: a lost target
ends tens of runs at once."""

DIGEST_SECONDS = 1.0
"""Interval of digests to the peers while any lost run counts. Messages may be lost, and
daemons may be out of each other's reach for a time."""

MAX_TOLD_RUNS = 200
"""Lost runs in one message; more are told in several."""

_log = structlog.get_logger(part="losses")


class LossExchange:
    """Exchanges losses and quarantines with the peers.

    Args:
        dispatcher: Counts the losses.
        exchange: The links to the peers.
        clock: The clock that the scheduler uses.
        metrics: Receives the gauges.
        call_later: Calls a function after ``BATCH_SECONDS``.
        recorder: Records verdicts for the next start of all daemons; None for none.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        exchange: PeerExchange,
        clock: Clock,
        metrics: Metrics,
        call_later: Callable[[Callable[[], None]], object] | None = None,
        recorder: RowRecorder[LossRecord] | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        self._metrics = metrics
        self._call_later = call_later or _call_after_batch
        self._recorder = recorder
        self._is_recording = False
        self._has_verdicts = False
        if recorder is not None:
            recorder.subscribe(self._take_recorded)
        self._runs: list[LostRun] = []
        self._written: dict[PromptPartKey, float] = {}
        self._ticker = Ticker(self._tick, DIGEST_SECONDS)
        exchange.subscribe(PeerHello, self._receive_hello)
        exchange.subscribe(QuarantineNotice, self._receive_loss)
        exchange.subscribe(SuspectPlaced, self._receive_suspect)
        exchange.subscribe(PromptPartsLost, self._receive_runs)
        exchange.subscribe(PromptPartsDigest, self._receive_digest)
        exchange.subscribe(PromptPartsWritten, self._receive_written)
        exchange.subscribe(PromptPartTrial, self._receive_trial)
        dispatcher.on_suspicion(self._publish)
        dispatcher.on_suspect(self._publish_suspect)

    async def start(self) -> None:
        """Start sending digests."""
        await self._ticker.start()

    async def drain(self) -> None:
        """Do nothing: requests are sent to targets until the end of the drain."""

    async def stop(self) -> None:
        """Stop sending digests."""
        await self._ticker.stop()

    def _tick(self) -> None:
        self._set_gauges()
        self._record()
        digest = self._dispatcher.suspicion.parts.digest()
        if digest:
            peers = self._exchange.linked_daemons()
            self._exchange.send_to_each(peers, PromptPartsDigest(digest=digest))

    def _set_gauges(self) -> None:
        blames = self._dispatcher.suspicion.parts.judgement.parts.values()
        n_blamed = sum(blame.is_blamed for blame in blames)
        self._metrics.gauge("prompt_parts_blamed", n_blamed)
        self._metrics.gauge("prompt_parts_suspected", len(blames) - n_blamed)

    def _receive_digest(self, message: PromptPartsDigest, sender: DaemonId) -> None:
        own = self._dispatcher.suspicion.parts.digest()
        if own == message.digest:
            return
        if not own:
            # The digest of a daemon that knows of no run asks for those of the other.
            self._exchange.send(sender, PromptPartsDigest(digest=own))
            return
        runs = list(self._dispatcher.suspicion.parts.runs)
        for reply in _to_messages(runs, self._clock.now_seconds()):
            self._exchange.send(sender, reply)

    def _publish(self, news: SuspicionNews) -> None:
        now_seconds = self._clock.now_seconds()
        self._record_if_new(news)
        for loss in news.losses:
            self._exchange.broadcast(_to_notice(loss, now_seconds))
        for trial in news.trials:
            self._exchange.broadcast(_to_trial(trial))
        if not (news.runs or news.written):
            return
        if not (self._runs or self._written):
            self._call_later(self._publish_batch)
        self._runs.extend(news.runs)
        self._written.update(news.written)

    def _record_if_new(self, news: SuspicionNews) -> None:
        """Record all verdicts if this daemon has come to one, or has cleared a part."""
        if self._recorder is None:
            return
        is_cleared = self._has_verdicts and bool(news.written)
        if is_cleared or is_verdict(news, self._dispatcher.suspicion):
            self._is_recording = True
            self._record()

    def _record(self) -> None:
        """Keep the record up to date, once this daemon has written it."""
        suspicion = self._dispatcher.suspicion
        record = make_record(suspicion, self._clock.now_seconds())
        self._has_verdicts = bool(record)
        if self._recorder is not None and self._is_recording:
            self._recorder.record(record)

    def _take_recorded(self, record: LossRecord) -> None:
        """Take the verdicts that were recorded before the start."""
        now_seconds = self._clock.now_seconds()
        apply_record(self._dispatcher.suspicion, record, now_seconds)
        if record:
            _log.info(
                "losses: record read",
                n_quarantines=len(record.quarantines),
                n_runs=len(record.runs),
            )

    def _publish_batch(self) -> None:
        now_seconds = self._clock.now_seconds()
        runs, self._runs = self._runs, []
        written, self._written = self._written, {}
        for message in _to_messages(runs, now_seconds):
            self._exchange.broadcast(message)
        if written:
            parts = [
                WrittenPromptPart(part=part, written_ago_seconds=now_seconds - seconds)
                for part, seconds in written.items()
            ]
            self._exchange.broadcast(PromptPartsWritten(parts=parts))

    def _receive_hello(self, _message: PeerHello, sender: DaemonId) -> None:
        """Tell a peer with a new link all that is in force."""
        now_seconds = self._clock.now_seconds()
        news = self._dispatcher.suspicion.all_news(now_seconds)
        for loss in news.losses:
            self._exchange.send(sender, _to_notice(loss, now_seconds))
        for message in _to_messages(list(news.runs), now_seconds):
            self._exchange.send(sender, message)

    def _receive_loss(self, notice: QuarantineNotice, _sender: DaemonId) -> None:
        # The delivery of a notice takes some milliseconds. The pause before a retry is
        # longer, so one loss is still distinguished from the next.
        now_seconds = self._clock.now_seconds()
        if notice.is_quarantined and notice.for_seconds <= 0:
            return
        loss = LossReport(
            BodyFingerprint(notice.fingerprint),
            now_seconds - notice.started_ago_seconds,
            now_seconds - notice.lost_ago_seconds,
            now_seconds + notice.for_seconds,
            notice.is_quarantined,
            tuple(map(StartKey, notice.starts)),
        )
        self._dispatcher.suspicion.note_peer_loss(loss)

    def _receive_runs(self, message: PromptPartsLost, _sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        for item in message.runs:
            run = LostRun(
                RunKey(item.run_id),
                StartKey(item.start),
                frozenset(map(PromptPartKey, item.parts)),
                now_seconds - item.started_ago_seconds,
                now_seconds - item.lost_ago_seconds,
            )
            self._dispatcher.suspicion.note_peer_run(run)
        self._publish_answer()

    def _publish_answer(self) -> None:
        """Tell what was written on since the runs that a peer has lost were sent."""
        news = self._dispatcher.suspicion.take_news()
        if news is not None:
            self._publish(news)

    def _receive_written(self, message: PromptPartsWritten, _sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        for item in message.parts:
            self._dispatcher.suspicion.note_peer_written(
                PromptPartKey(item.part), now_seconds - item.written_ago_seconds
            )

    def _receive_trial(self, message: PromptPartTrial, _sender: DaemonId) -> None:
        notice = TrialNotice(
            frozenset(map(PromptPartKey, message.parts)),
            message.ticket,
            message.for_seconds,
            None if message.target is None else TargetId(message.target),
        )
        now_seconds = self._clock.now_seconds()
        self._dispatcher.suspicion.note_peer_trial(notice, now_seconds)

    def _publish_suspect(self, notice: SuspectNotice) -> None:
        message = SuspectPlaced(target=notice.target, for_seconds=notice.for_seconds)
        self._exchange.broadcast(message)

    def _receive_suspect(self, message: SuspectPlaced, sender: DaemonId) -> None:
        notice = SuspectNotice(TargetId(message.target), message.for_seconds)
        self._dispatcher.note_peer_suspect(notice, sender)


def _to_notice(loss: LossReport, now_seconds: float) -> QuarantineNotice:
    return QuarantineNotice(
        fingerprint=loss.fingerprint,
        for_seconds=loss.until_seconds - now_seconds,
        is_quarantined=loss.is_quarantined,
        started_ago_seconds=now_seconds - loss.started_seconds,
        lost_ago_seconds=now_seconds - loss.lost_seconds,
        starts=list(loss.starts),
    )


def _to_messages(runs: list[LostRun], now_seconds: float) -> list[PromptPartsLost]:
    return [
        PromptPartsLost(
            runs=[
                LostPromptRun(
                    run_id=run.run_id,
                    start=run.start,
                    parts=sorted(run.parts),
                    started_ago_seconds=now_seconds - run.started_seconds,
                    lost_ago_seconds=now_seconds - run.lost_seconds,
                )
                for run in runs[start : start + MAX_TOLD_RUNS]
            ]
        )
        for start in range(0, len(runs), MAX_TOLD_RUNS)
    ]


def _to_trial(trial: TrialNotice) -> PromptPartTrial:
    return PromptPartTrial(
        parts=sorted(trial.parts),
        ticket=trial.ticket,
        for_seconds=trial.for_seconds,
        target=trial.target,
    )


def _call_after_batch(call: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_later(BATCH_SECONDS, call)
