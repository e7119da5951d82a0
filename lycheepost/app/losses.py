"""Share with the fleet which requests were running on lost targets.

A request that kills its target comes back through any daemon. Each daemon tells
the others at once of every loss, so that the second one is recognised wherever it
happens, of every quarantine, and of where a suspect is being tried.
"""

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import BodyFingerprint, DaemonId, TargetId
from lycheepost.decide.quarantine import LossReport
from lycheepost.generated.messages import QuarantineNotice, SuspectPlaced
from lycheepost.peers.exchange import PeerExchange


class LossExchange:
    """Connects a daemon's quarantine with the peers; it has no task of its own."""

    def __init__(
        self, dispatcher: Dispatcher, exchange: PeerExchange, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        exchange.subscribe(QuarantineNotice, self._take_loss)
        exchange.subscribe(SuspectPlaced, self._take_suspect)
        dispatcher.on_loss(self._tell_loss)
        dispatcher.on_suspect(self._tell_suspect)

    def _tell_loss(self, loss: LossReport) -> None:
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

    def _take_loss(self, notice: QuarantineNotice, _sender: DaemonId) -> None:
        fingerprint = BodyFingerprint(notice.fingerprint)
        if notice.is_quarantined:
            if notice.for_seconds > 0:
                self._dispatcher.quarantine(fingerprint, notice.for_seconds)
            return
        # A notice takes some milliseconds; a loss is told apart from the next by the
        # pause before a retry, which is longer.
        now_seconds = self._clock.now_seconds()
        self._dispatcher.note_loss(
            fingerprint,
            now_seconds - notice.started_ago_seconds,
            now_seconds - notice.lost_ago_seconds,
        )

    def _tell_suspect(self, target: TargetId) -> None:
        self._exchange.broadcast(SuspectPlaced(target=target))

    def _take_suspect(self, notice: SuspectPlaced, _sender: DaemonId) -> None:
        self._dispatcher.note_peer_suspect(TargetId(notice.target))
