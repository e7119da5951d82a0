"""What a message between daemons costs over sockets, with and without CURVE.

Two ends in one process exchange heartbeats over loopback; processor time of both
ends is counted, with the handshake left out.
"""

import asyncio
import time
from dataclasses import dataclass

import uvloop

from lycheepost.core.ids import DaemonId
from lycheepost.generated.messages import PeerHeartbeat
from lycheepost.peers.sockets import PeerKeys, make_peer_keys, make_socket_transport
from lycheepost.peers.wire import WireCounts, decode_message, encode_message

_N_MESSAGES = 5000
_IN_FLIGHT = 50
"""Messages sent before the ends are let run: fewer than a queue holds."""


@dataclass(frozen=True, slots=True)
class MessageRecord:
    """Processor time of one message, sent and received.

    ``core_share`` is of one core at ``messages_per_second`` in each direction.
    """

    measure: str
    policy: str
    n_messages: int
    message_seconds: float
    messages_per_second: float
    core_share: float


def measure_messages(messages_per_second: float) -> list[MessageRecord]:
    """Return the cost with CURVE and, as the baseline, without."""
    with_curve = uvloop.run(
        _measure("lycheepost", make_peer_keys(), messages_per_second)
    )
    without = uvloop.run(_measure("no CURVE", None, messages_per_second))
    return [with_curve, without]


async def _measure(
    policy: str, keys: PeerKeys | None, messages_per_second: float
) -> MessageRecord:
    sender = make_socket_transport(DaemonId("a"), keys=keys)
    receiver = make_socket_transport(DaemonId("b"), keys=keys)
    counts = WireCounts()
    n_received = 0

    def receive(_sender: DaemonId, data: bytes) -> None:
        nonlocal n_received
        n_received += decode_message(data, counts) is not None

    await sender.start(lambda _sender, _data: None)
    await receiver.start(receive)
    sender.connect(DaemonId("b"), receiver.endpoint)

    async def exchange(n_messages: int) -> None:
        """Send as many and wait until all have come."""
        wanted = n_received + n_messages
        for number in range(n_messages):
            sender.send(DaemonId("b"), encode_message(PeerHeartbeat(revision=number)))
        while True:
            if n_received >= wanted:
                return
            await asyncio.sleep(0.0005)

    await exchange(1)
    started_seconds = time.process_time()
    for _ in range(_N_MESSAGES // _IN_FLIGHT):
        await exchange(_IN_FLIGHT)
    taken_seconds = (time.process_time() - started_seconds) / _N_MESSAGES
    await sender.stop()
    await receiver.stop()
    return MessageRecord(
        measure="messages",
        policy=policy,
        n_messages=_N_MESSAGES,
        message_seconds=taken_seconds,
        messages_per_second=messages_per_second,
        core_share=taken_seconds * messages_per_second,
    )
