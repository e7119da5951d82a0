"""Steps of notices.feature."""

import asyncio
import itertools
import math
import time

from behave import then, when
from deployment import Deployment
from multidict import CIMultiDict

from lycheepost.core.notices import TargetNotice
from lycheepost.core.starts import StartVerdict
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import decode_notice

GRACE_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2
MAX_TRAFFIC_SECONDS = 30.0
N_ALBUMS = 8
"""Number of shared prompt parts; with so many each engine caches some."""
GROUPS = {"look-ups": "plain", "streams": "llm"}


@then('a 503 with the Retry-After "{written}" asks for {pause}')
def step_pause(context, written, pause):
    expected = None if pause == "no pause" else float(pause.removesuffix(" s"))
    notice = decode_notice(503, CIMultiDict({names.RETRY_AFTER: written}))
    assert notice.retry_after_seconds == expected, notice


@then('an answer with "{header}" says that its server leaves: {leaves}')
def step_leaves(context, header, leaves):
    name, _, value = header.partition(":")
    notice = decode_notice(200, CIMultiDict({name: value}))
    assert notice.is_leaving == (leaves == "yes"), notice


@then("an answer with status {status:d} and a Retry-After asks for no pause")
def step_no_pause(context, status):
    notice = decode_notice(status, CIMultiDict({names.RETRY_AFTER: "3"}))
    assert notice.retry_after_seconds is None, notice


class Traffic:
    """Sends requests at an even rate and records one server of their group.

    Args:
        deployment: The deployment that gets the requests.
        what: ``look-ups`` or ``streams``.
        per_second: Requests per second.
        seconds: Duration of the traffic.

    Attributes:
        server: The first server of the group, or the one that leaves or rejects.
        statuses: Statuses that clients received; None for a truncated response.
        failures: Number, status and body of responses other than a 200.
        leaves_seconds: When a server begins to say that it leaves; None for never. The
            traffic goes on until the server has said so for the rest of its duration.
        changes: Pairs of a time since the start and a function to call then, in order.
    """

    def __init__(self, deployment: Deployment, what: str, per_second: int, seconds):
        self.deployment = deployment
        self.what = what
        self.servers = deployment.group(GROUPS[what])
        self.server = self.servers[0]
        self.statuses: list[int | None] = []
        self.failures: list[tuple[int, int | None, bytes]] = []
        self.leaves_seconds: float | None = None
        self.changes = []
        self._per_second = per_second
        self._seconds = seconds
        self._arrivals: dict[str, list[float]] = {s.name: [] for s in self.servers}

    @property
    def arrivals(self) -> list[float]:
        """Return the times at which requests reached the server, since the start."""
        return self._arrivals[self.server.name]

    @property
    def said_seconds(self) -> float | None:
        """Return when the server first said that it leaves, since the start."""
        said = self.server.leaving_said_seconds
        return None if said is None else said - self.started

    async def run(self) -> None:
        """Send requests until the traffic ends."""
        started = asyncio.get_running_loop().time()
        self.started = started
        tasks = []
        for number in itertools.count():
            elapsed = asyncio.get_running_loop().time() - started
            self._note_arrivals(elapsed)
            if elapsed > self._end_seconds():
                break
            while self.changes and self.changes[0][0] <= elapsed:
                self.changes.pop(0)[1]()
            tasks.append(asyncio.create_task(self._ask(number)))
            due = started + (number + 1) / self._per_second
            await asyncio.sleep(due - asyncio.get_running_loop().time())
        await asyncio.gather(*tasks)

    def take_busiest(self) -> None:
        """Record the server that has run most requests from now on."""
        self.server = max(self.servers, key=lambda server: len(server.runs))

    def _end_seconds(self) -> float:
        if self.leaves_seconds is None:
            return self._seconds
        if self.said_seconds is None:
            return MAX_TRAFFIC_SECONDS
        return self.said_seconds + self._seconds - self.leaves_seconds

    def _note_arrivals(self, elapsed: float) -> None:
        for server in self.servers:
            arrivals = self._arrivals[server.name]
            n_arrived = len(server.runs) + len(server.rejected_seconds)
            arrivals += [elapsed] * (n_arrived - len(arrivals))

    async def _ask(self, number: int) -> None:
        deployment = self.deployment
        index = number % len(deployment.nodes)
        if self.what == "streams":
            parts = f"a{number % N_ALBUMS}:100,{number:x}:50"
            headers = deployment.prompt_headers("k-one", parts=parts)
            answer = await deployment.ask("POST", "/title/x", headers, index=index)
        else:
            headers = deployment.headers("k-one")
            answer = await deployment.ask("GET", f"/look/{number}", headers, b"", index)
        self.statuses.append(answer.status if answer.is_whole else None)
        if answer.status != 200:
            self.failures.append((number, answer.status, answer.body))


def make_traffic(context, what, per_second, seconds):
    """Return traffic whose results later steps check."""
    context.traffic = Traffic(context.deployment, what, per_second, seconds)
    context.pending = True
    return context.traffic


