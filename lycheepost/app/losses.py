"""Shares with the fleet which requests were running on lost targets.

A request that crashes its target may be retried through any daemon. Each daemon
reports every loss, every quarantine and every target that runs a suspect request to
the others at once, so that the second loss is recognised at whichever daemon it occurs.
"""

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import BodyFingerprint, DaemonId, TargetId
from lycheepost.decide.quarantine import LossReport
from lycheepost.generated.messages import QuarantineNotice, SuspectPlaced
from lycheepost.peers.exchange import PeerExchange


class LossExchange:
    """Exchanges losses and quarantines with the peers, without a task of its own."""

    def __init__(
        self, dispatcher: Dispatcher, exchange: PeerExchange, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        exchange.subscribe(QuarantineNotice, self._receive_loss)
        exchange.subscribe(SuspectPlaced, self._receive_suspect)
        dispatcher.on_loss(self._publish_loss)
        dispatcher.on_suspect(self._publish_suspect)

    def _publish_loss(self, loss: LossReport) -> None:
        now_seconds = self._clock.now_seconds()
        self._exchange.broadcast(
            QuarantineNotice(
                fingerprint=loss.fingerprint,
                for_seconds=loss.until_seconds - now_seconds,
                is_quarantined=loss.is_quarantined,
                started_ago_seconds=now_seconds - loss.started_seconds,
                lost_ago_seconds=now_seconds - loss.lost_seconds,
            )
        )

    def _receive_loss(self, notice: QuarantineNotice, _sender: DaemonId) -> None:
        fingerprint = BodyFingerprint(notice.fingerprint)
        if notice.is_quarantined:
            if notice.for_seconds > 0:
                self._dispatcher.quarantine(fingerprint, notice.for_seconds)
            return
        # The delivery of a notice takes some milliseconds. The pause before a retry is
        # longer, so one loss is still distinguished from the next.
        now_seconds = self._clock.now_seconds()
        self._dispatcher.note_loss(
            fingerprint,
            now_seconds - notice.started_ago_seconds,
            now_seconds - notice.lost_ago_seconds,
        )

    def _publish_suspect(self, target: TargetId) -> None:
        self._exchange.broadcast(SuspectPlaced(target=target))

    def _receive_suspect(self, notice: SuspectPlaced, _sender: DaemonId) -> None:
        self._dispatcher.note_peer_suspect(TargetId(notice.target))
