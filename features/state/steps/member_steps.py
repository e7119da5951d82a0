import asyncio
import statistics
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from claim_steps import use_virtual_time

from lycheepost.core.ids import AvailabilityZone, CustomerId, DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import (
    Configuration,
    Target,
    TargetDesiredState,
)
from lycheepost.ports.table import Condition, Transaction, Write
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.standin.vmlist import make_vm_list_model
from lycheepost.state.addresses import Member, MemberState, choose_addresses
from lycheepost.state.memberrows import MemberRow, MemberRows
from lycheepost.state.members import make_member_manager
from lycheepost.state.peerkeys import StoredKeys, load_peer_keys
from lycheepost.state.signals import (
    SignalSource,
    TargetSignal,
    connected_signal,
    health_signal,
    refused_signal,
)
from lycheepost.state.view import make_view

TARGET = TargetId("t")


def make_member(name, zone="x", state="live", load=0.0):
    return Member(
        daemon=DaemonId(name),
        boot="b",
        state=MemberState(state),
        availability_zone=AvailabilityZone(zone),
        callers_url=f"http://{name}",
        peer_endpoint=f"tcp://{name}",
        load=float(load),
    )


def make_members(context, name="me", configuration=None):
    view = make_view(configuration or Configuration(revision=0))
    vm_list = make_vm_list_model(context.loop)
    return make_member_manager(vm_list, context.loop, make_member(name), lambda: view)


@given("a target that operators want {desired}")
def step_target(context, desired):
    use_virtual_time(context)
    target = Target(
        target=TARGET,
        target_group="g",
        availability_zone="x",
        url="http://127.0.0.1:1",
        desired_state=TargetDesiredState(desired),
    )
    configuration = Configuration(revision=1, targets=[target])
    context.members = make_members(context, configuration=configuration)


@when("the signals {signals} arrive")
def step_signals(context, signals):
    for signal in signals.split(", "):
        observe_signal(context, *signal.split())


def observe_signal(context, source, reported="", *_):
    now_seconds = context.loop.now_seconds()
    match source, reported:
        case "none", _:
            return
        case "list", "absent":
            context.members.apply_vm_list((), now_seconds)
        case "list", _:
            zone = AvailabilityZone("x")
            vm = Vm(TARGET, VmRole.TARGET, VmState(reported), zone, "127.0.0.1")
            context.members.apply_vm_list((vm,), now_seconds)
        case seconds, "seconds":
            context.loop.run_until_complete(asyncio.sleep(float(seconds)))
        case _:
            signal = make_signal(source, TargetState(reported))
            context.members.observe_target(TARGET, signal, now_seconds)


def make_signal(source, state):
    match source:
        case "health":
            return health_signal(state)
        case "connection" if state is TargetState.GONE:
            return refused_signal()
        case "connection":
            return connected_signal()
    return TargetSignal(SignalSource.PEER, state)


@then("the target is {state}")
def step_state(context, state):
    found = context.members.target_states()[TARGET]
    assert found is TargetState(state), found


@given("a daemon in zone x that knows {members}")
def step_knows(context, members):
    context.known = [make_member(*member.split()) for member in members.split(", ")]


@then("its addresses answer is {names}")
def step_addresses(context, names):
    zone = AvailabilityZone("x")
    chosen = choose_addresses(context.known, CustomerId("c"), zone, 0.1)
    found = " ".join(address.daemon for address in chosen)
    assert found == names, found


@given("{n:d} daemons in {zones:d} zones")
def step_fleet(context, n, zones):
    context.known = [make_member(f"d{i}", f"z{i % zones}") for i in range(n)]


@when("{n:d} customers ask for addresses")
def step_customers(context, n):
    context.customers = [CustomerId(f"c{i}") for i in range(n)]
    context.chosen = {name: choose(context.known, name) for name in context.customers}


def choose(members, customer):
    zone = AvailabilityZone("z0")
    return choose_addresses(members, customer, zone, 1 / 990)


@then("each is given {n:d} daemons in at least {zones:d} zones")
def step_given(context, n, zones):
    for chosen in context.chosen.values():
        assert len({item.daemon for item in chosen}) == n
        assert len({item.availability_zone for item in chosen}) >= zones


@then("no daemon is given to more than {n:d} customers")
def step_spread(context, n):
    counts = Counter(
        item.daemon for chosen in context.chosen.values() for item in chosen
    )
    assert max(counts.values()) <= n, max(counts.values())
    assert statistics.mean(counts.values()) > n / 4


