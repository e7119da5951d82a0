"""Steps of routed.feature."""

import math
from dataclasses import replace

from behave import given, then, when

from lycheepost.core.ids import CustomerId, TargetGroupId
from lycheepost.core.routing import (
    CallerLimits,
    GroupShare,
    KeyHolder,
    Route,
    RouteKind,
    make_route_table,
)
from lycheepost.decide.attempts import (
    AttemptEnd,
    Sends,
    Step,
    next_step,
)
from lycheepost.decide.freshness import KeyTrustRule, may_refuse, may_trust_key
from lycheepost.decide.routes import RouteMatch, choose_group, match_route
from lycheepost.decide.silence import first_byte_timeout_seconds

LIMITS = CallerLimits(16384, 4194304, 3.0, 15.0)
GROUP = TargetGroupId("g")
NOW_SECONDS = 1000.0


def make_route(name, prefix, kind=RouteKind.IDEMPOTENT, is_public=False):
    return Route(
        name=name,
        host="a",
        path_prefix=prefix,
        kind=kind,
        shares=(GroupShare(GROUP, 1.0),),
        timeout_seconds=1.0,
        objective_seconds=0.1,
        is_public=is_public,
    )


@given("routes that share prefixes, one of them public, for two customers")
def step_routes(context):
    routes = (
        make_route("short", "/x/"),
        make_route("long", "/x/y/"),
        make_route("public", "/open/", is_public=True),
    )
    holders = {
        "k-one": KeyHolder(CustomerId("one")),
        "k-two": KeyHolder(CustomerId("two")),
    }
    context.routes = make_route_table(1, routes, (), LIMITS, holders, ())


@when("a request for {path} at {host} comes with key {key}")
def step_request(context, path, host, key):
    context.found = match_route(
        context.routes, host, path, None if key == "none" else key
    )


@then("its route is {outcome}")
def step_route(context, outcome):
    match = context.found
    found = match.name if not isinstance(match, RouteMatch) else match.route.name
    if isinstance(match, RouteMatch) and match.is_keyed:
        found += f" as {match.holder.customer}"
    assert found == outcome, found


@given("a route with groups of weight {first:d} and {second:d}")
def step_split(context, first, second):
    shares = (
        GroupShare(TargetGroupId("a"), first),
        GroupShare(TargetGroupId("b"), second),
    )
    context.route = replace(make_route("r", "/"), shares=shares)


@given("a route with five groups of weight 33.3 and one of 0")
def step_nought(context):
    # Their sum is rounded up, so subtracting one after the other leaves 0.
    shares = (GroupShare(TargetGroupId("a"), 33.3),) * 5
    shares += (GroupShare(TargetGroupId("b"), 0.0),)
    context.route = replace(make_route("r", "/"), shares=shares)


@when("a request at the last point below 1 takes it")
def step_last_point(context):
    context.group = choose_group(context.route, math.nextafter(1.0, 0.0))


@then("it goes to one of the five")
def step_five(context):
    assert context.group == "a"


@when("{n:d} evenly spread requests take it")
def step_spread(context, n):
    context.groups = [choose_group(context.route, i / n) for i in range(n)]


@then("the groups get {first:d} and {second:d} of them")
def step_shares(context, first, second):
    counts = [context.groups.count(name) for name in ("a", "b")]
    assert counts == [first, second], counts


@when(
    "keys must be out of use after {bound:d} s and the last confirmation is {age} s old"
)
def step_confirmation(context, bound, age):
    rule = KeyTrustRule(bound, True, 2.0)
    confirmed = None if age == "never" else NOW_SECONDS - float(age)
    context.is_trusted = may_trust_key(rule, confirmed, NOW_SECONDS)


@then("a keyed request is {outcome}")
def step_trusted(context, outcome):
    assert context.is_trusted == (outcome == "served")


@given("an {kind} route with at most {most:d} runs")
@given("a {kind} route with at most {most:d} runs")
def step_kind(context, kind, most):
    is_resumable = kind == "resumable"
    found = RouteKind.STREAM if is_resumable else RouteKind(kind)
    route = make_route("r", "/", found)
    context.route = replace(route, max_runs=most, is_resumable=is_resumable)


@when("a request that has {runs:d} runs besides ends as {end} with {left:g} s left")
def step_end(context, runs, end, left):
    end = AttemptEnd(end)
    sends = Sends(runs, runs).add(end)
    context.step = next_step(context.route, sends, end, left)


@then("the next step is {step}")
def step_next(context, step):
    assert context.step is Step[step], context.step


@when("every attempt of a request ends as {end}")
def step_every(context, end):
    end = AttemptEnd(end)
    sends = Sends()
    step = Step.TRY_AGAIN
    while step is Step.TRY_AGAIN:
        sends = sends.add(end)
        step = next_step(context.route, sends, end, 10.0)
    context.sends, context.step = sends, step


@then("it is refused as not run after {n:d} attempts")
def step_refused(context, n):
    assert context.step is Step.REFUSE
    assert context.sends == Sends(n, 0, n), context.sends


@when("a request has {left:g} s left and {runs:d} runs")
def step_left(context, left, runs):
    context.silence = first_byte_timeout_seconds(context.route, Sends(runs, runs), left)


@then("a silent target is given up after {seconds:g} s")
def step_silence(context, seconds):
    assert abs(context.silence - seconds) < 1e-9, context.silence


@then("an attempt that ends as {end} counts {n:d} arrivals at targets")
def step_arrivals(context, end, n):
    assert Sends().add(AttemptEnd(end)).n_arrivals == n


@then("an attempt at a peer that states {n:d} arrivals counts as many")
def step_stated_arrivals(context, n):
    assert Sends(n_arrivals=1).add(AttemptEnd.NOT_RUN, n).n_arrivals == 1 + n


@then("a request for what was last confirmed {age} s ago and is unknown is {outcome}")
def step_unknown(context, age, outcome):
    confirmed = None if age == "never" else NOW_SECONDS - float(age)
    rule = KeyTrustRule(5.0, True, 2.0)
    may = may_refuse(rule, confirmed, NOW_SECONDS)
    assert may == (outcome == "refused")
