"""Tell all daemons what is done to the weights of targets.

The load: a third of a large fleet's engines begins to change in one moment. Word of
each by itself goes over every link of every daemon, and each daemon makes its list of
targets anew for each. So what changes within a moment is told together.
"""

import asyncio
from collections.abc import Callable, Iterable

from lycheepost.core.ids import ModelId, TargetId, WeightsVersion
from lycheepost.core.starts import TargetStart
from lycheepost.generated.messages import TargetChanging, TargetsChanging
from lycheepost.state.targetlist import TargetList, WeightsChange

BATCH_SECONDS = 0.02
"""How long a change waits for others: a sixth of the time for which targets are left
alone before their orders."""


class WeightsUpdates:
    """Collects changes and tells them, here at once and to the peers together.

    Args:
        targets: The targets of this daemon.
        notify_peers: Tells the peers.
    """

    def __init__(
        self, targets: TargetList, notify_peers: Callable[[TargetsChanging], None]
    ) -> None:
        self._targets = targets
        self._notify_peers = notify_peers
        self._pending: list[WeightsChange] = []

    def publish(self, change: WeightsChange) -> None:
        """Tell a change."""
        self._targets.note_changes((change,))
        if not self._pending:
            asyncio.get_running_loop().call_later(BATCH_SECONDS, self._flush)
        self._pending.append(change)

    def _flush(self) -> None:
        changes, self._pending = self._pending, []
        self._notify_peers(
            TargetsChanging(changes=[to_message(item) for item in changes])
        )


def to_message(change: WeightsChange) -> TargetChanging:
    """Return a change as it is told."""
    return TargetChanging(
        target=change.start.target,
        started_ms=change.start.started_ms,
        model=change.model,
        weights_version=change.version or "",
        is_done=change.for_seconds <= 0.0,
        for_seconds=change.for_seconds,
    )


def to_changes(message: TargetsChanging) -> Iterable[WeightsChange]:
    """Return what a peer told."""
    for item in message.changes:
        is_known = item.is_done and bool(item.weights_version)
        yield WeightsChange(
            TargetStart(TargetId(item.target), item.started_ms),
            ModelId(item.model),
            WeightsVersion(item.weights_version) if is_known else None,
            0.0 if item.is_done else item.for_seconds,
        )
