"""Reports to starting daemons how long older weights may still be served."""

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, ModelId
from lycheepost.generated.messages import PeerHello, WeightsDue
from lycheepost.peers.exchange import PeerExchange
from lycheepost.state.targetlist import TargetList


class WeightsDueExchange:
    """Replies to the hello message of each peer; it has no task of its own."""

    def __init__(
        self, exchange: PeerExchange, targets: TargetList, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._targets = targets
        self._clock = clock
        exchange.subscribe(PeerHello, self._send_due)
        exchange.subscribe(WeightsDue, self._receive)

    def _send_due(self, _hello: PeerHello, sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        for model, versions in self._targets.named_weights().items():
            for named in versions:
                due = WeightsDue(
                    model=model,
                    version=named.version,
                    old_for_seconds=named.old_until_seconds - now_seconds,
                )
                self._exchange.send(sender, due)

    def _receive(self, due: WeightsDue, _sender: DaemonId) -> None:
        self._targets.note_named(ModelId(due.model), due.version, due.old_for_seconds)
