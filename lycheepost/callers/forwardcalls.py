"""Build the call to a target and the quota charge of a forwarded request."""

from dataclasses import dataclass, replace

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
    """The state of a request when it is sent to a target.

    Attributes:
        request: Its id in the scheduler.
        remaining_seconds: Until the deadline of the request.
        after_event: Id of the last event that the caller has received, if any.
        n_runs: On how many targets it may have run before.
    """

    request: RequestId
    remaining_seconds: float
    after_event: int | None
    n_runs: int = 0


def route_table(deps: ForwardDeps) -> RouteTable:
    """Return the current route table.

    Raises:
        CallerError: There is none yet.
    """
    table = deps.routing.table
    if table is None:
        raise not_configured()
    return table


def make_charge(
    deps: ForwardDeps, request: ForwardRequest, route_match: RouteMatch
) -> QuotaCharge:
    """Return the charge of a request to its customer's quota."""
    prompt = request.prompt
    n_tokens = None if prompt is None else prompt.n_tokens + prompt.max_output_tokens
    customer = route_match.holder.customer
    quota = route_table(deps).quotas.get(customer)
    return QuotaCharge(deps.quotas, deps.clock, customer, quota, n_tokens)


def make_call(
    deps: ForwardDeps,
    request: ForwardRequest,
    route_match: RouteMatch,
    listed: ListedTarget,
    progress: Progress,
) -> ForwardCall:
    """Return the call of a request to a target.

    Args:
        deps: The dependencies of forwarding.
        request: The caller's request.
        route_match: Its route and sender.
        listed: The target.
        progress: The state of the request.
    """
    engine = None
    if request.prompt is not None:
        engine = _engine_options(deps, route_match, request.prompt, listed)
    return ForwardCall(
        target=listed.target,
        address=listed.address,
        request=progress.request,
        method=request.method,
        raw_path=request.raw_path,
        headers=request.headers,
        body=request.body,
        remaining_seconds=progress.remaining_seconds,
        customer=route_match.holder.customer,
        engine=engine,
        after_event=progress.after_event,
        # A request that was lost on a pooled connection gets a new one: all pooled
        # connections may have gone silent together.
        may_reuse_connection=(route_match.route.is_repeatable and progress.n_runs == 0),
        target_group=listed.target_group,
    )


def _engine_options(
    deps: ForwardDeps, route_match: RouteMatch, prompt: Prompt, listed: ListedTarget
) -> EngineOptions:
    """Return the weights, cache scope, rank and KV store for an engine."""
    version = deps.targets.weights_of(listed.target, prompt.model)
    version = version or WeightsVersion("")
    scope = make_scope(route_match.holder, version)
    store = ""
    # A store keeps what it got: without its weights nobody could tell what fits.
    if version and listed.software_version is not None:
        store = choose_kv_store(route_table(deps), prompt_levels(scope, prompt))
        scope = replace(scope, software_version=listed.software_version)
    should_store = bool(store) and deps.kv_store_contents.should_send(
        store, prompt_levels(scope, prompt), deps.clock.now_seconds()
    )
    return EngineOptions(
        model=prompt.model,
        cache_scope=str(scope),
        weights_version=version,
        rank=engine_rank(route_match),
        fetch_from=store,
        store_to=store if should_store else "",
    )
