"""Steps of softwareversions.feature."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import aiohttp
from behave import given, then, when
from deployment import MODEL, Deployment

from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import PlatformServer, event_bytes
from lycheepost.standin.faults import FaultPlan, Truncated

N_EVENTS = 40
FIRST_EVENTS = 3
"""Events that a client has when it loses its stream."""
SHARED_TOKENS = 2000
N_SLOTS = 8
"""Of each engine: a third of the streams, so that they are spread over the engines."""

VERSIONS = ("v1", "v2")
MIN_WHOLE_SHARE = 0.9
CUT_SECONDS = 1.0
HOLD_SECONDS = 1.0


@dataclass
class Stream:
    """A stream, over all tries of its client.

    Attributes:
        first_id: The attempt that brought its first event.
        received: Its complete events so far.
        is_whole: Whether the last answer was complete.
        statuses: The status of each answer; None without one.
        seconds: How long the last answer took.
    """

    body: bytes
    first_id: str = ""
    received: list[bytes] = field(default_factory=list)
    is_whole: bool = False
    statuses: list[int | None] = field(default_factory=list)
    seconds: float = 0.0

    def versions(self):
        """Return the versions whose engines generated its events."""
        found = set()
        for number, event in enumerate(self.received, 1):
            fitting = [
                v for v in VERSIONS if event == event_bytes(number, self.body, v)
            ]
            assert fitting, (number, event)
            found.update(fitting)
        return found

    @property
    def is_complete(self):
        return self.is_whole and len(self.received) == N_EVENTS


async def add_engines(deployment, software, n):
    for _ in range(n):
        server = PlatformServer("llm", MODEL, n_events=N_EVENTS, n_slots=N_SLOTS)
        server.state.software = software
        await deployment.add_server(server)


@given(
    "a deployment with {n:d} daemon and {n_engines:d} {word} each of the versions v1"
    " and v2"
)
@given(
    "a deployment with {n:d} daemons and {n_engines:d} {word} each of the versions v1"
    " and v2"
)
def step_two_versions(context, n, n_engines, word):
    context.deployment = Deployment()

    async def start():
        await context.deployment.start(n, n_engines=0)
        await add_engines(context.deployment, "v1", n_engines)
        await add_engines(context.deployment, "v2", n_engines)
        await context.deployment.until(lambda: both_begin(context.deployment))

    context.loop.run_until_complete(start())


async def both_begin(deployment):
    """Return whether all daemons begin streams at engines of both versions."""
    n = N_SLOTS * len(deployment.group("llm")) * 3 // 4
    for index in range(len(deployment.daemons)):
        streams = [Stream(b"which version %d" % number) for number in range(n)]
        await begin_all(deployment, streams, index, 1)
        if set().union(*(stream.versions() for stream in streams)) != set(VERSIONS):
            return False
    return True


async def begin_all(deployment, streams, index, max_events):
    """Begin streams at once; no client leaves before all have their events."""
    have_all = asyncio.Barrier(len(streams))

    async def hold():
        with contextlib.suppress(TimeoutError, asyncio.BrokenBarrierError):
            async with asyncio.timeout(HOLD_SECONDS):
                await have_all.wait()

    await asyncio.gather(
        *(
            continue_stream(deployment, stream, index, max_events, hold)
            for stream in streams
        )
    )


async def nothing():
    """Wait for nothing."""


async def continue_stream(deployment, stream, index, max_events=None, hold=nothing):
    """Send one try at a daemon; leave after some events if told so.

    Args:
        deployment: The deployment.
        stream: The stream.
        index: The daemon.
        max_events: Events of the whole stream after which the client leaves.
        hold: Awaited before it leaves.
    """
    more = {names.DEADLINE: "8000", names.TOKENS: f"{SHARED_TOKENS + 9},{N_EVENTS}"}
    if stream.first_id:
        more[names.LAST_EVENT] = str(len(stream.received))
        more[names.RESUMES] = stream.first_id
    parts = f"{stream.body.hex()}:{SHARED_TOKENS},b:9"
    headers = deployment.prompt_headers(parts=parts, **more)
    attempt_id = deployment.attempt_id
    url = f"http://{deployment.nodes[index].clients}/title/1"
    loop = asyncio.get_running_loop()
    started = loop.time()
    stream.is_whole = False
    status, buffer = None, b""
    try:
        async with aiohttp.ClientSession() as session:
            async with session.post(url, headers=headers, data=stream.body) as answer:
                status = answer.status
                async for part in answer.content.iter_any():
                    if status != 200:
                        continue
                    buffer += part
                    *events, buffer = buffer.split(b"\n\n")
                    stream.received += [event + b"\n\n" for event in events]
                    stream.first_id = stream.first_id or attempt_id
                    if max_events is not None and len(stream.received) >= max_events:
                        del stream.received[max_events:]
                        await hold()
                        answer.close()
                        return
                stream.is_whole = status == 200 and not buffer
    except aiohttp.ClientError:
        pass
    finally:
        stream.statuses.append(status)
        stream.seconds = loop.time() - started


def break_first_runs(deployment, fault):
    """Let engines show a fault in the first run of each attempt."""
    seen = set()

    def is_first(attempt_id):
        is_new = attempt_id not in seen
        seen.add(attempt_id)
        return is_new

    plan = FaultPlan()
    plan.add(fault, 1000, is_first)
    for server in deployment.group("llm"):
        server.faults = plan


async def begin_both(deployment, n, index, max_events):
    """Begin streams at once; a quarter or more are of each version.

    Args:
        deployment: The deployment.
        n: How many streams.
        index: The daemon that begins them.
        max_events: After how many events their clients leave; None for never.
    """
    streams = [Stream(b"stream %d" % number) for number in range(n)]
    await begin_all(deployment, streams, index, max_events)
    assert all(stream.received for stream in streams), streams
    n_old = sum(
        stream.received[0] == event_bytes(1, stream.body, VERSIONS[0])
        for stream in streams
    )
    assert n / 4 <= n_old <= 3 * n / 4, n_old
    return streams


PLACES = {
    "at the same daemon": (0,),
    "at another daemon": (1,),
    "at all daemons by turns": (1, 2, 0),
}


@when("{n:d} streams of both versions are lost and taken up {where}")
def step_take_up(context, n, where):
    deployment = context.deployment

    async def take_up(stream):
        *before, last = PLACES[where]
        for index in before:
            n_events = len(stream.received) + FIRST_EVENTS
            await continue_stream(deployment, stream, index, n_events)
        await continue_stream(deployment, stream, last)

    async def run():
        context.streams = await begin_both(deployment, n, 0, FIRST_EVENTS)
        await asyncio.gather(*map(take_up, context.streams))

    context.loop.run_until_complete(run())


@when("the engines of {n:d} streams of both versions break off")
def step_engines_fail(context, n):
    break_first_runs(context.deployment, Truncated(FIRST_EVENTS))
    context.streams = context.loop.run_until_complete(
        begin_both(context.deployment, n, 0, None)
    )


@then("no stream holds events of two versions")
def step_not_mixed(context):
    mixed = [stream for stream in context.streams if len(stream.versions()) > 1]
    assert not mixed, (len(mixed), mixed[0].statuses)


@then("at least 9 in 10 of them are complete")
def step_complete(context):
    whole = [stream for stream in context.streams if stream.is_complete]
    share = len(whole) / len(context.streams)
    assert share >= MIN_WHOLE_SHARE, [
        (stream.statuses, len(stream.received))
        for stream in context.streams
        if not stream.is_complete
    ]


@then("each stream is cut off at once")
def step_cut(context):
    for stream in context.streams:
        assert stream.statuses == [200] and not stream.is_whole, stream
        assert len(stream.received) == FIRST_EVENTS, stream
        assert stream.seconds < CUT_SECONDS, stream
