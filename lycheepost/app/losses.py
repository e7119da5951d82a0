"""Share with the fleet which requests were running on lost targets.

A request that kills its target comes back through any daemon. Each daemon tells
the others of every loss, so that the second one is recognised wherever it
happens, and of every quarantine.
"""

import asyncio

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import BodyFingerprint, DaemonId, TargetId
from lycheepost.generated.messages import QuarantineNotice, SuspectPlaced
from lycheepost.peers.exchange import PeerExchange

TELL_SECONDS = 0.05
"""A caller resends within a second or so; the fleet must know before that."""


class LossExchange:
    """A task that tells peers of losses and takes in theirs."""

    def __init__(
        self, dispatcher: Dispatcher, exchange: PeerExchange, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(QuarantineNotice, self._take)
        exchange.subscribe(SuspectPlaced, self._take_suspect)
        dispatcher.on_suspect(self._tell_suspect)

    async def start(self) -> None:
        """Start telling."""
        self._task = asyncio.create_task(self._run(), name="loss-exchange")

    async def drain(self) -> None:
        """Tell what is left."""
        self._tell()

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TELL_SECONDS)
            self._tell()

    def _tell(self) -> None:
        offset_seconds = self._clock.wall_seconds() - self._clock.now_seconds()
        for loss in self._dispatcher.take_losses():
            self._exchange.broadcast(
                QuarantineNotice(
                    fingerprint=loss.fingerprint,
                    until_wall_seconds=loss.until_seconds + offset_seconds,
                    is_quarantined=loss.is_quarantined,
                    started_wall_seconds=loss.started_seconds + offset_seconds,
                    lost_wall_seconds=loss.lost_seconds + offset_seconds,
                )
            )

    def _take(self, notice: QuarantineNotice, _sender: DaemonId) -> None:
        fingerprint = BodyFingerprint(notice.fingerprint)
        if not notice.is_quarantined:
            # Wall clocks of VMs agree to milliseconds; a loss is told apart from
            # the next by the pause before a retry.
            offset_seconds = self._clock.now_seconds() - self._clock.wall_seconds()
            self._dispatcher.note_loss(
                fingerprint,
                notice.started_wall_seconds + offset_seconds,
                notice.lost_wall_seconds + offset_seconds,
            )
            return
        for_seconds = notice.until_wall_seconds - self._clock.wall_seconds()
        if for_seconds > 0:
            self._dispatcher.quarantine(fingerprint, for_seconds)

    def _tell_suspect(self, target: TargetId) -> None:
        self._exchange.broadcast(SuspectPlaced(target=target))

    def _take_suspect(self, notice: SuspectPlaced, _sender: DaemonId) -> None:
        self._dispatcher.note_peer_suspect(TargetId(notice.target))
