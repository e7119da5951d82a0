"""Stand-ins for the platform's servers: engines and plain services.

``standin.enginetiming`` models an engine's timing, batches and cache. This module adds
the platform's protocol: ids, seals, refusals marked as not run, and weights orders.
Each run is recorded, so that an audit can count requests that ran twice or with other
bytes.
"""

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable, Mapping

import msgspec
from aiohttp import web

from lycheepost.core.clock import SystemClock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PrefixDigest, RequestId
from lycheepost.decide.records import PrefixLevel
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverfaults import (
    BrokenOff,
    CrashAndReturn,
    CrashPoint,
    Encoded,
    ExtraAnswer,
    InvalidAnswer,
    PartCrash,
    ServerFailure,
    ServerFault,
    StopPoint,
    Unframed,
    Unsealed,
)
from lycheepost.platform.models.serverstate import ServerRun, ServerState
from lycheepost.standin.enginerecords import EngineRequest
from lycheepost.standin.enginetiming import STANDIN_SPEEDS, make_engine_timing
from lycheepost.standin.faults import (
    CrashAt,
    FaultPlan,
    LostAnswer,
    Refused,
    Silent,
    Swallowed,
    Truncated,
)
from lycheepost.standin.rawbodies import (
    EarlyEnd,
    Framing,
    RawResponse,
    Stop,
    answer_early,
    make_unframing_middleware,
)
from lycheepost.standin.rawheads import HeadForm, encode_form
from lycheepost.standin.webserver import StandinServer

_HANG_SECONDS = 3600.0
RESTART_MS = 1500
"""Difference between the start times of two successive starts of a server."""
FALL_SECONDS = 2.0
"""How long a server that crashed by rejections is away."""
_EARLY_PAUSE_SECONDS = 0.05
"""How long the connection of an early answer stays open after each step."""
_EARLY_UNREAD_BYTES = 16 * 1024
"""What the system takes of a request before its server reads it."""
_numbers = itertools.count(1)


