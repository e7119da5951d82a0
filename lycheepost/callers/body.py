"""Read a request body within limits of size and time."""

import asyncio

from aiohttp import web
from returns.result import Failure, Result, Success

from lycheepost.callers.errors import CallerError, invalid
from lycheepost.generated.settings import LimitSettings


async def read_body(
    request: web.Request, limits: LimitSettings
) -> Result[bytes, CallerError]:
    """Return the complete body.

    Without the time limit a caller that sends one byte a minute would hold its buffer
    and connection indefinitely, and thousands of them would exhaust the daemon's
    memory. Without the size limit a single caller could.

    Returns:
        The body, or an error: 413 when it is too large, 408 when it is too slow, 400
        when the connection breaks off.
    """
    too_large = invalid(
        f"The body must not exceed {limits.body_bytes} bytes.", status=413
    )
    if (request.content_length or 0) > limits.body_bytes:
        return Failure(too_large)
    try:
        async with asyncio.timeout(limits.body_seconds):
            body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return Failure(too_large)
    except TimeoutError:
        reason = f"The body did not arrive within {limits.body_seconds:g} seconds."
        return Failure(invalid(reason, status=408))
    except (ConnectionError, OSError, ValueError):
        return Failure(invalid("The body broke off."))
    return Success(body)
