"""Steps of fleet.feature."""

import asyncio

import msgspec
from behave import given, then, when
from deployment import SITE
from request_steps import BODY, REQUESTS, ask, start

from lycheepost.app.platformfleet import make_configuration
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import event_bytes
from lycheepost.report.beliefs import find_differences, read_belief
from lycheepost.state.memberrows import MemberRow

N_LONG_STREAM_EVENTS = 400


@given("{n:d} daemons that have waited {seconds:d} s for the first configuration")
def step_unconfigured(context, n, seconds):
    start(context, n_daemons=n, is_configured=False)
    context.loop.run_until_complete(asyncio.sleep(seconds))


@when("the first configuration is written")
def step_first_configuration(context):
    context.deployment.configure(make_configuration())


@then("each directory soon names all {n:d}")
def step_all_named(context, n):
    deployment = context.deployment

    async def is_named():
        found = [await deployment.addresses(index) for index in range(n)]
        return all(len(addresses) == n for addresses in found)

    context.loop.run_until_complete(deployment.until(is_named))


@when("one daemon is stopped while a long stream runs through it")
def step_stop(context):
    deployment = context.deployment
    for server in deployment.group("llm"):
        server.n_events = N_LONG_STREAM_EVENTS
    _method, path, body = REQUESTS["album stream"]
    headers = deployment.prompt_headers(**{names.TOKENS: f"150,{N_LONG_STREAM_EVENTS}"})

    async def begin():
        stream = asyncio.ensure_future(deployment.ask("POST", path, headers, body))
        async with asyncio.timeout(10):
            while not deployment.runs():
                await asyncio.sleep(0.01)
        drain = asyncio.ensure_future(deployment.daemons[0].drain())
        await asyncio.sleep(0)
        return stream, drain

    context.stream, context.drain = context.loop.run_until_complete(begin())


@then("it is not ready, and soon the other's directory names it no longer")
def step_not_ready(context):
    deployment = context.deployment
    assert context.loop.run_until_complete(deployment.ready(0)) == 503
    own = str(deployment.nodes[0].clients)

    async def is_removed():
        addresses = await deployment.addresses(1)
        return addresses and own not in addresses

    context.loop.run_until_complete(deployment.until(is_removed))


@then("it soon refuses new requests as not run")
def step_refuses(context):
    deployment = context.deployment

    async def is_refused():
        method, path, body = REQUESTS["look-up"]
        answer = await deployment.ask(method, path, deployment.headers(), body)
        assert answer.status in (200, 503), answer
        return answer.status == 503 and not deployment.runs(deployment.attempt_id)

    context.loop.run_until_complete(deployment.until(is_refused))


@then("the long stream completes before it stops")
def step_whole_stream(context):
    answer = context.loop.run_until_complete(context.stream)
    expected = b"".join(
        event_bytes(n, BODY) for n in range(1, N_LONG_STREAM_EVENTS + 1)
    )
    assert answer.is_whole and answer.body == expected, answer.status
    context.loop.run_until_complete(context.drain)


@when("both daemons are killed and two new ones start")
def step_killed(context):
    deployment = context.deployment

    async def restart():
        for daemon in deployment.daemons:
            await daemon.stop()
        deployment.daemons.clear()
        deployment.nodes.clear()
        for _ in range(2):
            await deployment.add_daemon()

    context.loop.run_until_complete(restart())


@then("each directory soon names both")
def step_both(context):
    deployment = context.deployment
    wanted = {str(node.clients) for node in deployment.nodes}

    async def is_complete():
        found = [set(await deployment.addresses(i)) for i in range(2)]
        return all(addresses == wanted for addresses in found)

    context.loop.run_until_complete(deployment.until(is_complete))


def publish_weights(context, version):
    context.deployment.publish_weights(version)


@when("version {version:d} of the weights is requested")
def step_named(context, version):
    publish_weights(context, version)


@when("versions 2, 3 and 4 of the weights are requested at once")
def step_named_three(context):
    for version in (2, 3, 4):
        publish_weights(context, version)


@when(
    "version {version:d} of the weights is requested while responses to orders are lost"
)
def step_named_lost(context, version):
    for server in context.deployment.group("llm"):
        server.drops_order_answers = True
    publish_weights(context, version)


@then("all engines soon hold version {version:d}")
def step_hold(context, version):
    deployment = context.deployment

    async def is_done():
        return all(
            server.state.version == version for server in deployment.group("llm")
        )

    context.loop.run_until_complete(deployment.until(is_done))


