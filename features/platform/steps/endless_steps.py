"""Steps of endless.feature."""

import asyncio
import itertools
import pathlib
import time

import aiohttp
import msgspec
import yarl
from behave import given, then, when
from deployment import MODEL
from request_steps import REQUESTS, ask

from lycheepost.app.platformfleet import ENGINES, PLAIN, ZONE, Answer
from lycheepost.platform import headers as names
from lycheepost.standin.endless import EndlessForm, EndlessServer

MEGABYTE = 1024 * 1024
SLOW_SECONDS = 0.1
MAX_ANSWER_BYTES = 256 * 1024
ASK_SECONDS = 0.03
RUN_SECONDS = 0.1
"""Long enough that requests overlap, so that they go to all servers."""
TICK_SECONDS = 0.005
DEADLINE_SECONDS = 3.0
MARGIN_SECONDS = 1.0
UNASKED = (EndlessForm.UNASKED_BYTES, EndlessForm.UNASKED_ANSWERS)
UNKNOWN_STATUSES = (502, 504)
_numbers = itertools.count(9001)


class Flood:
    """A registered server that answers all calls without end.

    Attributes:
        name: Its id.
        server: What it runs as.
        attempt_ids: Of the requests that it got.
    """

    def __init__(self, service, form, pace, is_rejecting=False):
        self._is_rejecting = is_rejecting
        self.name = f"i-{next(_numbers)}"
        self.service = service
        self.attempt_ids = set()
        pause_seconds = SLOW_SECONDS if pace == "slowly" else None
        self.server = EndlessServer(form, pause_seconds, self._headers)
        self.server.start()

    def _headers(self, _path, asked):
        """Return the headers of a sound server's answer."""
        headers = {names.TARGET: self.name, names.LOAD: "0,0,32", names.SEAL: "0"}
        if self.service == ENGINES:
            headers[names.WEIGHTS] = "1"
        if self._is_rejecting:
            headers[names.NOT_RUN] = "1"
        attempt_id = asked.get(names.ATTEMPT_ID.lower())
        if attempt_id:
            self.attempt_ids.add(attempt_id)
            headers[names.ATTEMPT_ID] = attempt_id
        return headers

    def entry(self):
        models = [{"name": MODEL, "version": 1}] if self.service == ENGINES else []
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": self.server.address,
                "zone": ZONE,
                "version": "",
                "slots": 32,
                "state": "ready",
                "cold_left_ms": 0,
                "models": models,
                "seq": 1,
            }
        )


def add_floods(context, n, form, pace):
    register(
        context,
        [
            Flood(service, EndlessForm(form), pace)
            for service in (PLAIN, ENGINES)
            for _ in range(n)
        ],
    )


def register(context, floods):
    context.floods = floods

    async def stop():
        for flood in context.floods:
            flood.server.stop()

    context.closers.append(stop)
    rows = context.deployment.store.store
    for flood in context.floods:
        rows.put("servers", flood.name, flood.entry())

    async def are_known():
        known = context.deployment.daemons[0].status()["targets"]
        return all(flood.name in known for flood in context.floods)

    context.loop.run_until_complete(context.deployment.until(are_known))


@given("{n:d} servers of each service that answer with {form} without end, {pace}")
def step_floods(context, n, form, pace):
    add_floods(context, n, form, pace)


@given("all servers answer with {form} without end, {pace}")
def step_all_flood(context, form, pace):
    add_floods(context, 2, form, pace)
    deployment = context.deployment

    async def is_alone():
        known = deployment.daemons[0].status()["targets"]
        return len(known) == len(context.floods)

    for server in deployment.servers:
        deployment.store.store.put("servers", server.name, None)
    context.loop.run_until_complete(deployment.until(is_alone))


def resident_bytes():
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


class Watch:
    """Records the longest hold of the loop and the largest memory."""

    def __init__(self):
        self.held_seconds = 0.0
        self.first_bytes = self.max_bytes = resident_bytes()

    async def run(self):
        while True:
            start_seconds = time.monotonic()
            await asyncio.sleep(TICK_SECONDS)
            late_seconds = time.monotonic() - start_seconds - TICK_SECONDS
            self.held_seconds = max(self.held_seconds, late_seconds)
            self.max_bytes = max(self.max_bytes, resident_bytes())


async def read_some(deployment, what, headers):
    """Read a response up to a size at which a client takes it to be endless."""
    method, path, body = REQUESTS[what]
    url = yarl.URL(f"http://{deployment.nodes[0].clients}{path}", encoded=True)
    answer = Answer(None, is_whole=False)
    try:
        async with deployment.session.request(
            method, url, headers=headers, data=body or None
        ) as response:
            answer.status, answer.headers = response.status, dict(response.headers)
            async for part in response.content.iter_any():
                answer.body += part
                if len(answer.body) > MAX_ANSWER_BYTES:
                    response.close()
                    return answer
            await response.wait_body_end()
            answer.is_whole = True
    except aiohttp.ClientError:
        answer.is_whole = False
    return answer


