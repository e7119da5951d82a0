"""Which row of the store records each stream that a daemon begins.

If all daemons lose power, none of them knows which software version began the streams
that callers then take up. Each daemon therefore records its streams in the store in
the times in which their version doesn't follow from the list of targets. It writes a
few rows in turn, each with the streams of a short time, so that the rows of
the longest time that a stream lasts are kept and nothing need be removed.

Pure logic: every method takes ``now_seconds``.
"""

import math
from collections.abc import Mapping

from lycheepost.core.ids import StreamId
from lycheepost.decide.softwareversions import STREAM_SECONDS
from lycheepost.decide.streamorigins import StreamOrigin

ROW_SECONDS = 2.0
"""Time whose streams stand in one row."""

N_ROWS = math.ceil(STREAM_SECONDS / ROW_SECONDS) + 1
"""Rows of one daemon; the oldest one is being replaced."""

MAX_ROW_STREAMS = 400
"""Streams in one row: some twenty kilobytes, a part of what a row may hold."""

Origins = Mapping[StreamId, StreamOrigin]
ChangedRow = tuple[int, Origins]


class StreamRecord:
    """The rows of one daemon."""

    def __init__(self) -> None:
        self._row = 0
        self._began_seconds = -math.inf
        self._origins: dict[StreamId, StreamOrigin] = {}
        self._changed: dict[int, dict[StreamId, StreamOrigin]] = {}

    def move_to(self, row: int) -> None:
        """Begin at a row: the oldest one of an earlier start of this daemon.

        Streams that have been added are written there.
        """
        self._row = row
        if self._origins:
            self._changed = {row: self._origins}

    def add(self, stream: StreamId, origin: StreamOrigin, now_seconds: float) -> None:
        """Add a stream to the current row."""
        age_seconds = now_seconds - self._began_seconds
        if age_seconds > ROW_SECONDS or len(self._origins) >= MAX_ROW_STREAMS:
            if self._origins:
                self._row = (self._row + 1) % N_ROWS
            self._origins = {}
            self._began_seconds = now_seconds
        self._origins[stream] = origin
        self._changed[self._row] = self._origins

    def take_changed(self) -> list[ChangedRow]:
        """Return the rows that have changed since the last call, with their numbers."""
        changed: list[ChangedRow] = [
            (row, dict(origins)) for row, origins in self._changed.items()
        ]
        self._changed.clear()
        return changed

    def put_back(self, changed: list[ChangedRow]) -> None:
        """Take rows that were not written for changed again."""
        for row, origins in changed:
            self._changed.setdefault(row, dict(origins))


def first_row(versions: Mapping[int, int]) -> int:
    """Return the row that a daemon replaces first after a start.

    Args:
        versions: The versions of its rows in the store; a larger one is newer.
    """
    for row in range(N_ROWS):
        if row not in versions:
            return row
    return min(range(N_ROWS), key=lambda row: versions[row])