class PlatformServer:
    """One server that speaks the platform's protocol.

    Args:
        service: The service that it registers under.
        model: The model that it serves; empty for a plain service.
        n_events: Events of each stream; tests may change the attribute later.

    Attributes:
        runs: All requests that it began to run.
        arrivals: The attempt id and the time, by the loop's clock, of each request that
            arrived, including those that it rejected or that were meant for another.
        n_running: Requests that it currently runs.
        drops_order_answers: Whether it accepts orders but drops the responses.
        on_fault: Called just before a stream is aborted.
        n_events: Events of each stream.
        n_repeats: How often the body of a plain response is repeated, to make it large.
        run_seconds: How long it runs a plain request.
        faults: Faults to apply to calls, by attempt id.
        limit_per_second: The rate limit that it states; None for no limit. It does not
            enforce it.
        announces_leaving: Whether its responses say that it is leaving. It still serves
            requests, and its entry in the store does not change.
        leaving_said_seconds: The time of the first response that said so, by the loop's
            clock; None before it.
        backoff_seconds: If set, it rejects requests and asks for a back-off of this
            length.
        rejected_seconds: The times of these rejections, by the loop's clock.
        n_health_checks: Number of health checks that it received.
        n_misdirected: Number of those that were meant for another server.
        n_slots: Requests that it runs at the same time; it rejects others.
        brittle_per_second: Rejections a second for want of a slot beyond which it
            crashes, as it states; None if it is not brittle.
        brittle_from_seconds: When it may begin to crash, by the loop's clock.
        n_falls: How often it crashed by rejections.
        is_unframed: Whether its responses have neither length nor chunks.
        crash_parts: Shared parts of prompts that crash it as it begins to write an
            answer, with what it has sent by then.
        part_crashes: Its crashes by such parts.
        on_crash: Called as a plain server crashes; it stays away.
        on_part_crash: Called after each of them; the server stays away.
    """

    def __init__(
        self,
        service: str,
        model: str = "",
        n_events: int = 6,
        run_seconds: float = 0.002,
        host: str = "127.0.0.1",
        n_slots: int = 32,
    ) -> None:
        self.name = f"i-{next(_numbers):04d}"
        self.service = service
        self.state = ServerState(model)
        self.runs: list[ServerRun] = []
        self.arrivals: list[tuple[str, float]] = []
        self.faults: FaultPlan[ServerFault] = FaultPlan()
        self._early_ends: FaultPlan[EarlyEnd] = FaultPlan()
        self.is_leaving = False
        self.drops_order_answers = False
        self.limit_per_second: float | None = None
        self.announces_leaving = False
        self.leaving_said_seconds: float | None = None
        self.backoff_seconds: float | None = None
        self.rejected_seconds: list[float] = []
        self.n_health_checks = 0
        self.n_misdirected = 0
        self.n_slots = n_slots
        self.brittle_per_second: float | None = None
        self.brittle_from_seconds = float("-inf")
        self.n_falls = 0
        self.is_unframed = False
        self.crash_parts: Mapping[str, CrashPoint] = {}
        self.part_crashes: list[PartCrash] = []
        self.on_crash: Callable[[], object] = lambda: None
        self.on_part_crash: Callable[[], object] = lambda: None
        self._full_seconds: deque[float] = deque()
        self._is_falling = False
        self._awake = asyncio.Event()
        self._awake.set()
        self.on_fault: Callable[[], object] = lambda: None
        self.n_events = n_events
        self.n_repeats = 1
        self.run_seconds = run_seconds
        self.n_running = 0
        self._server = StandinServer(self._make_app, host, 0)
        self._timing = make_engine_timing(self.name, STANDIN_SPEEDS, SystemClock())
        self._load_tasks: set[asyncio.Task[None]] = set()

    def use_port(self, port: int) -> None:
        """Listen on this port from the next start."""
        self._server = StandinServer(self._make_app, "127.0.0.1", port)

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return self._server.url.removeprefix("http://")

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close all connections and stop."""
        self._timing.close()
        await self._server.stop()

    def restart(self, software: str | None = None) -> None:
        """Restart at once under the same name; only the weights are kept.

        Args:
            software: Version of its software from now on; None for the same.
        """
        old = self.state
        if old.started_ms is None:
            raise ValueError(
                "a server that states no start time cannot restart under its name"
            )
        self.state = ServerState(
            old.model,
            started_ms=old.started_ms + RESTART_MS,
            version=old.version,
            load_seconds=old.load_seconds,
            software=old.software if software is None else software,
        )
        self._awake.set()
        self._timing.close()
        self._timing = make_engine_timing(self.name, STANDIN_SPEEDS, SystemClock())
        for load in self._load_tasks:
            load.cancel()
        self._server.abort_connections()

    def rename(self) -> None:
        """Come back as a new server, with nothing of before but the weights."""
        old = self.state
        self._awake.set()
        self.name = f"i-{next(_numbers):04d}"
        self.state = ServerState(
            old.model,
            started_ms=old.started_ms,
            version=old.version,
            load_seconds=old.load_seconds,
            software=old.software,
        )
        self._timing = make_engine_timing(self.name, STANDIN_SPEEDS, SystemClock())

    def freeze(self) -> None:
        """Stop responding on open connections for good; new connections work."""
        self._server.freeze_connections()

    def answer_early(self, plan: FaultPlan[EarlyEnd]) -> None:
        """Answer the next requests of a plan before their bodies, and break off."""
        self._early_ends = plan
        self._server.limit_unread_bytes(_EARLY_UNREAD_BYTES)

    async def pause(self, seconds: float) -> None:
        """Send nothing for a time, then go on as if nothing had happened."""
        self._awake.clear()
        await asyncio.sleep(seconds)
        self._awake.set()

    async def _fall(self) -> None:
        """Crash, and come back after some time."""
        self.n_falls += 1
        await self._server.stop()
        await asyncio.sleep(FALL_SECONDS)
        self._full_seconds.clear()
        await self._server.start()
        self._is_falling = False

    def _reject_full(self, request: web.Request) -> web.Response:
        """Reject a request for want of a slot; too many rejections crash it."""
        now_seconds = asyncio.get_running_loop().time()
        self._full_seconds.append(now_seconds)
        while self._full_seconds[0] < now_seconds - 1.0:
            self._full_seconds.popleft()
        bound = self.brittle_per_second
        is_brittle = bound is not None and now_seconds >= self.brittle_from_seconds
        is_over = len(self._full_seconds) > (bound or 0.0)
        if is_brittle and is_over and not self._is_falling:
            self._is_falling = True
            task = asyncio.create_task(self._fall())
            self._load_tasks.add(task)
            task.add_done_callback(self._load_tasks.discard)
        return self._reject(request, 503)

    def entry(self, zone: str) -> bytes:
        """Return the entry that the server writes into the store."""
        models = []
        if self.state.model:
            models = [{"name": self.state.model, "version": self.state.version}]
        return msgspec.json.encode(
            self._start_fields()
            | {
                "service": self.service,
                "address": self.address,
                "zone": zone,
                "version": self.state.software,
                "slots": self.n_slots,
                "state": "draining" if self.is_leaving else "ready",
                "cold_left_ms": 0,
                "models": models,
                "seq": 1,
            }
        )

    def _start_fields(self) -> dict[str, object]:
        """Return the field with the start time, which entries and reports share."""
        started_ms = self.state.started_ms
        return {} if started_ms is None else {"born": started_ms}

    def _make_app(self) -> web.Application:
        unframe = make_unframing_middleware(lambda: self.is_unframed)
        app = web.Application(client_max_size=16 * 1024 * 1024, middlewares=[unframe])
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    def _response_headers(self, request: web.Request) -> dict[str, str]:
        headers = {
            names.TARGET: self.name,
            names.LOAD: f"{self.n_running},0,{self.n_slots}",
        }
        headers |= self._notice_headers()
        attempt_id = request.headers.get(names.ATTEMPT_ID)
        if attempt_id:
            headers[names.ATTEMPT_ID] = attempt_id
        if self.state.model:
            headers[names.WEIGHTS] = str(self.state.version)
        return headers

    def _notice_headers(self) -> dict[str, str]:
        """Return the headers that all responses of the server carry."""
        headers = {}
        if self.limit_per_second is not None:
            headers[names.RATE_LIMIT] = str(self.limit_per_second)
        if self.brittle_per_second is not None:
            headers[names.BRITTLE] = f"{self.brittle_per_second:g}"
        if self.announces_leaving:
            headers[names.LEAVING] = "1"
            if self.leaving_said_seconds is None:
                self.leaving_said_seconds = asyncio.get_running_loop().time()
        return headers

    def _reject(self, request: web.Request, status: int) -> web.Response:
        headers = self._response_headers(request) | {names.NOT_RUN: "1"}
        return web.Response(status=status, headers=headers)

    def _reject_with_backoff(
        self, request: web.Request, backoff_seconds: float
    ) -> web.Response:
        self.rejected_seconds.append(asyncio.get_running_loop().time())
        response = self._reject(request, 503)
        response.headers[names.RETRY_AFTER] = str(backoff_seconds)
        return response

    def _check(self, request: web.Request) -> web.Response | None:
        headers = request.headers
        if headers.get(names.EXPECTED_TARGET, self.name) != self.name:
            return web.Response(status=421, headers=self._response_headers(request))
        expected = headers.get(names.EXPECTED_WEIGHTS)
        if expected is not None and int(expected) != self.state.version:
            return web.Response(status=421, headers=self._response_headers(request))
        if names.ATTEMPT_ID not in headers:
            return self._reject(request, 400)
        if self.backoff_seconds is not None:
            return self._reject_with_backoff(request, self.backoff_seconds)
        if self.state.is_changing:
            return self._reject(request, 503)
        if self.n_running >= self.n_slots:
            return self._reject_full(request)
        return None

    async def _health(self, request: web.Request) -> web.StreamResponse:
        await self._server.block_if_frozen(request)
        await self._awake.wait()
        if request.headers.get(names.EXPECTED_TARGET, self.name) != self.name:
            self.n_misdirected += 1
            return web.Response(status=421, headers=self._response_headers(request))
        self.n_health_checks += 1
        status = 503 if self.is_leaving else 200
        return web.Response(status=status, headers=self._response_headers(request))

    async def _report(self, request: web.Request) -> web.StreamResponse:
        await self._awake.wait()
        state = self.state
        models = (
            [{"name": state.model, "version": state.version}] if state.model else []
        )
        return web.json_response(
            self._start_fields()
            | {
                "stage": "colocated",
                "models": models,
                "busy": state.is_changing,
                "seq": state.n_orders,
                "queued": 0,
                "active": self.n_running,
                "kv_used": 0,
                "kv_total": 1000,
            },
            headers=self._notice_headers(),
        )

    async def _order(self, request: web.Request) -> web.StreamResponse:
        order = await request.json()
        state = self.state
        state.orders.append(order)
        state.order_seconds.append(time.monotonic())
        if state.is_changing or order.get("expected", state.n_orders) != state.n_orders:
            return web.Response(status=409, headers=self._notice_headers())
        if order["version"] == state.version:
            return web.Response(status=200, headers=self._notice_headers())
        state.n_orders += 1
        state.is_changing = True
        task = asyncio.create_task(self._load(order["version"]))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)
        if self.drops_order_answers:
            self._server.abort_connection(request)
        return web.Response(status=202, headers=self._notice_headers())

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.state.load_seconds)
        self.state.version = version
        self.state.is_changing = False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        await self._server.block_if_frozen(request)
        if names.ATTEMPT_ID in request.headers:
            early_end = self._early_ends.take(request.headers[names.ATTEMPT_ID])
            if early_end is not None:
                return await self._answer_early(request, early_end)
        body = await request.read()
        self._note_arrival(request)
        await self._awake.wait()
        refused = self._check(request)
        if refused is not None:
            return refused
        fault = self.faults.take(request.headers[names.ATTEMPT_ID])
        match fault:
            case Refused(status=status):
                return self._reject(request, status)
            case Swallowed():
                await asyncio.sleep(_HANG_SECONDS)
        self._record(request, body)
        if isinstance(fault, CrashAndReturn):
            self.restart()
            await asyncio.sleep(_HANG_SECONDS)
        self.n_running += 1
        try:
            if names.MODEL in request.headers and self.state.model:
                return await self._stream(request, body, fault)
            return await self._answer(request, body, fault)
        finally:
            self.n_running -= 1

    async def _answer_early(
        self, request: web.Request, end: EarlyEnd
    ) -> web.StreamResponse:
        """Answer before the body has arrived, and break off."""
        self._note_arrival(request)
        self._record(request, b"")
        headers = self._response_headers(request) | {names.SEAL: "early"}
        part = event_bytes(1, b"")
        if request.transport is not None:
            await answer_early(
                request.transport, headers, part, end, _EARLY_PAUSE_SECONDS
            )
        return web.Response()

    async def _begin_answer(
        self, request: web.Request, headers: Mapping[str, str], text: bytes
    ) -> web.StreamResponse:
        """Send the head and half of the body of an answer."""
        response = web.StreamResponse(headers=headers)
        response.content_length = len(text)
        await response.prepare(request)
        await response.write(text[: len(text) // 2])
        return response

    def _note_arrival(self, request: web.Request) -> None:
        attempt_id = request.headers.get(names.ATTEMPT_ID)
        if attempt_id is not None:
            arrived_seconds = asyncio.get_running_loop().time()
            self.arrivals.append((attempt_id, arrived_seconds))

    def _record(self, request: web.Request, body: bytes) -> None:
        attempt_id = request.headers[names.ATTEMPT_ID]
        headers = {name.lower(): value for name, value in request.headers.items()}
        path = request.raw_path
        self.runs.append(ServerRun(attempt_id, request.method, path, body, headers))

    async def _answer(
        self, request: web.Request, body: bytes, fault: ServerFault | None
    ) -> web.StreamResponse:
        await asyncio.sleep(self.run_seconds)
        await self._awake.wait()
        headers = self._response_headers(request)
        text = answer_text(request.raw_path, body) * self.n_repeats
        if not isinstance(fault, Unsealed):
            headers[names.SEAL] = seal_of(text)
        match fault:
            case LostAnswer():
                self._server.abort_connection(request)
            case CrashAt(after_events=n_events):
                if n_events:
                    await self._begin_answer(request, headers, text)
                self.on_crash()
                await self.stop()
            case ServerFailure(status=status):
                return web.Response(status=status, headers=headers, body=text)
            case Truncated():
                response = await self._begin_answer(request, headers, text)
                await self._server.abort_after_sending(request)
                return response
            case BrokenOff() | Unframed():
                return _send_raw(request, headers, text, fault)
            case InvalidAnswer(form=form):
                return _send_form(request, headers, text, form)
            case Encoded():
                headers["Content-Encoding"] = "gzip"
            case ExtraAnswer():
                return await self._answer_twice(request, headers, text)
        return web.Response(headers=headers, body=text)

    async def _answer_twice(
        self, request: web.Request, headers: dict[str, str], text: bytes
    ) -> web.StreamResponse:
        response = web.Response(headers=headers, body=text)
        await response.prepare(request)
        await response.write_eof()
        if request.transport is not None:
            extra = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: other\r\n"
            extra += f"{names.SEAL}: other\r\nContent-Length: 5\r\n\r\nother"
            request.transport.write(extra.encode())
        return response

    async def _stream(
        self, request: web.Request, body: bytes, fault: ServerFault | None
    ) -> web.StreamResponse:
        work = self._engine_request(request)
        headers = self._response_headers(request) | {
            names.SEAL: seal_of(body),
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        start = int(request.headers.get(names.LAST_EVENT, 0)) + 1
        if fault is None and self.is_unframed:
            fault = Unframed()
        try:
            await self._timing.prefill(work)
            if (part_id := self._crashing_part(request)) is not None:
                await self._crash_by_part(request, response, part_id, start, body)
            if isinstance(fault, InvalidAnswer):
                numbers = range(start, self.n_events + 1)
                software = self.state.software
                text = b"".join(event_bytes(n, body, software) for n in numbers)
                return _send_form(request, headers, text, fault.form)
            if isinstance(fault, BrokenOff | Unframed):
                await self._stream_raw(request, headers, start, body, fault)
                return response
            await response.prepare(request)
            for number in range(start, self.n_events + 1):
                if number > start:
                    await self._timing.next_token(work)
                if not await self._send_event(request, response, number, body, fault):
                    return response
            await response.write_eof()
            return response
        finally:
            self._timing.leave(work)

    def _crashing_part(self, request: web.Request) -> str | None:
        """Return a part of the prompt, not the last one, that crashes this server."""
        *shared, _last = part_ids(request)
        return next((part for part in shared if part in self.crash_parts), None)

    async def _crash_by_part(
        self,
        request: web.Request,
        response: web.StreamResponse,
        part_id: str,
        number: int,
        body: bytes,
    ) -> None:
        """Crash before the first event is complete; the caller gets no answer."""
        point = self.crash_parts[part_id]
        if point in (CrashPoint.HEADERS, CrashPoint.HALF_EVENT):
            await response.prepare(request)
        if point is CrashPoint.HALF_EVENT:
            await response.write(event_bytes(number, body, self.state.software)[:-5])
        if point is CrashPoint.HALF_UNFRAMED:
            headers = dict(response.headers)
            raw = RawResponse(request, 200, headers, Framing.CONNECTION, False)
            raw.write(event_bytes(number, body, self.state.software)[:-5])
        now_seconds = asyncio.get_running_loop().time()
        attempt_id = request.headers[names.ATTEMPT_ID]
        self.part_crashes.append(PartCrash(part_id, attempt_id, now_seconds))
        task = asyncio.create_task(self._end_by_part(point))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)
        await asyncio.sleep(_HANG_SECONDS)

    async def _end_by_part(self, point: CrashPoint) -> None:
        if point is CrashPoint.SILENCE:
            self._awake.clear()
        else:
            await self.stop()
        self.on_part_crash()

    async def _stream_raw(
        self,
        request: web.Request,
        headers: dict[str, str],
        start: int,
        body: bytes,
        fault: BrokenOff | Unframed,
    ) -> None:
        """Send a stream without length or chunks, or one that stops early."""
        framing, stop = Framing.CONNECTION, Stop.CLOSE
        end = self.n_events + 1
        if isinstance(fault, BrokenOff):
            framing, stop = fault.framing, fault.how
            end = max(start, min(start + fault.after_events, self.n_events))
        raw = RawResponse(request, 200, headers, framing, fault.is_in_one_packet)
        for number in range(start, end):
            if not fault.is_in_one_packet:
                await asyncio.sleep(0.002)
            raw.write(event_bytes(number, body, self.state.software))
        if isinstance(fault, BrokenOff):
            match fault.point:
                case StopPoint.IN_EVENT:
                    raw.write(event_bytes(end, body, self.state.software)[:-5])
                case StopPoint.BEFORE_BLANK_LINE:
                    raw.write(event_bytes(end, body, self.state.software)[:-1])
            self.on_fault()
        raw.stop(stop)

    async def _send_event(
        self,
        request: web.Request,
        response: web.StreamResponse,
        number: int,
        body: bytes,
        fault: ServerFault | None,
    ) -> bool:
        """Send one event; return False if a fault ended the stream."""
        event = event_bytes(number, body, self.state.software)
        await self._awake.wait()
        match fault:
            case Truncated(after_events=n) if number > n:
                self.on_fault()
                await response.write(event[: len(event) // 2])
                self._server.abort_connection(request)
                return False
            case Silent(after_events=n) if number > n:
                await asyncio.sleep(_HANG_SECONDS)
            case CrashAt(after_events=n) if number > n:
                await self.stop()
                return False
        await response.write(event)
        return True

    def _engine_request(self, request: web.Request) -> EngineRequest:
        headers = request.headers
        n_prompt, n_output = (int(n) for n in headers[names.TOKENS].split(","))
        levels, n_tokens = [], 0
        for word in headers.get(names.PROMPT_PARTS, "").split(","):
            part_id, _, n = word.partition(":")
            n_tokens += int(n or 0)
            levels.append(
                PrefixLevel(PrefixDigest(hash_bytes(part_id.encode())), n_tokens)
            )
        return EngineRequest(
            RequestId(f"{headers[names.ATTEMPT_ID]}-{next(_numbers)}"),
            headers.get(names.CACHE_SCOPE, ""),
            tuple(levels),
            n_prompt,
            n_output,
        )


def part_ids(request: web.Request) -> list[str]:
    """Return the ids of the parts of a request's prompt, in order."""
    words = request.headers.get(names.PROMPT_PARTS, "").split(",")
    return [word.partition(":")[0] for word in words]


