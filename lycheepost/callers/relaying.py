"""Relay a target's response to the caller, complete or recognizably truncated.

Short responses are read to their end before the first byte is sent: if one breaks
off, the request can still be retried or answered with an error. Streams are sent as
they arrive, up to the end of the last complete event, so that another target can
continue them.

Several targets may be asked while none answers. The first one with a part of an answer
begins, and the others are ended.
"""

from collections.abc import Callable
from enum import Enum

import structlog

from lycheepost.callers.forwarddeps import CallerConnection, ForwardDeps, ForwardRequest
from lycheepost.callers.reading import (
    AttemptCalls,
    AttemptTrace,
    Reading,
    RelayedBody,
    StreamTimeouts,
)
from lycheepost.core.routing import Route, RouteKind
from lycheepost.decide.attempts import AttemptEnd
from lycheepost.decide.streamend import StreamEnd, find_defect
from lycheepost.targets.errors import TargetError, TargetLost
from lycheepost.targets.forward import ForwardResponse
from lycheepost.targets.forwardcall import ResponseHead
from lycheepost.utils.bodies import BodyEnd

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest response that is buffered, so that a faulty target cannot fill the memory; a
larger one counts as broken."""

_WRITE_BYTES = 64 * 1024
"""Bytes written at a time. The connection takes the next ones once the caller has read
most of them; a single large write would copy all of them into its buffer."""

_FIRST_ERROR_STATUS = 400
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers are promised that a request has not run and never will."""

_FIRST_SERVER_ERROR_STATUS = 500

_log = structlog.get_logger(part="relay")


class RelayEnd(Enum):
    """How the relaying of one response ended."""

    SERVED = "served"
    CALLER_LEFT = "caller_left"
    FAILED = "failed"
    UNSEALED = "unsealed"
    BROKEN = "broken"
    CUT = "cut"
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
            case RelayEnd.CUT | RelayEnd.OUT_OF_ORDER:
                return AttemptEnd.CUT


def body_fields(body: RelayedBody | None) -> dict[str, object]:
    """Return the fields of a log event for a body; none if no headers arrived."""
    if body is None:
        return {}
    return {
        "framing": body.framing.value,
        "body_end": body.end.value,
        "partial_bytes": body.n_partial_bytes,
    }


def promises_not_run(head: ResponseHead, route: Route) -> bool:
    """Return whether callers would take a target's response for "not run".

    A target's own 503 for a request that it ran means something else. Passed on, it
    would make the caller send a request again that may run once only.
    """
    return head.status in _NOT_RUN_STATUSES and not route.is_repeatable


def _ignore(_trace: AttemptTrace) -> None:
    """Do nothing about an attempt that begins to answer."""


