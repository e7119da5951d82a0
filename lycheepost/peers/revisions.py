"""Exchange configuration revisions between peers.

A heartbeat carries the sender's revision. A daemon that is behind requests the rest
from the sender and receives deltas, or the whole configuration when it is far behind.
A daemon that adopts a revision notifies its links immediately, so that a change reaches
the fleet in a few hops without reads of the table.
"""

import zlib

import msgspec
import structlog
from returns.result import Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, Revision
from lycheepost.generated.messages import (
    PeerHeartbeat,
    RevisionDeltas,
    RevisionFetch,
    RevisionWhole,
)
from lycheepost.peers.exchange import PeerExchange
from lycheepost.state.deltas import decode_delta, encode_delta
from lycheepost.state.revision_rows import decode_snapshot, encode_snapshot
from lycheepost.state.revisions import PEER_SOURCE, RevisionManager
from lycheepost.state.view import ConfigurationView

_FETCH_RETRY_SECONDS = 1.0
"""How long one request is awaited before another peer is asked for the same revision.
Every link reports a new revision within milliseconds."""
_log = structlog.get_logger(part="peers")


class RevisionExchange:
    """Synchronizes a daemon's configuration with its peers; runs no task."""

    def __init__(
        self, exchange: PeerExchange, revisions: RevisionManager, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._revisions = revisions
        self._clock = clock
        self._requested_revision = 0
        self._requested_seconds = float("-inf")
        self._encoded_snapshot = (Revision(0), b"")
        exchange.subscribe(PeerHeartbeat, self._handle_heartbeat)
        exchange.subscribe(RevisionFetch, self._handle_fetch)
        exchange.subscribe(RevisionDeltas, self._handle_deltas)
        exchange.subscribe(RevisionWhole, self._handle_whole)
        revisions.subscribe(self._send_revision)

    def _send_revision(self, view: ConfigurationView) -> None:
        self._exchange.send_revision()

    def _handle_heartbeat(self, heartbeat: PeerHeartbeat, sender: DaemonId) -> None:
        if heartbeat.revision <= self._revisions.revision:
            return
        now_seconds = self._clock.now_seconds()
        is_awaited = now_seconds - self._requested_seconds < _FETCH_RETRY_SECONDS
        if is_awaited and heartbeat.revision <= self._requested_revision:
            return
        self._requested_revision = heartbeat.revision
        self._requested_seconds = now_seconds
        self._exchange.send(sender, RevisionFetch(after=self._revisions.revision))

    def _handle_fetch(self, fetch: RevisionFetch, sender: DaemonId) -> None:
        deltas = self._revisions.deltas_after(Revision(fetch.after))
        if deltas is None:
            self._send_whole(sender)
        elif deltas:
            encoded = [encode_delta(delta) for delta in deltas]
            self._exchange.send(sender, RevisionDeltas(deltas=encoded))

    def _send_whole(self, sender: DaemonId) -> None:
        revision, data = self._encoded_snapshot
        if revision != self._revisions.revision:
            # Encoded once for all peers that start without a configuration.
            revision = self._revisions.revision
            data = zlib.compress(encode_snapshot(self._revisions.accepted), level=1)
            self._encoded_snapshot = (revision, data)
        self._exchange.send(sender, RevisionWhole(revision=revision, snapshot=data))

    def _handle_deltas(self, message: RevisionDeltas, sender: DaemonId) -> None:
        try:
            deltas = tuple(decode_delta(data) for data in message.deltas)
        except (msgspec.MsgspecError, ValueError):
            _log.warning("peers: damaged deltas", sender=sender)
            return
        self._revisions.adopt_deltas(deltas, f"{PEER_SOURCE} {sender}")

    def _handle_whole(self, message: RevisionWhole, sender: DaemonId) -> None:
        try:
            data = zlib.decompress(message.snapshot)
        except zlib.error:
            _log.warning("peers: damaged configuration", sender=sender)
            return
        match decode_snapshot(data):
            case Success(configuration):
                self._revisions.adopt(configuration, f"{PEER_SOURCE} {sender}")