def views_of(context):
    """Return what the first daemon knows of each server of the traffic's group."""
    groups = context.deployment.daemons[0].status()["queues"]["groups"]
    return {
        name: (view["state"], view["slowness"], view["rate_ratio"])
        for name, view in groups[GROUPS[context.traffic.what]]["targets"].items()
    }


def play(context):
    """Run the prepared traffic, once."""
    if context.pending:
        context.pending = False
        context.loop.run_until_complete(context.traffic.run())
    return context.traffic


@when(
    "clients ask for {what}, {per_second:d} a second for {seconds:d} s, and after"
    " {after_seconds:g} s the busiest {kind} says that it leaves"
)
def step_ask_leaving(context, what, per_second, seconds, after_seconds, kind):
    traffic = make_traffic(context, what, per_second, seconds)
    context.changed_seconds = traffic.leaves_seconds = after_seconds

    def leave():
        traffic.take_busiest()
        traffic.server.announces_leaving = True

    traffic.changes.append((after_seconds, leave))


@when(
    "its registration is removed {removed_seconds:g} s after that, and written again"
    " {again_seconds:g} s later"
)
def step_lapse(context, removed_seconds, again_seconds):
    traffic, deployment = context.traffic, context.deployment
    removed = context.changed_seconds + removed_seconds
    rows = deployment.store.store
    traffic.changes += [
        (removed, lambda: rows.put("servers", traffic.server.name, None)),
        (removed + again_seconds, lambda: deployment.register(traffic.server)),
    ]


@then("it gets nothing from {seconds:g} s after that")
def step_nothing(context, seconds):
    traffic = play(context)
    assert traffic.said_seconds is not None, "no response of the server said it"
    since = traffic.said_seconds + seconds
    late = [at for at in traffic.arrivals if at > since]
    assert not late, f"{len(late)} requests from {since:g} s on, the last at {late[-1]}"


@then("every client is served")
def step_all_served(context):
    traffic = play(context)
    bad = [status for status in traffic.statuses if status != 200]
    assert not bad, (bad, traffic.failures)


@when(
    "clients ask for {what}, {per_second:d} a second for {seconds:d} s, and after"
    " {after_seconds:g} s the busiest {kind} rejects all requests"
    " for {pause_seconds:g} s"
)
def step_ask_pause(
    context, what, per_second, seconds, after_seconds, kind, pause_seconds
):
    prepare_pause(
        context, what, per_second, seconds, after_seconds, math.inf, pause_seconds
    )


@when(
    "clients ask for {what}, {per_second:d} a second for {seconds:d} s, and from"
    " {from_seconds:g} s to {to_seconds:g} s the busiest server rejects all requests"
    " for {pause_seconds:g} s"
)
def step_ask_short_pause(
    context, what, per_second, seconds, from_seconds, to_seconds, pause_seconds
):
    prepare_pause(
        context, what, per_second, seconds, from_seconds, to_seconds, pause_seconds
    )


def prepare_pause(
    context, what, per_second, seconds, from_seconds, to_seconds, pause_seconds
):
    """Let the busiest server reject requests between two points in time."""
    traffic = make_traffic(context, what, per_second, seconds)
    context.pause_seconds = pause_seconds
    context.to_seconds = to_seconds

    def begin():
        traffic.take_busiest()
        traffic.server.backoff_seconds = pause_seconds

    def end():
        traffic.server.backoff_seconds = None
        context.n_runs = len(traffic.server.runs)

    traffic.changes += [(from_seconds, begin), (to_seconds, end)]


@then(
    "at most two requests reach it between half a second after each and the end of that"
    " pause"
)
def step_few(context):
    traffic = play(context)
    asked = [at - traffic.started for at in traffic.server.rejected_seconds]
    assert asked, ("the server rejected no request", views_of(context))
    for at in asked:
        since, until = at + GRACE_SECONDS, at + context.pause_seconds
        n = sum(since < arrived <= until for arrived in asked)
        assert n <= MAX_REQUESTS_IN_PAUSE, (
            f"{n} requests in the pause asked for at {at:.3f} s"
        )


@then("it serves look-ups again")
def step_again(context):
    traffic = play(context)
    assert len(traffic.server.runs) > context.n_runs, views_of(context)


@when("all plain servers reject all requests for {pause_seconds:g} s")
def step_all_pause(context, pause_seconds):
    for server in context.deployment.group("plain"):
        server.backoff_seconds = pause_seconds


async def ask_look_up(deployment):
    return await deployment.ask("GET", "/look/x", deployment.headers("k-one"))


@when("look-ups are sent until both have rejected one")
def step_until_both(context):
    servers = context.deployment.group("plain")

    async def are_both():
        await ask_look_up(context.deployment)
        return all(server.rejected_seconds for server in servers)

    context.loop.run_until_complete(context.deployment.until(are_both))


