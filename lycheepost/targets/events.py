"""Split a stream of server-sent events at event boundaries.

A target may stop in the middle of an event. If a partial event had been sent to the
caller, an answer continued by another target would join parts of two events. So
bytes are forwarded only up to the end of an event, and the id of the last complete
event is kept, from which a continuation starts.
"""

import re

from lycheepost.targets.errors import TargetLost

MAX_EVENT_BYTES = 1024 * 1024
"""Largest partial event that is buffered. Usual events contain a few words, a
thousandth of this."""

_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?:\n|$)")
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


def _end_after_last(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return 0 if found < 0 else found + len(mark)


class EventSplitter:
    """Buffers the partial event at the end of the received data.

    Attributes:
        last_id: Id of the last complete event; None before the first.
        first_id: Id of the first complete event; None before it.
        n_events: Number of complete events with an id.
        n_partial_bytes: Size of the partial event at the end of the last data.
        has_events: Whether complete events arrived.
    """

    def __init__(self) -> None:
        self.last_id: int | None = None
        self.first_id: int | None = None
        self.n_events = 0
        self.n_partial_bytes = 0
        self.has_events = False
        self._partial_event = b""

    @property
    def is_inside_event(self) -> bool:
        """Return whether the received data ends inside an event.

        Blank lines and comments between events belong to none.
        """
        *lines, open_line = self._partial_event.replace(b"\r\n", b"\n").split(b"\n")
        is_field = any(line and not line.startswith(b":") for line in lines)
        return is_field or bool(open_line.strip(b"\r"))

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the complete events.

        Raises:
            TargetLost: A partial event is larger than ``MAX_EVENT_BYTES``.
        """
        pending = self._partial_event + data
        end = max(_end_after_last(pending, mark) for mark in _EVENT_ENDS)
        complete, self._partial_event = pending[:end], pending[end:]
        self.n_partial_bytes = len(self._partial_event)
        self.has_events |= bool(complete)
        if self.n_partial_bytes > MAX_EVENT_BYTES:
            raise TargetLost("an event of the stream does not end")
        ids = _ID_LINE.findall(complete)
        if ids:
            self.n_events += len(ids)
            self.last_id = int(ids[-1])
            self.first_id = int(ids[0]) if self.first_id is None else self.first_id
        return complete

    def flush(self) -> bytes:
        """Return the bytes after the last event of a complete stream."""
        rest, self._partial_event = self._partial_event, b""
        return rest
