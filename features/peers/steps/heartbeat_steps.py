"""Steps of heartbeats.feature: two exchanges over in-memory links, in virtual time."""

import asyncio

from behave import given, then, when

from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.generated.configuration import Configuration
from lycheepost.peers.exchange import make_peer_exchange
from lycheepost.peers.membership import MemberExchange
from lycheepost.standin.network import LinkModel, NetworkModel
from lycheepost.standin.virtualtime import run_virtual, virtual_clock
from lycheepost.standin.vmlist import make_vm_list_model
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.members import make_member_manager
from lycheepost.state.view import make_view

EXCHANGE_SECONDS = 0.4
NAMES = (DaemonId("a"), DaemonId("b"))
OTHER = dict(zip(NAMES, reversed(NAMES), strict=True))


class EndpointLink(LinkModel):
    """A link whose messages to an earlier start of the other daemon are lost."""

    def __init__(self, network, daemon, n_starts):
        super().__init__(network, daemon)
        self._endpoint = f"tcp://{daemon}:{n_starts}"
        self._connected = {}

    @property
    def endpoint(self):
        return self._endpoint

    def connect(self, daemon, endpoint):
        is_configured = endpoint == daemon
        current = self._network.links[daemon].endpoint if is_configured else endpoint
        self._connected[daemon] = current

    def disconnect(self, daemon):
        self._connected.pop(daemon, None)

    def send(self, daemon, data):
        endpoint = self._connected.get(daemon)
        if endpoint not in (None, self._network.links[daemon].endpoint):
            return True
        return super().send(daemon, data)


class Pair:
    """Two daemons; only those in ``openers`` know the other from the start."""

    def __init__(self, openers, zones=("zone", "zone")):
        self.zones = dict(zip(NAMES, zones, strict=True))
        self.clock = virtual_clock()
        self.network = NetworkModel()
        self.openers = openers
        self.exchanges = {}
        self.links = {}
        self.n_starts = 0
        self.has_own_endpoints = False

    async def start(self, name):
        """Start a daemon; its transport replaces that of an earlier start."""
        self.n_starts += 1
        link = LinkModel(self.network, name)
        if self.has_own_endpoints:
            link = EndpointLink(self.network, name, self.n_starts)
        self.links[name] = link
        view = make_view(Configuration(revision=0))
        zone = AvailabilityZone(self.zones[name])
        boot = f"boot-{self.n_starts}"
        members = make_member_manager(
            make_vm_list_model(self.clock),
            self.clock,
            Member(name, boot, MemberState.LIVE, zone, "", ""),
            lambda: view,
        )
        exchange = make_peer_exchange(
            link,
            members,
            self.clock,
            lambda: 0,
            fanout=0 if name not in self.openers else 1,
            exchange_seconds=EXCHANGE_SECONDS,
        )
        MemberExchange(exchange, members, self.clock)
        if name in self.openers:
            members.add_configured_peer(OTHER[name], OTHER[name])
        self.exchanges[name] = exchange
        await exchange.start()

    async def stop(self):
        for exchange in self.exchanges.values():
            await exchange.stop()


@given('"{name}" has opened a link to "{other}"')
def step_opener(context, name, other):
    context.openers = {*getattr(context, "openers", ()), DaemonId(name)}
    context.acts = []


@given('the hello of "b" does not say whether it expects heartbeats')
def step_older(context):
    async def act(pair):
        pair.network.deliver = without_expectation(pair.network.deliver)

    context.acts.insert(0, act)


def without_expectation(deliver):
    """Return a delivery that renames the field, as if the sender did not know it."""
    field = b"expects_heartbeats"

    def deliver_older(sender, receiver, data):
        deliver(sender, receiver, data.replace(field, field.upper()))

    return deliver_older


@given("each start of a daemon has its own endpoint")
def step_own_endpoints(context):
    context.has_own_endpoints = True


@when("{n:d} exchanges pass")
def step_pass(context, n):
    async def act(_pair):
        await asyncio.sleep(n * EXCHANGE_SECONDS)

    context.acts.append(act)


@when('nothing from "b" arrives any more')
def step_silent(context):
    async def act(pair):
        pair.network.cut.add((NAMES[1], NAMES[0]))

    context.acts.append(act)


@when('"b" restarts and opens its link')
@when('"b" restarts without opening a link')
def step_restart(context):
    async def act(pair):
        await pair.exchanges[NAMES[1]].stop()
        await pair.start(NAMES[1])

    context.acts.append(act)


def run(context):
    """Run the acts once, and keep what the daemons have at the end."""
    if hasattr(context, "sent"):
        return

    async def main():
        pair = Pair(context.openers)
        pair.has_own_endpoints = getattr(context, "has_own_endpoints", False)
        for name in NAMES:
            await pair.start(name)
        for act in context.acts:
            await act(pair)
        context.sent = {name: pair.links[name].messages_out for name in NAMES}
        context.linked = {name: pair.exchanges[name].linked_daemons() for name in NAMES}
        context.heard = {
            name: pair.exchanges[name].heard_within(2 * EXCHANGE_SECONDS)
            for name in NAMES
        }
        context.n_replaced = pair.exchanges[NAMES[0]].n_replaced_links
        await pair.stop()

    run_virtual(main())


@then('"{name}" has sent between {fewest:d} and {most:d} messages')
def step_sent_between(context, name, fewest, most):
    run(context)
    assert fewest <= context.sent[name] <= most, context.sent


@then('"{name}" has sent at least {fewest:d} messages')
def step_sent(context, name, fewest):
    run(context)
    assert context.sent[name] >= fewest, context.sent


@then("both have the link")
def step_both(context):
    run(context)
    assert context.linked == {name: (OTHER[name],) for name in NAMES}, context.linked


@then('"a" has replaced the link')
def step_replaced(context):
    run(context)
    assert context.n_replaced >= 1


@then('"b" has heard from "a"')
def step_heard(context):
    run(context)
    assert context.heard[NAMES[1]] == {NAMES[0]}, context.heard
