"""Stand-in engine that serves the engines' HTTP interface on a loopback port.

Answers come from ``standin.answers``, their timing and the prefix cache from
``standin.enginetiming``, their events from ``standin.enginerun``. This module
implements the life cycle (crash, freeze), the orders and the HTTP calls of
docs/DESIGN.md.
"""

import asyncio
import json
import uuid
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import web

from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PrefixDigest, RequestId
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import (
    CacheEvents,
    EngineHealth,
    EngineHealthState,
    EngineLoad,
)
from lycheepost.standin import answers
from lycheepost.standin.engineorders import EngineOrders
from lycheepost.standin.enginerecords import EngineRequest
from lycheepost.standin.enginerun import (
    EngineRun,
    RunRecord,
    RunState,
    make_run_request,
)
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.standin.enginetiming import (
    EngineTiming,
    make_engine_timing,
)
from lycheepost.standin.enginewire import parse_levels, refuse, substitute_event
from lycheepost.standin.faults import (
    CrashAt,
    Crossed,
    Doubled,
    FaultPlan,
    OtherBoot,
    Refused,
    Silent,
    Skipped,
    SlowFirstByte,
    StreamFault,
    Swallowed,
    Truncated,
    WrongEcho,
)
from lycheepost.standin.webserver import StandinServer
from lycheepost.utils.documents import encode_record

_log = structlog.get_logger(part="standin")
_MAX_KEPT_RUNS = 2000
"""Runs kept for clients that resume; bounds the memory of a long demo."""
_HANG_SECONDS = 3600.0
"""Longer than any caller waits: the call is never answered."""


TimingFactory = Callable[[], EngineTiming]


