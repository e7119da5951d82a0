"""Faults of a soak on whole groups of servers, and planned work beside them."""

import asyncio
import signal
import time
from collections.abc import Sequence

from soakanswers import FaultSpan
from soakendless import EndlessAnswers
from soakfleet import GRACE_SECONDS, DaemonProcess, ProxiedServer
from soaknotices import Span
from soakoperators import configure, publish_weights
from soakplay import EndlessPlace, SilentServers, Work
from soakrun import SoakRun, pause

from lycheepost.app.platformfleet import ENGINES, PLAIN
from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverstandin import PlatformServer
from lycheepost.standin.endless import EndlessForm

N_SILENCES = 3
SILENT_SECONDS = (0.9, 1.45)
BETWEEN_SILENCES_SECONDS = (1.4, 2.0)
N_WITHOUT_PATHS = 2
ENDLESS_SECONDS = (3.0, 6.0)
SLOW_PAUSE_SECONDS = 0.02
SLOW_SHARE = 0.33
OTHER_SHARE = 0.4
"""How often any requests, also those of daemons themselves, are answered so."""

WORK_SECONDS = (0.5, 1.0)
"""Between two pieces of planned work."""

READY_SECONDS = 12.0
"""For a daemon that was started again, also on a busy machine."""


async def silent_group(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let a whole group of servers, or a part, send nothing for a second, thrice."""
    which = run.play.silent or run.rng.choice(list(SilentServers))
    run.faults[f"silent: {which.value}"] += 1
    cut = []
    if which is SilentServers.ALL_BESIDE_CUTS:
        cut = run.fleet.processes[: min(N_WITHOUT_PATHS, len(run.fleet.processes) - 1)]
    from_seconds = time.monotonic()
    for daemon in cut:
        daemon.set_cut(PathCut.HANG.value)
    for _ in range(N_SILENCES):
        servers = choose_silent(run, which)
        seconds = run.rng.uniform(*SILENT_SECONDS)
        start_seconds = time.monotonic()
        await asyncio.gather(*(server.pause(seconds) for server in servers))
        run.answers.silences.append(Span(start_seconds, time.monotonic()))
        await pause(run, *BETWEEN_SILENCES_SECONDS)
    for daemon in cut:
        daemon.set_cut("")
        run.note_disturbed(daemon, from_seconds)
        index = run.fleet.processes.index(daemon)
        span = Span(from_seconds, time.monotonic())
        run.answers.faults.append(FaultSpan("no paths", span, index))


def choose_silent(run: SoakRun, which: SilentServers) -> Sequence[PlatformServer]:
    """Return the servers that are silent."""
    servers = run.fleet.servers
    match which:
        case SilentServers.ENGINES:
            return run.fleet.group(ENGINES)
        case SilentServers.PLAIN:
            return run.fleet.group(PLAIN)
        case SilentServers.ALL | SilentServers.ALL_BESIDE_CUTS:
            return list(servers)
        case SilentServers.HALF:
            return run.rng.sample(servers, len(servers) // 2)
        case SilentServers.ONE:
            return [run.rng.choice(servers)]


async def endless_answers(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let half of the engines and a plain service answer some requests without end."""
    form = run.play.form or run.rng.choice(list(EndlessForm))
    is_stated = run.play.form is not None
    place = run.play.place or EndlessPlace.REQUESTS
    if run.play.place is None and not is_stated and run.rng.random() < OTHER_SHARE:
        place = run.rng.choice(list(EndlessPlace))
    is_slow = not is_stated and run.rng.random() < SLOW_SHARE
    pause_seconds = SLOW_PAUSE_SECONDS if is_slow else None
    speed = "slow" if is_slow else "fast"
    run.faults[f"endless: {form.value}, {place.value}, {speed}"] += 1
    engines, plain = run.fleet.group(ENGINES), run.fleet.group(PLAIN)
    servers = [
        server
        for server in (*run.rng.sample(engines, len(engines) // 2), plain[0])
        if isinstance(server, ProxiedServer)
    ]
    answers = EndlessAnswers(form, pause_seconds, place, run.rng, run.answers)
    for server in servers:
        server.endless = answers
    await pause(run, *ENDLESS_SECONDS)
    for server in servers:
        server.endless = None


async def work_as_planned(run: SoakRun) -> None:
    """Change what operators change, again and again, until the faults are over."""
    work = run.play.work or run.rng.choice(list(Work))
    run.faults[f"work: {work.value}"] += 1
    turn = 0
    while work is not Work.NONE and not run.is_over():
        daemon = run.fleet.processes[turn % len(run.fleet.processes)]
        await configure(run, daemon)
        if work is Work.HANG_UP:
            daemon.send(signal.SIGHUP)
        if work is Work.WEIGHTS and turn % 4 == 0:
            await publish_weights(run, daemon)
        if work is Work.TERMINATE:
            await terminate(run, daemon)
        turn += 1
        await pause(run, *WORK_SECONDS)


async def terminate(run: SoakRun, daemon: DaemonProcess) -> None:
    """Tell a daemon to end, and start it again; it counts as leaving until ready."""
    index = run.fleet.processes.index(daemon)
    from_seconds = time.monotonic()
    await daemon.end(GRACE_SECONDS)
    daemon.start()
    try:
        await run.fleet.until(lambda: run.fleet.is_up(index), READY_SECONDS)
    except TimeoutError:
        found = f"daemon {index}: not ready {READY_SECONDS:g} s after its start"
        run.report.violations.append(found)
    run.note_disturbed(daemon, from_seconds)
    span = Span(from_seconds, time.monotonic())
    run.answers.leaving.setdefault(index, []).append(span)
