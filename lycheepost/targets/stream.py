"""One answer of one engine, verified while it is read.

``EngineStream.read`` returns bytes that may be written to the caller unchanged:
complete events of this request, each once and in order. A connection that breaks,
falls silent or skips an event is replaced, and the same target is asked for the
rest. A target that has restarted since then cannot provide it.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
import msgspec
import structlog

from lycheepost.core.ids import Incarnation
from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.calls import EngineCall, ResumeFailure
from lycheepost.targets.continuation import EventRewriter
from lycheepost.targets.direct import BodyHandler, attach_handler, detach_handler
from lycheepost.targets.errors import StreamCrossed, StreamLost
from lycheepost.targets.sse import (
    BrokenStreamError,
    Chunk,
    CrossedEventError,
    EventChecker,
    Usage,
    decode_chunk,
)
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.runningtime import running_timeout

_log = structlog.get_logger(part="targets")
_MAX_UNSTREAMED_BYTES = 16 * 1024 * 1024
"""Largest answer that is not streamed; 4,096 tokens with log probabilities take
less than a tenth of this."""
_BODY_END_TIMEOUT_SECONDS = 0.25
"""Time-out for the end of the HTTP body after ``[DONE]``. The connection can be reused
only after a complete body."""


class StreamOwner(Protocol):
    """What a stream uses of the client that opened it."""

    @property
    def settings(self) -> StreamSettings:
        """Return the time-outs of streams."""
        ...

    async def resume(
        self, call: EngineCall, last_event: int
    ) -> aiohttp.ClientResponse | ResumeFailure:
        """Reopen the stream of a call after an event."""
        ...

    def cancel_later(self, call: EngineCall) -> None:
        """Cancel a call at its target, without waiting for the result."""
        ...

    def remove_stream(self, stream: "EngineStream") -> None:
        """Remove a stream that has ended."""
        ...


class EngineStream:
    """An answer that is being read.

    Attributes:
        call: The call that the answer belongs to.
        boot_id: Incarnation of the responding target.
        usage: Tokens, as counted by the engine; None before the end.
    """

    def __init__(
        self,
        client: StreamOwner,
        call: EngineCall,
        response: aiohttp.ClientResponse,
    ) -> None:
        self.call = call
        self.boot_id = Incarnation(response.headers["X-Boot-Id"])
        self.usage: Usage | None = None
        self.content_type = response.headers.get("Content-Type", "")
        self._client = client
        self._response = response
        self._content = response.content
        self._checker = EventChecker(call.answer_id)
        self._rewriter = EventRewriter(call.continues) if call.continues else None
        self._resumes_left = client.settings.resume_tries
        self._is_waiting = False
        self._stop_pump: Callable[[BaseException | None], None] | None = None
        self._idle_since_seconds: float | None = None
        self._n_events_seen = 0
        self._n_events_recovered = 0
        self._is_finished = False

    @property
    def n_events(self) -> int:
        """Return the number of events delivered to the caller, over all targets."""
        if self._rewriter is not None:
            return self._rewriter.n_events
        return self._checker.n_events

    async def read(self) -> bytes | None:
        """Return the next verified bytes; None when the answer is complete.

        Raises:
            StreamLost: This target cannot provide the rest.
            StreamCrossed: The target sent another request's answer.
        """
        if self._is_finished:
            return None
        if not self.call.expects_stream:
            return await self._read_unstreamed()
        while not self._checker.is_done:
            ready = await self._read_events()
            if ready:
                return ready
        await self._end()
        return None

    async def cancel(self) -> None:
        """Stop reading and cancel the call at the engine."""
        if not self._is_finished:
            self._close()
            self._client.cancel_later(self.call)

    async def pump(self, write: Callable[[bytes], bool]) -> bool:
        """Pass verified bytes to ``write`` within the read callback.

        Args:
            write: Must not block; returns False to pause.

        Returns:
            True when the answer is complete, False when ``write`` returned False.

        Raises:
            StreamLost: This target cannot provide the rest.
            StreamCrossed: The target sent another request's answer.
        """
        if not self.call.expects_stream:
            while (ready := await self.read()) is not None:
                if not write(ready):
                    return False
            return True
        while not self._checker.is_done:
            if not await self._pump_from_connection(write):
                return False
        if not self._is_finished:
            await self._end()
        return True

    async def _pump_from_connection(self, write: Callable[[bytes], bool]) -> bool:
        """Pump until the connection ends or must be replaced.

        Returns:
            False when ``write`` returned False.
        """
        content = self._content
        ended: asyncio.Future[BaseException | None]
        ended = asyncio.get_running_loop().create_future()
        is_stopped = False

        def stop(error: BaseException | None) -> None:
            detach_handler(content)
            if not ended.done():
                ended.set_result(error)

        def handle_data(data: bytes) -> None:
            nonlocal is_stopped
            ready = checker.feed(data)
            if ready and not write(ready if rewrite is None else rewrite(ready)):
                is_stopped = True
                self._pause_reading()
                stop(None)
            elif checker.fault is not None or checker.is_done:
                stop(checker.fault)

        checker = self._checker
        rewrite = self._rewriter.rewrite if self._rewriter else None
        # A handler can be attached to an empty reader only, or bytes would be
        # reordered. So buffered bytes are read first.
        if checker.fault is not None:
            await self._recover(checker.fault)
            return True
        if content.exception() is None and (buffered := content.read_nowait()):
            ready = self._check(buffered)
            return not ready or write(ready)
        if content.is_eof() or not attach_handler(
            content, BodyHandler(handle_data, stop)
        ):
            ready = await self._read_events()
            return not ready or write(ready)
        self._is_waiting = True
        self._stop_pump = stop
        try:
            error = await ended
        finally:
            self._is_waiting = False
            self._stop_pump = None
            detach_handler(content)
        if is_stopped:
            return False
        if not checker.is_done:
            await self._recover(error)
        return True

    def check_silence(self, now_seconds: float) -> None:
        """Abort the connection if no event has arrived for too long.

        Only time spent waiting for the target counts, because a caller that reads
        slowly delays the stream as well.
        """
        n_events = self._checker.n_events
        is_idle = self._is_waiting and n_events == self._n_events_seen
        self._n_events_seen = n_events
        if not is_idle:
            self._idle_since_seconds = None
            return
        if self._idle_since_seconds is None:
            self._idle_since_seconds = now_seconds
            return
        settings = self._client.settings
        timeout_seconds = (
            settings.silence_seconds if n_events else settings.first_byte_seconds
        )
        if now_seconds - self._idle_since_seconds > timeout_seconds:
            self._idle_since_seconds = None
            silence = TimeoutError("silent")
            self._content.set_exception(silence)
            if self._stop_pump is not None:
                self._stop_pump(silence)

    def resume_reading(self) -> None:
        """Resume reading from the target after ``pump`` returned False."""
        connection = self._response.connection
        if connection is not None and connection.protocol is not None:
            connection.protocol.resume_reading()

    def _pause_reading(self) -> None:
        connection = self._response.connection
        if connection is not None and connection.protocol is not None:
            connection.protocol.pause_reading()

    async def _read_events(self) -> bytes:
        """Return verified events; empty when the connection was replaced."""
        if self._checker.fault is not None:
            await self._recover(self._checker.fault)
        try:
            self._is_waiting = True
            data = await self._content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            await self._recover(error)
            return b""
        finally:
            self._is_waiting = False
        if not data:
            await self._recover(None)
            return b""
        return self._check(data)

    def _check(self, data: bytes) -> bytes:
        """Return the events that may be delivered."""
        ready = self._checker.feed(data)
        if not ready:
            return b""
        return self._rewriter.rewrite(ready) if self._rewriter else ready

    async def _recover(self, error: BaseException | None) -> None:
        """Replace the connection and continue after the last complete event.

        Args:
            error: Error that ended the connection; None for the end of the body.

        Raises:
            StreamLost: The target cannot provide the rest.
            StreamCrossed: It sent another request's events.
        """
        reason = _describe(error)
        if isinstance(error, CrossedEventError):
            raise self._fail(reason, is_crossed=True)
        self._response.close()
        self._checker.restart()
        if self._checker.n_events > self._n_events_recovered:
            # Only resumes without progress in between count against the limit: a
            # long answer over a poor connection may need many in total.
            self._resumes_left = self._client.settings.resume_tries
            self._n_events_recovered = self._checker.n_events
        while self._resumes_left > 0:
            self._resumes_left -= 1
            _log.info(
                "targets: resuming a stream",
                request=self.call.request,
                target=self.call.target,
                reason=reason,
            )
            response = await self._resume()
            if isinstance(response, ResumeFailure):
                break
            self._response = response
            self._content = response.content
            if response.headers.get("X-Request-Id") != self.call.request:
                raise self._fail("a resume gave another request", is_crossed=True)
            if response.headers.get("X-Boot-Id") != self.boot_id:
                raise self._fail("the target has restarted")
            return
        raise self._fail(reason)

    async def _resume(self) -> aiohttp.ClientResponse | ResumeFailure:
        """Reopen the stream, again as long as the target is silent and the only one.

        A target that pauses for longer than the time-out would otherwise be cancelled,
        and the answer end with an error, though nobody else can go on with it.
        """
        until_seconds = asyncio.get_running_loop().time()
        until_seconds += self._client.settings.first_byte_seconds
        while True:
            found = await self._client.resume(self.call, self._checker.n_events)
            is_late = asyncio.get_running_loop().time() >= until_seconds
            if found is not ResumeFailure.SILENT or is_late:
                return found
            if self.call.has_alternative():
                return found
            _log.info(
                "targets: silent, and there is no other",
                request=self.call.request,
                target=self.call.target,
            )

    def _fail(self, reason: str, is_crossed: bool = False) -> StreamLost:
        self._close()
        self._client.cancel_later(self.call)
        kind = StreamCrossed if is_crossed else StreamLost
        text = self._checker.delivered.text()
        n_tokens = self._checker.delivered.n_tokens
        if self.call.continues is not None:
            n_tokens += self.call.continues.n_tokens
            text = None if text is None else self.call.continues.text + text
        return kind(reason, self.n_events, n_tokens, text)

    def _close(self) -> None:
        self._is_finished = True
        self._client.remove_stream(self)
        self._response.close()

    async def _end(self) -> None:
        """Record the usage and return the connection to the pool."""
        self.usage = self._checker.usage
        if self._rewriter is not None and self.usage is not None:
            self.usage = self._rewriter.correct_usage(self.usage)
        self._is_finished = True
        self._client.remove_stream(self)
        try:
            async with running_timeout("body end", _BODY_END_TIMEOUT_SECONDS):
                rest = await self._content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError):
            rest = b"."
        if rest:
            self._response.close()
        else:
            self._response.release()

    async def _read_unstreamed(self) -> bytes:
        try:
            async with running_timeout(
                "body", self._client.settings.first_byte_seconds
            ):
                body = await read_bounded(self._response, _MAX_UNSTREAMED_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise self._fail(_describe(error)) from None
        try:
            chunk: Chunk = decode_chunk(body)
        except (BrokenStreamError, msgspec.MsgspecError):
            raise self._fail("the answer is not JSON of the expected form") from None
        if chunk.id != self.call.answer_id:
            raise self._fail("the answer belongs to another request", is_crossed=True)
        self.usage = chunk.usage
        self._is_finished = True
        self._client.remove_stream(self)
        self._response.release()
        return body


def _describe(error: BaseException | None) -> str:
    if error is None:
        return "the stream ended early"
    if isinstance(error, BrokenStreamError):
        return str(error)
    if isinstance(error, TimeoutError):
        return "the connection fell silent"
    return "the connection broke"
