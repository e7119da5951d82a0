"""Pooled connections to targets, replaced for a target where they fell silent.

A connection may go silent for good without a reset, mostly together with all others to
the same target. If each were found out by a request, each would cost a caller a retry.
So after the first one, requests to that target use another pool, until the connections
in the first have been idle for too long to be used again.
"""

from collections import OrderedDict

import aiohttp

from lycheepost.core.ids import TargetId
from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.network import TargetNetwork
from lycheepost.targets.session import make_session

MAX_RENEWED_TARGETS = 20_000
"""Targets with replaced pools that are remembered."""


class TargetPools:
    """Sessions for calls that may be repeated, and for those that may not.

    As with ``session.SessionPair``, a call that may not be repeated always opens a new
    connection.

    Args:
        client: Names the client, for the log and the metrics.
        settings: Time-outs and the maximum idle time of pooled connections.
        network: Opens the connections.

    Attributes:
        n_renewals: How often a target's pool was replaced.
    """

    def __init__(
        self,
        client: str,
        settings: StreamSettings,
        network: TargetNetwork | None = None,
    ) -> None:
        self._client = client
        self._settings = settings
        self._network = network
        self._sessions: list[aiohttp.ClientSession] = []
        self._renewals: OrderedDict[TargetId, tuple[int, float]] = OrderedDict()
        self.n_renewals = 0

    async def start(self) -> None:
        """Open two pools, and a session that pools no connections."""
        self._sessions = [
            make_session(self._client, self._settings, is_pooled, self._network)
            for is_pooled in (True, True, False)
        ]

    async def stop(self) -> None:
        """Close all connections."""
        for session in self._sessions:
            await session.close()

    def choose(
        self, target: TargetId, may_repeat: bool, now_seconds: float
    ) -> aiohttp.ClientSession:
        """Return the session for a call.

        Args:
            target: The target that is called.
            may_repeat: Whether the call may use a pooled connection.
            now_seconds: The current time.
        """
        if not self._sessions:
            raise RuntimeError("the sessions are not open")
        if not may_repeat:
            return self._sessions[-1]
        return self._sessions[self._pool_index(target, now_seconds)]

    def note_silent(
        self, target: TargetId, sent_seconds: float, now_seconds: float
    ) -> None:
        """Replace a target's pool after a call on a pooled connection got no response.

        Calls that were sent before the last replacement are evidence of the pool
        before it, and are ignored.

        Args:
            target: The target that was called.
            sent_seconds: When the call was sent.
            now_seconds: The current time.
        """
        n_renewals, renewed_seconds = 0, float("-inf")
        if self._pool_index(target, now_seconds):
            n_renewals, renewed_seconds = self._renewals[target]
        if sent_seconds <= renewed_seconds:
            return
        self.n_renewals += 1
        index = min(n_renewals + 1, len(self._sessions) - 1)
        self._renewals[target] = (index, now_seconds)
        self._renewals.move_to_end(target)
        if len(self._renewals) > MAX_RENEWED_TARGETS:
            self._renewals.popitem(last=False)

    def _pool_index(self, target: TargetId, now_seconds: float) -> int:
        """Return the index of a target's session; 0 once the old pools are empty."""
        renewal = self._renewals.get(target)
        if renewal is None:
            return 0
        index, renewed_seconds = renewal
        if now_seconds - renewed_seconds <= self._settings.idle_connection_seconds:
            return index
        del self._renewals[target]
        return 0
