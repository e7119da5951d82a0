"""Steps of entrypaths.feature."""

from behave import given, then

from lycheepost.app.fleettopology import EntryChooser
from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId
from lycheepost.state.addresses import Member, MemberState

CUT = frozenset({TargetGroupId("g")})


@given("{n:d} live daemons, {n_cut:d} of them without paths to a group")
def step_daemons(context, n, n_cut):
    # Without capacities daemons are ordered by a hash; the first are entry daemons.
    daemons = [make_member(number) for number in range(n)]
    ordered = EntryChooser().choose(tuple(daemons))
    first = [item for item in daemons if item.daemon in ordered]
    others = [item for item in daemons if item.daemon not in ordered]
    context.chooser = EntryChooser()
    context.members = tuple(
        make_member(int(item.daemon), CUT if rank < n_cut else frozenset())
        for rank, item in enumerate([*first, *others])
    )


def make_member(number, unreached=frozenset()):
    return Member(
        DaemonId(str(number)),
        "boot",
        MemberState.LIVE,
        AvailabilityZone("z"),
        f"10.0.0.{number}:80",
        "",
        unreached_groups=unreached,
    )


@given("paths do not count")
def step_ignored(context):
    context.chooser = EntryChooser(ignores_paths=True)


@then("{n_entry:d} daemons are named, {n_without:d} of them without paths")
def step_named(context, n_entry, n_without):
    entry = context.chooser.choose(context.members)
    without = [
        item
        for item in context.members
        if item.daemon in entry and item.unreached_groups
    ]
    assert (len(entry), len(without)) == (n_entry, n_without), (entry, without)
