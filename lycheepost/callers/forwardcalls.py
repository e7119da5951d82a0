"""What is sent to a target for a forwarded request, and what it takes of a quota."""

from dataclasses import dataclass

from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest
from lycheepost.callers.forwarderrors import not_configured
from lycheepost.callers.forwardwork import engine_rank
from lycheepost.callers.quotacharge import QuotaCharge
from lycheepost.core.ids import RequestId, WeightsVersion
from lycheepost.core.routing import ListedTarget, Prompt, RouteTable
from lycheepost.decide.promptlevels import make_scope, prompt_levels
from lycheepost.decide.routes import RouteMatch, choose_kv_store
from lycheepost.targets.forwardcall import EngineOptions, ForwardCall


@dataclass(frozen=True, slots=True)
class Progress:
    """What a request has come to when it is sent.

    Attributes:
        request: Its id among the decisions.
        remaining_seconds: Until its caller or its route gives it up.
        after_event: The last event that the caller has; None for no event yet.
    """

    request: RequestId
    remaining_seconds: float
    after_event: int | None


def route_table(deps: ForwardDeps) -> RouteTable:
    """Return the route table in force.

    Raises:
        CallerError: There is none yet.
    """
    table = deps.routing.table
    if table is None:
        raise not_configured()
    return table


def make_charge(
    deps: ForwardDeps, request: ForwardRequest, way: RouteMatch
) -> QuotaCharge:
    """Return what a request takes from its customer's quota."""
    prompt = request.prompt
    n_tokens = None if prompt is None else prompt.n_tokens + prompt.max_output_tokens
    customer = way.holder.customer
    quota = route_table(deps).quotas.get(customer)
    return QuotaCharge(deps.quotas, deps.clock, customer, quota, n_tokens)


def make_call(
    deps: ForwardDeps,
    request: ForwardRequest,
    way: RouteMatch,
    listed: ListedTarget,
    progress: Progress,
) -> ForwardCall:
    """Return the call of a request to a target.

    Args:
        deps: What forwarding stands on.
        request: The caller's request.
        way: Its route and sender.
        listed: The target.
        progress: What the request has come to.
    """
    engine = None
    if request.prompt is not None:
        engine = _engine_terms(deps, way, request.prompt, listed)
    return ForwardCall(
        target=listed.target,
        address=listed.address,
        request=progress.request,
        method=request.method,
        raw_path=request.raw_path,
        headers=request.headers,
        body=request.body,
        remaining_seconds=progress.remaining_seconds,
        customer=way.holder.customer,
        engine=engine,
        after_event=progress.after_event,
        may_reuse_connection=way.route.is_repeatable,
    )


def _engine_terms(
    deps: ForwardDeps, way: RouteMatch, prompt: Prompt, listed: ListedTarget
) -> EngineOptions:
    """Return what an engine is told of a prompt: its weights, scope and KV store."""
    version = deps.targets.weights_of(listed.target, prompt.model)
    version = version or WeightsVersion("")
    scope = make_scope(way.holder, version)
    levels = prompt_levels(scope, prompt)
    store = choose_kv_store(route_table(deps), levels)
    is_sent = bool(store) and deps.kv_copies.should_send(
        store, levels, deps.clock.now_seconds()
    )
    return EngineOptions(
        model=prompt.model,
        cache_scope=str(scope),
        weights_version=version,
        rank=engine_rank(way),
        fetch_from=store,
        store_to=store if is_sent else "",
    )
