"""Serves the requests of the platform's clients."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import structlog
from aiohttp import HttpVersion11, web

from lycheepost.callers.boundedrequests import HEAD_COPIES
from lycheepost.callers.clientaccount import ClientAccount, HeadBounds
from lycheepost.callers.errors import CallerError, ErrorType, Executed
from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest
from lycheepost.callers.forwarderrors import leaving, outcome_unknown
from lycheepost.callers.forwardidentify import identify
from lycheepost.callers.forwarding import Forwarding
from lycheepost.callers.refusals import BodyRefused, Refusal, too_many_bytes
from lycheepost.core.routing import RouteKind
from lycheepost.decide.clientlimits import REQUEST_BYTES
from lycheepost.platform import headers as names
from lycheepost.platform.clientconnection import ClientConnection
from lycheepost.platform.requestdecoding import decode_request
from lycheepost.state.initial_reads import InitialReads
from lycheepost.utils.bytebudget import HeldBytes

UNCONFIGURED_MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest request body while no configuration is known: the configuration's default.
Nothing runs then; the body is read only so that the response follows the request."""

HEAD_ALLOWANCE_BYTES = 16 * 1024
"""Of a head beyond the operators' limit for its headers: its first line, and what
separates its headers."""

UNCONFIGURED_IDLE_TIMEOUT_SECONDS = 15.0
"""Idle time-out of request bodies while no configuration is known."""

FIRST_READS_WAIT_SHARE = 0.3
"""Share of the caller's time-out for which a request may wait for the first responses
of the store after a start; the rest leaves time to try another daemon."""

END_SECONDS = 0.2
"""How long to wait for the responses of requests that a shutdown ends; each is ready at
once."""

_MILLISECONDS = 1000.0
_log = structlog.get_logger(part="ingress")

_INTERNAL_ERROR = CallerError(
    "The daemon failed on this request.",
    status=502,
    type=ErrorType.SERVER,
    code="internal_error",
    executed=Executed.UNKNOWN,
)