def _send_raw(
    request: web.Request,
    headers: dict[str, str],
    text: bytes,
    fault: BrokenOff | Unframed,
) -> web.StreamResponse:
    """Send a plain response that ends with its connection or stops early."""
    match fault:
        case BrokenOff(framing=framing, how=stop):
            text = text[: len(text) // 2]
        case Unframed():
            framing, stop = Framing.CONNECTION, Stop.CLOSE
    raw = RawResponse(request, 200, headers, framing, fault.is_in_one_packet)
    raw.write(text)
    raw.stop(stop)
    return web.Response()


def _send_form(
    request: web.Request, headers: Mapping[str, str], text: bytes, form: HeadForm
) -> web.StreamResponse:
    """Send a response that is invalid in one form."""
    if request.transport is not None:
        request.transport.write(encode_form(form, headers, text))
        request.transport.close()
    return web.Response()


def answer_text(path: str, body: bytes) -> bytes:
    """Return the response body of a plain service, a function of path and body."""
    return b"%016x " % hash_bytes(path.encode() + b"\n" + body) * 20


FIRST_SOFTWARE = ServerState.software


def event_bytes(number: int, body: bytes, software: str = FIRST_SOFTWARE) -> bytes:
    """Return one event of a stream.

    It is a function of the request body, the number, and the version of the software:
    what two versions generate does not fit together.
    """
    if software != FIRST_SOFTWARE:
        body = software.encode() + b"\n" + body
    word = hash_bytes(body, number)
    return b"id: %d\ndata: %016x\n\n" % (number, word)


def seal_of(text: bytes) -> str:
    """Return the seal of a response."""
    return f"{hash_bytes(text):x}"