@when("one more look-up is sent")
def step_another(context):
    servers = context.deployment.group("plain")
    context.n_before = [len(server.rejected_seconds) for server in servers]
    started_seconds = time.monotonic()
    context.answer = context.loop.run_until_complete(ask_look_up(context.deployment))
    context.elapsed_seconds = time.monotonic() - started_seconds


@then(
    "it is refused within {within_seconds:g} s, as not run, with a Retry-After of"
    " {least_seconds:g} s to {most_seconds:g} s"
)
def step_refused(context, within_seconds, least_seconds, most_seconds):
    assert context.answer.status == 503, context.answer
    assert context.elapsed_seconds < within_seconds, context.elapsed_seconds
    retry_after_seconds = float(context.answer.headers[names.RETRY_AFTER])
    assert least_seconds <= retry_after_seconds <= most_seconds, retry_after_seconds


@then("no server received it")
def step_none_asked(context):
    servers = context.deployment.group("plain")
    assert [len(server.rejected_seconds) for server in servers] == context.n_before


@when("the first server says that it leaves and only one daemon gets requests")
def step_one_knows(context):
    deployment = context.deployment
    server = deployment.group("plain")[0]
    server.announces_leaving = True
    context.leaving = [server.name]

    async def is_known():
        await ask_look_up(deployment)
        return leaving_of(deployment.daemons[0]) == context.leaving

    context.loop.run_until_complete(deployment.until(is_known))


@when("one more daemon starts")
def step_one_more(context):
    context.loop.run_until_complete(context.deployment.add_daemon())


@then("all daemons know that it leaves within {seconds:g} s")
def step_all_know(context, seconds):
    deployment = context.deployment

    async def all_know():
        known = [leaving_of(daemon) for daemon in deployment.daemons]
        return known == [context.leaving] * len(known)

    context.loop.run_until_complete(deployment.until(all_know, seconds))


def leaving_of(daemon):
    """Return the targets that a daemon knows to be leaving."""
    return daemon.status()["notices"]["leaving"]


@when("the first engine says that it leaves")
def step_engine_leaves(context):
    server = context.deployment.group("llm")[0]
    server.announces_leaving = True
    context.leaving = [server.name]


@when("the first engine says that it leaves and a stream is sent to each")
def step_engine_leaves_known(context):
    step_engine_leaves(context)
    deployment = context.deployment
    numbers = itertools.count()

    async def is_known():
        headers = deployment.prompt_headers("k-one", parts=f"{next(numbers):x}:150")
        await deployment.ask("POST", "/title/x", headers)
        return leaving_of(deployment.daemons[0]) == context.leaving

    context.loop.run_until_complete(deployment.until(is_known))


@then("the other engines soon hold version {version:d}")
def step_others_hold(context, version):
    deployment = context.deployment

    async def all_hold():
        engines = deployment.group("llm")[1:]
        return all(engine.state.version == version for engine in engines)

    context.loop.run_until_complete(deployment.until(all_hold))


@then("the first engine got no order")
def step_no_order(context):
    engine = context.deployment.group("llm")[0]
    assert not engine.state.orders, engine.state.orders


@when("a look-up is placed, and its server then asks the daemon for a pause")
def step_placed_first(context):
    traffic = context.deployment.daemons[0]._components.traffic
    admit = traffic.dispatcher.admit
    context.placed = []

    async def admit_then_back_off(work):
        outcome = await admit(work)
        listed = traffic.targets.get(outcome.target)
        traffic.notices.note_call(listed, TargetNotice(retry_after_seconds=3.0))
        context.placed.append(outcome.target)
        return outcome

    traffic.dispatcher.admit = admit_then_back_off
    context.answer = context.loop.run_until_complete(ask_look_up(context.deployment))


@then("it is served by the other server")
def step_served_by_other(context):
    assert context.answer.status == 200, context.answer
    served = [server for server in context.deployment.group("plain") if server.runs]
    assert len(served) == 1, served
    assert served[0].name not in context.placed, context.placed


@then("the daemon follows the cache events of the other engines only")
def step_follows_others(context):
    followed = {
        source.target
        for source in context.deployment.daemons[
            0
        ]._components.traffic.caches._watch._tasks
        if source.target is not None
    }
    others = context.deployment.group("llm")[1:]
    assert followed == {engine.name for engine in others}, followed


@when("a server loses a request {when} its pause")
def step_loses(context, when):
    deployment = context.deployment
    traffic = deployment.daemons[0]._components.traffic
    context.server = server = deployment.group("plain")[0]
    listed = traffic.targets.get(server.name)
    if when == "during":
        notice = TargetNotice(retry_after_seconds=3.0)
        traffic.notices.note_call(listed, notice)

    async def ask_start():
        return await traffic.ingress._deps.judge_start(listed)

    verdict = context.loop.run_until_complete(ask_start())
    assert verdict is StartVerdict.SAME, verdict


@then("its health was checked {n:d} times")
def step_health_checks(context, n):
    assert context.server.n_health_checks == n, context.server.n_health_checks