class ClientIngress:
    """Serves clients' requests.

    Args:
        deps: Dependencies of forwarding.
        first_reads: The first reads of the store; requests wait for them.
        is_peer_host: Returns whether a daemon of the fleet has an address. Only these
            may relay requests.
        account: What is held for all clients.

    Attributes:
        n_open: Requests that are being served.
        is_leaving: Connections are closed after their next response.
        is_closed: New requests are refused.
    """

    def __init__(
        self,
        deps: ForwardDeps,
        first_reads: InitialReads,
        is_peer_host: Callable[[str], bool],
        account: ClientAccount,
    ) -> None:
        self._is_peer_host = is_peer_host
        self._account = account
        account.get_head_bounds = self._head_bounds
        self.n_open = 0
        self.is_leaving = False
        self.is_closed = False
        self._deps = deps
        self._first_reads = first_reads
        self._idle = asyncio.Event()
        self._idle.set()
        self._runs: set[asyncio.Task[None]] = set()
        self._open: dict[asyncio.Task[Any], ClientConnection] = {}
        self._is_ending = False

    def buffers(self) -> dict[str, dict[str, int]]:
        """Return the bytes held for open requests, for status pages."""
        return {
            "requests": self._deps.request_bytes.status(),
            "answers": self._deps.answer_bytes.status(),
        }

    async def drain(self) -> None:
        """Wait until no request is being served."""
        await self._idle.wait()

    async def end_unanswered(self) -> None:
        """End the open requests whose responses have not begun with an error.

        The platform would end them with their connections, and their clients could not
        tell whether they have run.
        """
        self._is_ending = self.is_leaving = self.is_closed = True
        ended = [
            (task, connection)
            for task, connection in self._open.items()
            if connection.response is None
        ]
        for task, _ in ended:
            task.cancel()
        try:
            async with asyncio.timeout(END_SECONDS):
                for _, connection in ended:
                    await connection.ended.wait()
        except TimeoutError:
            _log.warning("ingress: requests did not end", n_open=self.n_open)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        connection = ClientConnection(request, lambda: self.is_leaving)
        task = asyncio.current_task()
        assert task is not None
        self.n_open += 1
        self._idle.clear()
        self._open[task] = connection
        try:
            await self._serve(request, connection)
        except CallerError as error:
            return self._answer_with_error(error, request)
        except asyncio.CancelledError:
            if not self._is_ending or connection.response is not None:
                raise
            task.uncancel()
            return self._answer_with_error(_ended(connection.forwarding), request)
        except ConnectionError:
            _log.info("ingress: client left", request_id=_attempt_id(request))
        except Exception:
            _log.exception("ingress: failed", request_id=_attempt_id(request))
            if connection.response is None:
                return self._error_response(_INTERNAL_ERROR, request)
            connection.abort()
        finally:
            # They refer to each other, and the body would wait for a rare collection.
            connection.forwarding = None
            del self._open[task]
            connection.ended.set()
            self.n_open -= 1
            if self.n_open == 0:
                self._idle.set()
        # aiohttp requires a response object also if the connection was aborted.
        return connection.response or web.Response(status=502)

    async def _serve(
        self, request: web.BaseRequest, connection: ClientConnection
    ) -> None:
        arrived_seconds = self._deps.clock.now_seconds()
        if self.is_closed:
            raise leaving()
        _check_path(request)
        n_head_bytes = self._check_head(request)
        forward_request = decode_request(request, arrived_seconds)
        forward_request = trusted_relay(
            forward_request, request.remote, self._is_peer_host
        )
        with (
            self._account.all_bytes.open() as head_held,
            self._deps.request_bytes.open() as held,
        ):
            if not head_held.take(REQUEST_BYTES + HEAD_COPIES * n_head_bytes):
                raise too_many_bytes()
            if not request.content.is_eof():
                await self._check_early(forward_request)
            body = await self._read_body(request, forward_request, held)
            await self._forward(
                request, connection, replace(forward_request, body=body)
            )

    async def _check_early(self, forward_request: ForwardRequest) -> None:
        """Refuse a request that may not be forwarded before its body is read.

        The check is repeated once the body has been read: the configuration may have
        changed meanwhile.
        """
        await self._first_reads.wait(_first_reads_wait_seconds(forward_request))
        identify(self._deps, forward_request)

    async def _forward(
        self,
        request: web.BaseRequest,
        connection: ClientConnection,
        forward_request: ForwardRequest,
    ) -> None:
        """Forward a request that was read completely."""
        await self._first_reads.wait(_first_reads_wait_seconds(forward_request))
        route_match = identify(self._deps, forward_request)
        forwarding = Forwarding(self._deps, forward_request, route_match, connection)
        connection.forwarding = forwarding
        if route_match.route.kind is RouteKind.STREAM:
            _check_version(request)
        if route_match.route.kind is not RouteKind.NON_IDEMPOTENT:
            await forwarding.run()
            return
        # Once a target may run a request that may not run twice, a client that
        # disconnects must not cancel it: that would only lose the response.
        run = asyncio.create_task(forwarding.run())
        self._runs.add(run)
        run.add_done_callback(self._end_run)
        try:
            await asyncio.shield(run)
        except asyncio.CancelledError:
            # Nobody waits for a request that no target has got; and a daemon that
            # ends may answer that a request never runs.
            if self._is_ending or forwarding.executed is Executed.NO:
                run.cancel()
            raise
        finally:
            # The traceback of its error refers to this frame.
            del run

    def _end_run(self, run: asyncio.Task[None]) -> None:
        """Log the error of a run; its client may have disconnected before it ended."""
        self._runs.discard(run)
        error = None if run.cancelled() else run.exception()
        if error is not None:
            _log.info("ingress: run failed", error=type(error).__name__)

    def _check_head(self, request: web.BaseRequest) -> int:
        """Return the length of the headers in bytes.

        Raises:
            CallerError: It is above the operators' limit, if a configuration is known.
        """
        table = self._deps.routing.table
        n_bytes = sum(len(name) + len(value) for name, value in request.raw_headers)
        if table is not None and n_bytes > table.limits.header_bytes:
            raise CallerError(
                "The headers are too large.", status=431, code="headers_too_large"
            )
        return n_bytes

    def _head_bounds(self) -> HeadBounds:
        table = self._deps.routing.table
        if table is None:
            return HeadBounds()
        limits = table.limits
        return HeadBounds(
            limits.header_bytes + HEAD_ALLOWANCE_BYTES, limits.header_seconds
        )

    async def _read_body(
        self,
        request: web.BaseRequest,
        forward_request: ForwardRequest,
        held: HeldBytes,
    ) -> bytes:
        table = self._deps.routing.table
        max_bytes = (
            UNCONFIGURED_MAX_BODY_BYTES if table is None else table.limits.body_bytes
        )
        if (request.content_length or 0) > max_bytes:
            raise _too_large()
        _ask_for_body(request)
        idle_seconds = UNCONFIGURED_IDLE_TIMEOUT_SECONDS
        if table is not None:
            idle_seconds = table.limits.idle_seconds
        # One buffer that grows: a list of parts would be copied as a whole, and its
        # parts leave holes in memory that larger bodies cannot use.
        body = bytearray()
        try:
            async with asyncio.timeout(forward_request.caller_timeout_seconds):
                while part := await self._read_part(request, idle_seconds):
                    if len(body) + len(part) > max_bytes:
                        raise _too_large()
                    if not await self._take(held, len(part)):
                        raise too_many_bytes()
                    body += part
        except TimeoutError:
            raise _too_slow() from None
        except BodyRefused as error:
            raise _body_refused(error.refusal) from None
        return bytes(body)

    async def _take(self, held: HeldBytes, n_bytes: int) -> bool:
        """Hold bytes of a body; bodies that have stalled give way to it."""
        while not held.take(n_bytes):
            if not self._account.make_room():
                return False
            # The request that gives way releases its bytes as its task runs.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return True

    async def _read_part(self, request: web.BaseRequest, idle_seconds: float) -> bytes:
        """Return the next part of a body; empty at its end."""
        async with asyncio.timeout(idle_seconds):
            return await request.content.readany()

    def _answer_with_error(
        self, error: CallerError, request: web.BaseRequest
    ) -> web.Response:
        self._deps.metrics.count(f"errors.{error.code}")
        self._log_error(error, request)
        return self._error_response(error, request)

    def _log_error(self, error: CallerError, request: web.BaseRequest) -> None:
        """Log the error and the age of the configuration behind it."""
        routing = self._deps.routing
        confirmed = routing.confirmed_seconds
        age_seconds = None
        if confirmed is not None:
            age_seconds = round(self._deps.clock.now_seconds() - confirmed, 3)
        _log.info(
            "ingress: answered with an error",
            request_id=_attempt_id(request),
            status=_status(error),
            code=error.code,
            executed=error.executed.value,
            retry_after_seconds=error.retry_after_seconds,
            configuration=None if routing.table is None else routing.table.version,
            confirmed_age_seconds=age_seconds,
        )

    def _error_response(
        self, error: CallerError, request: web.BaseRequest
    ) -> web.Response:
        """Return the daemon's own error response, which carries no seal."""
        headers = {}
        attempt_id = _attempt_id(request)
        if attempt_id:
            headers[names.ATTEMPT_ID] = attempt_id
        if names.RELAYED_RUNS in request.headers:
            headers[names.RELAYED_ARRIVALS] = str(error.n_arrivals)
        if error.executed is Executed.NO and error.retry_after_seconds is not None:
            headers[names.RETRY_AFTER] = encode_retry_after(error.retry_after_seconds)
        response = web.Response(
            status=_status(error), text=error.reason + "\n", headers=headers
        )
        if self.is_leaving or error.code in _CLOSING_CODES:
            response.force_close()
        return response


