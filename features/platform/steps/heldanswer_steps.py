"""Steps of heldanswers.feature."""

import asyncio
from dataclasses import dataclass, field

from behave import given, then, when
from deployment import KEYS, Deployment, make_configuration

from lycheepost.app.platformfleet import ENGINES, PLAIN
from lycheepost.platform import headers as names
from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverfaults import ServerFailure
from lycheepost.platform.models.serverstandin import PlatformServer, event_bytes
from lycheepost.standin.faults import Refused, Truncated

N_EVENTS = 60
N_PROMPT_TOKENS = 150
N_LONG_EVENTS = 300
"""Events of a stream that goes on for a second after its first pause."""
N_FIRST_EVENTS = 3
"""Events that the client has when its engine falls silent."""
BODY = b"a title"
CHANGE_SECONDS = 0.1
"""By then a change of the configuration is in force, before any target is left."""
DEADLINE_MS = "5000"
LIMIT_SECONDS = 6.0
"""Longer than the request's time, after which it has ended in any case."""


@dataclass
class Received:
    """What a client has received.

    Attributes:
        ended_seconds: When its response ended, by the loop's clock.
    """

    status: int | None = None
    body: bytes = b""
    is_whole: bool = False
    sent_seconds: float = 0.0
    ended_seconds: float = 0.0
    first_events: asyncio.Event = field(default_factory=asyncio.Event)


@given(
    "a deployment with 1 daemon, 2 engines and streams with a gap objective of"
    " {gap:g} s"
)
def step_deployment(context, gap):
    context.deployment = Deployment()
    context.gap_ms = 1000 * gap
    context.loop.run_until_complete(start(context))


def make_document(context, version=1, keys=tuple(KEYS)):
    document = make_configuration(version, keys)
    for route in document["routes"]:
        if route["name"] == "title":
            route["target_gap_ms"] = context.gap_ms
    return document


async def start(context):
    deployment = context.deployment
    await deployment.start(is_configured=False)
    set_length(context, N_EVENTS)
    deployment.configure(make_document(context))
    await deployment.until(deployment.all_ready)


def set_length(context, n_events):
    """Set how many events each stream has."""
    context.n_events = n_events
    for server in context.deployment.group(ENGINES):
        server.n_events = n_events


async def receive(deployment, method, path, headers, body, received):
    """Send a request and keep what arrives."""
    loop = asyncio.get_running_loop()
    received.sent_seconds = loop.time()
    url = f"http://{deployment.nodes[0].clients}{path}"
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            async with deployment.session.request(
                method, url, headers=headers, data=body
            ) as response:
                received.status = response.status
                async for part in response.content.iter_any():
                    received.body += part
                    if received.body.count(b"\n\n") >= N_FIRST_EVENTS:
                        received.first_events.set()
                await response.wait_body_end()
                received.is_whole = True
    except (OSError, TimeoutError) as error:
        received.body += f"({type(error).__name__})".encode()
    except Exception as error:
        if not type(error).__module__.startswith("aiohttp"):
            raise
    finally:
        received.ended_seconds = loop.time()
        received.first_events.set()


async def end(task):
    """End a task that a scenario has left."""
    task.cancel()
    await asyncio.wait({task})


async def begin_stream(context, n_prompt_tokens=N_PROMPT_TOKENS):
    """Begin a stream; return its engine and the other one once events arrive."""
    deployment = context.deployment
    parts = f"aa:100,bb:{n_prompt_tokens - 100}"
    tokens = f"{n_prompt_tokens},{context.n_events}"
    headers = deployment.prompt_headers(
        parts=parts, **{names.DEADLINE: DEADLINE_MS, names.TOKENS: tokens}
    )
    context.received = Received()
    context.receiving = asyncio.ensure_future(
        receive(deployment, "POST", "/title/x", headers, BODY, context.received)
    )
    await context.received.first_events.wait()
    return split(deployment, ENGINES)


def split(deployment, service):
    """Return the server that has the last request, and the other one."""
    first, second = deployment.group(service)
    arrived = [attempt for attempt, _seconds in first.arrivals]
    return (first, second) if deployment.attempt_id in arrived else (second, first)


async def begin_look_up(context):
    """Send a look-up to services that are silent; return its service and the other."""
    deployment = context.deployment
    context.pauses = [
        asyncio.ensure_future(server.pause(context.silent_seconds))
        for server in deployment.group(PLAIN)
    ]
    await asyncio.sleep(0)
    headers = deployment.headers(**{names.DEADLINE: DEADLINE_MS})
    context.received = Received()
    context.receiving = asyncio.ensure_future(
        receive(deployment, "GET", "/look/1", headers, None, context.received)
    )

    async def has_arrived():
        return any(server.arrivals for server in deployment.group(PLAIN))

    await deployment.until(has_arrived)
    return split(deployment, PLAIN)


