"""Turn a forwarded request into the scheduler's ``Work`` record."""

import math
from collections.abc import Iterable
from dataclasses import replace

from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest, RelayedFrom
from lycheepost.core.hashing import fingerprint_body, prompt_part_key
from lycheepost.core.ids import (
    ModelId,
    PromptPartKey,
    SoftwareVersion,
    TargetGroupId,
    WeightsVersion,
)
from lycheepost.core.routing import Prompt, Route, RouteKind, RouteTable
from lycheepost.decide.attempts import Sends
from lycheepost.decide.promptlevels import CacheScope, make_scope, prompt_levels
from lycheepost.decide.records import PrefixLevel, Priority, Work
from lycheepost.decide.routes import (
    RouteMatch,
    choose_group,
    choose_kv_store,
    is_resumable_stream,
)
from lycheepost.decide.silence import caller_stream_timeout_seconds

RANK_STEPS = 3
"""Number of route ranks within one customer rank. Engines accept ten ranks, and
operators use three for customers and three for routes."""

_PLAIN_OUTPUT_TOKENS = 1
"""A plain service produces no tokens; its response counts as one."""


def first_token_timeout_seconds(route: Route, request: ForwardRequest) -> float:
    """Return how long the caller waits for the first part of its response."""
    timeout_seconds = route.timeout_seconds
    if request.caller_timeout_seconds is not None:
        timeout_seconds = min(timeout_seconds, request.caller_timeout_seconds)
    if route.kind is not RouteKind.STREAM:
        return timeout_seconds
    return min(timeout_seconds, caller_stream_timeout_seconds(route))


def deadline_seconds(route: Route, request: ForwardRequest) -> float:
    """Return the time by which a request must be answered completely."""
    timeout_seconds = route.timeout_seconds
    if request.caller_timeout_seconds is not None:
        timeout_seconds = min(timeout_seconds, request.caller_timeout_seconds)
    return request.arrived_seconds + timeout_seconds


def continued_work(work: Work, route: Route, elapsed_seconds: float) -> Work:
    """Return the work of a stream whose caller has received part of it already.

    The caller's time-out restarts with each part that it receives. Counted from the
    arrival it would soon have passed, and wherever there is a queue the rest of a long
    stream would be refused as too late.
    """
    timeout_seconds = elapsed_seconds + caller_stream_timeout_seconds(route)
    return replace(work, first_token_timeout_seconds=timeout_seconds)


def bound_work(work: Work, version: SoftwareVersion | None) -> Work:
    """Return the work of a stream that goes on only at one software version.

    Args:
        work: The request.
        version: The version that began it; if it is not known, no target fits.
    """
    versions = frozenset() if version is None else frozenset({version})
    return replace(work, software_versions=versions)


def _scope(deps: ForwardDeps, route_match: RouteMatch, prompt: Prompt) -> CacheScope:
    """Return the scope under the newest weights that any target holds."""
    version = deps.targets.newest_weights(prompt.model)
    return make_scope(route_match.holder, version)


def _stored_tokens(
    deps: ForwardDeps,
    scope: CacheScope,
    prompt: Prompt,
    store: str,
    group: TargetGroupId,
) -> dict[SoftwareVersion, int]:
    """Return the tokens of a prompt that a KV store holds, by software version."""
    if not store:
        return {}
    contents = deps.kv_store_contents
    return {
        version: contents.stored_tokens(
            store, prompt_levels(replace(scope, software_version=version), prompt)
        )
        for version in deps.targets.software_versions(group)
    }


def rank_of(route_match: RouteMatch) -> int:
    """Return the rank of a request: the customer's if it has one, else the route's."""
    return (
        route_match.route.rank
        if route_match.holder.rank is None
        else route_match.holder.rank
    )


def engine_rank(route_match: RouteMatch) -> int:
    """Return the rank that is sent to an engine; lower runs first.

    Requests are ordered by ``rank_of`` and then by the rank of their route. A long
    prompt occupies an engine for a tenth of a second; without the route's rank, short
    prompts would wait behind long ones of the same customer rank.
    """
    return RANK_STEPS * rank_of(route_match) + min(
        route_match.route.rank, RANK_STEPS - 1
    )


def _priority(route_match: RouteMatch) -> Priority:
    return Priority(min(rank_of(route_match), Priority.BATCH.value))


def first_sends(relayed: RelayedFrom | None) -> Sends:
    """Return the attempts of other daemons before this one's."""
    if relayed is None:
        return Sends()
    return Sends(n_runs=relayed.n_runs, n_arrivals=relayed.n_arrivals)


def takes_up_stream(request: ForwardRequest, route: Route) -> bool:
    """Return whether a request asks for the rest of a stream."""
    return request.after_event is not None and is_resumable_stream(route)


def _group(deps: ForwardDeps, request: ForwardRequest, route: Route) -> TargetGroupId:
    """Return the group for a request: for the rest of a stream, the one that began it.

    A route may have lost that group since, or got others.
    """
    if takes_up_stream(request, route):
        group = deps.stream_versions.group_of(request.stream)
        if any(share.target_group == group for share in route.shares):
            assert group is not None
            return group
    return choose_group(route, deps.draw_split_point())


def shared_part_keys(prompt: Prompt | None) -> frozenset[PromptPartKey]:
    """Return the keys of the parts that other requests may share."""
    if prompt is None:
        return frozenset()
    return frozenset(
        prompt_part_key(part.part_id.encode()) for part in prompt.parts[:-1]
    )


def part_names(parts: Iterable[PromptPartKey]) -> list[str]:
    """Return the names of parts in logs."""
    return sorted(f"{part:016x}" for part in parts)


def make_work(
    deps: ForwardDeps,
    request: ForwardRequest,
    route_match: RouteMatch,
    table: RouteTable,
) -> Work:
    """Return the work of a request on its route.

    Args:
        deps: The dependencies of forwarding.
        request: The caller's request.
        route_match: Its route and sender.
        table: The route table that contains the route.
    """
    route = route_match.route
    prompt = request.prompt
    group = _group(deps, request, route)
    if table.groups.get(group) is None or table.groups[group].engine is None:
        prompt = None
    identity = f"{request.method} {request.host}{request.raw_path}\n".encode()
    customer = route_match.holder.customer
    levels: tuple[PrefixLevel, ...] = ()
    stored_tokens: dict[SoftwareVersion, int] = {}
    if prompt is not None:
        scope = _scope(deps, route_match, prompt)
        levels = prompt_levels(scope, prompt)
        store = choose_kv_store(table, levels)
        stored_tokens = _stored_tokens(deps, scope, prompt, store, group)
    return Work(
        request=deps.make_request_id(),
        customer=customer,
        target_group=group,
        model=ModelId("") if prompt is None else prompt.model,
        weights_version=WeightsVersion(""),
        levels=levels,
        prompt_tokens=0 if prompt is None else prompt.n_tokens,
        output_tokens=(
            _PLAIN_OUTPUT_TOKENS if prompt is None else prompt.max_output_tokens
        ),
        priority=_priority(route_match),
        arrived_seconds=request.arrived_seconds,
        first_token_timeout_seconds=first_token_timeout_seconds(route, request),
        fingerprint=fingerprint_body(customer, identity + request.body),
        is_idempotent=route.is_repeatable,
        objective_seconds=route.objective_seconds or math.inf,
        gap_seconds=route.gap_seconds,
        rank=engine_rank(route_match),
        hint_tokens=0 if prompt is None else prompt.hint_tokens,
        stored_tokens=stored_tokens,
        parts=shared_part_keys(request.prompt),
    )
