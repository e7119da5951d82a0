"""Notify all daemons of weights changes at targets.

In a large fleet a third of the engines begin to change almost simultaneously. A message
for each change would go over every link of every daemon, and each daemon would rebuild
its list of targets for each message. So changes that occur within a short interval are
sent in one message.
"""

import asyncio
from collections.abc import Callable, Iterable

from lycheepost.core.ids import ModelId, TargetId, WeightsVersion
from lycheepost.core.starts import TargetStart
from lycheepost.generated.messages import TargetChanging, TargetsChanging
from lycheepost.state.targetlist import TargetList, WeightsChange

BATCH_SECONDS = 0.02
"""How long a change waits to be batched with others: a fifth of ``MIN_DRAIN_SECONDS``,
the shortest time for which targets get no new work before their orders."""


class WeightsUpdates:
    """Applies changes locally at once and sends them to the peers in batches.

    Args:
        targets: The targets of this daemon.
        notify_peers: Sends a message to the peers.
    """

    def __init__(
        self, targets: TargetList, notify_peers: Callable[[TargetsChanging], None]
    ) -> None:
        self._targets = targets
        self._notify_peers = notify_peers
        self._pending: list[WeightsChange] = []

    def publish(self, change: WeightsChange) -> None:
        """Publish a change."""
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
    """Return the message of a change."""
    return TargetChanging(
        target=change.start.target,
        started_ms=change.start.started_ms,
        model=change.model,
        weights_version=change.version or "",
        is_done=change.for_seconds <= 0.0,
        for_seconds=change.for_seconds,
    )


def to_changes(message: TargetsChanging) -> Iterable[WeightsChange]:
    """Return the changes of a peer's message."""
    for item in message.changes:
        is_known = item.is_done and bool(item.weights_version)
        yield WeightsChange(
            TargetStart(TargetId(item.target), item.started_ms),
            ModelId(item.model),
            WeightsVersion(item.weights_version) if is_known else None,
            0.0 if item.is_done else item.for_seconds,
        )