async def apply(context, obstacle, silent, other):
    """Put something in the way of a request that looks for another target."""
    deployment = context.deployment
    attempt_id = deployment.attempt_id
    match obstacle.split():
        case ["the", "other", "engine" | "service", "rejects", *_]:
            other.faults.add(Refused(503), 5, lambda text: text == attempt_id)
        case ["the", "other", _, "fails", "it"]:
            other.faults.add(ServerFailure(), 5, lambda text: text == attempt_id)
        case ["the", "other", *_, "a", "back-off"]:
            other.backoff_seconds = 0.5
        case ["the", "other", _, "has", "crashed"]:
            await other.stop()
        case ["the", "other", _, "has", "left"]:
            deployment.store.store.put("servers", other.name, None)
        case ["the", "other", *_, "changes", "its", "weights"]:
            other.state.is_changing = True
        case ["the", "other", *_, "holds", "newer", "weights"]:
            other.state.version += 1
        case ["the", "other", _, "is", "silent", *_]:
            pause = asyncio.ensure_future(other.pause(context.silent_seconds))
            context.closers.append(lambda: end(pause))
        case ["the", "other", _, "breaks", "off"]:
            fault = Truncated(after_events=0)
            other.faults.add(fault, 5, lambda text: text == attempt_id)
        case ["the", "other", _, "needs", seconds, "s"]:
            pause = asyncio.ensure_future(other.pause(float(seconds)))
            context.closers.append(lambda: end(pause))
        case ["the", "key", *_]:
            deployment.configure(make_document(context, 2, ("k-two",)))
        case ["its", "route", "is", "removed"]:
            document = make_document(context, 2)
            gone = ("title", "look")
            document["routes"] = [
                route for route in document["routes"] if route["name"] not in gone
            ]
            deployment.configure(document)
        case ["its", "route", "moves", *_]:
            document = make_document(context, 2)
            for route in document["routes"]:
                if route["name"] == "title":
                    route["service"] = PLAIN
            deployment.configure(document)
        case ["the", "daemon", *_]:
            drain = asyncio.ensure_future(deployment.daemons[0].drain())
            context.closers.append(lambda: end(drain))
        case ["new", "connections", *_]:
            deployment.networks[0].cut(PathCut.REFUSE_NEW)
        case ["nothing", *_]:
            pass
        case _:
            raise AssertionError(obstacle)


@when("the engine of a stream is silent for {seconds:g} s and {obstacle}")
def step_stream(context, seconds, obstacle):
    context.silent_seconds = seconds

    async def play():
        context.silent, context.other = await begin_stream(context)
        pause = asyncio.ensure_future(context.silent.pause(seconds))
        await apply(context, obstacle, context.silent, context.other)
        await watch(context)
        await pause

    context.loop.run_until_complete(play())


@when("the engine of a stream of {n:d} prompt tokens is silent for {seconds:g} s")
def step_long_prompt(context, n, seconds):
    async def play():
        context.silent, context.other = await begin_stream(context, n)
        pause = asyncio.ensure_future(context.silent.pause(seconds))
        await watch(context)
        await end(pause)

    context.loop.run_until_complete(play())


async def watch(context):
    """Wait until the client's response has ended; note when the other engine began."""
    loop = asyncio.get_running_loop()
    context.worked_seconds = 0.0
    began_seconds = None
    attempt_id = context.deployment.attempt_id
    while not context.receiving.done():
        await asyncio.sleep(0.01)
        if began_seconds is None and any(
            run.attempt_id == attempt_id for run in context.other.runs
        ):
            began_seconds = loop.time()
        if began_seconds is not None and context.silent.n_running:
            context.worked_seconds = loop.time() - began_seconds


@when("the service of a look-up is silent for {seconds:g} s and {obstacle}")
def step_look_up(context, seconds, obstacle):
    context.silent_seconds = seconds

    async def play():
        context.silent, context.other = await begin_look_up(context)
        if "silent" not in obstacle:
            await context.other.pause(0.0)
        await apply(context, obstacle, context.silent, context.other)
        await watch(context)
        await asyncio.gather(*context.pauses)

    context.loop.run_until_complete(play())


