"""Whether a stream of events that has ended is complete.

The end of a body says that no byte follows, not that the response is complete: a
target that crashes may close its connection, or send the last chunk, inside an event.
What ends between two events can't be told from a complete stream.
"""

from dataclasses import dataclass
from enum import Enum


class StreamDefect(Enum):
    """Why a stream that has ended is not complete."""

    INSIDE_EVENT = "the stream ended inside an event"
    EMPTY = "the stream ended without an event"


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The end of a stream, as far as its target sent it.

    Attributes:
        is_marked: Whether a length or a last chunk marked the end of its body, and not
            only the end of its connection.
        is_inside_event: Whether an event has begun and not ended.
        has_events: Whether the target sent complete events.
        is_continuation: Whether it was asked for the events after one that the caller
            has.
    """

    is_marked: bool
    is_inside_event: bool
    has_events: bool
    is_continuation: bool


def find_defect(end: StreamEnd) -> StreamDefect | None:
    """Return why a stream is not complete; None if nothing shows that.

    A response has at least one event. Only a continuation may be empty, when the caller
    had all events; the end of a connection is no evidence of that.
    """
    if end.is_inside_event:
        return StreamDefect.INSIDE_EVENT
    may_be_empty = end.is_continuation and end.is_marked
    if not end.has_events and not may_be_empty:
        return StreamDefect.EMPTY
    return None
