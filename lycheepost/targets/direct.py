"""Take a response body in the event loop's read callback, without a task switch.

At 31,500 reads a second on one core the usual way (a future per read, a task
woken by it, a resumed parser, a write that may wait) costs more than parsing and
sending together. ``DirectReader`` is an ``aiohttp.StreamReader`` that hands each
piece of the body on at once instead of keeping it. A reader that exists already
is turned into one and back by ``attach_handler`` and ``detach_handler``; aiohttp's parser keeps
calling the same public methods on it.

This rests on aiohttp letting ``StreamReader`` be subclassed without new slots.
``attach_handler`` returns False where it does not, and the usual way is taken.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from aiohttp import StreamReader


@dataclass(slots=True)
class BodyHandler:
    """Where the body goes.

    Attributes:
        on_data: Called with each piece, in the read callback; it must not block.
        on_end: Called once, with the error or None at the end of the body.
    """

    on_data: Callable[[bytes], None]
    on_end: Callable[[BaseException | None], None]


class DirectReader(StreamReader):
    """A reader that keeps nothing.

    The slot in which the base class keeps the future of a waiting task holds
    the diversion: there is no waiting task, and a task that started to wait by
    mistake would be refused by the base class.
    """

    __slots__ = ()
    _waiter: Any

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Hand one piece on."""
        self._waiter.on_data(data)
        return False

    def feed_eof(self) -> None:
        """Note the end of the body."""
        # Not super(): once restored this is no longer a DirectReader.
        handler = detach_handler(self)
        StreamReader.feed_eof(self)
        if handler is not None:
            handler.on_end(None)

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Note that the connection broke."""
        handler = detach_handler(self)
        StreamReader.set_exception(self, exc, *causes)
        if handler is not None:
            handler.on_end(exc)

    def begin_http_chunk_receiving(self) -> None:
        """Note nothing: chunks of the transfer coding mean nothing here."""

    def end_http_chunk_receiving(self) -> None:
        """Note nothing: chunks of the transfer coding mean nothing here."""


def attach_handler(reader: StreamReader, handler: BodyHandler) -> bool:
    """Send the rest of a body to ``handler``; False if that cannot be.

    The reader must be empty, and no task may wait on it.
    """
    if type(reader) is not StreamReader:
        return False  # An empty or already diverted body.
    try:
        reader.__class__ = DirectReader
    except TypeError:
        return False
    cast(DirectReader, reader)._waiter = handler
    return True


def detach_handler(reader: StreamReader) -> BodyHandler | None:
    """Let a diverted reader keep its data again."""
    if type(reader) is not DirectReader:
        return None
    handler: BodyHandler = reader._waiter
    reader._waiter = None
    object.__setattr__(reader, "__class__", StreamReader)
    return handler
