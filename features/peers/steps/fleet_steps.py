import asyncio

from behave import given, then, when

from lycheepost.bench.control import measure_herd, measure_outage, measure_spread
from lycheepost.bench.fleet import Spreading, make_configuration, make_fleet
from lycheepost.core.ids import CustomerId, DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.standin.virtualtime import VirtualTimeLoop
from lycheepost.state.addresses import MemberState
from lycheepost.state.signals import health_signal

SEED = 3
TARGET = TargetId("target-1")


def run(context, work):
    return context.loop.run_until_complete(work)


@when("20 daemons take 50 changes with a store latency of {seconds:f} seconds")
def step_changes(context, seconds):
    context.record = measure_spread(SEED, Spreading.PEERS, 20, seconds)


@then("every change was in force on all of them within {seconds:f} seconds")
def step_in_force(context, seconds):
    assert context.record.n_changes == 50
    assert context.record.max_seconds <= seconds, context.record


@when("{n:d} daemons restart at the same moment, with and without peers")
def step_restart_all(context, n):
    context.herd = measure_herd(SEED, Spreading.PEERS, n)
    context.baseline = measure_herd(SEED, Spreading.TABLE_ONLY, n)


@then("with peers no second sees more than {n:d} reads, and all have the configuration")
def step_reads(context, n):
    assert context.herd.reads_busiest_second <= n, context.herd
    assert context.herd.reads_throttled == 0


@then("without peers it sees more")
def step_more(context):
    baseline = context.baseline.reads_busiest_second
    assert baseline > context.herd.reads_busiest_second, context.baseline


@when(
    "the store is down for an hour under {n:d} daemons, with a restart and leaving "
    "targets"
)
def step_outage(context, n):
    context.outage = measure_outage(SEED, n)


@then("every look-up was answered, and no revision went back")
def step_lookups(context):
    outage = context.outage
    assert outage.n_lookups > 3600 and outage.n_lookups_failed == 0, outage
    assert outage.revision_lowest_seen == outage.revision_before


@then("leaving targets were avoided within {seconds:d} seconds everywhere")
def step_avoided(context, seconds):
    assert context.outage.leaving_avoided_max_seconds <= seconds, context.outage


@then("the restarted daemon had the configuration within {seconds:d} seconds")
def step_restarted(context, seconds):
    assert context.outage.restarted_adopted_seconds <= seconds, context.outage


@then("after the hour a change is in force on all of them")
def step_after(context):
    assert context.outage.revision_after > context.outage.revision_before
    assert context.outage.n_daemons_behind_after == 0


@given("a fleet of {n:d} daemons with the store down")
def step_fleet(context, n):
    context.loop.close()
    context.loop = VirtualTimeLoop()

    async def start():
        context.fleet = make_fleet(n, SEED, configuration=make_configuration(4, 4))
        await context.fleet.start()
        await context.fleet.change(0)
        await asyncio.sleep(20)
        context.fleet.table.faults.is_down = True
        context.fleet.objects.faults.is_down = True
        context.fleet.vm_list.faults.is_down = True

    run(context, start())
    context.closers.append(context.fleet.stop)
    assert set(context.fleet.revisions()) == {1}


def is_named(context, name):
    now_seconds = context.loop.now_seconds()
    customer = CustomerId("customer-1")
    return any(
        name
        in {
            item.daemon
            for item in daemon.state.members.addresses(asked, now_seconds).addresses
        }
        for daemon in context.fleet.daemons
        for asked in (customer, None)
    )


@when("a daemon announces that it leaves")
def step_leaves(context):
    context.gone = context.fleet.daemons[3].name
    assert is_named(context, context.gone)
    run(context, context.fleet.daemons[3].state.members.drain())


@when("a daemon dies without announcing it")
def step_dies(context):
    daemon = context.fleet.daemons.pop(3)
    context.gone = daemon.name
    run(context, daemon.state.stop())


@then("within {seconds:d} seconds no addresses answer names it")
def step_not_named(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert not is_named(context, context.gone)


def find_states(context, daemon):
    return {member.daemon: member.state for member in daemon.state.members.members()}


@when("the links between two halves pass nothing for an hour")
def step_cut(context):
    names = [daemon.name for daemon in context.fleet.daemons]
    context.left, context.right = names[:6], names[6:]
    for one in context.left:
        for other in context.right:
            context.fleet.network.cut |= {(one, other), (other, one)}
    run(context, asyncio.sleep(3600))


@then("each half marks the other as gone")
def step_gone(context):
    for daemon in context.fleet.daemons:
        is_left = daemon.name in context.left
        others = context.right if is_left else context.left
        states = find_states(context, daemon)
        assert all(states[DaemonId(n)] is MemberState.GONE for n in others), states


@then("within 5 minutes after that all daemons know each other as live")
def step_healed(context):
    context.fleet.network.heal()
    run(context, asyncio.sleep(300))
    for daemon in context.fleet.daemons:
        states = find_states(context, daemon)
        assert set(states.values()) == {MemberState.LIVE}, (daemon.name, states)


@when("one daemon learns from a target that it leaves")
def step_target_leaves(context):
    members = context.fleet.daemons[5].state.members
    sign = health_signal(TargetState.LEAVING)
    context.loop.call_soon(
        members.observe_target, TARGET, sign, context.loop.now_seconds()
    )


@then("within {seconds:d} seconds every daemon avoids that target")
def step_target_avoided(context, seconds):
    run(context, asyncio.sleep(seconds))
    states = [
        daemon.state.members.target_states()[TARGET] for daemon in context.fleet.daemons
    ]
    assert states == [TargetState.LEAVING] * len(states), states
