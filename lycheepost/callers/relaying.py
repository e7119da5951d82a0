"""Relay a target's response to the caller, complete or recognizably truncated.

Short responses are read to their end before the first byte is sent: if one breaks
off, the request can still be retried or answered with an error. Streams are sent as
they arrive, up to the end of the last complete event, so that another target can
continue them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import structlog

from lycheepost.callers.forwarddeps import CallerConnection, ForwardDeps, ForwardRequest
from lycheepost.core.routing import Route, RouteKind
from lycheepost.decide.attempts import AttemptEnd
from lycheepost.decide.streamend import StreamEnd, find_defect
from lycheepost.targets.errors import TargetError, TargetLost
from lycheepost.targets.events import EventSplitter
from lycheepost.targets.forward import ForwardResponse
from lycheepost.targets.forwardcall import ResponseHead
from lycheepost.utils.bodies import BodyEnd, BodyFraming

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest response that is buffered, so that a faulty target cannot fill the memory; a
larger one counts as broken."""

_WRITE_BYTES = 64 * 1024
"""Bytes written at a time. The connection takes the next ones once the caller has read
most of them; a single large write would copy all of them into its buffer."""

_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500

_log = structlog.get_logger(part="relay")


class FirstByteTimeout(Exception):
    """The headers arrived, but no byte of the body within the time-out."""


class RelayEnd(Enum):
    """How the relaying of one response ended."""

    SERVED = "served"
    CALLER_LEFT = "caller_left"
    FAILED = "failed"
    UNSEALED = "unsealed"
    BROKEN = "broken"
    CUT = "cut"
    FELL_SILENT = "fell_silent"
    OUT_OF_ORDER = "out_of_order"

    @property
    def end(self) -> AttemptEnd | None:
        """Return how the attempt ended; None when nothing more is due to the caller."""
        match self:
            case RelayEnd.SERVED | RelayEnd.CALLER_LEFT:
                return None
            case RelayEnd.FAILED:
                return AttemptEnd.FAILED
            case RelayEnd.UNSEALED | RelayEnd.BROKEN:
                return AttemptEnd.BROKEN
            case RelayEnd.CUT | RelayEnd.FELL_SILENT | RelayEnd.OUT_OF_ORDER:
                return AttemptEnd.CUT


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """How long a stream may be silent.

    Attributes:
        first_byte_seconds: Before the first part.
        idle_seconds: Between two parts; None for as long as the caller waits.
        may_abandon: Called after a time-out; False to wait once more.
    """

    first_byte_seconds: float
    idle_seconds: float | None
    may_abandon: Callable[[], bool]


async def read_with_timeout(
    answer: ForwardResponse, wait_seconds: float | None, may_abandon: Callable[[], bool]
) -> bytes | None:
    """Return the next bytes of a response; None after its end.

    Raises:
        TimeoutError: It was silent for ``wait_seconds``, and may be abandoned.
    """
    while True:
        try:
            async with asyncio.timeout(wait_seconds):
                return await answer.read()
        except TimeoutError:
            if may_abandon():
                raise


@dataclass(frozen=True, slots=True)
class RelayedBody:
    """How the body of a response was framed and ended, for the log.

    Attributes:
        n_partial_bytes: Bytes of an event that had begun and did not end.
    """

    framing: BodyFraming
    end: BodyEnd
    n_partial_bytes: int


def body_fields(body: RelayedBody | None) -> dict[str, object]:
    """Return the fields of a log event for a body; none if no headers arrived."""
    if body is None:
        return {}
    return {
        "framing": body.framing.value,
        "body_end": body.end.value,
        "partial_bytes": body.n_partial_bytes,
    }


