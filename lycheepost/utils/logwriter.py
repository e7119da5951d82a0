"""Write log lines without blocking on their reader.

If standard output is a pipe whose reader stops reading, a blocking write of the next
line would stop the whole daemon with all its requests. So writes do not block. Lines
that the pipe does not take are buffered up to a limit; beyond it, or above a maximum
rate, lines are dropped, and a line of its own reports their number.
"""

import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 400.0
"""A daemon logs about three lines per request, so that 60 requests a second use half of
this rate; a line takes some 30 microseconds."""

BURST_LINES = 1500.0
"""Lines that a restart or many simultaneous changes may log at once."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Size of the buffer for lines that are not yet written: about a thousand lines."""


class LogWriter:
    """A text file for log lines.

    Args:
        file_number: An open file; it is set to non-blocking.
        now_seconds: A monotonic clock.

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
        """Buffer one line for ``flush``, or drop it."""
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            # The reader may have made space since the last line.
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
        """Write as much as possible without blocking."""
        while self._buffer:
            try:
                n_written = os.write(self._file_number, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report it.
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
