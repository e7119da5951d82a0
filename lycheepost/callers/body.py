"""Read a request body within limits of size, time and memory."""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError
from returns.result import Failure, Result, Success

from lycheepost.callers.boundedrequests import BoundedRequestHandler
from lycheepost.callers.errors import CallerError, invalid
from lycheepost.callers.refusals import too_many_bytes
from lycheepost.generated.settings import LimitSettings


async def read_body(
    request: web.Request, limits: LimitSettings
) -> Result[bytes, CallerError]:
    """Return the complete body.

    Without the time limit a caller that sends one byte a minute would hold its buffer
    and connection indefinitely, and thousands of them would exhaust the daemon's
    memory. Without the size limit a single caller could.

    Returns:
        The body, or an error: 413 when it is too large, 408 when it is too slow, 503
        when the daemon holds too much for its callers, 400 when it breaks off.
    """
    too_large = invalid(
        f"The body must not exceed {limits.body_bytes} bytes.", status=413
    )
    if (request.content_length or 0) > limits.body_bytes:
        return Failure(too_large)
    try:
        async with asyncio.timeout(limits.body_seconds):
            return await _read_all(request, limits.body_bytes, too_large)
    except TimeoutError:
        reason = f"The body did not arrive within {limits.body_seconds:g} seconds."
        return Failure(invalid(reason, status=408))
    except (ConnectionError, OSError, ValueError, RequestPayloadError):
        return Failure(invalid("The body broke off."))


async def _read_all(
    request: web.Request, max_bytes: int, too_large: CallerError
) -> Result[bytes, CallerError]:
    connection = request.protocol
    body = bytearray()
    while part := await request.content.readany():
        if len(body) + len(part) > max_bytes:
            return Failure(too_large)
        if not _can_hold(connection, len(part)):
            return Failure(too_many_bytes())
        body += part
    return Success(bytes(body))


def _can_hold(connection: object, n_bytes: int) -> bool:
    """Return whether bytes of a body were charged to the account of all callers."""
    return not isinstance(connection, BoundedRequestHandler) or connection.take(n_bytes)