def trusted_relay(
    request: ForwardRequest, host: str | None, is_peer_host: Callable[[str], bool]
) -> ForwardRequest:
    """Return a request that counts as relayed only if a daemon sent it.

    A relayed request may have been charged already, so a caller that could pass for a
    daemon would not be held to its quota, and its requests would not count for retries.
    """
    if host is not None and is_peer_host(host):
        return request
    return replace(request, relayed=None)


def encode_retry_after(seconds: float) -> str:
    """Return a time to come back, rounded up to a millisecond.

    Rounded down, a wait of some tenths of a millisecond would tell a client to come
    back at once, before the request can be admitted.
    """
    return f"{max(1, math.ceil(seconds * _MILLISECONDS)) / _MILLISECONDS:.3f}"


def _first_reads_wait_seconds(request: ForwardRequest) -> float:
    """Return how long a request may wait for the first reads of the store."""
    caller_timeout_seconds = request.caller_timeout_seconds
    return (
        math.inf
        if caller_timeout_seconds is None
        else FIRST_READS_WAIT_SHARE * caller_timeout_seconds
    )


def _ended(forwarding: Forwarding | None) -> CallerError:
    """Return the error for a request that a shutdown ends before its response."""
    if forwarding is None or forwarding.executed is Executed.NO:
        return leaving()
    return replace(outcome_unknown(), n_arrivals=1)


def _status(error: CallerError) -> int:
    """Return the status; 429 and 503 are kept for requests that did not run."""
    if error.code == "quarantined":
        return 503 if error.executed is Executed.NO else 502
    if error.status in (429, 503) and error.executed is not Executed.NO:
        return 502
    return error.status


def _too_large() -> CallerError:
    return CallerError("The body is too large.", status=413, code="too_large")


def _too_slow() -> CallerError:
    """Return the error for a stalled body; the connection is closed after it."""
    return CallerError("The body stopped coming.", status=408, code="too_slow")


def _body_refused(refusal: Refusal) -> CallerError:
    """Return the error for a body that is not read; the connection is closed after."""
    return CallerError(
        "The body cannot be read.", status=refusal.status.value, code="body_refused"
    )


_CLOSING_CODES = ("too_slow", "body_refused")
"""Codes of errors after which what the client sends cannot be told apart."""


def _check_path(request: web.BaseRequest) -> None:
    """Refuse paths that cannot be forwarded byte for byte."""
    path = request.raw_path
    if not path.startswith("/") or "#" in path or path.endswith("?"):
        raise CallerError("The path cannot be forwarded.", status=400, code="bad_path")


def _ask_for_body(request: web.BaseRequest) -> None:
    """Tell a client that waits for it to send its body."""
    expected = request.headers.get("Expect", "").lower()
    if expected == "100-continue" and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def _check_version(request: web.BaseRequest) -> None:
    """Refuse streams over HTTP/1.0, whose early end a client could not recognize."""
    if request.version < HttpVersion11:
        raise CallerError("Streams need HTTP/1.1.", status=505, code="http_version")


def _attempt_id(request: web.BaseRequest) -> str:
    return request.headers.get(names.ATTEMPT_ID, "")
