"""Process a response body in the event loop's read callback, without a task switch.

At 31,500 reads a second on one core, the usual path (a future per read, a task woken
by it, a resumed parser, a write that may wait) costs more than parsing and sending
together. ``DirectReader`` is an ``aiohttp.StreamReader`` that passes each piece of
the body to a handler instead of buffering it. ``attach_handler`` and
``detach_handler`` turn an existing reader into one and back; aiohttp's parser keeps
calling the same public methods on it.

This requires that ``StreamReader`` can be subclassed without new slots. Otherwise
``attach_handler`` returns False and the caller reads in the usual way.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from aiohttp import StreamReader


@dataclass(slots=True)
class BodyHandler:
    """Callbacks that receive a body.

    Attributes:
        on_data: Called with each piece, in the read callback; must not block.
        on_end: Called once: with the error, or with None at the end of the body.
    """

    on_data: Callable[[bytes], None]
    on_end: Callable[[BaseException | None], None]


class DirectReader(StreamReader):
    """A reader that passes its data to a handler instead of buffering it.

    The handler is stored in the slot in which the base class keeps the future of a
    waiting task. No task waits, and the base class raises an error if one tries to.
    """

    __slots__ = ()
    _waiter: Any

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Pass one piece to the handler."""
        self.total_bytes += len(data)
        self._waiter.on_data(data)
        return False

    def feed_eof(self) -> None:
        """Report the end of the body."""
        # Not super(): after detaching, this is no longer a DirectReader.
        handler = detach_handler(self)
        StreamReader.feed_eof(self)
        if handler is not None:
            handler.on_end(None)

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Report that the connection broke."""
        handler = detach_handler(self)
        StreamReader.set_exception(self, exc, *causes)
        if handler is not None:
            handler.on_end(exc)

    def begin_http_chunk_receiving(self) -> None:
        """Do nothing: chunks of the transfer coding are not tracked."""

    def end_http_chunk_receiving(self) -> None:
        """Do nothing: chunks of the transfer coding are not tracked."""


def attach_handler(reader: StreamReader, handler: BodyHandler) -> bool:
    """Pass the rest of a body to ``handler``.

    The reader must be empty, and no task may wait on it.

    Returns:
        Whether the reader supports it.
    """
    if type(reader) is not StreamReader:
        return False  # The body is empty or already has a handler.
    try:
        reader.__class__ = DirectReader
    except TypeError:
        return False
    cast(DirectReader, reader)._waiter = handler
    return True


def detach_handler(reader: StreamReader) -> BodyHandler | None:
    """Let a reader buffer its data again; return its handler, if it had one."""
    if type(reader) is not DirectReader:
        return None
    handler: BodyHandler = reader._waiter
    reader._waiter = None
    object.__setattr__(reader, "__class__", StreamReader)
    return handler