@then("each was ordered once, by one holder with one fencing number")
def step_once(context):
    orders = [server.state.orders for server in context.deployment.group("llm")]
    assert [len(found) for found in orders] == [1, 1], orders
    assert len({(found[0]["holder"], found[0]["fence"]) for found in orders}) == 1


@then("a stream is served by version {version:d}")
def step_version(context, version):
    answer = ask(context, "album stream")
    assert answer.status == 200, answer
    assert answer.headers[names.WEIGHTS] == str(version)


@then("no engine was ordered more than twice")
def step_twice(context):
    for server in context.deployment.group("llm"):
        assert len(server.state.orders) <= 2, server.state.orders


@then("no order was accepted twice")
def step_accepted(context):
    for server in context.deployment.group("llm"):
        assert server.state.n_orders == 1, server.state


@when("one daemon can no longer reach the store")
def step_unreached(context):
    # All daemons of a test share one IP address, so the store cannot refuse just one.
    context.store_client = context.deployment.daemons[0].store
    context.address = context.store_client.base
    context.store_client.base = "http://127.0.0.1:9"


@then("it soon is not ready, and the other's directory names it no longer")
def step_cannot_confirm_keys(context):
    deployment = context.deployment

    async def is_unready():
        return await deployment.ready(0) == 503

    context.loop.run_until_complete(deployment.until(is_unready))
    step_not_ready(context)


@when("it reaches the store again")
def step_reached(context):
    context.store_client.base = context.address


DEAD_ADDRESS = "127.0.0.1:9"


@when("another daemon starts while the row of a dead one is in the store")
def step_dead_row(context):
    deployment = context.deployment
    row = MemberRow("zone-a", "127.0.0.1", DEAD_ADDRESS, "tcp://127.0.0.1:9", "old")
    store = deployment.store.store
    store.put("lycheepost", "member/front-dead", msgspec.json.encode(row))
    context.loop.run_until_complete(deployment.add_daemon())


@then("no directory response ever names the dead one")
def step_not_named(context):
    deployment = context.deployment

    async def poll():
        for _ in range(60):
            for index in range(2):
                assert DEAD_ADDRESS not in await deployment.addresses(index)
            await asyncio.sleep(0.02)
        members = deployment.daemons[1].status()["members"]
        assert "front-dead" in members, "the row was not read"

    context.loop.run_until_complete(poll())


def read_beliefs(context):
    """Return each daemon's state, decoded from its status as by the command line."""
    return [
        read_belief(msgspec.json.encode(daemon.status(), enc_hook=str)).unwrap()
        for daemon in context.deployment.daemons
    ]


@then("soon one of them follows the store and the others follow that one")
def step_followed(context):
    async def is_so():
        beliefs = read_beliefs(context)
        first = [belief for belief in beliefs if belief.source == "store"]
        others = {belief.source for belief in beliefs if belief.source != "store"}
        return len(first) == 1 and others == {first[0].daemon}

    context.loop.run_until_complete(context.deployment.until(is_so))


@then("the states that the daemons report do not differ")
def step_alike(context):
    async def is_alike():
        return not find_differences(read_beliefs(context))

    context.loop.run_until_complete(context.deployment.until(is_alike))


@when("a new configuration is written")
def step_configured(context):
    before = max(belief.configuration for belief in read_beliefs(context))
    context.version = before + 3
    document = make_configuration() | {"version": context.version}
    context.deployment.configure(document)


@then("all of them soon use it")
def step_in_force(context):
    async def is_in_force():
        beliefs = read_beliefs(context)
        return all(belief.configuration == context.version for belief in beliefs)

    context.loop.run_until_complete(context.deployment.until(is_in_force))


@when("the one that follows the store is killed")
def step_source_killed(context):
    deployment = context.deployment
    sources = [belief.source for belief in read_beliefs(context)]
    index = sources.index("store")
    daemon = deployment.daemons.pop(index)
    deployment.nodes.pop(index)
    context.loop.run_until_complete(daemon.stop())


@then("directory responses are to be cached for {seconds:g} s")
def step_kept(context, seconds):
    deployment = context.deployment

    async def is_cached_for():
        node = deployment.nodes[0]
        url = f"http://{node.directory}/lookup?name={SITE}&region=r&zone=zone-a"
        async with deployment.session.get(url) as answer:
            return (await answer.json())["ttl_s"] == seconds

    context.loop.run_until_complete(deployment.until(is_cached_for))


@when("{n:d} of them report that they cannot serve")
def step_cannot_serve(context, n):
    async def announce():
        for daemon in context.deployment.daemons[-n:]:
            daemon.is_leaving = True
            daemon._components.peers.members.announce_leaving()

    # Announcing schedules a message, for which the daemons' loop must run.
    context.loop.run_until_complete(announce())
