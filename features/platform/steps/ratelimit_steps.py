"""Steps of ratelimits.feature."""

import asyncio
import itertools
import math
from dataclasses import replace

from behave import given, then, when
from deployment import BOUNDS, Deployment

from lycheepost.platform.dialect import parse_non_negative

LIMITS = {
    "a limit of 1.3 a second": 1.3,
    "a limit of 40 a second": 40.0,
    "a limit of 0 a second": 0.0,
    "no limit": None,
}
PLAIN = "plain"
WINDOW_SECONDS = 4.0
GRACE_SECONDS = 3.0
TOLERATED_SHARE = 1.5
TOLERATED_REQUESTS = 5


@then('a rate limit header "{written}" means {limit}')
def step_decoded(context, written, limit):
    assert parse_non_negative(written) == LIMITS[limit], parse_non_negative(written)


@then('a rate limit header "" means {limit}')
def step_nothing(context, limit):
    assert parse_non_negative("") == LIMITS[limit]


@given("a deployment with {n:d} daemons that may use keys without confirming them")
def step_unconfirmed(context, n):
    # After a pause of the test process, which stops all daemons at once, each would
    # refuse requests until it had confirmed the configuration.
    context.deployment = Deployment(replace(BOUNDS, is_revoke_strict=False))
    context.loop.run_until_complete(context.deployment.start(n))


async def look_up(deployment: Deployment, index: int, statuses: list[int | None]):
    headers = deployment.headers("k-one")
    answer = await deployment.ask("GET", f"/look/{index}", headers, index=index % 3)
    statuses.append(answer.status)


async def ask_steadily(
    deployment, per_second, seconds, limit_seconds, limit, end_seconds=math.inf
):
    """Send requests at an even rate.

    Args:
        deployment: The deployment that gets the requests.
        per_second: Look-ups per second.
        seconds: Duration of the traffic.
        limit_seconds: When the first server starts to state its limit.
        limit: The limit in requests a second.
        end_seconds: When it stops stating it.

    Returns:
        Statuses, and the times at which the first server got requests, relative to the
        start of its limit.
    """
    server = deployment.group(PLAIN)[0]
    loop = asyncio.get_running_loop()
    started = loop.time()
    statuses, arrivals, tasks = [], [], []
    for number in itertools.count():
        elapsed = loop.time() - started
        if elapsed > seconds:
            break
        if elapsed > limit_seconds:
            server.limit_per_second = limit if elapsed < end_seconds else None
        arrivals += [elapsed - limit_seconds] * (len(server.runs) - len(arrivals))
        tasks.append(asyncio.create_task(look_up(deployment, number, statuses)))
        await asyncio.sleep(started + (number + 1) / per_second - loop.time())
    await asyncio.gather(*tasks)
    return statuses, arrivals


@when(
    "clients ask all daemons for look-ups, {per_second:d} a second for {seconds:d} s,"
    " and after {limit_seconds:g} s the first server states a limit of {limit:g}"
    " a second"
)
def step_ask(context, per_second, seconds, limit_seconds, limit):
    context.limit = limit
    context.statuses, context.arrivals = context.loop.run_until_complete(
        ask_steadily(context.deployment, per_second, seconds, limit_seconds, limit)
    )


@then(
    "from 3 s after that it gets at most one and a half times its limit and 5 more in"
    " any 4 s"
)
def step_within(context):
    allowed = TOLERATED_SHARE * context.limit * WINDOW_SECONDS + TOLERATED_REQUESTS
    # The first windows begin before the server has stated the limit.
    limited = [at for at in context.arrivals if at >= 0]
    for end in (at for at in limited if at >= GRACE_SECONDS):
        n = sum(end - WINDOW_SECONDS < at <= end for at in limited)
        assert n <= allowed, (
            f"{n} in 4 s up to {end:.3f} s, allowed {allowed:g}: {context.arrivals}"
        )


@then("all look-ups are served")
def step_served(context):
    bad = [status for status in context.statuses if status != 200]
    assert not bad, bad


@when(
    "clients ask all daemons for look-ups, {per_second:d} a second for {seconds:d} s,"
    " and from {limit_seconds:g} s to {end_seconds:g} s the first server states a limit"
    " of {limit:g} a second"
)
def step_ask_ended(context, per_second, seconds, limit_seconds, end_seconds, limit):
    context.statuses, context.arrivals = context.loop.run_until_complete(
        ask_steadily(
            context.deployment, per_second, seconds, limit_seconds, limit, end_seconds
        )
    )


@then("no daemon applies a limit any more")
def step_forgotten(context):
    limits = [
        daemon.status()["notices"]["limits"] for daemon in context.deployment.daemons
    ]
    assert limits == [{}, {}, {}], limits


@when(
    "the first server states a limit of {limit:g} a second and only one daemon gets"
    " requests"
)
def step_one_asked(context, limit):
    deployment = context.deployment
    server = deployment.group(PLAIN)[0]
    server.limit_per_second = limit
    context.limits = {server.name: limit}

    async def is_known():
        await look_up(deployment, 0, [])
        return deployment.daemons[0].status()["notices"]["limits"] == context.limits

    context.loop.run_until_complete(deployment.until(is_known))


@then("all daemons apply the limit of that server within 1 s")
def step_all_hold(context):
    async def all_hold():
        found = [
            daemon.status()["notices"]["limits"]
            for daemon in context.deployment.daemons
        ]
        return found == [context.limits] * len(found)

    context.loop.run_until_complete(context.deployment.until(all_hold, 1.0))
