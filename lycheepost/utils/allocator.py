"""Settings of the C library's memory allocator."""

import ctypes

import structlog

_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
_LARGE_BYTES = 256 * 1024

_log = structlog.get_logger(part="app")


def return_large_blocks() -> None:
    """Return the memory of large blocks to the system as soon as they are freed.

    By default the allocator takes the size of the first large block that is freed as
    its bound, and keeps up to twice as much from then on. After one large request body
    that is a tenth of a small VM.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        _log.debug("app: the allocator has no settings")
        return
    for option in (_M_MMAP_THRESHOLD, _M_TRIM_THRESHOLD):
        if not mallopt(option, _LARGE_BYTES):
            _log.warning("app: the allocator refused a setting", option=option)
