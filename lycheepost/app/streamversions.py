"""Keeps streams at the software version that began them, also at other daemons.

A caller takes a stream up again at any daemon, which must know the version that began
it. While a group has one version, that is the one. Beside two, and after a start of all
daemons, they tell each other which version began which stream. A daemon that can't know
asks its peers to serve the request (``callers.forwarding``). What they tell each other
is recorded in the store as well, for the case that all daemons lose power.
"""

import asyncio
from collections.abc import Callable

import structlog

from lycheepost.app.rowrecorder import RowRecorder
from lycheepost.app.streamrecorder import StreamRecorder
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, SoftwareVersion, StreamId, TargetGroupId
from lycheepost.decide.softwareversions import (
    CURRENT_LIST_SECONDS,
    STREAM_SECONDS,
    SoftwareVersions,
)
from lycheepost.decide.streamorigins import StreamOrigin, StreamOrigins
from lycheepost.generated.messages import (
    BegunStream,
    BegunStreams,
    GroupSoftware,
    PeerHello,
    SoftwareNews,
)
from lycheepost.peers.exchange import PeerExchange
from lycheepost.state.softwarerow import GroupVersions
from lycheepost.state.streamrows import RecordedStream
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

BATCH_SECONDS = 0.01
"""Streams that begin within this time are told in one message. Callers that lose their
daemon take several times as long to reach another one."""

REPEAT_SECONDS = 0.4
"""Time between two messages to a peer that has not confirmed a version."""

CONTACT_SECONDS = 1.5
"""Time without a message after which a peer may know more than this daemon. Links carry
a message every 0.4 s."""

CONTACT_SHARE = 0.5
"""Share of the peers that must be in contact if the list of targets is not current."""

MAX_STREAM_ID_CHARACTERS = 200
"""Longest id of a stream that is remembered; callers choose their ids."""

_log = structlog.get_logger(part="streams")