@when("clients ask for look-ups, orders and streams for {seconds:g} s")
def step_ask(context, seconds):
    deployment = context.deployment

    async def ask_one(what, number):
        if "stream" in what:
            # Each prompt differs, so that no engine has it cached.
            headers = deployment.prompt_headers(parts=f"{number:04x}:100")
        else:
            headers = deployment.headers()
        attempt_id = headers[names.ATTEMPT_ID]
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + MARGIN_SECONDS):
                answer = await read_some(deployment, what, headers)
        except TimeoutError:
            # The client closes its connection, as the answer would never end.
            answer = Answer(None, is_whole=False)
        context.answers[attempt_id] = what, answer

    async def ask_all():
        context.watch = Watch()
        watching = asyncio.create_task(context.watch.run())
        asked = []
        whats = itertools.cycle(REQUESTS)
        for number in range(int(seconds / ASK_SECONDS)):
            asked.append(asyncio.create_task(ask_one(next(whats), number)))
            await asyncio.sleep(ASK_SECONDS)
        await asyncio.gather(*asked)
        watching.cancel()

    context.answers = {}
    for server in deployment.servers:
        server.run_seconds = RUN_SECONDS
    context.loop.run_until_complete(ask_all())


def flooded_ids(context):
    return set().union(*(flood.attempt_ids for flood in context.floods))


@then("each request that only sound servers got was served")
def step_sound(context):
    met = flooded_ids(context)
    sound = {key: found for key, found in context.answers.items() if key not in met}
    # Where answers are complete, such servers may get all requests.
    is_complete = context.floods[0].server.form in UNASKED
    assert sound or is_complete, [(key, context.answers[key][1].status) for key in met]
    for what, answer in sound.values():
        assert answer.status == 200 and answer.is_whole, (what, answer)


@then("no request that such a server got was told that it had not run")
def step_true(context):
    met = flooded_ids(context)
    assert met
    for attempt_id in met & set(context.answers):
        what, answer = context.answers[attempt_id]
        if what != "order" or answer.status is None:
            continue
        is_sealed = names.SEAL in answer.headers
        assert answer.status in UNKNOWN_STATUSES or is_sealed, (what, answer)


@then("the loop was never held for {seconds:g} s")
def step_held(context, seconds):
    assert context.watch.held_seconds < seconds, context.watch.held_seconds


@then("the memory grew by at most {megabytes:d} MB")
def step_memory(context, megabytes):
    grown = (context.watch.max_bytes - context.watch.first_bytes) / MEGABYTE
    assert grown <= megabytes, grown


@then("such servers were closed and count as failing")
def step_failing(context):
    health = context.deployment.daemons[0]._components.traffic.targets._health
    for service in (PLAIN, ENGINES):
        floods = [flood for flood in context.floods if flood.service == service]
        records = health[service]._records
        shares = {
            flood.name: records[flood.name].bad_share
            for flood in floods
            if flood.attempt_ids
        }
        assert shares or service == ENGINES, vars(floods[0])
        assert all(share > 0.9 for share in shares.values()), shares


@then("such servers were closed at the deadline, at last")
def step_closed(context):
    servers = [flood.server for flood in context.floods]
    n_flooded = [server.n_flooded for server in servers]

    async def are_closed():
        found = zip(servers, n_flooded, strict=True)
        return all(server.n_closed >= n for server, n in found)

    context.loop.run_until_complete(context.deployment.until(are_closed))


@when("an order is sent to them")
def step_order(context):
    start_seconds = time.monotonic()
    ask(context, "order")
    context.took_seconds = time.monotonic() - start_seconds


@when("{n:d} orders are sent to them")
def step_orders(context, n):
    for _ in range(n):
        step_order(context)


@then("it is told within {seconds:g} s that its outcome is unknown")
def step_unknown(context, seconds):
    assert context.answer.status in UNKNOWN_STATUSES or (not context.answer.is_whole), (
        context.answer
    )
    assert context.took_seconds < seconds, context.took_seconds


@then("the daemon takes its own paths to be sound")
def step_paths(context):
    paths = context.deployment.daemons[0]._components.traffic.paths
    assert not paths.are_lost(PLAIN), paths.status()


@given("a plain server that rejects requests with a body without end, {pace}")
def step_rejecting(context, pace):
    register(context, [Flood(PLAIN, EndlessForm.LONG_BODY, pace, is_rejecting=True)])


@when("clients ask for {n:d} look-ups and orders")
def step_look_ups(context, n):
    deployment = context.deployment
    context.answers, context.took_seconds = {}, []

    async def ask_one(what):
        headers = deployment.headers()
        start_seconds = time.monotonic()
        answer = await read_some(deployment, what, headers)
        context.took_seconds.append(time.monotonic() - start_seconds)
        context.answers[headers[names.ATTEMPT_ID]] = what, answer

    async def ask_all():
        whats = itertools.cycle(("look-up", "order"))
        asked = []
        for _ in range(n):
            asked.append(asyncio.create_task(ask_one(next(whats))))
            await asyncio.sleep(ASK_SECONDS)
        await asyncio.gather(*asked)

    for server in deployment.servers:
        server.run_seconds = RUN_SECONDS
    context.loop.run_until_complete(ask_all())


@then("all of them are served within {seconds:g} s")
def step_all_served(context, seconds):
    assert flooded_ids(context)
    for what, answer in context.answers.values():
        assert answer.status == 200 and answer.is_whole, (what, answer)
    assert max(context.took_seconds) < seconds, context.took_seconds
