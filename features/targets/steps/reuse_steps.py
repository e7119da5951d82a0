"""Steps of reuse.feature."""

import asyncio
import os
import random
import socket
import struct
from dataclasses import dataclass, field

from behave import then, when
from returns.result import Success

from lycheepost.core.ids import CustomerId, RequestId, TargetId
from lycheepost.generated.settings import StreamSettings
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import ServerDialect
from lycheepost.targets.errors import TargetError
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import ForwardCall

CALLS_PER_RUN = 12
CALL_TIMEOUT_SECONDS = 0.05
"""Time-out of a call, after which it is cancelled."""

BEHAVIOURS = (
    ("whole", 12),
    ("twice", 2),
    ("late again", 2),
    ("other id", 1),
    ("no id", 1),
    ("broken off", 2),
    ("no length", 1),
    ("no length, reset", 1),
    ("noise", 1),
    ("silence", 1),
    ("closes first", 2),
    ("closes after", 3),
    ("resets after", 2),
)


def n_runs(n):
    return int(os.environ.get("LYCHEEPOST_RUNS", n))


@dataclass
class RunResult:
    """The calls that a run observed and the errors that it found."""

    arrivals: list = field(default_factory=list)
    wrong: list = field(default_factory=list)
    repeated: list = field(default_factory=list)
    n_reused: int = 0
    n_once: int = 0


def body_of(attempt):
    return (f"answer to {attempt} " * 5).encode()


def response_head(attempt, length=None):
    lines = ["HTTP/1.1 200 OK", f"{names.SEAL}: seal"]
    if attempt is not None:
        lines.append(f"{names.ATTEMPT_ID}: {attempt}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole(attempt):
    body = body_of(attempt)
    return response_head(attempt, len(body)) + body


def reset(writer):
    """Reset a connection, because a plain close looks like the end of the body."""
    if writer.transport.is_closing():
        # The client has closed it already.
        return
    connection = writer.get_extra_info("socket")
    no_linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class FaultyTarget:
    """A target whose faults are determined by a seed."""

    def __init__(self, rng, seen):
        self.rng, self.seen = rng, seen
        self.names, self.weights = zip(*BEHAVIOURS, strict=True)
        self.tasks = set()

    async def serve_connection(self, reader, writer):
        n_calls = 0
        self.tasks.add(asyncio.current_task())
        try:
            while attempt := await self.read_call(reader):
                n_calls += 1
                self.seen.arrivals.append((attempt, n_calls))
                if not await self.answer(attempt, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def read_call(self, reader):
        try:
            text = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            return None
        fields = dict(
            line.lower().split(": ", 1) for line in text.split("\r\n")[1:] if line
        )
        await reader.readexactly(int(fields.get("content-length", 0)))
        return fields[names.ATTEMPT_ID.lower()]

    async def answer(self, attempt, writer):
        """Respond with one behaviour; return whether the connection stays open."""
        body = body_of(attempt)
        behaviour = self.rng.choices(self.names, self.weights)[0]
        match behaviour:
            case "whole":
                writer.write(whole(attempt))
            case "twice":
                writer.write(whole(attempt) + whole(attempt))
            case "late again":
                writer.write(whole(attempt))
                await writer.drain()
                await asyncio.sleep(self.rng.choice((0.0, 0.002)))
                writer.write(whole(attempt))
            case "other id":
                writer.write(whole("of-another"))
            case "no id":
                writer.write(response_head(None, len(body_of("x"))) + body_of("x"))
            case "broken off":
                writer.write(whole(attempt)[: -self.rng.randint(1, len(body))])
                return False
            case "no length":
                writer.write(response_head(attempt) + body)
                return False
            case "no length, reset":
                writer.write(response_head(attempt) + body[:20])
                await writer.drain()
                await asyncio.sleep(0.002)
                reset(writer)
                return False
            case "noise":
                writer.write(b"\x00\x01 no answer\r\n\r\n")
            case "silence":
                await asyncio.sleep(4 * CALL_TIMEOUT_SECONDS)
            case "closes first":
                return False
            case "closes after":
                writer.write(whole(attempt))
                await writer.drain()
                return False
            case "resets after":
                writer.write(whole(attempt))
                await writer.drain()
                await asyncio.sleep(0.002)
                reset(writer)
                return False
        await writer.drain()
        return True


def make_call(attempt, address, may_repeat):
    return ForwardCall(
        target=TargetId("t"),
        address=address,
        request=RequestId(attempt),
        method="POST",
        raw_path="/x",
        headers=((names.ATTEMPT_ID, attempt),),
        body=b"body",
        remaining_seconds=1.0,
        customer=CustomerId(""),
        may_reuse_connection=may_repeat,
    )


async def send(client, call, seen):
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            match await client.send(call):
                case Success(answer):
                    pass
                case _:
                    return
            try:
                if answer.head.status == 200 and answer.head.is_sealed:
                    body = await answer.read_body(100_000)
                    if body != body_of(call.request):
                        seen.wrong.append((call.request, body))
            except TargetError:
                return
            finally:
                answer.close()
    except TimeoutError:
        return


async def run_calls(seed):
    rng = random.Random(seed)
    seen = RunResult()
    target = FaultyTarget(rng, seen)
    server = await asyncio.start_server(target.serve_connection, "127.0.0.1", 0)
    address = "127.0.0.1:" + str(server.sockets[0].getsockname()[1])
    client = ForwardClient(StreamSettings(connect_seconds=1.0), ServerDialect())
    await client.start()
    calls = [
        make_call(f"{seed}-{n}", address, rng.random() < 0.8)
        for n in range(CALLS_PER_RUN)
    ]
    while calls:
        n_together = rng.choice((1, 1, 1, 3))
        together, calls = calls[:n_together], calls[n_together:]
        await asyncio.gather(*(send(client, call, seen) for call in together))
        if rng.random() < 0.3:
            await asyncio.sleep(0.003)
        check_once(seen, together)
    await client.stop()
    server.close()
    for task in target.tasks:
        task.cancel()
    await asyncio.gather(*target.tasks)
    return seen


def check_once(seen, calls):
    for call in calls:
        found = [n for attempt, n in seen.arrivals if attempt == call.request]
        if not call.may_reuse_connection and found not in ([], [1]):
            seen.repeated.append((call.request, found))
        seen.n_once += not call.may_reuse_connection and bool(found)
        seen.n_reused += sum(n > 1 for n in found)


@when("{n:d} seeded runs of calls go to a faulty target")
def step_runs(context, n):
    context.seen = {seed: context.run(run_calls(seed)) for seed in range(n_runs(n))}


@then("no call got anything but its own complete response")
def step_own(context):
    wrong = {seed: seen.wrong for seed, seen in context.seen.items() if seen.wrong}
    assert not wrong, wrong


@then(
    "no call that may not be repeated reached the target twice or on a used connection"
)
def step_once(context):
    repeated = {
        seed: seen.repeated for seed, seen in context.seen.items() if seen.repeated
    }
    assert not repeated, repeated
    n_once = sum(seen.n_once for seen in context.seen.values())
    assert n_once > len(context.seen), n_once


@then("some connections were reused")
def step_reused(context):
    assert sum(seen.n_reused for seen in context.seen.values()) > len(context.seen)
