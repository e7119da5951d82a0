"""Steps of compression.feature."""

import asyncio
import zlib

import msgspec
from behave import given, then, when

from features.peers.steps.heartbeat_steps import EXCHANGE_SECONDS, NAMES, Pair
from lycheepost.generated.messages import MemberNews, PeerEnvelope, PeerMember
from lycheepost.peers.wire import (
    MAX_BODY_BYTES,
    VERSION,
    WireCounts,
    decode_message,
    encode_body,
    encode_message,
)
from lycheepost.standin.virtualtime import run_virtual

ZONES = {
    "in another zone": ("west", "east"),
    "in the same zone": ("west", "west"),
    "in another zone and of an older release": ("west", "east"),
}
FIELD = b"accepts_compressed"


def make_message(n):
    """Return a message of the states of ``n`` daemons."""
    return MemberNews(
        members=[
            PeerMember(
                daemon=f"daemon-{number}",
                boot=f"boot-{number * 7919:08x}",
                state="live",
                availability_zone="east",
                callers_url=f"http://10.2.0.{number}:8080",
                peer_endpoint=f"tcp://10.2.0.{number}:7340",
                sequence=number + 1,
            )
            for number in range(n)
        ]
    )


@given('"a" is linked with "b", {receiver}')
def step_linked(context, receiver):
    context.receiver = receiver


@when('"a" sends "b" a message of {n:d} daemons')
def step_send(context, n):
    first, second = NAMES
    context.frames = []

    async def run():
        pair = Pair({first}, ZONES[context.receiver])
        deliver = pair.network.deliver

        def record(sender, receiver, data):
            if "older" in context.receiver:
                data = data.replace(FIELD, FIELD.upper())
            if sender == first:
                context.frames.append(data)
            deliver(sender, receiver, data)

        pair.network.deliver = record
        for name in (second, first):
            await pair.start(name)
        await asyncio.sleep(3 * EXCHANGE_SECONDS)
        context.frames.clear()
        exchange = pair.exchanges[second]
        exchange.subscribe(MemberNews, lambda news, _: context.received.append(news))
        context.received = []
        assert pair.exchanges[first].send(second, make_message(n))
        await asyncio.sleep(EXCHANGE_SECONDS)
        await pair.stop()

    run_virtual(run())


@then("it leaves {sent}")
def step_sent(context, sent):
    envelopes = [msgspec.msgpack.decode(data) for data in context.frames]
    sizes = [item["is_compressed"] for item in envelopes if item["kind"] == "members"]
    assert sizes[:1] == [sent == "compressed"], sizes


@then('"b" has the states of {n:d} daemons')
def step_received(context, n):
    assert len(context.received[0].members) == n, context.received


@when("the states of {n:d} daemons are encoded for another zone")
def step_encode(context, n):
    message = make_message(n)
    plain, short = encode_message(message), encode_message(message, may_compress=True)
    assert decode_message(short, WireCounts()) == message
    context.share = len(short) / len(plain)


@then("they take at most {share:g} of the plain bytes")
def step_share(context, share):
    assert context.share <= share, context.share


@when("a message comes whose compressed body is {fault}")
def step_fault(context, fault):
    body = encode_body(make_message(80))
    match fault:
        case "no compressed data":
            data = body
        case "cut off":
            data = zlib.compress(body)[:-8]
        case "larger than any message":
            data = zlib.compress(bytes(MAX_BODY_BYTES + 1))
    envelope = PeerEnvelope(
        version=VERSION, kind="members", body=data, is_compressed=True
    )
    context.counts = WireCounts()
    frame = msgspec.msgpack.encode(envelope)
    context.message = decode_message(frame, context.counts)


@then("it is not decoded, and counted as damaged")
def step_damaged(context):
    assert context.message is None
    assert context.counts.n_damaged == 1
