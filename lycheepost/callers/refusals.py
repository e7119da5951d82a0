"""Why clients' connections are refused, and what they are told."""

from enum import Enum
from http import HTTPStatus

from aiohttp.web_protocol import RequestPayloadError

from lycheepost.callers.errors import CallerError, ErrorType

RETRY_SECONDS = 0.2
"""Any other daemon can take the request at once; this one after some have ended."""


class Refusal(Enum):
    """Why a client's connection is closed, and the status that it is told."""

    BAD_REQUEST = "bad_request"
    HEAD_BYTES = "head_bytes"
    HEAD_TIME = "head_time"
    FRAMING_BYTES = "framing_bytes"
    """Chunk extensions, trailers and the like beside too little of a body."""
    PLACE_NEEDED = "place_needed"
    """It made no progress, and its place or its bytes were needed for another."""
    NO_PLACE = "no_place"
    """All places or bytes are taken by clients that are being served."""

    @property
    def status(self) -> HTTPStatus:
        """Return the status; each says that the request has not run."""
        return _STATUSES[self]


_STATUSES = {
    Refusal.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Refusal.HEAD_BYTES: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Refusal.HEAD_TIME: HTTPStatus.REQUEST_TIMEOUT,
    Refusal.FRAMING_BYTES: HTTPStatus.BAD_REQUEST,
    Refusal.PLACE_NEEDED: HTTPStatus.REQUEST_TIMEOUT,
    Refusal.NO_PLACE: HTTPStatus.SERVICE_UNAVAILABLE,
}


class BodyRefused(RequestPayloadError):
    """The rest of a request's body is not read.

    Attributes:
        refusal: Why.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


def too_many_bytes() -> CallerError:
    """Return the error for a request that this daemon has no memory for."""
    return CallerError(
        "This daemon holds too many request bodies; use another address.",
        status=503,
        type=ErrorType.SERVER,
        code="bodies_full",
        retry_after_seconds=RETRY_SECONDS,
    )


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the response to a request whose head has not ended."""
    status = refusal.status
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", "Content-Length: 0"]
    if refusal is Refusal.NO_PLACE:
        lines.append(f"Retry-After: {RETRY_SECONDS}")
    return "\r\n".join([*lines, "Connection: close", "", ""]).encode()
