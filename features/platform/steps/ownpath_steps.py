"""Steps of ownpaths.feature."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass

from behave import given, then, when
from deployment import Deployment

from lycheepost.callers.forwarddeps import ForwardRequest, RelayedFrom, RelayPeer
from lycheepost.callers.peerrelay import make_peer_call
from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId
from lycheepost.core.notices import TargetNotice
from lycheepost.decide.attempts import Sends
from lycheepost.decide.startverdict import ReachEvidence
from lycheepost.platform.ingress import trusted_relay
from lycheepost.platform.models.pathcuts import PathCut

CONTACT_SECONDS = 3.0
MIN_SERVED_SHARE = 2.0 / 3.0
TOLERATED_FAILURES = 10
TOLERATED_SHARE = 1.0 / 50.0
ASK_TIMEOUT_SECONDS = 4.0
ZONES = (AvailabilityZone("first"), AvailabilityZone("second"))


@dataclass
class Try:
    """The first try of one client.

    Attributes:
        sent_seconds: When it was sent, since the cut began.
        index: The daemon that it was sent to.
    """

    sent_seconds: float
    index: int
    status: int | None = None
    is_whole: bool = False
    body: bytes = b""
    held_seconds: float = 0.0
    retry_after: str | None = None

    @property
    def is_served(self) -> bool:
        return self.status == 200 and self.is_whole


async def ask(deployment: Deployment, number: int, attempt: Try) -> None:
    """Send a look-up, an order or a stream."""
    match number % 3:
        case 0:
            method, path, body = "GET", f"/look/{number}", b""
            headers = deployment.headers("k-one")
        case 1:
            method, path, body = "POST", f"/order/{number}", b"one print"
            headers = deployment.headers("k-one")
        case _:
            method, path, body = "POST", "/title/x", b"a title"
            headers = deployment.prompt_headers("k-one", parts=f"a{number % 4}:100,b:9")
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
            answer = await deployment.ask(method, path, headers, body, attempt.index)
    except TimeoutError:
        return
    attempt.status, attempt.is_whole = answer.status, answer.is_whole
    attempt.body = answer.body
    attempt.held_seconds = loop.time() - started
    attempt.retry_after = answer.headers.get("Retry-After")


async def play(deployment, per_second, seconds, cut_seconds, indexes, path_cut):
    """Send first tries at an even rate to all daemons in turn.

    Args:
        deployment: The deployment.
        per_second: Tries per second.
        seconds: Duration of the traffic.
        cut_seconds: When the paths of the daemons ``indexes`` are cut.
        indexes: The daemons that are cut off.
        path_cut: What happens to their connections.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    tries, tasks = [], []
    is_cut = False
    for number in itertools.count():
        elapsed = loop.time() - started
        if elapsed > seconds:
            break
        if elapsed > cut_seconds and not is_cut:
            is_cut = True
            for index in indexes:
                deployment.networks[index].cut(path_cut)
        # Every kind of request is sent to every daemon in turn.
        index = (number // 3) % len(deployment.daemons)
        attempt = Try(elapsed - cut_seconds, index)
        tries.append(attempt)
        tasks.append(asyncio.create_task(ask(deployment, number, attempt)))
        due = started + (number + 1) / per_second
        await asyncio.sleep(max(0.0, due - loop.time()))
    await asyncio.gather(*tasks)
    return tries


def play_cut(context, per_second, seconds, cut_seconds, indexes, cut):
    """Send tries, and keep them for the steps that judge them."""
    context.cut_indexes = indexes
    context.tries = context.loop.run_until_complete(
        play(
            context.deployment, per_second, seconds, cut_seconds, indexes, PathCut(cut)
        )
    )


@when(
    "clients ask all daemons, {per_second:d} a second for {seconds:d} s, and after"
    " {cut_seconds:g} s the connections of the first daemon to all servers {cut}"
)
def step_cut_first(context, per_second, seconds, cut_seconds, cut):
    play_cut(context, per_second, seconds, cut_seconds, (0,), cut)


@given("a deployment with {n:d} daemons in 2 zones by turns")
def step_zones(context, n):
    context.deployment = Deployment()
    context.loop.run_until_complete(context.deployment.start(n, zones=ZONES))


@when(
    "clients ask all daemons, {per_second:d} a second for {seconds:d} s, and after"
    " {cut_seconds:g} s the connections of all daemons of the first zone to all"
    " servers {cut}"
)
def step_cut_zone(context, per_second, seconds, cut_seconds, cut):
    indexes = tuple(indexes_of(context.deployment, ZONES[0]))
    play_cut(context, per_second, seconds, cut_seconds, indexes, cut)


def indexes_of(deployment, zone):
    nodes = enumerate(deployment.nodes)
    return [index for index, node in nodes if node.availability_zone == zone]


@then("a daemon of the second zone names all others of its zone and none of the first")
def step_names_zone(context):
    deployment = context.deployment
    indexes = indexes_of(deployment, ZONES[1])
    addresses = context.loop.run_until_complete(deployment.addresses(indexes[0]))
    expected = {url_of(deployment, index) for index in indexes}
    assert set(addresses) == expected, (addresses, expected)


@then(
    "from 3 s after that first tries there are served at least two thirds as often as"
    " elsewhere"
)
def step_served_alike(context):
    late = [item for item in context.tries if item.sent_seconds >= CONTACT_SECONDS]
    there = [item for item in late if item.index in context.cut_indexes]
    elsewhere = [item for item in late if item.index not in context.cut_indexes]
    assert there and elsewhere, "no tries"
    n_there = sum(item.is_served for item in there)
    n_elsewhere = sum(item.is_served for item in elsewhere)
    n_failed = len(there) - n_there
    share_there = n_there / len(there)
    share_elsewhere = n_elsewhere / len(elsewhere)
    is_broken = (
        share_there < MIN_SERVED_SHARE * share_elsewhere
        and n_failed > TOLERATED_FAILURES + TOLERATED_SHARE * len(late)
    )
    failed = Counter(item.status for item in there if not item.is_served)
    assert not is_broken, (
        f"served {n_there} of {len(there)} there, {n_elsewhere} of {len(elsewhere)}"
        f" elsewhere; statuses {failed}"
    )


@then("nothing that may run once ran twice")
def step_once(context):
    runs = Counter(
        run.attempt_id
        for server in context.deployment.servers
        for run in server.runs
        if run.path.startswith("/order")
    )
    twice = {attempt: n for attempt, n in runs.items() if n > 1}
    assert not twice, twice


@then("all first tries elsewhere are served")
def step_elsewhere(context):
    failed = [
        (round(item.sent_seconds, 2), item.index, item.status, item.body)
        for item in context.tries
        if item.index not in context.cut_indexes and not item.is_served
    ]
    assert not failed, failed


@then(
    "from 3 s after that its orders are served at least two thirds as often as"
    " elsewhere"
)
def step_orders_alike(context):
    orders = [
        item
        for number, item in enumerate(context.tries)
        if number % 3 == 1 and item.sent_seconds >= CONTACT_SECONDS
    ]
    there = [item.is_served for item in orders if item.index in context.cut_indexes]
    others = [
        item.is_served for item in orders if item.index not in context.cut_indexes
    ]
    share = sum(there) / len(there)
    share_elsewhere = sum(others) / len(others)
    assert share >= MIN_SERVED_SHARE * share_elsewhere, (share, share_elsewhere)


def url_of(deployment, index):
    return str(deployment.nodes[index].clients)


@then("the addresses leave the first daemon out")
def step_left_out(context):
    addresses = context.loop.run_until_complete(context.deployment.addresses(1))
    assert url_of(context.deployment, 0) not in addresses, addresses
    assert len(addresses) == 2, addresses


@when("the paths of the first daemon are restored")
def step_heal(context):
    context.deployment.networks[0].heal()


@then("within 3 s the addresses name the first daemon again")
def step_named(context):
    async def is_named():
        addresses = await context.deployment.addresses(1)
        return url_of(context.deployment, 0) in addresses

    context.loop.run_until_complete(context.deployment.until(is_named, 3.0))


@then("its own requests reach the servers again")
def step_own(context):
    deployment = context.deployment
    n_before = deployment.daemons[0].status()["sends"]["n_calls"]
    attempt = Try(0.0, 0)
    context.loop.run_until_complete(ask(deployment, 0, attempt))
    assert attempt.is_served, attempt
    assert deployment.daemons[0].status()["sends"]["n_calls"] == n_before + 1


@then("no daemon counts a server as failed")
def step_no_failed(context):
    for daemon in context.deployment.daemons:
        states = {item["state"] for item in daemon.status()["targets"].values()}
        assert states == {"serving"}, states


async def look_up_once(deployment, index):
    headers = deployment.headers("k-one")
    return await deployment.ask("GET", "/look/same", headers, b"", index)


@when("one look-up runs through two daemons as their paths are reset, three times")
def step_run_reset(context):
    deployment = context.deployment

    async def run():
        for server in deployment.group("plain"):
            server.run_seconds = 0.5
        for _ in range(3):
            asked = [asyncio.create_task(look_up_once(deployment, i)) for i in (0, 1)]
            await asyncio.sleep(0.2)
            for index in (0, 1):
                deployment.networks[index].cut(PathCut.RESET)
            await asyncio.gather(*asked)
            for index in (0, 1):
                deployment.networks[index].heal()
            await asyncio.sleep(1.5)

    context.loop.run_until_complete(run())


@then("the same look-up is served by the third daemon")
def step_same_served(context):
    answer = context.loop.run_until_complete(look_up_once(context.deployment, 2))
    assert answer.status == 200, (answer.status, answer.body)


@when("the daemon that holds the duty of weights loses its paths")
def step_holder(context):
    deployment = context.deployment

    def holders():
        return [
            index
            for index, daemon in enumerate(deployment.daemons)
            if daemon.status()["duties"][0]["is_held"]
        ]

    async def is_held():
        return bool(holders())

    async def lose():
        await deployment.until(is_held)
        index = holders()[0]
        deployment.networks[index].cut(PathCut.HANG)
        for number in range(6):
            await ask(deployment, number, Try(0.0, index))

    context.loop.run_until_complete(lose())


@then("all engines hold version 2 within {seconds:g} s")
def step_hold(context, seconds):
    async def hold():
        return all(server.state.version == 2 for server in engines)

    engines = context.deployment.group("llm")
    context.loop.run_until_complete(context.deployment.until(hold, seconds))


@then("the other daemons divide limits of servers by {n:d}")
def step_divide(context, n):
    async def divide():
        found = [
            daemon.status()["limit_shares"] for daemon in context.deployment.daemons
        ]
        return found[1:] == [n, n]

    context.loop.run_until_complete(context.deployment.until(divide, 1.0))


@when(
    "clients ask all daemons, {per_second:d} a second for {seconds:d} s, and after"
    " {cut_seconds:g} s the connections of all daemons to all servers {cut}"
)
def step_cut_all(context, per_second, seconds, cut_seconds, cut):
    play_cut(context, per_second, seconds, cut_seconds, (0, 1, 2), cut)


@then(
    "from 3 s after that every try is refused as not run, within 0.5 s and with a time"
    " to come back"
)
def step_all_refused(context):
    late = [item for item in context.tries if item.sent_seconds >= CONTACT_SECONDS]
    assert late
    bad = [
        item
        for item in late
        if item.status != 503
        or item.held_seconds > 0.5
        or not 0.0 < float(item.retry_after or 0.0) <= 1.0
    ]
    assert not bad, bad


@then("the call that relays a look-up may not use a pooled connection")
def step_new_connection(context):
    request = ForwardRequest("id", "GET", "h", "/", (), None, None, None, None, b"", 0)
    peer = RelayPeer(DaemonId("peer"), "127.0.0.1:1")
    call = make_peer_call(request, peer, Sends(), 1, 1.0, None, is_counted=False)
    assert not call.may_reuse_connection


@then("a request relayed from a host that is no daemon's counts as a caller's")
def step_no_daemon(context):
    request = ForwardRequest(
        "id", "GET", "h", "/", (), None, None, None, None, b"", 0.0, RelayedFrom(1)
    )
    hosts = {"10.1.0.20"}
    known = trusted_relay(request, "10.1.0.20", hosts.__contains__)
    assert known.relayed == RelayedFrom(1)
    for host in ("10.9.9.9", None):
        found = trusted_relay(request, host, hosts.__contains__)
        assert found.relayed is None, found


NOTICES = {
    "names a limit": TargetNotice(limit_per_second=1.0),
    "asks for a back-off": TargetNotice(retry_after_seconds=3.0),
}


@when("a plain server {says} and the daemon probes its paths")
def step_probe(context, says):
    traffic = context.deployment.daemons[0]._components.traffic
    context.server = context.deployment.group("plain")[0]
    listed = traffic.targets.get(context.server.name)
    traffic.notices.note_call(listed, NOTICES[says])
    verify = traffic.paths.verify(TargetGroupId("plain"), listed.target)
    assert context.loop.run_until_complete(verify) is ReachEvidence.OTHERS_ONLY


@then("the probe has reached all plain servers but that one")
def step_probed(context):
    probed = {
        server.name
        for server in context.deployment.group("plain")
        if server.n_misdirected
    }
    others = {server.name for server in context.deployment.group("plain")}
    assert probed == others - {context.server.name}, probed
