"""Steps of fleetposition.feature."""

from behave import then

from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.fleetposition import fleet_position

GROUPS = frozenset({TargetGroupId("g")})


def parse_member(text):
    name, state, unreached = text.split(":")
    return Member(
        DaemonId(name),
        "boot",
        MemberState(state),
        AvailabilityZone("a"),
        f"{name}:80",
        "",
        unreached_groups=GROUPS if unreached == "g" else frozenset(),
    )


def place_of(daemon, daemons, entry=(), min_daemons=1):
    members = [parse_member(text) for text in daemons.split()]
    names = [DaemonId(name) for name in entry]
    place = fleet_position(DaemonId(daemon), members, names, GROUPS, min_daemons)
    return f"{place.rank} of {place.n_daemons}"


@then("{daemon} of the daemons {daemons} with entry {entry} is {place}")
def step_place(context, daemon, daemons, entry, place):
    names = [] if entry == "-" else entry.split(",")
    found = place_of(daemon, daemons, names)
    assert found == place, found


@then("{daemon} of the daemons {daemons} is {place} while it assumes {n:d}")
def step_assumed(context, daemon, daemons, place, n):
    found = place_of(daemon, daemons, min_daemons=n)
    assert found == place, found