@then(
    "removing one daemon changes at most one daemon of its customers and none of the"
    " others"
)
def step_without(context):
    rest = context.known[1:]
    gone = context.known[0].daemon
    for name, before in context.chosen.items():
        old = {item.daemon for item in before}
        new = {item.daemon for item in choose(rest, name)}
        assert len(new - old) <= 1
        assert gone in old or new == old


@given("daemons A and B that know each other")
def step_know(context):
    use_virtual_time(context)
    context.a, context.b = make_members(context, "A"), make_members(context, "B")
    context.published = []
    context.a.on_member(context.published.append)
    context.b.merge(context.a.me())


@when("B suspects A, and A is notified of it")
def step_suspected(context):
    context.b.suspect(DaemonId("A"), context.loop.now_seconds())
    suspected = context.b.get(DaemonId("A"))
    assert suspected.state is MemberState.SUSPECT
    context.a.merge(suspected)


@then("A announces again that it is live, and B marks it live")
def step_refuted(context):
    assert len(context.published) == 1
    assert context.b.merge(context.published[0])
    assert context.b.get(DaemonId("A")).state is MemberState.LIVE


@when("B is notified that A is {state} and then receives nothing for {hours:f} hours")
@when("B is notified that A is {state} and then receives nothing for {hours:d} hours")
def step_silence(context, state, hours):
    context.b.merge(replace(context.a.me(), state=MemberState(state), sequence=1))
    for _ in range(int(hours * 60)):
        context.loop.run_until_complete(asyncio.sleep(60.1))
        context.b.members()


@then("to B daemon A is {fate}")
def step_fate(context, fate):
    known = context.b.get(DaemonId("A"))
    assert (known.state.value if known else "unknown") == fate, known


@when("A starts again with a clock that is an hour behind, and B suspects the old A")
def step_behind(context):
    old = replace(context.a.me(), sequence=1, started_wall_seconds=7200.0)
    context.b.merge(old)
    fresh = replace(old, boot="new", sequence=0, started_wall_seconds=3600.0)
    assert not context.b.merge(fresh)
    context.b.suspect(DaemonId("A"), context.loop.now_seconds())
    assert context.b.merge(fresh)


@then("B marks the new A live")
def step_new_live(context):
    known = context.b.get(DaemonId("A"))
    assert (known.boot, known.state) == ("new", MemberState.LIVE)


@given("peer keys that cannot be decoded")
def step_keys(context):
    use_virtual_time(context)
    context.damaged = b'{"keys": []}'
    damaged = Write("peer-keys", context.damaged)
    transaction = Transaction((Condition("peer-keys", 0),), (damaged,))
    context.loop.run_until_complete(context.store.commit(transaction)).unwrap()


@when("a daemon loads them")
def step_load(context):
    made = load_peer_keys(context.store, lambda: StoredKeys("a", "b"))
    context.found = context.loop.run_until_complete(made)


@then("it gets the reason and has written no keys")
def step_reason(context):
    assert "cannot be decoded" in context.found.failure().reason
    read = context.store.read(("peer-keys",))
    (row,) = context.loop.run_until_complete(read).unwrap()
    assert row.value == context.damaged


def row_of(name):
    return MemberRow("x", "127.0.0.1", f"http://{name}", f"tcp://{name}", "b")


@given('rows of the daemons "a" and "b", and one of "c" that cannot be decoded')
def step_rows(context):
    use_virtual_time(context)
    context.rows = MemberRows(context.store)
    for name in ("a", "b"):
        written = context.rows.register(DaemonId(name), row_of(name))
        context.loop.run_until_complete(written).unwrap()
    damaged = Write("member/c", b'{"boot": 7}')
    transaction = Transaction((Condition("member/c", 0),), (damaged,))
    context.loop.run_until_complete(context.store.commit(transaction)).unwrap()


@when("a daemon reads the rows")
def step_read_rows(context):
    context.found = context.loop.run_until_complete(context.rows.list_vms()).unwrap()


@then('it finds "a" and "b"')
def step_found(context):
    assert [vm.name for vm in context.found] == ["a", "b"], context.found


@then('it can write its own row over that of "c"')
def step_write(context):
    loop, me = context.loop, DaemonId("c")
    loop.run_until_complete(context.rows.remove(me, "an earlier start")).unwrap()
    loop.run_until_complete(context.rows.register(me, row_of("c"))).unwrap()
    found = loop.run_until_complete(context.rows.list_vms()).unwrap()
    assert [vm.name for vm in found] == ["a", "b", "c"], found
