"""Write log lines without ever waiting for whoever reads them.

The failure: standard output is a pipe, its reader stops reading, and the next line
blocks the whole daemon. It shows as requests that stop everywhere while nothing is
wrong with them. So the pipe is written without blocking. What does not fit is kept
up to a bound; then, and above a rate that no reader needs, lines are dropped and
their number is told in a line of its own.
"""

import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 400.0
"""A daemon logs about three lines a request; at 60 requests a second half of this
is used, and a line costs some 30 microseconds."""

BURST_LINES = 1500.0
"""A restart or a storm of changes may log this much at once."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Lines kept while the reader is behind: about a thousand."""


class LogWriter:
    """A text file for log lines.

    Args:
        file_number: An open file; it is set to non-blocking.
        now_seconds: A steady clock.

    Attributes:
        n_dropped: Lines dropped so far.
    """

    def __init__(
        self, file_number: int, now_seconds: Callable[[], float] = time.monotonic
    ) -> None:
        os.set_blocking(file_number, False)
        self.n_dropped = 0
        self._file_number = file_number
        self._now_seconds = now_seconds
        self._buffer = bytearray()
        self._n_unreported = 0
        self._tokens = BURST_LINES
        self._refilled_seconds = now_seconds()

    def write(self, text: str) -> int:
        """Take one line; it is written, kept for later, or dropped."""
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            # The reader may have caught up since the last line.
            self.flush()
        if not self._take_token() or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.n_dropped += 1
            self._n_unreported += 1
        else:
            if self._n_unreported:
                self._report_dropped()
            self._buffer += text.encode()
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            try:
                n_written = os.write(self._file_number, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self._buffer.clear()
                return
            del self._buffer[:n_written]

    def _take_token(self) -> bool:
        now_seconds = self._now_seconds()
        refilled = (now_seconds - self._refilled_seconds) * LINES_PER_SECOND
        self._refilled_seconds = now_seconds
        self._tokens = min(BURST_LINES, self._tokens + refilled)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _report_dropped(self) -> None:
        line = '{"part":"logs","event":"logs: lines dropped","n_lines":%d}\n'
        self._buffer += (line % self._n_unreported).encode()
        self._n_unreported = 0