class EngineStandin:
    """One engine with its HTTP server."""

    def __init__(
        self,
        settings: EngineStandinSettings,
        clock: Clock,
        make_timing: TimingFactory,
    ) -> None:
        self.settings = settings
        self.faults: FaultPlan[StreamFault] = FaultPlan()
        self.resume_faults: FaultPlan[StreamFault] = FaultPlan()
        self.records: list[RunRecord] = []
        self._clock = clock
        self._make_timing = make_timing
        self._server = StandinServer(self._make_app, settings.host, settings.port)
        self._runs: dict[str, EngineRun] = {}
        self._loads: list[tuple[float, EngineLoad]] = []
        self.orders = EngineOrders(settings, self._use_new_weights)
        self._restart_task: asyncio.Task[None] | None = None
        self._sample_task: asyncio.Task[None] | None = None
        self._boot()

    @property
    def url(self) -> str:
        """Return the base address."""
        return self._server.url

    async def start(self) -> str:
        """Listen and return the base address."""
        url = await self._server.start()
        self._sample_task = asyncio.create_task(self._sample_loads())
        return url

    async def stop(self) -> None:
        """Abort all connections and stop."""
        self.orders.stop()
        for task in (self._restart_task, self._sample_task):
            if task is not None:
                task.cancel()
        self._end_runs()
        self._timing.close()
        await self._server.stop()

    def crash(self) -> None:
        """Abort all connections; restart empty after ``restart_seconds``."""
        self._server.abort_connections()
        self._end_runs()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.create_task(self._restart())

    def freeze(self) -> None:
        """Stall the open connections permanently; new ones work."""
        self._server.freeze_connections()

    def running(self) -> list[RunRecord]:
        """Return the records of runs that have not ended."""
        return [item for item in self.records if item.state is RunState.RUNNING]

    async def _restart(self) -> None:
        _log.info("standin: engine crashed", engine=self.settings.name)
        await self._server.stop()
        self._timing.close()
        self._boot()
        await asyncio.sleep(self.settings.restart_seconds)
        await self._server.start()
        _log.info("standin: engine restarted", engine=self.settings.name)

    def _boot(self) -> None:
        """Start with a new boot id and without cache, runs and orders."""
        self.boot_id = uuid.uuid4().hex
        self.orders.reset()
        self._runs = {}
        self._loads = []
        self._timing = self._make_timing()

    def _use_new_weights(self) -> None:
        """Drop the cache, whose blocks are invalid for other weights."""
        self._timing = self._make_timing()

    def _end_runs(self) -> None:
        for run in self._runs.values():
            run.end(RunState.CRASHED)

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._post_completion)
        app.router.add_post("/v1/completions", self._post_completion)
        app.router.add_get("/v1/streams/{request}", self._get_stream)
        app.router.add_post("/v1/requests/{request}/cancel", self._post_cancel)
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/events", self._get_events)
        app.router.add_post("/orders", self.orders.post)
        app.router.add_get("/kv/{digest}", self._get_kv)
        app.router.add_post("/kv/import", self._post_kv)
        return app

    # Completions.

    async def _post_completion(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        text = raw.decode(errors="replace")
        fault = self.faults.take(text)
        if isinstance(fault, Swallowed):
            await asyncio.sleep(_HANG_SECONDS)
        if isinstance(fault, Refused):
            return refuse(fault.status, "refused by fault", fault.retry_after_seconds)
        if self.settings.crash_text and self.settings.crash_text in text:
            self.crash()
            await asyncio.sleep(_HANG_SECONDS)
        if self.orders.state is not EngineHealthState.SERVING:
            return refuse(503, f"engine is {self.orders.state.value}", 1)
        wanted = request.headers.get("X-Weights-Version", self.orders.weights_version)
        if wanted != self.orders.weights_version:
            return refuse(409, "engine holds other weights")
        try:
            run = self._start_run(request, json.loads(raw))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return refuse(400, f"bad request: {error}")
        is_stream = bool(json.loads(raw).get("stream"))
        if is_stream:
            return await self._send_stream(request, run, 0, fault)
        return await self._send_complete(request, run, fault)

    def _start_run(self, request: web.Request, body: dict[str, Any]) -> EngineRun:
        name = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        is_chat = request.path.endswith("/chat/completions")
        run_request = make_run_request(name, is_chat, body, self.settings.max_tokens)
        prompt_tokens = answers.count_prompt_tokens(run_request.prompt_text)
        digests = request.headers.get("X-Prefix-Digests", "")
        work = EngineRequest(
            request=RequestId(name),
            salt=str(body.get("cache_salt", "")),
            levels=parse_levels(digests, run_request.prompt_text, prompt_tokens),
            prompt_tokens=prompt_tokens,
            output_tokens=run_request.n_tokens,
            priority=int(body.get("priority", 0)),
        )
        record = RunRecord(
            request=name,
            boot_id=self.boot_id,
            prompt_hash=hash_bytes(run_request.prompt_text.encode()),
            prompt_tokens=prompt_tokens,
        )
        self.records.append(record)
        run = EngineRun(run_request, work, self._timing, record)
        self._runs[name] = run
        self._drop_oldest_ended_runs()
        return run

    def _drop_oldest_ended_runs(self) -> None:
        while len(self._runs) > _MAX_KEPT_RUNS:
            oldest = next(iter(self._runs))
            if not self._runs[oldest].is_done:
                return
            del self._runs[oldest]

    def _headers(self, run: EngineRun) -> dict[str, str]:
        return {
            "X-Request-Id": run.request.request,
            "X-Boot-Id": self.boot_id,
            "X-Weights-Version": self.orders.weights_version,
        }

    async def _send_complete(
        self, request: web.Request, run: EngineRun, fault: StreamFault | None
    ) -> web.StreamResponse:
        try:
            await run.wait_done()
        except asyncio.CancelledError:
            run.end(RunState.CANCELLED)
            raise
        if run.record.state is not RunState.COMPLETE:
            return refuse(499, f"run was {run.record.state.value}")
        if isinstance(fault, SlowFirstByte):
            await asyncio.sleep(fault.seconds)
        headers = self._headers(run)
        answer = run.complete_answer()
        if isinstance(fault, WrongEcho | Crossed):
            headers["X-Request-Id"] = f"other-{run.request.request}"
            answer["id"] = f"chatcmpl-other-{run.request.request}"
        body = json.dumps(answer).encode()
        if isinstance(fault, Truncated):
            return await self._send_truncated(request, headers, body)
        await self._server.block_if_frozen(request)
        return web.Response(body=body, headers=headers, content_type="application/json")

    async def _send_truncated(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "application/json"
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        self._server.abort_connection(request)
        return response

    async def _send_stream(
        self,
        request: web.Request,
        run: EngineRun,
        start: int,
        fault: StreamFault | None,
    ) -> web.StreamResponse:
        if isinstance(fault, SlowFirstByte):
            await asyncio.sleep(fault.seconds)
        headers = self._headers(run)
        if isinstance(fault, WrongEcho):
            headers["X-Request-Id"] = f"other-{run.request.request}"
        if isinstance(fault, OtherBoot):
            headers["X-Boot-Id"] = f"other-{self.boot_id}"
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        run.n_readers += 1
        try:
            await self._server.block_if_frozen(request)
            await response.prepare(request)
            await self._send_events(request, response, run, start, fault)
        except ConnectionError:
            pass
        finally:
            run.n_readers -= 1
            self._cancel_later_if_unread(run)
        return response

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: EngineRun,
        start: int,
        fault: StreamFault | None,
    ) -> None:
        index = start
        while await run.wait_event(index):
            await self._server.block_if_frozen(request)
            data = run.events[index]
            index += 1
            match fault:
                case Truncated(after_events=n) if n < index:
                    if not fault.is_clean:
                        self._server.abort_connection(request)
                    return
                case Silent(after_events=n) if n < index:
                    await asyncio.sleep(_HANG_SECONDS)
                case CrashAt(after_events=n) if n < index:
                    self.crash()
                    return
                case Doubled(event=n) if n == index:
                    data += data
                case Skipped(event=n) if n == index:
                    continue
                case Crossed(event=n) if n == index:
                    data = substitute_event(data)
            await response.write(data)
        if run.record.state is not RunState.COMPLETE:
            self._server.abort_connection(request)

    def _cancel_later_if_unread(self, run: EngineRun) -> None:
        def cancel_if_unread() -> None:
            if not run.n_readers:
                run.end(RunState.CANCELLED)

        if not run.is_done:
            loop = asyncio.get_running_loop()
            loop.call_later(self.settings.resume_grace_seconds, cancel_if_unread)

    async def _get_stream(self, request: web.Request) -> web.StreamResponse:
        run = self._runs.get(request.match_info["request"])
        if run is None or run.record.state is RunState.CANCELLED:
            return refuse(404, "no such stream")
        start = int(request.headers.get("Last-Event-ID", "0"))
        fault = self.resume_faults.take(run.request.request)
        if isinstance(fault, Swallowed):
            await asyncio.sleep(_HANG_SECONDS)
        if isinstance(fault, Refused):
            return refuse(fault.status, "the stream cannot be resumed")
        return await self._send_stream(request, run, start, fault)

    async def _post_cancel(self, request: web.Request) -> web.StreamResponse:
        run = self._runs.get(request.match_info["request"])
        if run is None:
            return refuse(404, "no such request")
        run.end(RunState.CANCELLED)
        return web.json_response({"state": run.record.state.value})

    # Reports.

    async def _get_health(self, request: web.Request) -> web.StreamResponse:
        health = EngineHealth(
            boot_id=self.boot_id,
            state=self.orders.state,
            model=self.orders.model,
            weights_version=self.orders.weights_version,
            adapter=self.orders.adapter,
            role=self.orders.role,
            desired_version=self.orders.desired_version,
            fencing_number=self.orders.fencing_number,
        )
        return await self._report(request, health)

    async def _get_load(self, request: web.Request) -> web.StreamResponse:
        now_seconds = self._clock.now_seconds()
        newest_seconds = now_seconds - self.settings.load_lag_seconds
        old_enough = [item for item in self._loads if item[0] <= newest_seconds]
        sampled_seconds, load = (
            old_enough[-1] if old_enough else (now_seconds, self._sample_load(0.0))
        )
        aged = EngineLoad(
            boot_id=load.boot_id,
            age_seconds=now_seconds - sampled_seconds,
            n_running=load.n_running,
            n_queued=load.n_queued,
            queued_prompt_tokens=load.queued_prompt_tokens,
            cached_tokens=load.cached_tokens,
        )
        return await self._report(request, aged)

    async def _get_events(self, request: web.Request) -> web.StreamResponse:
        after = int(request.query.get("after", "0"))
        events = self._timing.events_after(after)
        return await self._report(
            request, CacheEvents(boot_id=self.boot_id, events=events)
        )

    async def _report(self, request: web.Request, record: Any) -> web.StreamResponse:
        await self._server.block_if_frozen(request)
        return web.Response(body=encode_record(record), content_type="application/json")

    def _sample_load(self, age_seconds: float) -> EngineLoad:
        counts = self._timing.counts()
        return EngineLoad(
            boot_id=self.boot_id,
            age_seconds=age_seconds,
            n_running=counts.n_running,
            n_queued=counts.n_queued,
            queued_prompt_tokens=counts.queued_prompt_tokens,
            cached_tokens=counts.cached_tokens,
        )

    async def _sample_loads(self) -> None:
        """Keep recent load samples, from which delayed reports are served."""
        lag_seconds = self.settings.load_lag_seconds
        pause_seconds = max(0.05, lag_seconds / 4)
        while True:
            now_seconds = self._clock.now_seconds()
            self._loads = [
                item for item in self._loads if item[0] > now_seconds - 2 * lag_seconds
            ]
            self._loads.append((now_seconds, self._sample_load(0.0)))
            await asyncio.sleep(pause_seconds)

    # KV export and import.

    async def _get_kv(self, request: web.Request) -> web.StreamResponse:
        digest = PrefixDigest(int(request.match_info["digest"]))
        level = self._timing.holds(request.query.get("cache_salt", ""), digest)
        if level is None:
            return refuse(404, "not cached")
        return web.json_response(
            {
                "digest": level.digest,
                "n_tokens": level.end_tokens,
                "weights_version": self.orders.weights_version,
            }
        )

    async def _post_kv(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if body.get("weights_version") != self.orders.weights_version:
            return refuse(409, "engine holds other weights")
        level = PrefixLevel(PrefixDigest(int(body["digest"])), int(body["n_tokens"]))
        self._timing.import_prefix(str(body.get("cache_salt", "")), level)
        return web.json_response({"n_tokens": level.end_tokens})


def make_engine(
    settings: EngineStandinSettings, clock: Clock | None = None
) -> EngineStandin:
    """Return an engine that has not been started."""
    used_clock = clock or SystemClock()
    return EngineStandin(
        settings,
        used_clock,
        lambda: make_engine_timing(settings.name, settings.timing, used_clock),
    )
