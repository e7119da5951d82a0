"""Bodies of requests to targets."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

LARGE_BODY_BYTES = 256 * 1024
_SLICE_BYTES = 64 * 1024


class SlicedPayload(BytesPayload):
    """A large body that is written at the pace of its target.

    The library would copy it behind the headers and buffer the copy.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or as much of it as its length says."""
        body = memoryview(self._value)[:content_length]
        for start in range(0, len(body), _SLICE_BYTES):
            await writer.write(bytes(body[start : start + _SLICE_BYTES]))


def make_payload(body: bytes) -> bytes | SlicedPayload | None:
    """Return what is sent as a request's body; None for none."""
    if len(body) <= LARGE_BODY_BYTES:
        return body or None
    return SlicedPayload(body)
