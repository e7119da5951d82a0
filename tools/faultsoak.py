"""Run real daemons on a model of the platform under seeded faults from outside.

    python tools/faultsoak.py --seeds 1-50 --seconds 20 [--daemons 6] [--json]

The daemons are processes; the store, the engines and the plain services are stand-ins
in this one. Every way between them goes through a loopback proxy that delays, resets,
cuts one way or silences. Processes are stopped, paused, killed and started again by
signals, and the store fails, answers late or loses answers, in series that overlap;
servers meanwhile say that they leave, name limits, are brittle, pause, or turn requests
away for a while, break off responses and send them without length or chunks; most
servers of a service fail at once; engines of other software versions come and go, or
are back under their ids; daemons are cut off from all servers, one, many or a zone at a
time, also by connections that are accepted and lead nowhere; the daemon that all others
ask for changes loses the store as the next one freezes, while routes are added;
parts of prompts crash each engine that begins to answer one with them.
Clients keep using their connections until the process behind them is gone, and take up
streams that they lose at any daemon. Every
answer is checked while it runs; afterwards, what ran against what was answered. Every
process that was started here is ended here, by its id. Exit code 0 without a violation.

A seed that ever failed stays in ``FAILED_SEEDS`` with its cause and runs first.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soakchanges import ASKED_SECONDS, Changes, RouteAnswer, feed_order
from soakfleet import DaemonProcess, ProcessFleet, ProxiedServer
from soaknotices import DaemonWords, NamedLimit, Span, find_broken
from soakparts import (
    N_REQUESTS,
    QUARANTINED,
    REQUEST_SECONDS,
    CrashingParts,
    find_late_parts,
)
from soakproxy import LinkState
from soakretries import SentRequests, begin_failing, find_excess
from soakstreams import VERSIONS, StreamClient, TakenStream

from lycheepost.app.platformdemo import (
    N_ALBUMS,
    DemoRequest,
    PlatformDemoReport,
    as_generated,
    audit_runs,
    check_answer,
    make_demo_request,
    make_prompt_headers,
)
from lycheepost.app.platformfleet import (
    ENGINES,
    FIRST_START_MS,
    KEYS,
    MODEL,
    PLAIN,
    Answer,
)
from lycheepost.platform import headers as names
from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverfaults import BrokenOff, StopPoint
from lycheepost.platform.models.serverstandin import PlatformServer
from lycheepost.platform.models.streamaudit import versions_of
from lycheepost.standin.rawbodies import Framing, Stop

FAILED_SEEDS: dict[int, str] = {
    15: "the signal that cuts paths ended a daemon that was about to start",
    18: "the same",
    316: "a stand-in broke a continued stream off after more events than it has",
    616: "a sound part had more losses in a row than the crashing one",
    618: "a sound part was blamed in place of the crashing one, on the same targets",
}
"""Seeds that failed, each with its cause."""

LOST_KEY = "k-lost"
"""Taken away in the middle of a run."""

REVOKE_SECONDS = 5.0
RATE_PER_SECOND = 20.0
SETTLE_SECONDS = 12.0
"""After the last fault all daemons must be ready again within this time."""

LEAST_SERVED_SHARE = 0.25
"""Daemons that refused everything would break no other promise. A third of the requests
carries a key that is taken away; of the rest most are served between the faults."""

N_PLAIN = 3
N_ENGINES = 3
RELAYED_SECONDS = 4.0
"""How long a request may be at a peer: as long as its client waits."""

TOLERATED_FALLS = 2.0
TOLERATED_FALLS_SHARE = 0.1
"""Crashes of brittle servers in one time, and for each server, that are allowed."""

TOLERATED_MIXED_STREAMS = 2
"""Streams of two software versions that the users' rule allows in one day."""

_NOT_RUN = (408, 421, 429, 503)