@when(
    "the engine of a stream is silent for {seconds:g} s as the other rejects it, and"
    " then for good"
)
def step_twice(context, seconds):
    set_length(context, N_LONG_EVENTS)

    async def play():
        context.silent, context.other = await begin_stream(context)
        pause = asyncio.ensure_future(context.silent.pause(seconds))
        attempt_id = context.deployment.attempt_id
        context.other.faults.add(Refused(503), 1, lambda text: text == attempt_id)
        await pause
        n_before = context.received.body.count(b"\n\n")

        async def has_gone_on():
            return context.received.body.count(b"\n\n") > n_before

        await context.deployment.until(has_gone_on)
        assert not context.receiving.done(), "the stream ended before its second pause"
        pause = asyncio.ensure_future(context.silent.pause(LIMIT_SECONDS))
        await context.receiving
        await end(pause)

    context.loop.run_until_complete(play())


@when(
    "the engine of a stream is silent, the other rejects it, and the first one crashes"
)
def step_crash(context):
    async def play():
        context.silent, context.other = await begin_stream(context)
        pause = asyncio.ensure_future(context.silent.pause(LIMIT_SECONDS))
        context.closers.append(lambda: end(pause))
        attempt_id = context.deployment.attempt_id
        context.other.faults.add(Refused(503), 9, lambda text: text == attempt_id)
        await asyncio.sleep(0.6)
        assert not context.receiving.done(), context.received
        context.crashed_seconds = asyncio.get_running_loop().time()
        await context.silent.stop()
        await context.receiving
        await end(pause)

    context.loop.run_until_complete(play())


@then("the client's connection breaks within {seconds:g} s of the crash")
def step_broken(context, seconds):
    received = context.received
    assert not received.is_whole, received
    assert received.ended_seconds - context.crashed_seconds <= seconds, received


@then("the client gets the whole stream")
def step_whole(context):
    received = context.received
    expected = b"".join(event_bytes(n, BODY) for n in range(1, context.n_events + 1))
    assert received.status == 200, received
    assert received.is_whole, received
    assert received.body == expected, received


@then("the client gets the whole stream within {seconds:g} s")
def step_whole_within(context, seconds):
    step_whole(context)
    received = context.received
    assert received.ended_seconds - received.sent_seconds <= seconds, received


@then("the client gets the whole answer within {seconds:g} s")
def step_answer(context, seconds):
    received = context.received
    assert received.status == 200, received
    assert received.is_whole, received
    assert received.ended_seconds - received.sent_seconds <= seconds, received


@then("the other engine has sent its end")
def step_other_end(context):
    attempt_id = context.deployment.attempt_id
    assert any(run.attempt_id == attempt_id for run in context.other.runs)


@then("the silent engine no longer works on it {seconds:g} s after the other has begun")
def step_silent_ended(context, seconds):
    assert context.worked_seconds <= seconds, context.worked_seconds


@then("the other engine no longer works on it")
def step_other_ended(context):
    other: PlatformServer = context.other
    assert other.n_running == 0, other.n_running


@then("as many retries are counted as the request arrived again")
def step_retries(context):
    deployment = context.deployment
    budgets = deployment.daemons[0].status()["queues"]["retries"].values()
    n_retries = sum(budget["n_retries"] for budget in budgets)
    n_arrivals = sum(len(server.arrivals) for server in deployment.servers)
    assert n_retries == n_arrivals - 1, (n_retries, n_arrivals)


@when(
    "the client of a stream leaves {seconds:g} s after its engine fell silent and"
    " {obstacle}"
)
def step_leave(context, seconds, obstacle):
    context.silent_seconds = LIMIT_SECONDS
    set_length(context, N_LONG_EVENTS)

    async def play():
        context.silent, context.other = await begin_stream(context)
        pause = asyncio.ensure_future(context.silent.pause(LIMIT_SECONDS))
        context.closers.append(lambda: end(pause))
        await apply(context, obstacle, context.silent, context.other)
        await asyncio.sleep(seconds)
        assert not context.receiving.done(), context.received
        await end(context.receiving)

    context.loop.run_until_complete(play())


@then("no engine works on it {seconds:g} s later")
def step_none_works(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    n_running = [server.n_running for server in context.deployment.group(ENGINES)]
    assert n_running == [0, 0], n_running


@then("the daemon has no request under way")
def step_none_under_way(context):
    status = context.deployment.daemons[0].status()
    targets = status["queues"]["groups"][ENGINES]["targets"]
    n_in_flight = [target["n_in_flight"] for target in targets.values()]
    assert n_in_flight == [0, 0], n_in_flight