class AnswerRelay:
    """Relays the responses of one request's targets to its caller.

    Attributes:
        has_begun: Part of a response has been sent to the caller.
        has_written: The attempt's target has completed an event, or its whole answer.
        first_seconds: From arrival to the first part that was sent; None before.
        longest_gap_seconds: The longest pause between two parts of a stream so far.
        last_body: How the body of the attempt's response was framed and ended; None
            before its headers.
    """

    def __init__(
        self,
        deps: ForwardDeps,
        request: ForwardRequest,
        route: Route,
        caller: CallerConnection,
    ) -> None:
        self.has_begun = False
        self.has_written = False
        self.first_seconds: float | None = None
        self.longest_gap_seconds = 0.0
        self.last_body: RelayedBody | None = None
        self._last_write_seconds: float | None = None
        self._deps = deps
        self._request = request
        self._route = route
        self._caller = caller
        self._splitter = EventSplitter()
        self._failure: tuple[ResponseHead, bytes] | None = None
        self._on_written: Callable[[], None] = lambda: None

    @property
    def after_event(self) -> int | None:
        """Return the id of the last event that the caller has, if any."""
        last_id = self._splitter.last_id
        return self._request.after_event if last_id is None else last_id

    @property
    def n_events(self) -> int:
        """Return how many events the caller has received."""
        return self._splitter.n_events

    @property
    def can_continue(self) -> bool:
        """Return whether another target can continue after the caller's last event."""
        return self._route.is_resumable and self._splitter.last_id is not None

    def begin_attempt(self) -> None:
        """Forget how the response of the last attempt ended."""
        self.last_body = None
        self.has_written = False

    async def relay(
        self,
        answer: ForwardResponse,
        timeouts: StreamTimeouts,
        on_first: Callable[[], None],
        on_written: Callable[[], None] = lambda: None,
    ) -> RelayEnd:
        """Relay one response.

        Args:
            answer: Its headers have arrived, and the target ran the request.
            timeouts: How long a stream may be silent.
            on_first: Called when the first part has arrived.
            on_written: Called when the target has completed an event, or a whole
                successful answer.

        Raises:
            FirstByteTimeout: No byte arrived in time, so none was relayed.
        """
        self._splitter.restart()
        self._on_written = on_written
        try:
            return await self._relay(answer, timeouts, on_first)
        finally:
            self.last_body = RelayedBody(
                answer.head.framing, answer.body_end, self._splitter.n_partial_bytes
            )

    async def _relay(
        self,
        answer: ForwardResponse,
        timeouts: StreamTimeouts,
        on_first: Callable[[], None],
    ) -> RelayEnd:
        head = answer.head
        if head.is_encoded or (
            head.status < _FIRST_ERROR_STATUS and not head.is_sealed
        ):
            return RelayEnd.UNSEALED
        is_stream = self._route.kind is RouteKind.STREAM
        if head.status < _FIRST_ERROR_STATUS and is_stream:
            return await self._relay_stream(answer, timeouts, on_first)
        if self.has_begun:
            return RelayEnd.CUT
        return await self._relay_complete(answer, on_first)

    async def _relay_complete(
        self, answer: ForwardResponse, on_first: Callable[[], None]
    ) -> RelayEnd:
        on_first()
        with self._deps.answer_bytes.open() as held:
            parts: list[bytes] = []
            try:
                while (data := await answer.read()) is not None:
                    parts.append(data)
                    is_kept = held.n_bytes + len(data) <= MAX_ANSWER_BYTES
                    if not is_kept or not held.take(len(data)):
                        return await self._relay_rest(answer, parts, is_kept)
            except TargetError as error:
                self._log_broken(error)
                return RelayEnd.BROKEN
            body = b"".join(parts)
            if answer.head.status < _FIRST_ERROR_STATUS:
                self._note_written()
            if answer.head.status >= _FIRST_SERVER_ERROR_STATUS:
                self._failure = (answer.head, body)
                return RelayEnd.FAILED
            return await self._send_complete(answer.head, body)

    async def _relay_rest(
        self, answer: ForwardResponse, parts: list[bytes], is_kept: bool
    ) -> RelayEnd:
        """Relay a response as it arrives, as too many are held to hold it as well.

        The target is then read as fast as the caller reads. If it breaks off, the
        request cannot be tried again.

        Args:
            answer: The response.
            parts: What was read of its body.
            is_kept: False if the response itself is too large.
        """
        if not is_kept:
            answer.close()
            _log.info("relay: answer too large", request_id=self._request.caller_id)
            return RelayEnd.BROKEN
        if answer.head.status >= _FIRST_SERVER_ERROR_STATUS:
            answer.close()
            return RelayEnd.FAILED
        self._note_written()
        self._note_begun()
        try:
            await self._caller.begin(answer.head, None)
            await self._write_slices(b"".join(parts))
            parts.clear()
            while (data := await answer.read()) is not None:
                await self._write_slices(data)
            await self._caller.finish()
        except TargetError as error:
            self._log_broken(error)
            return RelayEnd.CUT
        except ConnectionError:
            return RelayEnd.CALLER_LEFT
        return RelayEnd.SERVED

    async def _write_slices(self, body: bytes) -> None:
        """Write at the caller's pace."""
        for start in range(0, len(body), _WRITE_BYTES):
            await self._caller.write(body[start : start + _WRITE_BYTES])

    async def _send_complete(self, head: ResponseHead, body: bytes) -> RelayEnd:
        self._note_begun()
        try:
            await self._caller.begin(head, len(body))
            await self._write_slices(body)
            await self._caller.finish()
        except ConnectionError:
            return RelayEnd.CALLER_LEFT
        return RelayEnd.SERVED

    async def pass_on_failure(self) -> bool:
        """Relay the last target's own error response; False when there is none."""
        if self._failure is None or self.has_begun:
            return False
        head, body = self._failure
        await self._send_complete(head, body)
        return True

    async def _relay_stream(
        self,
        answer: ForwardResponse,
        timeouts: StreamTimeouts,
        on_first: Callable[[], None],
    ) -> RelayEnd:
        after_id = self._splitter.last_id
        try:
            data = await self._read_first(answer, timeouts)
            on_first()
            while data is not None:
                events = self._splitter.feed(data)
                if not self._is_in_order(after_id):
                    return RelayEnd.OUT_OF_ORDER
                await self._send_events(answer.head, events)
                data = await self._read_next(answer, timeouts)
            self._check_end(answer)
            await self._send_events(answer.head, self._splitter.flush())
            await self._finish_stream(answer.head)
        except TimeoutError:
            return RelayEnd.FELL_SILENT
        except TargetError as error:
            self._log_broken(error)
            return RelayEnd.CUT if self.has_begun else RelayEnd.BROKEN
        except ConnectionError:
            return RelayEnd.CALLER_LEFT
        return RelayEnd.SERVED

    def _check_end(self, answer: ForwardResponse) -> None:
        """Raise an error if a stream that has ended is not complete."""
        end = StreamEnd(
            is_marked=answer.body_end is BodyEnd.MARKED,
            is_inside_event=self._splitter.is_inside_event,
            has_events=self._splitter.has_events,
            is_continuation=self.after_event is not None,
        )
        defect = find_defect(end)
        if defect is not None:
            raise TargetLost(defect.value)

    async def _read_first(
        self, answer: ForwardResponse, timeouts: StreamTimeouts
    ) -> bytes | None:
        try:
            return await read_with_timeout(
                answer, timeouts.first_byte_seconds, timeouts.may_abandon
            )
        except TimeoutError:
            raise FirstByteTimeout from None

    async def _read_next(
        self, answer: ForwardResponse, timeouts: StreamTimeouts
    ) -> bytes | None:
        return await read_with_timeout(
            answer, timeouts.idle_seconds, timeouts.may_abandon
        )

    def _is_in_order(self, after_id: int | None) -> bool:
        """Return whether a continuation starts after the caller's last event.

        A target that starts from the beginning would repeat events.
        """
        first_id = self._splitter.first_id
        return after_id is None or first_id is None or first_id > after_id

    async def _send_events(self, head: ResponseHead, events: bytes) -> None:
        if not events:
            return
        self._note_written()
        if not self.has_begun:
            self._note_begun()
            await self._caller.begin(head, None)
        self._note_write()
        await self._caller.write(events)

    def _note_written(self) -> None:
        if not self.has_written:
            self.has_written = True
            self._on_written()

    def _note_write(self) -> None:
        now_seconds = self._deps.clock.now_seconds()
        if self._last_write_seconds is not None:
            gap_seconds = round(now_seconds - self._last_write_seconds, 4)
            self._count_pause(gap_seconds)
            self.longest_gap_seconds = max(self.longest_gap_seconds, gap_seconds)
        self._last_write_seconds = now_seconds

    def _count_pause(self, gap_seconds: float) -> None:
        """Count a stream at its first pause beyond its objective."""
        limit_seconds = self._route.gap_seconds
        if 0.0 < limit_seconds < gap_seconds and (
            self.longest_gap_seconds <= limit_seconds
        ):
            self._deps.metrics.count("streams_paused")

    async def _finish_stream(self, head: ResponseHead) -> None:
        if not self.has_begun:
            self._note_begun()
            await self._caller.begin(head, None)
        await self._caller.finish()

    def _note_begun(self) -> None:
        self.has_begun = True
        now_seconds = self._deps.clock.now_seconds()
        self.first_seconds = round(now_seconds - self._request.arrived_seconds, 4)
        self._deps.metrics.timing("ttft", self.first_seconds)

    def _log_broken(self, error: TargetError) -> None:
        _log.info(
            "relay: answer broken",
            request_id=self._request.caller_id,
            reason=error.reason,
        )

    def abort(self) -> None:
        """Break the caller's connection; its response cannot be completed."""
        _log.warning(
            "relay: answer cut",
            request_id=self._request.caller_id,
            last_event=self._splitter.last_id,
        )
        self._caller.abort()
