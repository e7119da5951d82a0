"""The platform's servers as stand-ins: an engine or a plain service.

The engine's time, batches and cache are ``standin.enginetiming``; here is what the
platform's protocol adds: ids, seals, refusals that say so, weights orders. Each run
is recorded, so that an audit can count what ran twice or with other bytes.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from lycheepost.core.clock import SystemClock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PrefixDigest, RequestId
from lycheepost.decide.records import PrefixLevel
from lycheepost.platform import headers as names
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
from lycheepost.standin.webserver import StandinServer

_NEVER_SECONDS = 3600.0
RESTART_MS = 1500
"""From one start of a server to its next."""
_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class OwnFailure:
    """The server runs the request and answers with its own failure."""

    status: int = 500


@dataclass(frozen=True, slots=True)
class ExtraAnswer:
    """A whole answer is followed by bytes that belong to no request."""


@dataclass(frozen=True, slots=True)
class Unsealed:
    """A success without the server's seal."""


@dataclass(frozen=True, slots=True)
class Encoded:
    """A success whose body is said to be encoded, as by something on the way."""


@dataclass(frozen=True, slots=True)
class CrashAndReturn:
    """The server dies of the request and is back at once, under the same name."""


ServerFault = (
    Truncated
    | Silent
    | Swallowed
    | Refused
    | LostAnswer
    | OwnFailure
    | ExtraAnswer
    | Unsealed
    | Encoded
    | CrashAt
    | CrashAndReturn
)


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One request that a server began to work on."""

    attempt_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]


@dataclass
class ServerState:
    """What a server says of itself.

    Attributes:
        load_seconds: How long new weights take.
        started_ms: Unix millisecond of its start; None to state none.
    """

    model: str
    started_ms: int | None = None
    version: int = 1
    n_orders: int = 0
    is_changing: bool = False
    load_seconds: float = 0.05
    orders: list[dict[str, object]] = field(default_factory=list)


class PlatformServer:
    """One server with its face.

    Args:
        service: The service that it registers for.
        model: The model that it serves; empty for a plain service.
        n_events: Events of each stream at first.

    Attributes:
        runs: Everything that it began to work on.
        n_running: What it works on now.
        loses_order_answers: Orders are taken and their answers lost.
        on_fault: Called as a stream is about to be broken off.
        n_events: Events of each stream.
        faults: Faults that wait for calls, by attempt id.
        limit_per_second: Requests that it names as its limit; None for no limit. It
            serves them all the same.
        says_leaving: Its answers say that it leaves. It serves all the same, and its
            entry in the store stays as it is.
        backoff_seconds: It turns requests away and asks for a pause of this length;
            None to take them.
        turned_away: When it did so, by the loop's clock.
        n_health_checks: How often it was asked for its health.
    """

    def __init__(
        self,
        service: str,
        model: str = "",
        n_events: int = 6,
        run_seconds: float = 0.002,
        host: str = "127.0.0.1",
    ) -> None:
        self.name = f"i-{next(_numbers):04d}"
        self.service = service
        self.state = ServerState(model)
        self.runs: list[ServerRun] = []
        self.faults: FaultPlan[ServerFault] = FaultPlan()
        self.is_leaving = False
        self.loses_order_answers = False
        self.limit_per_second: float | None = None
        self.says_leaving = False
        self.backoff_seconds: float | None = None
        self.turned_away: list[float] = []
        self.n_health_checks = 0
        self.on_fault: Callable[[], object] = lambda: None
        self.n_events = n_events
        self._run_seconds = run_seconds
        self.n_running = 0
        self._server = StandinServer(self._make_app, host, 0)
        self._timing = make_engine_timing(self.name, STANDIN_SPEEDS, SystemClock())
        self._loads: set[asyncio.Task[None]] = set()

    def use_port(self, port: int) -> None:
        """Listen on this port from the next start on."""
        self._server = StandinServer(self._make_app, "127.0.0.1", port)

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return self._server.url.removeprefix("http://")

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Cut all connections and stop."""
        self._timing.close()
        await self._server.stop()

    def restart(self) -> None:
        """Die and be back at once under the same name, holding only the weights."""
        old = self.state
        if old.started_ms is None:
            raise ValueError("a server that states no start has a new name after it")
        self.state = ServerState(
            old.model,
            started_ms=old.started_ms + RESTART_MS,
            version=old.version,
            load_seconds=old.load_seconds,
        )
        self._timing.close()
        self._timing = make_engine_timing(self.name, STANDIN_SPEEDS, SystemClock())
        for load in self._loads:
            load.cancel()
        self._server.abort_connections()

    def freeze(self) -> None:
        """Let open connections go silent for good; new ones work."""
        self._server.freeze_connections()

    def entry(self, zone: str) -> bytes:
        """Return what the server writes into the store."""
        models = []
        if self.state.model:
            models = [{"name": self.state.model, "version": self.state.version}]
        return msgspec.json.encode(
            self._own_word()
            | {
                "service": self.service,
                "address": self.address,
                "zone": zone,
                "version": "v1",
                "slots": 32,
                "state": "draining" if self.is_leaving else "ready",
                "cold_left_ms": 0,
                "models": models,
                "seq": 1,
            }
        )

    def _own_word(self) -> dict[str, object]:
        """Return what stands in all that the server says of itself."""
        started_ms = self.state.started_ms
        return {} if started_ms is None else {"born": started_ms}

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    def _head(self, request: web.Request) -> dict[str, str]:
        head = {names.TARGET: self.name, names.LOAD: f"{self.n_running},0,32"}
        head |= self._notice_head()
        attempt_id = request.headers.get(names.ATTEMPT_ID)
        if attempt_id:
            head[names.ATTEMPT_ID] = attempt_id
        if self.state.model:
            head[names.WEIGHTS] = str(self.state.version)
        return head

    def _notice_head(self) -> dict[str, str]:
        """Return what stands in the heads of all its answers."""
        head = {}
        if self.limit_per_second is not None:
            head[names.RATE_LIMIT] = str(self.limit_per_second)
        if self.says_leaving:
            head[names.LEAVING] = "1"
        return head

    def _reject(self, request: web.Request, status: int) -> web.Response:
        head = self._head(request) | {names.NOT_RUN: "1"}
        return web.Response(status=status, headers=head)

    def _turn_away(self, request: web.Request, backoff_seconds: float) -> web.Response:
        self.turned_away.append(asyncio.get_running_loop().time())
        response = self._reject(request, 503)
        response.headers[names.RETRY_AFTER] = str(backoff_seconds)
        return response

    def _check(self, request: web.Request) -> web.Response | None:
        headers = request.headers
        if headers.get(names.EXPECTED_TARGET, self.name) != self.name:
            return web.Response(status=421, headers=self._head(request))
        expected = headers.get(names.EXPECTED_WEIGHTS)
        if expected is not None and int(expected) != self.state.version:
            return web.Response(status=421, headers=self._head(request))
        if names.ATTEMPT_ID not in headers:
            return self._reject(request, 400)
        if self.backoff_seconds is not None:
            return self._turn_away(request, self.backoff_seconds)
        if self.state.is_changing:
            return self._reject(request, 503)
        return None

    async def _health(self, request: web.Request) -> web.StreamResponse:
        self.n_health_checks += 1
        await self._server.block_if_frozen(request)
        status = 503 if self.is_leaving else 200
        return web.Response(status=status, headers=self._head(request))

    async def _report(self, request: web.Request) -> web.StreamResponse:
        state = self.state
        models = (
            [{"name": state.model, "version": state.version}] if state.model else []
        )
        return web.json_response(
            self._own_word()
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
            headers=self._notice_head(),
        )

    async def _order(self, request: web.Request) -> web.StreamResponse:
        order = await request.json()
        state = self.state
        state.orders.append(order)
        if state.is_changing or order.get("expected", state.n_orders) != state.n_orders:
            return web.Response(status=409, headers=self._notice_head())
        if order["version"] == state.version:
            return web.Response(status=200, headers=self._notice_head())
        state.n_orders += 1
        state.is_changing = True
        task = asyncio.create_task(self._load(order["version"]))
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)
        if self.loses_order_answers:
            self._server.abort_connection(request)
        return web.Response(status=202, headers=self._notice_head())

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.state.load_seconds)
        self.state.version = version
        self.state.is_changing = False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        await self._server.block_if_frozen(request)
        body = await request.read()
        refused = self._check(request)
        if refused is not None:
            return refused
        fault = self.faults.take(request.headers[names.ATTEMPT_ID])
        match fault:
            case Refused(status=status):
                return self._reject(request, status)
            case Swallowed():
                await asyncio.sleep(_NEVER_SECONDS)
        self._record(request, body)
        if isinstance(fault, CrashAndReturn):
            self.restart()
            await asyncio.sleep(_NEVER_SECONDS)
        self.n_running += 1
        try:
            if names.MODEL in request.headers and self.state.model:
                return await self._stream(request, body, fault)
            return await self._answer(request, body, fault)
        finally:
            self.n_running -= 1

    def _record(self, request: web.Request, body: bytes) -> None:
        attempt_id = request.headers[names.ATTEMPT_ID]
        headers = {name.lower(): value for name, value in request.headers.items()}
        path = request.raw_path
        self.runs.append(ServerRun(attempt_id, request.method, path, body, headers))

    async def _answer(
        self, request: web.Request, body: bytes, fault: ServerFault | None
    ) -> web.StreamResponse:
        await asyncio.sleep(self._run_seconds)
        head = self._head(request)
        text = answer_text(request.raw_path, body)
        if not isinstance(fault, Unsealed):
            head[names.SEAL] = seal_of(text)
        match fault:
            case LostAnswer():
                self._server.abort_connection(request)
            case OwnFailure(status=status):
                return web.Response(status=status, headers=head, body=text)
            case Truncated():
                response = web.StreamResponse(headers=head)
                response.content_length = len(text)
                await response.prepare(request)
                await response.write(text[: len(text) // 2])
                self._server.abort_connection(request)
                return response
            case Encoded():
                head["Content-Encoding"] = "gzip"
            case ExtraAnswer():
                return await self._answer_twice(request, head, text)
        return web.Response(headers=head, body=text)

    async def _answer_twice(
        self, request: web.Request, head: dict[str, str], text: bytes
    ) -> web.StreamResponse:
        response = web.Response(headers=head, body=text)
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
        head = self._head(request) | {
            names.SEAL: seal_of(body),
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=head)
        response.enable_chunked_encoding()
        start = int(request.headers.get(names.LAST_EVENT, 0)) + 1
        try:
            await self._timing.prefill(work)
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

    async def _send_event(
        self,
        request: web.Request,
        response: web.StreamResponse,
        number: int,
        body: bytes,
        fault: ServerFault | None,
    ) -> bool:
        """Send one event; False when a fault ended the stream."""
        event = event_bytes(number, body)
        match fault:
            case Truncated(after_events=n) if number > n:
                self.on_fault()
                await response.write(event[: len(event) // 2])
                self._server.abort_connection(request)
                return False
            case Silent(after_events=n) if number > n:
                await asyncio.sleep(_NEVER_SECONDS)
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


def answer_text(path: str, body: bytes) -> bytes:
    """Return a plain service's answer: a function of what it was asked."""
    return b"%016x " % hash_bytes(path.encode() + b"\n" + body) * 20


def event_bytes(number: int, body: bytes) -> bytes:
    """Return one event of a stream: a function of its request and number."""
    word = hash_bytes(body, number)
    return b"id: %d\ndata: %016x\n\n" % (number, word)


def seal_of(text: bytes) -> str:
    """Return the seal of an answer."""
    return f"{hash_bytes(text):x}"
