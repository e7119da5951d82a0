"""The callers' HTTP routes; the only place that turns errors into responses."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import structlog
from aiohttp import web

from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.errors import (
    CallerError,
    ErrorType,
    Executed,
    error_response,
    from_refusal,
)
from lycheepost.callers.flow import answer_completion
from lycheepost.callers.headers import echoed_id
from lycheepost.callers.identify import (
    identify_customer,
    is_configured,
    list_models,
    read_bearer,
)
from lycheepost.callers.keyed import KeyedRunner
from lycheepost.callers.parse import Endpoint
from lycheepost.callers.services import answer_service
from lycheepost.callers.unwrap import unwrap
from lycheepost.core.ids import CustomerId, RequestId
from lycheepost.decide.records import RefusalReason, Refuse
from lycheepost.generated.callers import ModelEntry, ModelList

DRAIN_RETRY_SECONDS = 1.0
"""Another address can serve at once, and ``Retry-After`` states at least a second."""
JSON_CONTENT_TYPE = "application/json"
_log = structlog.get_logger(part="callers")

_INTERNAL_ERROR = CallerError(
    "The daemon failed on this request.",
    status=500,
    type=ErrorType.SERVER,
    code="internal_error",
    executed=Executed.UNKNOWN,
    is_safe_to_resend=False,
)

Answer = Callable[[RequestId, web.Request], Awaitable[web.StreamResponse]]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerApi:
    """The HTTP handlers of the callers' API.

    Attributes:
        n_open: Number of requests being served.
    """

    def __init__(self, deps: CallerDeps) -> None:
        self.n_open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.keyed = KeyedRunner(deps)
        self._deps = deps

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to mount on a listener."""
        return [
            web.post("/v1/chat/completions", self._target_handler(self._chat)),
            web.post("/v1/completions", self._target_handler(self._complete)),
            web.get("/v1/models", self._local_handler(self._models)),
            web.get("/v1/addresses", self._local_handler(self._addresses)),
            web.route(
                "*",
                "/services/{target_group}/{path:.*}",
                self._target_handler(self._service),
            ),
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
            web.get("/admin/status", self._status),
        ]

    async def drain(self) -> None:
        """Wait until every open request and every keyed run has ended."""
        await self._idle.wait()
        await self.keyed.drain()

    async def start(self) -> None:
        """Do nothing: requests come through the listener."""

    async def stop(self) -> None:
        """Cancel the remaining keyed runs."""
        await self.keyed.stop()

    def _target_handler(self, answer: Answer) -> Handler:
        """Wrap a handler that sends requests to targets."""

        async def handle(request: web.Request) -> web.StreamResponse:
            request_id = self._deps.make_request_id()
            with structlog.contextvars.bound_contextvars(request_id=request_id):
                if self._deps.is_draining():
                    return self._refuse_draining()
                self.n_open += 1
                self._idle.clear()
                try:
                    return await self._handle_errors(answer, request_id, request)
                finally:
                    self.n_open -= 1
                    if self.n_open == 0:
                        self._idle.set()

        return handle

    def _local_handler(self, answer: Answer) -> Handler:
        """Wrap a handler that only reads this daemon's own state."""

        async def handle(request: web.Request) -> web.StreamResponse:
            request_id = self._deps.make_request_id()
            return await self._handle_errors(answer, request_id, request)

        return handle

    async def _handle_errors(
        self, answer: Answer, request_id: RequestId, request: web.Request
    ) -> web.StreamResponse:
        try:
            return await answer(request_id, request)
        except CallerError as error:
            self._deps.metrics.count(f"errors.{error.code}")
            _log.info("callers: answered with an error", code=error.code)
            response = error_response(error)
        except Exception:
            # An internal error. The request may have reached a target, so the caller
            # gets "unknown": "no" could be false.
            _log.exception("callers: a request failed inside the daemon")
            response = error_response(_INTERNAL_ERROR)
        response.headers["X-Request-Id"] = echoed_id(request.headers) or request_id
        return response

    def _refuse_draining(self) -> web.Response:
        refusal = Refuse(
            RequestId(""), RefusalReason.SHUTTING_DOWN, DRAIN_RETRY_SECONDS
        )
        response = error_response(from_refusal(refusal, Executed.NO))
        response.force_close()
        return response

    async def _chat(
        self, request_id: RequestId, request: web.Request
    ) -> web.StreamResponse:
        return await answer_completion(
            self._deps, self.keyed, Endpoint.CHAT, request_id, request
        )

    async def _complete(
        self, request_id: RequestId, request: web.Request
    ) -> web.StreamResponse:
        return await answer_completion(
            self._deps, self.keyed, Endpoint.COMPLETIONS, request_id, request
        )

    async def _service(
        self, request_id: RequestId, request: web.Request
    ) -> web.StreamResponse:
        return await answer_service(self._deps, self.keyed, request_id, request)

    async def _models(
        self, _request_id: RequestId, request: web.Request
    ) -> web.StreamResponse:
        view = self._deps.configuration.view
        customer = unwrap(identify_customer(view, request.headers))
        entries = [ModelEntry(id=item.model) for item in list_models(view, customer)]
        body = msgspec.json.encode(ModelList(data=entries))
        return web.Response(body=body, content_type=JSON_CONTENT_TYPE)

    async def _addresses(
        self, _request_id: RequestId, request: web.Request
    ) -> web.StreamResponse:
        """Return the addresses to connect to; with a key, those for its customer."""
        customer = None
        if read_bearer(request.headers) is not None:
            view = self._deps.configuration.view
            record = unwrap(identify_customer(view, request.headers))
            customer = CustomerId(record.customer)
        body = msgspec.json.encode(self._deps.addresses(customer))
        return web.Response(body=body, content_type=JSON_CONTENT_TYPE)

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _readyz(self, _request: web.Request) -> web.Response:
        if self._deps.is_draining():
            return web.json_response({"status": "draining"}, status=503)
        view = self._deps.configuration.view
        if not view.customers and not is_configured(view):
            return web.json_response({"status": "not configured"}, status=503)
        return web.json_response({"status": "ready"})

    async def _status(self, _request: web.Request) -> web.Response:
        return web.json_response(self._deps.status())
