"""Split a stream of server-sent events where it may be cut.

A target that stops may do so in the middle of an event. If the half had gone to
the caller already, the answer could not be continued from another target without
joining pieces of two events. So bytes are handed on only up to the end of an
event, and with them the id after which a continuation has to begin.
"""

import re

from lycheepost.targets.errors import TargetLost

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event that is held back. Events of a stream hold some words each, a
thousandth of this."""

_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?:\n|$)")
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


def _end_after_last(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return 0 if found < 0 else found + len(mark)


class EventSplitter:
    """Holds back the unfinished event at the end of what has come.

    Attributes:
        last_id: Id of the last whole event; None before the first.
        first_id: Id of the first whole event since the last ``restart``.
    """

    def __init__(self) -> None:
        self.last_id: int | None = None
        self.first_id: int | None = None
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those that end with a whole event.

        Raises:
            TargetLost: An event is larger than may be held back.
        """
        pending = self._partial_event + data
        end = max(_end_after_last(pending, mark) for mark in _EVENT_ENDS)
        whole, self._partial_event = pending[:end], pending[end:]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise TargetLost("an event of the stream does not end")
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
            self.first_id = int(ids[0]) if self.first_id is None else self.first_id
        return whole

    def flush(self) -> bytes:
        """Return what is left when the stream has ended as it should."""
        rest, self._partial_event = self._partial_event, b""
        return rest

    def restart(self) -> None:
        """Drop the unfinished event; another target continues after ``last_id``."""
        self._partial_event = b""
        self.first_id = None
