"""The client of the model engines.

``EngineClient.start_call`` sends one request and returns an ``EngineStream`` once
the engine's response headers have arrived. The client is a component with its own
life cycle. It owns the pooled connections, the task that detects silent streams, and
the cancel calls that outlive their requests.
"""

import asyncio
from typing import Any

import aiohttp
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import RequestId, TargetId
from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.calls import EngineCall, ResumeFailure
from lycheepost.targets.errors import (
    TargetError,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lycheepost.targets.session import make_session
from lycheepost.targets.stream import EngineStream
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.runningtime import is_done_within, running_timeout
from lycheepost.utils.tasks import start_task

_log = structlog.get_logger(part="targets")
_MAX_REJECTION_BYTES = 16 * 1024
"""Limit of a rejection's body that is kept for the caller."""
_CANCEL_TIMEOUT_SECONDS = 2.0
_IN_USE_WINDOW_SECONDS = 60.0
"""A target counts as in use for this long after its last request; hot prefixes
shift within minutes."""
_MAX_CANCELS = 1000
"""Limit of cancel calls in flight, which would otherwise pile up when a target is
dead. A skipped cancel call only costs the engine the rest of one answer."""


class EngineClient:
    """Sends requests to engines and watches their streams."""

    def __init__(self, settings: StreamSettings, clock: Clock) -> None:
        self.settings = settings
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._streams: set[EngineStream] = set()
        self._cancels: set[asyncio.Task[None]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._used_seconds: dict[TargetId, float] = {}

    async def start(self) -> None:
        """Open the connection pool and start detecting silent streams."""
        self._session = make_session("engines", self.settings)
        self._watch_task = start_task(self._watch_silence(), "engine-watch")

    async def drain(self) -> None:
        """Wait for cancel calls in flight; streams belong to their requests."""
        if self._cancels:
            await asyncio.wait(self._cancels, timeout=_CANCEL_TIMEOUT_SECONDS)

    async def stop(self) -> None:
        """Close all connections."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        for task in self._cancels:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def status(self) -> dict[str, Any]:
        """Return counts for the status page."""
        return {"n_streams": len(self._streams), "n_cancels": len(self._cancels)}

    def is_in_use(self, target: TargetId) -> bool:
        """Return whether this daemon recently sent a request to a target."""
        used_seconds = self._used_seconds.get(target, float("-inf"))
        return self._clock.now_seconds() - used_seconds < _IN_USE_WINDOW_SECONDS

    async def start_call(self, call: EngineCall) -> Result[EngineStream, TargetError]:
        """Send a request and wait for the engine's response headers.

        Returns:
            The stream; ``TargetUnreachable`` or ``TargetRefused`` when the
            request was certainly not run; otherwise ``TargetLost``.
        """
        self._used_seconds[call.target] = self._clock.now_seconds()
        try:
            async with running_timeout("first byte", self.settings.first_byte_seconds):
                response = await self._post_or_find(call)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Failure(TargetUnreachable("the target takes no connection"))
        except aiohttp.InvalidURL:
            return Failure(TargetUnreachable("the target has no valid address"))
        except TimeoutError:
            self.cancel_later(call)
            return Failure(TargetLost("the target sent nothing in time"))
        except (aiohttp.ClientError, OSError):
            return Failure(TargetLost("the connection broke before an answer"))
        return await self._check_response(call, response)

    async def resume(
        self, call: EngineCall, last_event: int
    ) -> aiohttp.ClientResponse | ResumeFailure:
        """Request the rest of a stream from its target over another connection."""
        headers = {"Last-Event-ID": str(last_event), **_IDENTITY_ENCODING}
        url = f"{call.url}/v1/streams/{call.request}"
        try:
            async with running_timeout("silence", self.settings.silence_seconds):
                response = await self._open_session().get(url, headers=headers)
        except aiohttp.ConnectionTimeoutError:
            return ResumeFailure.LOST
        except TimeoutError:
            return ResumeFailure.SILENT
        except (aiohttp.ClientError, OSError):
            return ResumeFailure.LOST
        if response.status != 200:
            response.close()
            return ResumeFailure.LOST
        return response

    def cancel_later(self, call: EngineCall) -> None:
        """Cancel a request at its target, without waiting for the result."""
        if len(self._cancels) >= _MAX_CANCELS:
            return
        task = asyncio.create_task(self._cancel(call.url, call.request))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def remove_stream(self, stream: EngineStream) -> None:
        """Stop checking a stream for silence."""
        self._streams.discard(stream)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise RuntimeError("the engine client is not started")
        return self._session

    async def _post_or_find(self, call: EngineCall) -> aiohttp.ClientResponse:
        """Post a request; look for its stream when no response begins.

        A pooled connection that broke without a reset loses the request, and its
        caller would wait for the whole first-byte time-out. So after the silence
        time-out the target is asked for the stream over another connection: either
        it has the stream, or it never received the request.

        Raises:
            TimeoutError: The target does not know the request.
        """
        post = asyncio.create_task(self._post(call))
        try:
            timeout_seconds = self.settings.silence_seconds
            is_done = await is_done_within(post, "first byte", timeout_seconds)
            if is_done or not call.expects_stream:
                return await post
            found = await self.resume(call, 0)
            if post.done():
                if not isinstance(found, ResumeFailure):
                    found.close()
                return await post
            if isinstance(found, ResumeFailure):
                raise TimeoutError("the target does not know the request")
            _log.info(
                "targets: found the stream of a request without response",
                request=call.request,
                target=call.target,
            )
            return found
        finally:
            post.cancel()

    async def _post(self, call: EngineCall) -> aiohttp.ClientResponse:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request,
            "X-Weights-Version": call.weights_version,
            **_IDENTITY_ENCODING,
        }
        if call.levels:
            headers["X-Prefix-Digests"] = ",".join(
                f"{level.digest}:{level.end_tokens}" for level in call.levels
            )
        return await self._open_session().post(
            call.url + call.path, data=call.body, headers=headers
        )

    async def _check_response(
        self, call: EngineCall, response: aiohttp.ClientResponse
    ) -> Result[EngineStream, TargetError]:
        if response.status != 200:
            return Failure(await self._read_rejection(call, response))
        fault = check_headers(call, response)
        if fault:
            # The answer belongs to another request, or was made with other weights
            # than the request was routed for; none of it may be delivered.
            response.close()
            self.cancel_later(call)
            _log.error("targets: answer rejected", target=call.target, fault=fault)
            return Failure(TargetLost(fault))
        stream = EngineStream(self, call, response)
        self._streams.add(stream)
        return Success(stream)

    async def _read_rejection(
        self, call: EngineCall, response: aiohttp.ClientResponse
    ) -> TargetError:
        try:
            async with running_timeout("silence", self.settings.silence_seconds):
                body = await read_bounded(response, _MAX_REJECTION_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError):
            body = b""
        response.release()
        status = response.status
        if 400 <= status < 500 or status == 503:
            retry_after = read_retry_after(response)
            return TargetRefused(f"the target said {status}", status, retry_after, body)
        return TargetLost(f"the target failed with {status}")

    async def _cancel(self, url: str, request: RequestId) -> None:
        address = f"{url}/v1/requests/{request}/cancel"
        try:
            async with running_timeout("cancel", _CANCEL_TIMEOUT_SECONDS):
                response = await self._open_session().post(address)
                response.release()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The engine has left or is unreachable; it also stops by itself when
            # the stream is not read for a while.
            _log.info("targets: cancel call failed", request=request)

    async def _watch_silence(self) -> None:
        """Abort connections of streams that have been silent for too long.

        One task checks all streams four times per time-out, because a timer per
        stream, reset at each of 31,500 reads a second, costs more than the reads.
        """
        timeout_seconds = self.settings.silence_seconds
        while True:
            await asyncio.sleep(timeout_seconds / 4)
            now_seconds = self._clock.now_seconds()
            for stream in tuple(self._streams):
                stream.check_silence(now_seconds)


_IDENTITY_ENCODING = {"Accept-Encoding": "identity"}


def check_headers(call: EngineCall, response: aiohttp.ClientResponse) -> str:
    """Return the fault of response headers; empty when there is none."""
    headers = response.headers
    if headers.get("X-Request-Id") != call.request:
        return "the target answered another request"
    if headers.get("X-Weights-Version", call.weights_version) != call.weights_version:
        return "the target answered with other weights"
    if not headers.get("X-Boot-Id"):
        return "the target did not name its boot id"
    return ""


def read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Return the seconds of ``Retry-After``; None if it is missing or unusable."""
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else None


def make_engine_client(settings: StreamSettings, clock: Clock) -> EngineClient:
    """Return a client that is not yet started."""
    return EngineClient(settings, clock)
