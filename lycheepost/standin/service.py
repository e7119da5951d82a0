"""Stand-in plain service that accepts orders over HTTP and records them.

Every order that is executed is recorded with its body, so that an audit can count
orders that ran twice.
"""

import asyncio
import json
from dataclasses import dataclass

from aiohttp import web

from lycheepost.standin.faults import (
    CrashAfterRun,
    CrashBeforeRun,
    FaultPlan,
    LostAnswer,
    Refused,
    ServiceFault,
    SlowCall,
)
from lycheepost.standin.webserver import StandinServer

_HANG_SECONDS = 3600.0
"""Longer than any caller waits: the call is never answered."""


@dataclass(frozen=True)
class ServiceStandinSettings:
    """Settings of one stand-in service.

    Attributes:
        run_seconds: Time to execute one order.
        restart_seconds: Time from a crash to the restart; orders are kept.
    """

    name: str = "service"
    host: str = "127.0.0.1"
    port: int = 0
    run_seconds: float = 0.002
    restart_seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class RecordedOrder:
    """One order that was accepted for execution.

    Attributes:
        order_number: Counts from 1; the order is at ``/orders/{number}``.
        body: The body exactly as received.
    """

    order_number: int
    body: bytes
    request: str
    idempotency_key: str


class ServiceStandin:
    """One plain service with its HTTP server."""

    def __init__(self, settings: ServiceStandinSettings) -> None:
        self.settings = settings
        self.faults: FaultPlan[ServiceFault] = FaultPlan()
        self.orders: list[RecordedOrder] = []
        self._server = StandinServer(self._make_app, settings.host, settings.port)
        self._restart_task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Return the base address."""
        return self._server.url

    async def start(self) -> str:
        """Listen and return the base address."""
        return await self._server.start()

    async def stop(self) -> None:
        """Abort all connections and stop."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self._server.stop()

    def crash(self) -> None:
        """Abort all connections and restart after ``restart_seconds``."""
        self._server.abort_connections()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.create_task(self._restart())

    def freeze(self) -> None:
        """Stall the open connections permanently; new ones work."""
        self._server.freeze_connections()

    async def _restart(self) -> None:
        await self._server.stop()
        await asyncio.sleep(self.settings.restart_seconds)
        await self._server.start()

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/orders", self._post_order)
        app.router.add_get("/orders/{number}", self._get_order)
        app.router.add_get("/health", self._get_health)
        return app

    async def _post_order(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        fault = self.faults.take(body.decode(errors="replace"))
        match fault:
            case Refused(status=status):
                return web.json_response({"error": "refused"}, status=status)
            case CrashBeforeRun():
                self.crash()
                await asyncio.sleep(_HANG_SECONDS)
            case SlowCall(seconds=seconds):
                await asyncio.sleep(seconds)
        order = self._record(request, body)
        # A recorded order is executed even if the caller disconnects.
        await asyncio.sleep(self.settings.run_seconds)
        match fault:
            case CrashAfterRun():
                self.crash()
                await asyncio.sleep(_HANG_SECONDS)
            case LostAnswer():
                self._server.abort_connection(request)
        await self._server.block_if_frozen(request)
        return web.json_response(_describe(order), status=201)

    def _record(self, request: web.Request, body: bytes) -> RecordedOrder:
        order = RecordedOrder(
            order_number=len(self.orders) + 1,
            body=body,
            request=request.headers.get("X-Request-Id", ""),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
        )
        self.orders.append(order)
        return order

    async def _get_order(self, request: web.Request) -> web.StreamResponse:
        await self._server.block_if_frozen(request)
        number = request.match_info["number"]
        if not number.isdecimal() or not 1 <= int(number) <= len(self.orders):
            return web.json_response({"error": "no such order"}, status=404)
        return web.json_response(_describe(self.orders[int(number) - 1]))

    async def _get_health(self, request: web.Request) -> web.StreamResponse:
        await self._server.block_if_frozen(request)
        return web.json_response({"state": "serving"})


def _describe(order: RecordedOrder) -> dict[str, object]:
    """Return the ticket of an order; a JSON body is shown as JSON."""
    try:
        shown = json.loads(order.body)
    except ValueError:
        shown = order.body.decode(errors="replace")
    return {"order_number": order.order_number, "state": "taken", "order": shown}


def make_service(settings: ServiceStandinSettings) -> ServiceStandin:
    """Return a service that has not been started."""
    return ServiceStandin(settings)
