"""Clients of the scenarios of software versions, who lose and take up streams."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import aiohttp

from lycheepost.platform import headers as names
from lycheepost.platform.models.streamaudit import versions_of

VERSIONS = ("v1", "v2")
N_EVENTS = 40
SHARED_TOKENS = 2000
HOLD_SECONDS = 1.0
"""How long clients that begin streams together wait for each other."""


@dataclass
class Stream:
    """A stream, over all tries of its client.

    Attributes:
        first_id: The attempt that brought its first event.
        received: Its complete events so far.
        is_whole: Whether the last answer was complete.
        statuses: The status of each answer; None without one.
        seconds: How long the last answer took.
        retry_after: The time to come back in the last answer.
        reason: The text of the last refusal.
        names_first: Whether its client names the first attempt.
    """

    body: bytes
    first_id: str = ""
    received: list[bytes] = field(default_factory=list)
    is_whole: bool = False
    statuses: list[int | None] = field(default_factory=list)
    seconds: float = 0.0
    retry_after: str | None = None
    reason: str = ""
    names_first: bool = True

    def versions(self):
        """Return the versions whose engines generated its events."""
        found = versions_of(self.body, self.received, VERSIONS)
        assert found is not None, self.received
        return found

    @property
    def is_complete(self):
        return self.is_whole and len(self.received) == N_EVENTS


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
        if stream.names_first:
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
                stream.retry_after = answer.headers.get(names.RETRY_AFTER)
                if status != 200:
                    stream.reason = await answer.text()
                    return
                async for part in answer.content.iter_any():
                    buffer += part
                    *events, buffer = buffer.split(b"\n\n")
                    stream.received += [event + b"\n\n" for event in events]
                    stream.first_id = stream.first_id or attempt_id
                    if max_events is not None and len(stream.received) >= max_events:
                        del stream.received[max_events:]
                        await hold()
                        answer.close()
                        return
                stream.is_whole = not buffer
    except aiohttp.ClientError:
        pass
    finally:
        stream.statuses.append(status)
        stream.seconds = loop.time() - started


async def begin_streams(deployment, n, index, max_events):
    """Begin streams at once.

    Args:
        deployment: The deployment.
        n: How many streams.
        index: The daemon that begins them.
        max_events: After how many events their clients leave; None for never.
    """
    streams = [Stream(b"stream %d" % number) for number in range(n)]
    await begin_all(deployment, streams, index, max_events)
    assert all(stream.received for stream in streams), streams
    return streams


def began_at(streams):
    """Return the versions that began the streams."""
    return [
        version
        for stream in streams
        for version in versions_of(stream.body, stream.received[:1], VERSIONS)
    ]
