import asyncio
import dataclasses
from dataclasses import dataclass, replace
from unittest import mock

import msgspec
from behave import given, then, when
from relay import Relay

from lycheepost.core.clock import SystemClock
from lycheepost.core.ids import AvailabilityZone, DaemonId, Revision
from lycheepost.generated import messages
from lycheepost.generated.configuration import Configuration, Customer
from lycheepost.generated.messages import PeerHeartbeat, QuarantineNotice
from lycheepost.peers import wire
from lycheepost.peers.exchange import make_peer_exchange
from lycheepost.peers.membership import MemberExchange
from lycheepost.peers.revisions import RevisionExchange
from lycheepost.peers.sockets import PeerError, make_peer_keys, make_socket_transport
from lycheepost.standin.objects import make_object_model
from lycheepost.standin.table import make_table_model
from lycheepost.standin.vmlist import make_vm_list_model
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.members import make_member_manager
from lycheepost.state.revisions import make_revision_manager

EXCHANGE_SECONDS = 0.1
LINKED_EXCHANGE_SECONDS = 1.0
"""A link that nothing came over for three exchanges is replaced, and what was sent over
it is lost. With this time between exchanges a pause of the process doesn't do that."""
N_HEARTBEAT_EXCHANGES = 5
"""Exchanges of the sender within which it sends a heartbeat on any link. They take
slightly longer than ``LINKED_EXCHANGE_SECONDS`` each, so they are counted."""
HEARTBEAT_SECONDS = 2 * N_HEARTBEAT_EXCHANGES * LINKED_EXCHANGE_SECONDS


@dataclass
class Node:
    name: DaemonId
    transport: object
    revisions: object
    members: object
    exchange: object


def run(context, work):
    return context.loop.run_until_complete(work)


def start_node(
    context, name, keys, shares_members=True, exchange_seconds=EXCHANGE_SECONDS
):
    """Start a daemon with a table of its own, so that only peers send it changes."""
    clock = SystemClock()
    name = DaemonId(name)
    transport = make_socket_transport(name, keys=keys)
    revisions = make_revision_manager(make_table_model(), make_object_model(), clock)
    me = Member(name, f"{name}-1", MemberState.LIVE, AvailabilityZone("x"), "u", "")
    members = make_member_manager(
        make_vm_list_model(), clock, me, lambda: revisions.view
    )
    exchange = make_peer_exchange(
        transport,
        members,
        clock,
        lambda: revisions.revision,
        exchange_seconds=exchange_seconds,
    )
    if shares_members:
        MemberExchange(exchange, members, clock)
    RevisionExchange(exchange, revisions, clock)
    run(context, exchange.start())
    context.closers.append(exchange.stop)
    return Node(name, transport, revisions, members, exchange)


def introduce(node, other, endpoint=""):
    node.members.add_configured_peer(other.name, endpoint or other.transport.endpoint)


def start_linked(context, names, keys=None, exchange_seconds=EXCHANGE_SECONDS):
    nodes = [
        start_node(context, name, keys, exchange_seconds=exchange_seconds)
        for name in names
    ]
    for node in nodes:
        for other in nodes:
            introduce(node, other)
    return nodes


async def commit(node, basis=0):
    customers = [Customer(customer="c", key_hashes=[])]
    configuration = Configuration(revision=basis, customers=customers)
    return await node.revisions.commit(Revision(basis), configuration)


