"""An engine, its client and a relay, connected as in the daemon."""

import asyncio
import json
import socket
import uuid
from dataclasses import dataclass, field

from aiohttp import web
from returns.result import Success

from lycheepost.core.clock import SystemClock
from lycheepost.generated.settings import StreamSettings
from lycheepost.standin import answers, faults
from lycheepost.standin.engine import make_engine
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.targets.calls import CHAT_PATH, COMPLETION_PATH, Delivered, EngineCall
from lycheepost.targets.continuation import continuation_body
from lycheepost.targets.engine import make_engine_client
from lycheepost.targets.errors import StreamLost
from lycheepost.targets.relay import RelayComplete, RelayLost, relay

# Short time-outs, so that they expire within a scenario.
SETTINGS = StreamSettings(
    silence_seconds=0.3,
    first_byte_seconds=3.0,
    connect_seconds=0.5,
    idle_connection_seconds=0.2,
)
MESSAGES = [{"role": "user", "content": "sum this letter up"}]
PROMPT = "once upon a time"


def parse_fault(text):
    return eval(text, vars(faults))  # The feature's own table, not input.


@dataclass
class TestBed:
    """The components that a scenario has started, and the results it observed."""

    engine: object
    client: object
    url: str = ""
    second: object = None
    path: str = CHAT_PATH
    transport: object = None
    events: list = field(default_factory=list)
    raw: bytes = b""
    outcome: object = None
    error: object = None
    seconds: float = 0.0

    def call(self, n_tokens, url="", body=None, continues=None, request=None):
        body = body or json.dumps(self.body(n_tokens)).encode()
        url = url or self.engine.url
        request = request or uuid.uuid4().hex
        return EngineCall("t", url, request, self.path, body, "w1", (), True, continues)

    def body(self, n_tokens):
        asked = {"model": "m", "stream": True, "max_tokens": n_tokens}
        if self.path == COMPLETION_PATH:
            return asked | {"prompt": PROMPT}
        return asked | {"messages": MESSAGES}

    def expected(self, n_tokens):
        if self.path == COMPLETION_PATH:
            return answers.expected_words(PROMPT, n_tokens)
        return answers.expected_words(answers.chat_prompt_text(MESSAGES), n_tokens)

    def received(self):
        """Return words, event numbers and whether the stream ended with DONE."""
        words, numbers, is_done = [], [], False
        for event in self.raw.split(b"\n\n")[:-1]:
            number, _, data = event.partition(b"\ndata: ")
            numbers.append(int(number.removeprefix(b"id: ")))
            if data == b"[DONE]":
                is_done = True
                continue
            choice = json.loads(data)["choices"][0]
            text = choice.get("text") or choice.get("delta", {}).get("content")
            words += text.split() if text else []
        return words, numbers, is_done


async def open_bed(stack, **engine_settings):
    engine = make_engine(EngineStandinSettings(restart_seconds=0.2, **engine_settings))
    await engine.start()
    stack.push_async_callback(engine.stop)
    client = make_engine_client(SETTINGS, SystemClock())
    await client.start()
    stack.push_async_callback(client.stop)
    bed = TestBed(engine, client)
    app = web.Application()
    app.router.add_get("/{n_tokens}/{elsewhere}", lambda request: serve(bed, request))
    runner = web.AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=0
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    bed.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    return bed


async def serve(bed, request):
    """Relay one answer; continue it on the second engine if the path allows it."""
    call = bed.call(int(request.match_info["n_tokens"]))
    response = web.StreamResponse()
    bed.transport = request.transport
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
    while True:
        started = await bed.client.start_call(call)
        if not isinstance(started, Success):
            bed.error = started.failure()
            return web.Response(status=502)
        if not response.prepared:
            await response.prepare(request)
        bed.outcome = await relay(started.unwrap(), response, request)
        match bed.outcome:
            case RelayLost(error) if request.match_info["elsewhere"] == "yes":
                body = continuation_body(
                    call.path, call.body, error.delivered_text, error.n_tokens
                )
                so_far = Delivered(error.n_events, error.n_tokens, error.delivered_text)
                call = bed.call(0, bed.second.url, body, so_far, call.request)
            case RelayComplete():
                return response
            case _:
                request.transport.abort()
                return response


async def read_directly(bed, n_tokens):
    """Read an answer piece by piece, as sinks that collect it do."""
    started = await bed.client.start_call(bed.call(n_tokens))
    stream = started.unwrap()
    try:
        while (data := await stream.read()) is not None:
            bed.raw += data
        bed.outcome = RelayComplete(stream.n_events, stream.usage)
    except StreamLost as error:
        bed.outcome = RelayLost(error)


async def wait_until(is_true, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not is_true():
            await asyncio.sleep(0.01)
