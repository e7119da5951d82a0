"""The operators' HTTP API.

Each handler authenticates the operator, reads the body up to a limit, calls one
function and encodes its result as JSON. Every error response has an ``ErrorBody``.
"""

import json
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from returns.result import Failure, Result, Success

from lycheepost.core.ids import PlanId
from lycheepost.generated.operators import (
    OperatorErrorKind,
    Plan,
)
from lycheepost.operators.access import Operator, identify_operator
from lycheepost.operators.confirming import ConfirmCall, confirm_plan
from lycheepost.operators.errors import OperatorError
from lycheepost.operators.intents import parse_intent
from lycheepost.operators.planning import (
    DraftContext,
    make_plan_id,
    needed_weights,
    plan_intent,
)
from lycheepost.operators.plans import PlanStore
from lycheepost.operators.ports import OperatorDeps
from lycheepost.operators.weightsfacts import ask_weights
from lycheepost.utils.documents import Fault, encode_record

_MAX_BODY_BYTES = 1_048_576
"""Maximum size of an intent; 500 changes fit with a wide margin."""
_MAX_TOKEN_LENGTH = 200

Answer = Result[Any, OperatorError]
Handler = Callable[[web.Request, Operator], Awaitable[Answer]]


@dataclass(frozen=True)
class IntentList:
    """Response of GET /v1/intents."""

    revision: int
    plans: tuple[Plan, ...]
    capacity_intents: tuple[Any, ...]


def make_operator_routes(deps: OperatorDeps) -> list[web.RouteDef]:
    """Return the routes of the operators' API, to be mounted on a listener."""
    api = OperatorApi(deps)
    return [
        web.post("/v1/intents", api.guard(api.plan)),
        web.get("/v1/intents", api.guard(api.list_intents)),
        web.get("/v1/plans/{plan_id}", api.guard(api.show_plan)),
        web.post("/v1/plans/{plan_id}/confirm", api.guard(api.confirm)),
        web.get("/v1/configuration", api.guard(api.show_configuration)),
        web.get("/v1/fleet", api.guard(api.show_fleet)),
        web.get("/v1/quotas", api.guard(api.show_quotas)),
    ]


class OperatorApi:
    """The handlers, with a shared set of dependencies."""

    def __init__(self, deps: OperatorDeps) -> None:
        self._deps = deps
        self._store = PlanStore(deps.table)

    def guard(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Return a handler that calls ``handler`` for authenticated operators only."""

        async def handle(request: web.Request) -> web.Response:
            authorization = request.headers.get("Authorization")
            match identify_operator(self._deps, authorization):
                case Success(operator):
                    answer = await handler(request, operator)
                case Failure(error):
                    answer = Failure(error)
            return _respond(answer)

        return handle

    async def plan(self, request: web.Request, operator: Operator) -> Answer:
        """Respond to an intent with its plan."""
        match await _read_document(request):
            case Success(document):
                return await self._plan_document(document, operator)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def _plan_document(self, document: Any, operator: Operator) -> Answer:
        parsed = parse_intent(document)
        if not isinstance(parsed, Success):
            return Failure(_invalid_intent(parsed.failure()))
        # A plan that this operator confirmed recently at another daemon may not be in
        # force here yet. If the store is unavailable, storing the plan reports it.
        await self._deps.revisions.refresh()
        view = self._deps.revisions.view
        intent = parsed.unwrap()
        keys = needed_weights(view.configuration, intent)
        wall_seconds = self._deps.clock.wall_seconds()
        context = DraftContext(
            plan_id=make_plan_id(wall_seconds),
            wall_seconds=wall_seconds,
            weights=await ask_weights(self._deps.weights, keys),
            settings=self._deps.settings,
        )
        planned = plan_intent(view, intent, context, operator.name)
        if not isinstance(planned, Success):
            return Failure(_invalid_intent(planned.failure()))
        return await self._store.create(planned.unwrap())

    async def list_intents(self, request: web.Request, operator: Operator) -> Answer:
        """Respond with the recent plans and the capacity intents."""
        now_seconds = self._deps.clock.wall_seconds()
        since_seconds = now_seconds - self._deps.settings.plan_seconds
        listed = await self._store.list_since(since_seconds)
        configuration = self._deps.revisions.view.configuration
        return listed.map(
            lambda plans: IntentList(
                configuration.revision, plans, tuple(configuration.capacity_intents)
            )
        )

    async def show_plan(self, request: web.Request, operator: Operator) -> Answer:
        """Respond with one plan."""
        loaded = await self._store.load(PlanId(request.match_info["plan_id"]))
        return loaded.map(lambda stored: stored.plan)

    async def confirm(self, request: web.Request, operator: Operator) -> Answer:
        """Apply a plan exactly once."""
        token = request.headers.get("Idempotency-Key") or secrets.token_urlsafe(32)
        if len(token) > _MAX_TOKEN_LENGTH:
            fault = Fault("Idempotency-Key", "", f"is over {_MAX_TOKEN_LENGTH} long")
            reason = "The idempotency key is too long."
            return Failure(OperatorError(reason, OperatorErrorKind.MALFORMED, (fault,)))
        call = ConfirmCall(
            plan_id=PlanId(request.match_info["plan_id"]),
            operator=operator,
            token=token,
            allow_unrelated=request.query.get("allow_unrelated") == "true",
        )
        return await confirm_plan(self._deps, self._store, call)

    async def show_configuration(
        self, request: web.Request, operator: Operator
    ) -> Answer:
        """Respond with the configuration in force on this daemon."""
        return Success(self._deps.revisions.view.configuration)

    async def show_fleet(self, request: web.Request, operator: Operator) -> Answer:
        """Respond with daemons and targets as this daemon sees them."""
        if self._deps.fleet is None:
            reason = "This daemon does not know its fleet yet."
            kind = OperatorErrorKind.STORE_UNAVAILABLE
            return Failure(OperatorError(reason, kind, retry_after_seconds=1.0))
        return Success(self._deps.fleet())

    async def show_quotas(self, request: web.Request, operator: Operator) -> Answer:
        """Respond with the remaining quota of each customer as seen by this daemon."""
        return Success(self._deps.quotas())


async def _read_document(request: web.Request) -> Result[Any, OperatorError]:
    # ``Content-Length`` may be missing or wrong, so the received bytes are counted.
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            reason = f"The intent is over {_MAX_BODY_BYTES} bytes."
            return Failure(OperatorError(reason, OperatorErrorKind.TOO_LARGE))
    try:
        return Success(json.loads(body))
    except (ValueError, RecursionError):
        reason = "The body is not JSON."
        fault = Fault("(document)", "", "is not JSON")
        return Failure(OperatorError(reason, OperatorErrorKind.MALFORMED, (fault,)))


def _invalid_intent(faults: list[Fault]) -> OperatorError:
    return OperatorError(
        f"The intent has {len(faults)} faults; nothing was planned.",
        OperatorErrorKind.INVALID_INTENT,
        tuple(faults),
    )


def _respond(answer: Answer) -> web.Response:
    if isinstance(answer, Success):
        return _json_response(200, answer.unwrap(), {})
    error = answer.failure()
    headers = {}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_seconds)))
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return _json_response(error.status, error.to_body(), headers)


def _json_response(status: int, body: Any, headers: dict[str, str]) -> web.Response:
    # Responses may contain a caller key and must not be cached.
    headers = {**headers, "Cache-Control": "no-store"}
    return web.Response(
        status=status,
        body=encode_record(body),
        headers=headers,
        content_type="application/json",
    )