class StreamVersionExchange:
    """Implements ``callers.forwarddeps.StreamVersionsPort`` among peers.

    Args:
        software: The versions of the target groups.
        exchange: The links to the peers.
        clock: A clock that includes time spent suspended.
        metrics: Receives the counters.
        get_confirmed_seconds: Returns when the list of targets was last current; None
            before it was read.
        on_peers_confirmed: Called when a peer has confirmed versions, after which more
            targets may begin streams.
        call_soon: Calls a function after ``BATCH_SECONDS``.
        recorder: Records streams for the next start of all daemons; None for none.
        software_recorder: Records versions for it; None for none.
    """

    def __init__(
        self,
        software: SoftwareVersions,
        exchange: PeerExchange,
        clock: Clock,
        metrics: Metrics,
        get_confirmed_seconds: Callable[[], float | None],
        on_peers_confirmed: Callable[[], None],
        call_soon: Callable[[Callable[[], None]], object] | None = None,
        recorder: StreamRecorder | None = None,
        software_recorder: RowRecorder[GroupVersions] | None = None,
    ) -> None:
        self._software = software
        self._origins = StreamOrigins()
        self._exchange = exchange
        self._clock = clock
        self._metrics = metrics
        self._get_confirmed_seconds = get_confirmed_seconds
        self._on_peers_confirmed = on_peers_confirmed
        self._peers: tuple[DaemonId, ...] = ()
        self._met: set[DaemonId] = set()
        self._is_peer = True
        self._untold: list[StreamId] = []
        self._recorder = recorder
        if recorder is not None:
            recorder.subscribe(self._note_recorded)
        self._software_recorder = software_recorder
        if software_recorder is not None:
            software_recorder.subscribe(self._note_recorded_versions)
        self._call_soon = call_soon or _call_after_batch
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(PeerHello, self._receive_hello)
        exchange.subscribe(SoftwareNews, self._receive_software)
        exchange.subscribe(BegunStreams, self._receive_streams)

    async def start(self) -> None:
        """Start to tell peers of versions."""
        self._task = start_task(self._run(), "stream-versions")

    async def drain(self) -> None:
        """Do nothing: streams are begun until the end of the drain."""

    async def stop(self) -> None:
        """Stop telling peers."""
        self._peers = ()
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return the versions of each group for the status page."""
        now_seconds = self._clock.now_seconds()
        return {
            "n_streams": len(self._origins),
            "is_current": self._is_current(now_seconds),
            "known_for_seconds": min(
                STREAM_SECONDS, self._software.known_for_seconds(now_seconds)
            ),
            "groups": {
                str(group): {
                    "versions": sorted(self._software.known(group, now_seconds)),
                    "held_back": sorted(self._software.held_back(group, now_seconds)),
                }
                for group in self._software.groups()
            },
        }

    def set_peers(self, peers: tuple[DaemonId, ...], is_peer: bool) -> None:
        """Set the daemons that are told of streams.

        Args:
            peers: The daemons.
            is_peer: Whether they tell this one, too.
        """
        self._is_peer = is_peer
        before, self._peers = self._peers, peers
        if before == peers:
            return
        self._software.set_peers(peers)
        self._met.intersection_update(peers)
        for peer in peers:
            if peer not in before:
                self._send_software(peer, is_answer=False)

    def note_versions(self) -> None:
        """Tell the peers of a further version, and of this daemon's streams."""
        now_seconds = self._clock.now_seconds()
        self._record_versions(now_seconds)
        for peer in self._peers:
            self._send_software(peer, is_answer=False)
        own = self._origins.own(now_seconds)
        self._untold = list(own)
        self._tell_streams()
        for stream, origin in own.items():
            self._record(stream, origin)
        for group in self._software.groups():
            _log.info(
                "streams: software versions",
                group=group,
                versions=sorted(self._software.known(group, now_seconds)),
                held_back=sorted(self._software.held_back(group, now_seconds)),
            )

    def group_of(self, stream: StreamId) -> TargetGroupId | None:
        """Return the group that began a stream; None if unknown."""
        origin = self._origins.get(stream, self._clock.now_seconds())
        return None if origin is None else origin.target_group

    def version_of(
        self, stream: StreamId, target_group: TargetGroupId
    ) -> SoftwareVersion | None:
        """Return the version at which a stream must go on; None if unknown here."""
        now_seconds = self._clock.now_seconds()
        origin = self._origins.get(stream, now_seconds)
        if origin is not None and origin.target_group == target_group:
            return origin.software_version
        if not self._is_current(now_seconds):
            return None
        return self._software.sole(target_group, now_seconds)

    def is_list_current(self) -> bool:
        """Return whether the list of targets is up to date."""
        return self._is_list_current(self._clock.now_seconds())

    def may_peers_know(self, stream: StreamId, target_group: TargetGroupId) -> bool:
        """Return whether peers may know the version of a stream unknown here."""
        now_seconds = self._clock.now_seconds()
        return bool(stream) or not self._software.is_mixed(target_group, now_seconds)

    def note_begun(
        self,
        stream: StreamId,
        target_group: TargetGroupId,
        software_version: SoftwareVersion | None,
    ) -> None:
        """Record a stream whose first event, or next one, is about to be sent.

        Args:
            stream: The stream.
            target_group: The group that serves it.
            software_version: The version of its target; None if unknown.
        """
        if not stream or len(stream) > MAX_STREAM_ID_CHARACTERS:
            return
        now_seconds = self._clock.now_seconds()
        until_seconds = now_seconds + STREAM_SECONDS
        origin = StreamOrigin(target_group, software_version, until_seconds)
        self._origins.note(stream, origin, is_own=True)
        if software_version is None or self._must_tell(target_group, now_seconds):
            if not self._untold:
                self._call_soon(self._tell_streams)
            self._untold.append(stream)
            self._record(stream, origin)

    def _record(self, stream: StreamId, origin: StreamOrigin) -> None:
        if self._recorder is not None:
            self._recorder.add(stream, origin)

    def _record_versions(self, now_seconds: float) -> None:
        """Record the versions of the groups of which this daemon knows all."""
        recorder = self._software_recorder
        if recorder is None or not self._is_current(now_seconds):
            return
        recorder.record(
            {
                group: self._software.known(group, now_seconds)
                for group in self._software.groups()
                if self._software.is_complete(group, now_seconds)
            }
        )

    def _note_recorded_versions(self, versions: GroupVersions) -> None:
        """Take the versions that were recorded before the start."""
        now_seconds = self._clock.now_seconds()
        has_gained = False
        for group, found in versions.items():
            has_gained |= self._software.note_recorded(group, found, now_seconds)
        if has_gained:
            self.note_versions()

    def _note_recorded(self, streams: tuple[RecordedStream, ...]) -> None:
        """Take what was recorded before the start, where nothing newer is known."""
        now_seconds = self._clock.now_seconds()
        until_seconds = now_seconds + STREAM_SECONDS
        for item in streams:
            if self._origins.get(item.stream, now_seconds) is None:
                origin = StreamOrigin(
                    item.target_group, item.software_version, until_seconds
                )
                self._origins.note(item.stream, origin, is_own=False)

    def _must_tell(self, target_group: TargetGroupId, now_seconds: float) -> bool:
        """Return whether peers can't know the version of a group's streams.

        After a start of all daemons nobody knows which versions served before.
        """
        return self._software.sole(target_group, now_seconds) is None

    def _is_current(self, now_seconds: float) -> bool:
        """Return whether no peer can know a version that is unknown here.

        If the store fails for all, nobody learns of a version from it, and those who
        did before have told.
        """
        if not self._is_peer:
            return False
        if self._is_list_current(now_seconds):
            return True
        heard = self._exchange.heard_within(CONTACT_SECONDS)
        n_heard = sum(peer in heard for peer in self._peers)
        return n_heard >= CONTACT_SHARE * len(self._peers)

    def _is_list_current(self, now_seconds: float) -> bool:
        confirmed_seconds = self._get_confirmed_seconds()
        return confirmed_seconds is not None and (
            now_seconds - confirmed_seconds <= CURRENT_LIST_SECONDS
        )

    def _tell_streams(self) -> None:
        streams, self._untold = self._untold, []
        message = self._to_message(streams)
        if message.streams and self._peers:
            self._exchange.send_to_each(self._peers, message)

    def _to_message(self, streams: list[StreamId]) -> BegunStreams:
        now_seconds = self._clock.now_seconds()
        found = [
            (stream, origin)
            for stream in dict.fromkeys(streams)
            if (origin := self._origins.get(stream, now_seconds)) is not None
        ]
        return BegunStreams(
            streams=[
                BegunStream(
                    stream=stream,
                    target_group=origin.target_group,
                    software_version=origin.software_version,
                    for_seconds=origin.until_seconds - now_seconds,
                )
                for stream, origin in found
            ]
        )

    def _receive_streams(self, message: BegunStreams, _sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        for item in message.streams:
            for_seconds = min(max(0.0, item.for_seconds), STREAM_SECONDS)
            version = item.software_version
            origin = StreamOrigin(
                TargetGroupId(item.target_group),
                None if version is None else SoftwareVersion(version),
                now_seconds + for_seconds,
            )
            self._origins.note(StreamId(item.stream), origin, is_own=False)

    def _send_software(self, peer: DaemonId, is_answer: bool) -> None:
        now_seconds = self._clock.now_seconds()
        known_for_seconds = 0.0
        if self._is_current(now_seconds):
            known_for_seconds = self._software.known_for_seconds(now_seconds)
        groups = [
            GroupSoftware(
                target_group=group,
                versions=sorted(self._software.known(group, now_seconds)),
            )
            for group in self._software.groups()
        ]
        message = SoftwareNews(
            groups=groups,
            known_for_seconds=min(known_for_seconds, STREAM_SECONDS),
            is_answer=is_answer,
        )
        self._exchange.send(peer, message)

    def _receive_hello(self, _message: PeerHello, sender: DaemonId) -> None:
        """Tell versions on a new link, before callers come to either end."""
        if sender not in self._met:
            self._send_software(sender, is_answer=False)

    def _receive_software(self, message: SoftwareNews, sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        self._met.add(sender)
        has_gained = False
        for item in message.groups:
            has_gained |= self._software.note_told(
                sender,
                TargetGroupId(item.target_group),
                map(SoftwareVersion, item.versions),
                now_seconds,
            )
        self._software.note_known_for(message.known_for_seconds, now_seconds)
        if not message.is_answer:
            self._send_software(sender, is_answer=True)
            self._tell_all(sender)
        if has_gained:
            self.note_versions()
        self._on_peers_confirmed()

    def _tell_all(self, peer: DaemonId) -> None:
        """Tell a peer of this daemon's streams, if it can't know their versions."""
        now_seconds = self._clock.now_seconds()
        own = [
            stream
            for stream, origin in self._origins.own(now_seconds).items()
            if origin.software_version is None
            or self._must_tell(origin.target_group, now_seconds)
        ]
        if own:
            self._exchange.send(peer, self._to_message(own))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Ask peers again that have not confirmed a version; forget old streams."""
        now_seconds = self._clock.now_seconds()
        self._origins.expire(now_seconds)
        self._record_versions(now_seconds)
        for peer in self._peers:
            # An earlier message may have found no link.
            if peer not in self._met or self._software.unconfirmed(peer, now_seconds):
                self._send_software(peer, is_answer=False)
        n_mixed = sum(
            self._software.is_mixed(group, now_seconds)
            for group in self._software.groups()
        )
        self._metrics.gauge("groups_of_two_versions", n_mixed)


def _call_after_batch(call: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_later(BATCH_SECONDS, call)
