"""Tell daemons that start until when older weights may be served."""

from lycheepost.core.ids import DaemonId, ModelId
from lycheepost.generated.messages import PeerHello, WeightsDue
from lycheepost.peers.exchange import PeerExchange
from lycheepost.state.targetlist import TargetList


class WeightsDueExchange:
    """Answers the greeting of each peer; it has no task of its own."""

    def __init__(self, exchange: PeerExchange, targets: TargetList) -> None:
        self._exchange = exchange
        self._targets = targets
        exchange.subscribe(PeerHello, self._tell)
        exchange.subscribe(WeightsDue, self._take)

    def _tell(self, _hello: PeerHello, sender: DaemonId) -> None:
        for model, seconds in self._targets.old_weights_due().items():
            self._exchange.send(
                sender, WeightsDue(model=model, old_for_seconds=seconds)
            )

    def _take(self, due: WeightsDue, _sender: DaemonId) -> None:
        self._targets.note_old_weights(ModelId(due.model), due.old_for_seconds)