class AnswerRelay:
    """Relays the responses of one request's targets to its caller.

    Args:
        deps: The dependencies of forwarding.
        request: The caller's request.
        route: Its route.
        caller: The connection that the response goes to.
        on_turn: Called with the attempt that begins to answer, before its first byte.

    Attributes:
        has_begun: Part of a response has been sent to the caller.
        first_seconds: From arrival to the first part that was sent; None before.
        longest_gap_seconds: The longest pause between two parts of a stream so far.
    """

    def __init__(
        self,
        deps: ForwardDeps,
        request: ForwardRequest,
        route: Route,
        caller: CallerConnection,
        on_turn: Callable[[AttemptTrace], None] | None = None,
    ) -> None:
        self.has_begun = False
        self.first_seconds: float | None = None
        self.longest_gap_seconds = 0.0
        self._on_turn = on_turn or _ignore
        self._turn: AttemptTrace | None = None
        self._last_write_seconds: float | None = None
        self._deps = deps
        self._request = request
        self._route = route
        self._caller = caller
        self._last_id: int | None = None
        self._n_events = 0
        self._failure: tuple[ResponseHead, bytes] | None = None

    @property
    def after_event(self) -> int | None:
        """Return the id of the last event that the caller has, if any."""
        return self._request.after_event if self._last_id is None else self._last_id

    @property
    def n_events(self) -> int:
        """Return how many events the caller has received."""
        return self._n_events

    @property
    def can_continue(self) -> bool:
        """Return whether another target can continue after the caller's last event."""
        return self._route.is_resumable and self._last_id is not None

    @property
    def silent_end(self) -> AttemptEnd:
        """Return what the silence of a target counts as."""
        return AttemptEnd.CUT if self.has_begun else AttemptEnd.LOST

    def _take_turn(self, trace: AttemptTrace) -> None:
        """Let an attempt write to the caller, and no other one."""
        if self._turn is trace:
            return
        if self._turn is not None:
            raise RuntimeError("another attempt has begun to answer")
        self._turn = trace
        self._on_turn(trace)

    def end(self) -> None:
        """Report no more attempts."""
        self._on_turn = _ignore

    def yield_turn(self, trace: AttemptTrace) -> None:
        """Let another attempt write, as this one has ended or its target is silent."""
        if self._turn is trace:
            self._turn = None

    async def relay(
        self,
        answer: ForwardResponse,
        timeouts: StreamTimeouts,
        trace: AttemptTrace,
        calls: AttemptCalls,
    ) -> RelayEnd:
        """Relay one response.

        Args:
            answer: Its headers have arrived, and the target ran the request.
            timeouts: How long a stream may be silent.
            trace: Filled with what is relayed.
            calls: What to call as it arrives.
        """
        reading = Reading(answer, timeouts, trace, calls)
        try:
            return await self._relay(reading)
        finally:
            self.yield_turn(trace)
            trace.body = RelayedBody(
                answer.head.framing, answer.body_end, reading.splitter.n_partial_bytes
            )

    async def _relay(self, reading: Reading) -> RelayEnd:
        head = reading.answer.head
        if head.is_encoded or (
            head.status < _FIRST_ERROR_STATUS and not head.is_sealed
        ):
            return RelayEnd.UNSEALED
        is_stream = self._route.kind is RouteKind.STREAM
        if head.status < _FIRST_ERROR_STATUS and is_stream:
            return await self._relay_stream(reading)
        if self.has_begun:
            return RelayEnd.CUT
        return await self._relay_complete(reading)

    async def _relay_complete(self, reading: Reading) -> RelayEnd:
        answer = reading.answer
        reading.calls.on_first()
        if promises_not_run(answer.head, self._route):
            answer.close()
            return RelayEnd.FAILED
        with self._deps.answer_bytes.open() as held:
            parts: list[bytes] = []
            try:
                while (data := await answer.read()) is not None:
                    parts.append(data)
                    is_kept = held.n_bytes + len(data) <= MAX_ANSWER_BYTES
                    if not is_kept or not held.take(len(data)):
                        return await self._relay_rest(reading, parts, is_kept)
            except TargetError as error:
                self._log_broken(error)
                return RelayEnd.BROKEN
            body = b"".join(parts)
            if answer.head.status < _FIRST_ERROR_STATUS:
                reading.note_written()
            if answer.head.status >= _FIRST_SERVER_ERROR_STATUS:
                self._failure = (answer.head, body)
                return RelayEnd.FAILED
            return await self._send_complete(answer.head, body, reading.trace)

    async def _relay_rest(
        self, reading: Reading, parts: list[bytes], is_kept: bool
    ) -> RelayEnd:
        """Relay a response as it arrives, as too many are held to hold it as well.

        The target is then read as fast as the caller reads. If it breaks off, the
        request cannot be tried again.

        Args:
            reading: The response.
            parts: What was read of its body.
            is_kept: False if the response itself is too large.
        """
        answer = reading.answer
        if not is_kept:
            answer.close()
            _log.info("relay: answer too large", request_id=self._request.caller_id)
            return RelayEnd.BROKEN
        if answer.head.status >= _FIRST_SERVER_ERROR_STATUS:
            answer.close()
            return RelayEnd.FAILED
        reading.note_written()
        self._take_turn(reading.trace)
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

    async def _send_complete(
        self, head: ResponseHead, body: bytes, trace: AttemptTrace
    ) -> RelayEnd:
        self._take_turn(trace)
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
        await self._send_complete(head, body, AttemptTrace())
        return True

    async def _relay_stream(self, reading: Reading) -> RelayEnd:
        splitter, after_id = reading.splitter, self._last_id
        try:
            data = await reading.read_first()
            reading.calls.on_first()
            while data is not None:
                events = splitter.feed(data)
                if not reading.is_after(after_id):
                    return RelayEnd.OUT_OF_ORDER
                await self._send_events(reading, events)
                data = await reading.read_next()
            self._check_end(reading)
            await self._send_events(reading, splitter.flush())
            await self._finish_stream(reading)
        except TargetError as error:
            self._log_broken(error)
            return RelayEnd.CUT if self.has_begun else RelayEnd.BROKEN
        except ConnectionError:
            return RelayEnd.CALLER_LEFT
        return RelayEnd.SERVED

    def _check_end(self, reading: Reading) -> None:
        """Raise an error if a stream that has ended is not complete."""
        end = StreamEnd(
            is_marked=reading.answer.body_end is BodyEnd.MARKED,
            is_inside_event=reading.splitter.is_inside_event,
            has_events=reading.splitter.has_events,
            is_continuation=self.after_event is not None,
        )
        defect = find_defect(end)
        if defect is not None:
            raise TargetLost(defect.value)

    async def _send_events(self, reading: Reading, events: bytes) -> None:
        if not events:
            return
        self._take_turn(reading.trace)
        reading.note_written()
        self._note_events(reading)
        if not self.has_begun:
            self._note_begun()
            await self._caller.begin(reading.answer.head, None)
        self._note_write()
        await self._caller.write(events)

    def _note_events(self, reading: Reading) -> None:
        splitter = reading.splitter
        self._n_events += splitter.n_events - reading.n_sent_events
        reading.n_sent_events = splitter.n_events
        if splitter.last_id is not None:
            self._last_id = splitter.last_id

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

    async def _finish_stream(self, reading: Reading) -> None:
        self._take_turn(reading.trace)
        if not self.has_begun:
            self._note_begun()
            await self._caller.begin(reading.answer.head, None)
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
            last_event=self._last_id,
        )
        self._caller.abort()
