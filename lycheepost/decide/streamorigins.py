"""Which software version began each stream that its caller may take up again.

A caller that loses its connection in the middle of a stream asks for the rest at any
daemon. Daemons tell each other which version began which stream while targets of two
versions serve one group.

Pure logic: every method takes ``now_seconds``.
"""

from collections import OrderedDict
from dataclasses import dataclass

from lycheepost.core.ids import SoftwareVersion, StreamId, TargetGroupId

MAX_ORIGINS = 50_000
"""Streams that are remembered: those of 30 s at 1,600 a second, in some ten
megabytes."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream.

    Attributes:
        software_version: None if its target had restarted and not registered again.
        until_seconds: By then its caller no longer waits for it.
    """

    target_group: TargetGroupId
    software_version: SoftwareVersion | None
    until_seconds: float


class StreamOrigins:
    """The streams that this daemon has begun or continued, or that peers told of."""

    def __init__(self) -> None:
        self._origins: OrderedDict[StreamId, StreamOrigin] = OrderedDict()
        self._own: set[StreamId] = set()

    def __len__(self) -> int:
        """Return how many streams are remembered."""
        return len(self._origins)

    def note(self, stream: StreamId, origin: StreamOrigin, is_own: bool) -> None:
        """Record a stream.

        Args:
            stream: The id of the attempt that brought its first event.
            origin: What began it.
            is_own: Whether a target has sent it to this daemon.
        """
        self._origins[stream] = origin
        self._origins.move_to_end(stream)
        if is_own:
            self._own.add(stream)
        if len(self._origins) > MAX_ORIGINS:
            self._forget(next(iter(self._origins)))

    def get(self, stream: StreamId, now_seconds: float) -> StreamOrigin | None:
        """Return what began a stream; None if that is not known."""
        origin = self._origins.get(stream)
        if origin is None or origin.until_seconds < now_seconds:
            return None
        return origin

    def own(self, now_seconds: float) -> dict[StreamId, StreamOrigin]:
        """Return the own streams that callers may still take up."""
        return {
            stream: origin
            for stream, origin in self._origins.items()
            if stream in self._own and origin.until_seconds >= now_seconds
        }

    def expire(self, now_seconds: float) -> None:
        """Forget the oldest streams, as far as nobody waits for them any more."""
        while self._origins:
            stream, origin = next(iter(self._origins.items()))
            if origin.until_seconds >= now_seconds:
                return
            self._forget(stream)

    def _forget(self, stream: StreamId) -> None:
        del self._origins[stream]
        self._own.discard(stream)
