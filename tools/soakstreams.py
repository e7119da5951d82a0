"""Clients of the soak that lose their streams and take them up again.

A client leaves some streams on purpose, loses others with their daemons, and asks for
the rest at any daemon. All events must be of one software version.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from soakfleet import ProcessFleet

from lycheepost.app.platformdemo import N_EVENTS, DemoRequest
from lycheepost.platform import headers as names

VERSIONS = ("v1", "v2", "v3")
LEAVE_SHARE = 0.4
"""Share of the streams that their clients leave on purpose, once each."""

MAX_TRIES = 4
MAX_BYTES = 1_000_000
"""No stream of the stand-ins is as long; a client leaves one that is longer."""

_OK = 200


@dataclass
class TakenStream:
    """A stream over all tries of its client.

    Attributes:
        first_id: The attempt that brought its first event.
        events: Its complete events so far.
        n_taken_up: How often its client asked for the rest.
        n_gone_on: How often it got more or the end.
        status: Of the last answer; None without one.
        refusal: The body of the last answer that was no stream.
        is_whole: Whether the last answer was complete.
    """

    first_id: str = ""
    events: list[bytes] = field(default_factory=list)
    n_taken_up: int = 0
    n_gone_on: int = 0
    status: int | None = None
    refusal: bytes = b""
    is_whole: bool = False

    @property
    def body(self) -> bytes:
        """Return what the client has."""
        return b"".join(self.events)


class StreamClient:
    """Asks for one stream until it is complete or cannot go on.

    Args:
        fleet: The daemons.
        rng: Chooses daemons and when to leave.
        note_sent: Called with each attempt id and the daemon that gets it.
        note_ended: Called when an answer has ended, with the stream and whether the
            client left on purpose.
        n_events: Events of a whole stream.
    """

    def __init__(
        self,
        fleet: ProcessFleet,
        rng: random.Random,
        note_sent: Callable[[str, int], None],
        note_ended: Callable[[TakenStream, bool], None],
        n_events: int = N_EVENTS,
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._note_sent = note_sent
        self._note_ended = note_ended
        self._n_events = n_events

    async def run(
        self, asked: DemoRequest, key: str, prompt: dict[str, str]
    ) -> tuple[TakenStream, str]:
        """Return the stream and the id of the last attempt."""
        stream = TakenStream()
        leaves = self._rng.random() < LEAVE_SHARE
        attempt_id = ""
        for number in range(MAX_TRIES):
            max_events = None
            if leaves and number == 0:
                max_events = self._rng.randint(1, self._n_events - 1)
            attempt_id = await self._try(asked, key, prompt, stream, max_events)
            if stream.is_whole or not stream.events or stream.status != _OK:
                break
        return stream, attempt_id

    async def _try(
        self,
        asked: DemoRequest,
        key: str,
        prompt: dict[str, str],
        stream: TakenStream,
        max_events: int | None,
    ) -> str:
        more = dict(prompt)
        if stream.events:
            more[names.LAST_EVENT] = str(len(stream.events))
            more[names.RESUMES] = stream.first_id
            stream.n_taken_up += 1
        headers = self._fleet.headers(key, **more)
        attempt_id = headers[names.ATTEMPT_ID]
        index = self._rng.randrange(len(self._fleet.processes))
        self._note_sent(attempt_id, index)
        stream.status, stream.is_whole = None, False
        n_before = len(stream.events)
        url = f"http://{self._fleet.nodes[index].clients}{asked.path}"
        try:
            async with self._fleet.session.post(
                url, headers=headers, data=asked.body
            ) as answer:
                await self._read(answer, stream, attempt_id, max_events)
        except aiohttp.ClientError:
            pass
        has_left = max_events is not None and len(stream.events) >= max_events
        self._note_ended(stream, has_left)
        if n_before:
            stream.n_gone_on += stream.is_whole or len(stream.events) > n_before
        return attempt_id

    async def _read(
        self,
        answer: aiohttp.ClientResponse,
        stream: TakenStream,
        attempt_id: str,
        max_events: int | None,
    ) -> None:
        stream.status = answer.status
        if answer.status != _OK:
            stream.refusal = await answer.read()
            return
        buffer, n_bytes = b"", 0
        async for part in answer.content.iter_any():
            buffer += part
            n_bytes += len(part)
            if n_bytes > MAX_BYTES:
                answer.close()
                return
            *events, buffer = buffer.split(b"\n\n")
            stream.events += [event + b"\n\n" for event in events]
            if stream.events and not stream.first_id:
                stream.first_id = attempt_id
            if max_events is not None and len(stream.events) >= max_events:
                del stream.events[max_events:]
                answer.close()
                return
        stream.is_whole = not buffer
