"""Steps of traffic.feature."""

import json
from types import SimpleNamespace

from behave import given, then, when

from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.peers.traffic import PeerTraffic
from lycheepost.report.peertraffic import add_up, describe_rows, read_peer_traffic


@given("a daemon in zone a with peers near in a and far in b")
def step_peers(context):
    context.traffic = PeerTraffic()
    members = [
        SimpleNamespace(daemon=DaemonId(name), availability_zone=AvailabilityZone(zone))
        for name, zone in (("near", "a"), ("far", "b"))
    ]
    context.traffic.set_members(AvailabilityZone("a"), members)


@when("it sends near 100 bytes of loads, far 300 of loads and far 50 of limits")
def step_send(context):
    context.traffic.count(DaemonId("far"), "limits", 50)
    context.traffic.count(DaemonId("near"), "loads", 100)
    context.traffic.count(DaemonId("far"), "loads", 300)


@then("its status states loads 100 and 300, then limits 0 and 50")
def step_status(context):
    assert list(context.traffic.status().items()) == [
        ("loads", {"same_zone": 100, "other_zones": 300}),
        ("limits", {"same_zone": 0, "other_zones": 50}),
    ], context.traffic.status()


@then("the table of two such daemons starts with loads, 0.6 kB to other zones")
def step_table(context):
    page = json.dumps({"peers": {"bytes_by_kind": context.traffic.status()}}).encode()
    read = [read_peer_traffic(page).unwrap() for _ in range(2)]
    lines = list(describe_rows(add_up(read)))
    assert lines[1].split() == ["loads", "0.6", "0.2"], lines
