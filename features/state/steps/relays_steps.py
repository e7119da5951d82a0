"""Steps of relays.feature."""

import random

from behave import given, then

from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.relays import choose_asked, choose_relays

ME = DaemonId("me")
GROUP = TargetGroupId("g")
N_DRAWS = 60


def member(text):
    name, zone, state, unreached = text.split(":")
    groups = frozenset() if unreached == "-" else frozenset({TargetGroupId(unreached)})
    return Member(
        DaemonId(name),
        "boot",
        MemberState(state),
        AvailabilityZone(zone),
        f"{name}:80",
        "",
        unreached_groups=groups,
    )


def choose(context, seed=1):
    me = member("me:a:live:g")
    found = choose_relays(
        ME,
        GROUP,
        AvailabilityZone("a"),
        [me, *context.peers],
        context.entry,
        random.Random(seed),
    )
    return [str(item.daemon) for item in found]


@given("the peers {peers}")
def step_peers(context, peers):
    context.peers = [member(text) for text in peers.split()]
    context.entry = {item.daemon for item in context.peers}


@given("{name} is the only entry daemon")
def step_entry(context, name):
    context.entry = {DaemonId(name)}


@then("a daemon of zone a without paths to g may relay to {chosen}")
def step_chosen(context, chosen):
    expected = [] if chosen == "nobody" else chosen.split()
    assert sorted(choose(context)) == expected, choose(context)


@then("a daemon of zone a relays to p2 and p4 before others, in both orders")
def step_near(context):
    orders = {tuple(choose(context, seed)[:2]) for seed in range(N_DRAWS)}
    assert orders == {("p2", "p4"), ("p4", "p2")}, orders


@then("a daemon of zone a relays to each of p1, p2 and p3 first at times")
def step_spread(context):
    first = {choose(context, seed)[0] for seed in range(N_DRAWS)}
    assert first == {"p1", "p2", "p3"}, first


@given(
    "{n_near:d} entry daemons of zone a, {n_far:d} of zone b and {n_standby:d} standby"
    " daemons"
)
def step_kinds(context, n_near, n_far, n_standby):
    near = [member(f"near{number}:a:live:-") for number in range(n_near)]
    far = [member(f"far{number}:b:live:-") for number in range(n_far)]
    standby = [member(f"standby{number}:b:live:-") for number in range(n_standby)]
    lost = [member("lost:a:live:g"), member("leaving:a:leaving:-")]
    context.peers = [*near, *far, *standby, *lost]
    context.entry = {item.daemon for item in (*near, *far, *lost)}


@then(
    "a daemon of zone a asks {asked} of each kind whether they hear from targets of g"
)
def step_asks(context, asked):
    me = member("me:a:live:-")
    for seed in range(N_DRAWS):
        found = choose_asked(
            ME,
            GROUP,
            AvailabilityZone("a"),
            [me, *context.peers],
            context.entry,
            random.Random(seed),
        )
        counts = [
            sum(name.startswith(kind) for name in set(found))
            for kind in ("near", "far", "standby")
        ]
        assert counts == [int(n) for n in asked.split(", ")], found
        assert len(found) == sum(counts), found
