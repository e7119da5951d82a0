"""The resident memory of a soak's daemons."""

import asyncio
import pathlib
import re
import signal
from collections.abc import Iterable, Iterator

from soakfleet import DaemonProcess

POLL_SECONDS = 0.2
MAX_BYTES = 150_000_000
"""A process of the users' machines that has more is killed."""

LARGEST_BYTES = 1_000_000_000
"""A process with more is killed here, for the other processes of the machine."""

_PEAK = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
_KILOBYTE = 1024


def peak_bytes(pid: int) -> int | None:
    """Return the highest resident memory of a process so far; None if it is gone."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return None
    found = _PEAK.search(status)
    return None if found is None else int(found[1]) * _KILOBYTE


async def watch_memory(daemons: Iterable[DaemonProcess], peaks: dict[int, int]) -> None:
    """Note the highest resident memory of each process of the daemons.

    Args:
        daemons: The daemons, each of which may be started again.
        peaks: The bytes, by process id.
    """
    while True:
        for daemon in daemons:
            if daemon.process is None or daemon.process.poll() is not None:
                continue
            found = peak_bytes(daemon.process.pid)
            if found is not None:
                peaks[daemon.process.pid] = found
                if found > LARGEST_BYTES:
                    daemon.send(signal.SIGKILL)
        await asyncio.sleep(POLL_SECONDS)


def find_large(peaks: dict[int, int]) -> Iterator[str]:
    """Tell of the processes that took too much memory."""
    large = [found for found in peaks.values() if found > MAX_BYTES]
    if large:
        yield (
            f"{len(large)} of {len(peaks)} daemon processes had up to"
            f" {max(large) / 1e6:.0f} MB, {MAX_BYTES / 1e6:.0f} MB allowed"
        )