@dataclass
class SoakRun:
    """One seed.

    Attributes:
        sent_seconds: When each attempt was sent, and with which key.
        refused: Attempts that may run once and were told not to have run.
        revoked_seconds: When the key was gone from the configuration.
        words: What the daemons were sent and handed on, and when they were disturbed.
        mixed: Streams that hold events of two software versions.
        changes: The configuration, and what daemons answered for new routes.
        requests: When requests were sent to each service.
        parts: Parts of prompts that crash engines, and the requests with them.
    """

    seed: int
    fleet: ProcessFleet
    rng: random.Random
    until_seconds: float
    report: PlatformDemoReport = field(default_factory=PlatformDemoReport)
    sent_seconds: dict[str, tuple[float, str]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    revoked_seconds: float = float("inf")
    faults: Counter[str] = field(default_factory=Counter)
    changes: Changes = field(
        default_factory=lambda: Changes(1, {**KEYS, LOST_KEY: "lost"})
    )
    requests: SentRequests = field(default_factory=SentRequests)
    weights: int = 1
    words: DaemonWords = field(default_factory=DaemonWords)
    parts: CrashingParts = field(default_factory=CrashingParts)
    mixed: list[str] = field(default_factory=list)

    def note_disturbed(self, daemon: DaemonProcess, from_seconds: float) -> None:
        """Note that a daemon was killed, stopped or frozen until now."""
        index = self.fleet.processes.index(daemon)
        span = Span(from_seconds, time.monotonic())
        self.words.disturbed.setdefault(index, []).append(span)

    def note_brittle(
        self, servers: list[PlatformServer], span: Span, n_falls: int
    ) -> None:
        """Judge how often brittle servers crashed, unless daemons were disturbed."""
        self.faults["falls"] += n_falls
        disturbed = [item for spans in self.words.disturbed.values() for item in spans]
        allowed = TOLERATED_FALLS + TOLERATED_FALLS_SHARE * len(servers)
        if n_falls > allowed and not any(item.overlaps(span) for item in disturbed):
            self.report.violations.append(f"brittle servers crashed {n_falls} times")

    def is_over(self) -> bool:
        """Tell whether no further fault may begin."""
        return time.monotonic() >= self.until_seconds


async def pause(run: SoakRun, low: float, high: float) -> None:
    """Wait for some time of the seed's choice."""
    await asyncio.sleep(run.rng.uniform(low, high))


async def kill(run: SoakRun, daemon: DaemonProcess) -> None:
    """Kill a process and start it again."""
    from_seconds = time.monotonic()
    daemon.send(signal.SIGKILL)
    await pause(run, 0.2, 1.5)
    await daemon.end(0.0)
    daemon.start()
    run.note_disturbed(daemon, from_seconds)


async def freeze(run: SoakRun, daemon: DaemonProcess) -> None:
    """Pause a process."""
    from_seconds = time.monotonic()
    daemon.send(signal.SIGSTOP)
    await pause(run, 0.3, 4.0)
    daemon.send(signal.SIGCONT)
    run.note_disturbed(daemon, from_seconds)


async def stop(run: SoakRun, daemon: DaemonProcess) -> None:
    """Tell a process to end, and start it again."""
    from_seconds = time.monotonic()
    daemon.send(signal.SIGHUP)
    await daemon.end(8.0)
    daemon.start()
    run.note_disturbed(daemon, from_seconds)


async def disturb_store_link(run: SoakRun, daemon: DaemonProcess) -> None:
    """Disturb a daemon's way to the store."""
    from_seconds = time.monotonic()
    daemon.store.set_state(run.rng.choice(list(LinkState)))
    daemon.store.reset(run.rng, 0.5)
    await pause(run, 0.5, 6.0)
    daemon.store.set_state(LinkState.OPEN)
    daemon.store.reset()
    note_store(run, daemon, from_seconds)


def note_store(run: SoakRun, daemon: DaemonProcess | None, from_seconds: float) -> None:
    """Note that the store, or a daemon's way to it, was disturbed until now."""
    index = None if daemon is None else run.fleet.processes.index(daemon)
    run.changes.store.append((index, Span(from_seconds, time.monotonic())))


async def disturb_client_link(run: SoakRun, daemon: DaemonProcess) -> None:
    """Disturb the clients' way to a daemon."""
    daemon.clients.set_state(run.rng.choice(list(LinkState)))
    await pause(run, 0.3, 2.0)
    daemon.clients.set_state(LinkState.OPEN)
    daemon.clients.reset(run.rng, 0.7)


async def disturb_server_link(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Disturb all daemons' way to one server."""
    server = run.rng.choice(run.fleet.servers)
    if not isinstance(server, ProxiedServer) or server.proxy is None:
        return
    from_seconds = time.monotonic()
    server.proxy.set_state(run.rng.choice(list(LinkState)))
    server.proxy.reset(run.rng, 0.5)
    await pause(run, 0.3, 3.0)
    server.proxy.set_state(LinkState.OPEN)
    server.words.cut.append(Span(from_seconds, time.monotonic()))


async def disturb_store(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let the store itself be away, slow, or lose answers."""
    from_seconds = time.monotonic()
    faults = run.fleet.store.store.faults
    match run.rng.randrange(4):
        case 0:
            faults.is_down = True
        case 1:
            faults.delay_seconds = run.rng.uniform(0.1, 0.8)
        case 2:
            faults.n_lost_answers = run.rng.randint(1, 4)
        case 3:
            faults.n_late_writes = run.rng.randint(1, 3)
            faults.late_seconds = run.rng.uniform(0.5, 5.0)
    await pause(run, 0.5, 4.0)
    faults.clear()
    note_store(run, None, from_seconds)


async def publish_weights(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Name new weights."""
    run.weights += 1
    run.fleet.publish_weights(run.weights)


async def configure(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Write a new configuration; the first one takes a key away."""
    run.changes.version += run.rng.randint(1, 4)
    run.changes.take_key()
    run.fleet.configure(run.changes.document())
    run.revoked_seconds = min(run.revoked_seconds, time.monotonic())


async def add_route(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Add a route, and ask all daemons for it once it must be in force."""
    name = f"look-{len(run.changes.routes)}"
    run.changes.routes.append(name)
    run.changes.version += 1
    run.fleet.configure(run.changes.document())
    acked_seconds = time.monotonic()
    for after_seconds in ASKED_SECONDS:
        await asyncio.sleep(max(0.0, acked_seconds + after_seconds - time.monotonic()))
        async with asyncio.TaskGroup() as group:
            for index in range(len(run.fleet.processes)):
                group.create_task(ask_route(run, name, index, acked_seconds))


async def ask_route(run: SoakRun, name: str, index: int, acked_seconds: float) -> None:
    """Ask one daemon for a new route."""
    headers = run.fleet.headers("k-one")
    attempt_id = headers[names.ATTEMPT_ID]
    from_seconds = time.monotonic()
    run.sent_seconds[attempt_id] = (from_seconds, "k-one")
    run.words.daemon_of[attempt_id] = index
    run.words.sent_seconds[attempt_id] = from_seconds
    run.requests.note("/look", from_seconds)
    try:
        async with asyncio.timeout(4.0):
            answer = await run.fleet.ask("GET", f"/{name}/x", headers, b"", index)
    except TimeoutError:
        return
    asked = Span(from_seconds, time.monotonic())
    run.changes.answers.append(RouteAnswer(index, asked, acked_seconds, answer.status))


async def blind_first(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Take the store from the daemon that all others ask, and freeze the next one."""
    processes = run.fleet.processes
    order = feed_order([str(node.daemon) for node in run.fleet.nodes])
    first, second = (processes[index] for index in order[:2])
    from_seconds = time.monotonic()
    first.store.set_state(LinkState.SILENT)
    second.send(signal.SIGSTOP)
    await pause(run, 2.0, 5.0)
    second.send(signal.SIGCONT)
    first.store.set_state(LinkState.OPEN)
    first.store.reset()
    for daemon in (first, second):
        run.note_disturbed(daemon, from_seconds)


async def fail_servers(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let most servers of one service fail, at times while paths are cut."""
    failing = begin_failing(run.rng, run.fleet)
    await pause(run, 1.0, 6.0)
    for server in failing:
        server.faults.clear()


async def leave(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one server say that it leaves; its registration lapses and is back."""
    server = run.rng.choice(run.fleet.servers)
    if any(other.announces_leaving for other in run.fleet.group(server.service)):
        return
    server.announces_leaving = True
    await pause(run, 0.2, 2.0)
    run.fleet.store.store.put("servers", server.name, None)
    await pause(run, 0.2, 2.0)
    run.fleet.register(server)


async def shed(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one server turn requests away, and ask for a pause each time."""
    server = run.rng.choice(run.fleet.servers)
    server.backoff_seconds = run.rng.uniform(0.3, 4.0)
    await pause(run, 0.5, 5.0)
    server.backoff_seconds = None


async def cut_paths(run: SoakRun, daemon: DaemonProcess) -> None:
    """Cut some daemons off from all servers, at times a whole zone or all of them."""
    processes = run.fleet.processes
    n_cut = run.rng.randint(1, len(processes))
    found = [daemon, *(item for item in processes if item is not daemon)][:n_cut]
    if n_cut == len(processes) // 2:
        found = [item for item in processes if item.zone == daemon.zone]
    cut = run.rng.choice(list(PathCut))
    from_seconds = time.monotonic()
    for item in found:
        item.set_cut(cut.value)
    await pause(run, 0.5, 6.0)
    for item in found:
        item.set_cut("")
        # Its requests may be at a peer, which servers say other things to.
        run.note_disturbed(item, from_seconds - RELAYED_SECONDS)
    await asyncio.sleep(RELAYED_SECONDS)
    for item in found:
        run.note_disturbed(item, from_seconds)


async def pause_server(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one server send nothing for about a second."""
    await run.rng.choice(run.fleet.servers).pause(run.rng.uniform(0.3, 1.4))


async def be_brittle(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let the servers of one service say that they are brittle, with few slots."""
    servers = run.fleet.group(run.rng.choice((PLAIN, ENGINES)))
    if any(server.brittle_per_second is not None for server in servers):
        return
    from_seconds = time.monotonic()
    n_before = sum(server.n_falls for server in servers)
    bearable = run.rng.uniform(1.0, 4.0)
    for server in servers:
        server.brittle_per_second = bearable
        server.brittle_from_seconds = asyncio.get_running_loop().time() + 3.0
        server.n_slots = 1
        run.fleet.register(server)
    await pause(run, 4.0, 8.0)
    for server in servers:
        server.brittle_per_second = None
        server.n_slots = 32
        run.fleet.register(server)
    n_falls = sum(server.n_falls for server in servers) - n_before
    run.note_brittle(servers, Span(from_seconds, time.monotonic()), n_falls)


def draw_break(rng: random.Random) -> BrokenOff:
    """Return a response that stops early, in a way that a caller can recognize.

    What ends by a close between two events, or as a plain body without length, looks
    like a complete response.
    """
    framing = rng.choice(list(Framing))
    how = rng.choice([Stop.RESET, Stop.CLOSE, Stop.LAST_CHUNK])
    if framing is Framing.CONNECTION and how is Stop.LAST_CHUNK:
        how = Stop.CLOSE
    return BrokenOff(
        framing=framing,
        how=how,
        point=rng.choice((StopPoint.IN_EVENT, StopPoint.BEFORE_BLANK_LINE)),
        after_events=rng.randint(0, 4),
        is_in_one_packet=rng.random() < 0.5,
    )


async def break_off(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one engine break off some of its next streams, and a service by resets."""
    run.rng.choice(run.fleet.group(ENGINES)).faults.add(
        draw_break(run.rng), run.rng.randint(1, 4)
    )
    is_in_one_packet = run.rng.random() < 0.5
    run.rng.choice(run.fleet.group(PLAIN)).faults.add(
        BrokenOff(Framing.CONNECTION, Stop.RESET, is_in_one_packet=is_in_one_packet),
        run.rng.randint(1, 3),
    )


async def leave_out_length(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one server send all responses without length or chunks for a while."""
    server = run.rng.choice(run.fleet.servers)
    server.is_unframed = True
    await pause(run, 0.5, 5.0)
    server.is_unframed = False


async def replace_engine(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Start an engine of any version beside the others; an old one leaves for it."""
    old = run.rng.choice(run.fleet.group(ENGINES))
    if not isinstance(old, ProxiedServer) or old.is_leaving:
        return
    new = ProxiedServer(ENGINES, MODEL)
    new.state.software = run.rng.choice(VERSIONS)
    new.state.started_ms = FIRST_START_MS
    new.state.version = old.state.version
    new.faults = old.faults
    old.is_leaving = True
    await run.fleet.add_server(new)
    await pause(run, 0.2, 2.0)
    run.fleet.register(old)
    await pause(run, 0.5, 2.0)
    run.fleet.store.store.put("servers", old.name, None)
    await pause(run, 0.2, 2.0)
    await old.stop()


async def restart_engine(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let an engine crash and be back under its id, at times with other software."""
    server = run.rng.choice(run.fleet.group(ENGINES))
    if server.is_leaving:
        return
    server.restart(run.rng.choice(VERSIONS))
    run.fleet.register(server)


async def limit(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one server name a limit for a while."""
    server = run.rng.choice(run.fleet.servers)
    if not isinstance(server, ProxiedServer) or server.limit_per_second is not None:
        return
    from_seconds = time.monotonic()
    server.limit_per_second = per_second = run.rng.uniform(0.5, 4.0)
    await pause(run, 1.0, 8.0)
    server.limit_per_second = None
    span = Span(from_seconds, time.monotonic())
    server.words.limits.append(NamedLimit(per_second, span))


async def crash_by_part(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let a part of prompts crash each engine that begins to answer one with it."""
    part_id = run.parts.begin(run.rng, run.fleet)
    async with asyncio.TaskGroup() as group:
        for number in range(N_REQUESTS):
            group.create_task(ask_with_part(run, part_id, number))
            await pause(run, *REQUEST_SECONDS)


async def ask_with_part(run: SoakRun, part_id: str, number: int) -> None:
    """Ask for a title or a once-only stream with a crashing part; nobody misses it."""
    path = run.rng.choice(("/title/x", "/title/x", "/album/x"))
    index = run.rng.randrange(len(run.fleet.processes))
    shared = f"a0:2520,b{run.rng.randrange(N_ALBUMS):x}:3780"
    parts = f"{shared},{part_id}:100,own-{part_id}-{number}:20"
    headers = run.fleet.prompt_headers("k-one", parts=parts)
    attempt_id = headers[names.ATTEMPT_ID]
    run.parts.attempts[part_id].add(attempt_id)
    sent_seconds = time.monotonic()
    run.sent_seconds[attempt_id] = (sent_seconds, "k-one")
    run.words.daemon_of[attempt_id] = index
    run.words.sent_seconds[attempt_id] = sent_seconds
    run.requests.note(path, sent_seconds)
    try:
        async with asyncio.timeout(4.0):
            body = attempt_id.encode()
            answer = await run.fleet.ask("POST", path, headers, body, index)
    except TimeoutError:
        return
    run.faults["requests with a part refused"] += QUARANTINED in answer.body
    if answer.status in _NOT_RUN and names.SEAL not in answer.headers:
        run.refused.add(attempt_id)


FAULTS: tuple[Callable[[SoakRun, DaemonProcess], Awaitable[None]], ...] = (
    kill,
    freeze,
    stop,
    disturb_store_link,
    disturb_client_link,
    disturb_server_link,
    disturb_store,
    publish_weights,
    configure,
    add_route,
    blind_first,
    fail_servers,
    leave,
    shed,
    limit,
    cut_paths,
    pause_server,
    be_brittle,
    break_off,
    leave_out_length,
    replace_engine,
    restart_engine,
    crash_by_part,
)


async def disturb(run: SoakRun, first: str) -> None:
    """Begin one fault after the other; each ends by itself, and they overlap.

    Args:
        run: The run.
        first: The name of a fault to begin with; empty for none.
    """
    async with asyncio.TaskGroup() as group:
        for fault in FAULTS:
            if fault.__name__ == first:
                run.faults[first] += 1
                group.create_task(fault(run, run.rng.choice(run.fleet.processes)))
        while not run.is_over():
            await pause(run, 0.3, 2.0)
            fault = run.rng.choice(FAULTS)
            daemon = run.rng.choice(run.fleet.processes)
            run.faults[fault.__name__] += 1
            group.create_task(fault(run, daemon))


async def ask(run: SoakRun, number: int) -> None:
    """Send one request through one daemon, and judge its answer."""
    fleet = run.fleet
    asked = make_demo_request(run.rng, number)
    if asked.kind == "title":
        await ask_and_take_up(run, asked)
        return
    key = run.rng.choice((*KEYS, LOST_KEY))
    headers = fleet.headers(key, **make_prompt_headers(run.rng, asked))
    attempt_id = headers[names.ATTEMPT_ID]
    index = run.rng.randrange(len(fleet.processes))
    started_seconds = time.monotonic()
    run.sent_seconds[attempt_id] = (started_seconds, key)
    run.words.daemon_of[attempt_id] = index
    run.words.sent_seconds[attempt_id] = started_seconds
    run.requests.note(asked.path, started_seconds)
    answer = Answer(None, is_whole=False)
    try:
        async with asyncio.timeout(4.0):
            answer = await fleet.ask(
                asked.method, asked.path, headers, asked.body, index
            )
    except TimeoutError:
        # A client that leaves; what came of its request is checked at the end.
        pass
    elapsed_seconds = time.monotonic() - started_seconds
    if answer.status == 200 and answer.is_whole:
        run.words.handed_on_seconds[attempt_id] = time.monotonic()
    run.parts.note_answer(attempt_id, answer.body)
    asked = as_generated(asked, answer, VERSIONS)
    check_answer(fleet, asked, attempt_id, answer, elapsed_seconds, run.report)
    if answer.status in _NOT_RUN and names.SEAL not in answer.headers:
        run.refused.add(attempt_id)


async def ask_and_take_up(run: SoakRun, asked: DemoRequest) -> None:
    """Ask for one stream, take it up where it is lost, and judge all of it."""
    key = run.rng.choice((*KEYS, LOST_KEY))
    started_seconds = time.monotonic()

    def note_sent(attempt_id: str, index: int) -> None:
        now_seconds = time.monotonic()
        run.sent_seconds[attempt_id] = (now_seconds, key)
        run.words.daemon_of[attempt_id] = index
        run.words.sent_seconds[attempt_id] = now_seconds
        run.requests.note(asked.path, now_seconds)

    client = StreamClient(run.fleet, run.rng, note_sent)
    prompt = make_prompt_headers(run.rng, asked)
    stream, attempt_id = TakenStream(), ""
    try:
        async with asyncio.timeout(4.0):
            stream, attempt_id = await client.run(asked, key, prompt)
    except TimeoutError:
        return
    run.parts.note_answer(attempt_id, stream.refusal)
    if stream.is_whole:
        run.words.handed_on_seconds[attempt_id] = time.monotonic()
    run.report.outcomes["title taken up"] += stream.n_taken_up
    run.report.outcomes["title went on"] += stream.n_gone_on
    versions = versions_of(asked.body, stream.events, VERSIONS)
    if versions is not None and len(versions) > 1:
        run.mixed.append(attempt_id)
        return
    answer = Answer(
        200 if stream.events else stream.status,
        body=stream.body,
        is_whole=stream.is_whole,
    )
    elapsed_seconds = time.monotonic() - started_seconds
    generated = as_generated(asked, answer, VERSIONS)
    check_answer(run.fleet, generated, attempt_id, answer, elapsed_seconds, run.report)


async def drive(run: SoakRun) -> None:
    """Send requests until the faults are over and a little longer."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < run.until_seconds + 2.0:
            number += 1
            group.create_task(ask(run, number))
            await asyncio.sleep(run.rng.expovariate(RATE_PER_SECOND))


def audit(run: SoakRun) -> None:
    """Check what ran against what was answered."""
    audit_runs(run.fleet, run.report)
    violations = run.report.violations
    outcomes = run.report.outcomes
    n_served = sum(n for name, n in outcomes.items() if name.endswith("served"))
    n_asked = sum(
        n
        for name, n in outcomes.items()
        if name not in ("title taken up", "title went on")
    )
    if n_served < LEAST_SERVED_SHARE * n_asked:
        violations.append(f"only {n_served} of {n_asked} were served")
    if len(run.mixed) > TOLERATED_MIXED_STREAMS:
        violations.append(f"streams of two software versions: {run.mixed}")
    for server in run.fleet.servers:
        for done in server.runs:
            is_once = done.path.startswith(("/order", "/album"))
            if is_once and done.attempt_id in run.refused:
                violations.append(f"{done.attempt_id}: refused as not run, and ran")
            sent_seconds, key = run.sent_seconds[done.attempt_id]
            late_seconds = sent_seconds - run.revoked_seconds - REVOKE_SECONDS
            if key == LOST_KEY and late_seconds > 0:
                violations.append(f"{done.attempt_id}: ran with a key long taken away")
    servers = {
        server.name: server.words
        for server in run.fleet.servers
        if isinstance(server, ProxiedServer)
    }
    violations.extend(find_broken(servers, run.words))
    violations.extend(find_excess(run.fleet, run.requests))
    violations.extend(run.changes.find_late(run.words.disturbed))
    violations.extend(run.parts.find_refused())
    violations.extend(
        find_late_parts(
            run.fleet,
            run.parts,
            run.words.daemon_of,
            run.words.disturbed,
            [span for _, span in run.changes.store],
        )
    )


async def check_settled(run: SoakRun) -> None:
    """Check that all daemons are ready again."""
    until_seconds = time.monotonic() + SETTLE_SECONDS
    while not await run.fleet.all_up():
        if time.monotonic() > until_seconds:
            run.report.violations.append("not all daemons are ready again")
            return
        await asyncio.sleep(0.2)


async def soak(seed: int, n_daemons: int, n_seconds: float, first: str = "") -> SoakRun:
    """Run one seed, with a fault to begin with if one is named."""
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as folder:
        fleet = ProcessFleet(pathlib.Path(folder))
        keys = {**KEYS, LOST_KEY: "lost"}
        try:
            await fleet.begin(n_daemons, N_PLAIN, N_ENGINES, keys)
            until_seconds = time.monotonic() + n_seconds
            run = SoakRun(seed, fleet, random.Random(seed), until_seconds)
            lag = asyncio.create_task(run.changes.watch_lag())
            async with asyncio.TaskGroup() as group:
                group.create_task(disturb(run, first))
                group.create_task(drive(run))
            await run.parts.settle()
            lag.cancel()
            await check_settled(run)
            audit(run)
            if run.report.violations:
                keep_logs(pathlib.Path(folder), seed)
            return run
        finally:
            await fleet.end()


def keep_logs(folder: pathlib.Path, seed: int) -> None:
    """Keep the daemons' logs of a run that failed."""
    kept = pathlib.Path("soak-logs") / str(seed)
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (kept / log.name).write_bytes(log.read_bytes())


def seeds_of(text: str) -> list[int]:
    """Return the seeds of ``A-B`` or ``A,B,...``."""
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(word) for word in text.split(",")]


def main() -> int:
    """Run all seeds and tell what was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--daemons", type=int, default=6)
    names_of_faults = [fault.__name__ for fault in FAULTS]
    parser.add_argument("--first", default="", choices=["", *names_of_faults])
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    n_bad = 0
    for seed in [*FAILED_SEEDS, *seeds_of(options.seeds)]:
        run = asyncio.run(soak(seed, options.daemons, options.seconds, options.first))
        n_bad += bool(run.report.violations)
        found = {
            "seed": seed,
            "faults": dict(run.faults),
            "pids": [pid for item in run.fleet.processes for pid in item.pids],
            **run.report.describe(),
        }
        print(json.dumps(found) if options.json else found, flush=True)
    print(f"{n_bad} seeds with violations")
    return 1 if n_bad else 0


if __name__ == "__main__":
    sys.exit(main())