def wait_until(context, is_true, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while True:
                if is_true():
                    return
                await asyncio.sleep(0.02)

    run(context, wait())


@given("three daemons of one deployment that share keys")
def step_three(context):
    context.keys = make_peer_keys()
    context.nodes = start_linked(context, "abc", context.keys)


@given("an unknown peer with {keys} that knows their endpoints")
def step_unknown(context, keys):
    own = make_peer_keys() if keys.startswith("other keys") else None
    if "public" in keys:
        own = replace(own, trusted=(context.keys.public,))
    context.unknown = start_node(context, "unknown", own)
    for node in context.nodes:
        introduce(context.unknown, node)
        introduce(node, context.unknown)
    run(context, commit(context.unknown))
    # Long enough for a second attempt with the next of its trusted keys.
    run(context, asyncio.sleep(15 * EXCHANGE_SECONDS))


@when("one of the three commits a change")
@when("the first commits a change")
@when("one of the two commits a change after that")
def step_commits(context):
    run(context, asyncio.sleep(3 * EXCHANGE_SECONDS))
    assert run(context, commit(context.nodes[0])) is not None
    assert context.nodes[0].revisions.revision == 1


@then("the other two have it within {seconds:d} seconds")
@then("the other has it within {seconds:d} seconds")
def step_have(context, seconds):
    others = context.nodes[1:]
    wait_until(context, lambda: all(n.revisions.revision == 1 for n in others), seconds)
    assert all("c" in node.revisions.view.customers for node in others)


@then("the unknown peer has received nothing, and the three nothing from it")
def step_no_contact(context):
    assert context.unknown.transport.bytes_in == 0
    for node in context.nodes:
        assert "unknown" not in node.transport._accepted
        assert node.revisions.status()["source"] != "peer unknown"


@given("a daemon with old keys that trusts the new ones")
def step_old(context):
    context.old, context.new = make_peer_keys(), make_peer_keys()
    keys = replace(context.old, trusted=(context.new.public,))
    context.nodes = [start_node(context, "old", keys)]


@given("a daemon with new keys that trusts the old ones")
def step_new(context):
    keys = replace(context.new, trusted=(context.old.public,))
    context.nodes.append(start_node(context, "new", keys))
    old, new = context.nodes
    introduce(old, new)
    introduce(new, old)


@given("two daemons whose link passes through a relay")
def step_relay(context):
    context.nodes = [start_node(context, name, None) for name in "ab"]
    first, second = context.nodes
    context.relay = Relay(second.transport.endpoint)
    run(context, context.relay.start())
    context.closers.append(context.relay.stop)
    introduce(first, second, context.relay.endpoint)
    wait_until(context, lambda: context.relay.n_connections > 0, 5)
    run(context, asyncio.sleep(3 * EXCHANGE_SECONDS))
    # The second knows the first only from its hello, over the same relay.
    assert second.exchange.linked_daemons() == ("a",)
    second.members._members.pop(DaemonId("a"))


@when("the relay forgets the open connections without closing them")
def step_forget(context):
    context.relay.forget()


@given("two daemons that are linked")
def step_linked(context):
    context.nodes = start_linked(
        context, "ab", exchange_seconds=LINKED_EXCHANGE_SECONDS
    )
    wait_until(context, lambda: all(n.transport.bytes_in for n in context.nodes), 10)


def make_message(message):
    match message:
        case "an unknown kind":
            return wire_frame("news-of-2030", {"a": 1})
        case "an unknown field":
            return wire_frame("heartbeat", {"revision": 0, "mood": "good"})
        case "a damaged frame":
            return b"\xc1\xff\x00"
        case "a damaged body":
            return wire_frame("heartbeat", {"revision": "many"})
    raise ValueError(message)


def wire_frame(kind, body):
    frame = {"version": 9, "kind": kind, "body": msgspec.msgpack.encode(body), "x": 1}
    return msgspec.msgpack.encode(frame)


@when("one receives {message}")
def step_receives(context, message):
    first, second = context.nodes
    context.dealers = [dict(node.transport._dealers) for node in context.nodes]
    assert first.transport.send(second.name, make_message(message))


@then("it has counted {counted} and still takes heartbeats")
def step_counted(context, counted):
    first, second = context.nodes
    wait_until(context, lambda: second.exchange.status()[counted], 5)
    n_before = first.exchange._n_exchanges
    heard_at = []
    second.exchange.subscribe(
        PeerHeartbeat, lambda *_: heard_at.append(first.exchange._n_exchanges)
    )
    wait_until(context, lambda: heard_at, HEARTBEAT_SECONDS)
    assert heard_at[0] - n_before <= N_HEARTBEAT_EXCHANGES, (heard_at, n_before)
    assert first.name in second.exchange.linked_daemons()
    assert [node.transport._dealers for node in context.nodes] == context.dealers


def are_linked(one, other):
    """Return whether both daemons have received something of each other."""
    links = (one.exchange._links.get(other.name), other.exchange._links.get(one.name))
    return all(link is not None and link.n_received for link in links)


@given("three daemons in a row, the middle one of an older release")
def step_row(context):
    # Without updates of members the two ends never link with each other.
    context.nodes = [start_node(context, name, None, False) for name in "abc"]
    first, middle, last = context.nodes
    introduce(first, middle)
    introduce(middle, last)
    # What is sent before both ends have heard of each other is dropped.
    for one, other in ((first, middle), (middle, last)):
        wait_until(context, lambda one=one, other=other: are_linked(one, other), 10)
    context.got = []
    last.exchange.subscribe(
        QuarantineNotice, lambda notice, origin: context.got.append((notice, origin))
    )


@when("the first floods a notice that the middle one does not know")
def step_flood(context):
    first, middle, _ = context.nodes
    decode = wire.decode_body

    def decode_as_older(kind, body, counts):
        is_unknown = counts is middle.exchange.counts and kind == "quarantine"
        return decode("unknown" if is_unknown else kind, body, counts)

    patched = mock.patch("lycheepost.peers.exchange.decode_body", decode_as_older)
    patched.start()
    context.add_cleanup(patched.stop)
    first.exchange.broadcast(QuarantineNotice(fingerprint=7, for_seconds=9.0))


@then("the last one has it, and the middle one has counted it")
def step_last(context):
    wait_until(context, lambda: context.got, 5)
    notice, origin = context.got[0]
    assert (notice.fingerprint, origin) == (7, "a")
    assert context.nodes[1].exchange.counts.unknown_kinds["unknown"] == 1


@given("a daemon whose peer does not exist, with a queue of {n:d} messages")
def step_room(context, n):
    context.transport = make_socket_transport(DaemonId("a"), queue_messages=n)
    run(context, context.transport.start(lambda sender, data: None))
    context.closers.append(context.transport.stop)

    async def connect():
        context.transport.connect(DaemonId("b"), "tcp://127.0.0.1:9")

    run(context, connect())


@when("it sends {n:d} messages to that peer")
def step_sends(context, n):
    async def send_all():
        return [context.transport.send(DaemonId("b"), b"x" * 100) for _ in range(n)]

    context.sent = run(context, send_all())


@then("at least {n:d} of them were dropped at once")
def step_dropped(context, n):
    assert context.sent.count(False) >= n
    assert context.transport.n_dropped >= n


@when('a daemon without keys is to listen on "{host}"')
def step_listen(context, host):
    transport = make_socket_transport(DaemonId("a"), host=host)
    context.error = None
    try:
        run(context, transport.start(lambda sender, data: None))
    except PeerError as error:
        context.error = error


@then("it refuses to start")
def step_refuses(context):
    assert "CURVE" in str(context.error)


@then("each message of the schema is a kind or part of one")
def step_kinds(context):
    found = {
        item
        for item in vars(messages).values()
        if dataclasses.is_dataclass(item) and item.__module__ == messages.__name__
    }
    parts = {
        part
        for item in found
        for field in dataclasses.fields(item)
        for part in found
        if part.__name__ in str(field.type)
    }
    around = {messages.PeerEnvelope, messages.PeerMessages}
    wanted = found - parts - around
    assert wanted == set(wire.MESSAGE_TYPES.values()), wanted


@given("two transports that are linked")
def step_two_transports(context):
    context.got = {"a": [], "b": []}
    context.transports = {}
    context.answers_tenth = False
    context.fails_third = False

    def make_handler(name):
        def handle(sender, data):
            if context.fails_third and int(data) % 3 == 0:
                raise ValueError("a message that can't be taken")
            context.got[name].append(data)
            is_asked = context.answers_tenth and not data.startswith(b"answer")
            if is_asked and int(data) % 10 == 0:
                context.transports[name].send(sender, b"answer " + data)

        return handle

    async def link():
        for name in ("a", "b"):
            transport = make_socket_transport(DaemonId(name), queue_messages=5000)
            await transport.start(make_handler(name))
            context.closers.append(transport.stop)
            context.transports[name] = transport
        context.transports["a"].connect(DaemonId("b"), context.transports["b"].endpoint)
        context.transports["a"].send(DaemonId("b"), b"1")
        await until(lambda: context.got["b"])
        context.got["b"].clear()

    run(context, link())


async def until(condition, within_seconds=5.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(within_seconds):
        while not condition():
            await asyncio.sleep(0.01)


@when(
    "each sends {n_bursts:d} bursts of {n:d} messages, and answers each tenth one that"
    " it gets"
)
def step_bursts(context, n_bursts, n):
    context.answers_tenth = True
    context.n_expected = n_bursts * n + n_bursts * n // 10

    async def send():
        for burst in range(n_bursts):
            for number in range(burst * n, (burst + 1) * n):
                for name, other in (("a", "b"), ("b", "a")):
                    transport = context.transports[name]
                    assert transport.send(DaemonId(other), b"%d" % number)
            await asyncio.sleep(0.05)

    run(context, send())


@then("each has all messages and answers within {seconds:g} s")
def step_all_taken(context, seconds):
    def has_all():
        return all(len(got) == context.n_expected for got in context.got.values())

    run(context, until(has_all, seconds))
    assert all(len(set(got)) == len(got) for got in context.got.values())


@when("one sends {n:d} messages, and the handling of each third one fails")
def step_fails_third(context, n):
    context.fails_third = True
    context.n_expected = n - n // 3

    async def send():
        for number in range(1, n + 1):
            assert context.transports["a"].send(DaemonId("b"), b"%d" % number)

    run(context, send())


@then("the other has the rest within {seconds:g} s")
def step_rest_taken(context, seconds):
    run(context, until(lambda: len(context.got["b"]) == context.n_expected, seconds))
