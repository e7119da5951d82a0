r"""Run real daemons on a model of the platform under seeded faults from outside.

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
parts of prompts crash each engine that begins to answer one with them; all servers of a
group, or some, are silent for a second, several times; half of the engines and a plain
service answer some requests, reports, health checks or cache events without end.
Clients keep using their connections until the process behind them is gone, and take up
streams that they lose at any daemon. Every
answer is checked while it runs; afterwards, what ran against what was answered. Every
process that was started here is ended here, by its id. Exit code 0 without a violation.

No process may have more than 150 MB. Silent servers and planned work (changes of the
configuration, SIGHUP, SIGTERM in turn, new weights) excuse neither cut streams nor 502
or 503; beside answers without end, 9 in 10 of the requests at sound servers are served.
Requests beside other faults are not counted in this.

    python tools/faultsoak.py --seeds 1-4 --seconds 8 --daemons 4 \
        --first silent_group --only
    python tools/faultsoak.py --seeds 1-4 --seconds 8 --daemons 4 \
        --first endless_answers --only
    python tools/faultsoak.py --seeds 1-2 --seconds 8 --daemons 4 \
        --first endless_answers --only --form "informational heads"
    python tools/faultsoak.py --seeds 1-10 --seconds 8 --daemons 3 \
        --without silent_group,endless_answers

``--first`` names the first fault; with these two there are 12 engines and 40 requests a
second. ``--only`` repeats it, without the others, beside planned work of the seed's
choice, and leaves out the failed seeds. ``--form``, ``--place``, ``--silent`` and
``--work`` fix what seeds choose: values of ``EndlessForm``, ``EndlessPlace``,
``SilentServers`` and ``Work``. ``--engines`` and ``--plain`` change how many servers
there are.

A seed that ever failed stays in ``FAILED_SEEDS`` with its cause and runs first, unless
``--failed`` names others.
"""

import argparse
import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

from soakanswers import FaultSpan
from soakaudit import audit, check_settled
from soakclients import drive
from soakdisturb import (
    blind_first,
    cut_paths,
    disturb_client_link,
    disturb_server_link,
    disturb_store,
    disturb_store_link,
    freeze,
    kill,
    restore_store,
    stop,
)
from soakfleet import DaemonProcess, ProcessFleet
from soakgroups import endless_answers, silent_group, work_as_planned
from soakmemory import watch_memory
from soaknotices import Span
from soakoperators import add_route, configure, publish_weights
from soakplay import LARGE_PLAY, EndlessPlace, Play, SilentServers, Work
from soakrun import LOST_KEY, SoakRun, pause
from soakservers import (
    be_brittle,
    break_off,
    crash_by_part,
    fail_servers,
    leave,
    leave_out_length,
    limit,
    pause_server,
    replace_engine,
    restart_engine,
    shed,
)

from lycheepost.app.platformfleet import KEYS
from lycheepost.standin.endless import EndlessForm

FAILED_SEEDS: dict[int, str] = {
    15: "the signal that cuts paths ended a daemon that was about to start",
    18: "the same",
    316: "a stand-in broke a continued stream off after more events than it has",
    616: "a sound part had more losses in a row than the crashing one",
    618: "a sound part was blamed in place of the crashing one, on the same targets",
}
"""Seeds that failed, each with its cause."""

Fault = Callable[[SoakRun, DaemonProcess], Awaitable[None]]
FAULTS: tuple[Fault, ...] = (
    kill,
    freeze,
    stop,
    disturb_store_link,
    disturb_client_link,
    disturb_server_link,
    disturb_store,
    restore_store,
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
    silent_group,
    endless_answers,
)
GROUP_FAULTS = (silent_group, endless_answers)
OWN_FAULTS = (kill, freeze, stop, disturb_store_link, disturb_client_link)
"""Those that harm only what is asked of their daemon."""

VARIANTS = {
    "form": EndlessForm,
    "place": EndlessPlace,
    "silent": SilentServers,
    "work": Work,
}


async def disturb(run: SoakRun, first: str) -> None:
    """Begin one fault after the other; each ends by itself, and they overlap.

    Args:
        run: The run.
        first: The name of a fault to begin with; empty for none.
    """
    others = [fault for fault in FAULTS if fault.__name__ not in run.play.without]
    async with asyncio.TaskGroup() as group:
        for fault in FAULTS:
            if fault.__name__ == first:
                daemon = run.rng.choice(run.fleet.processes)
                group.create_task(begin(run, fault, daemon))
        while not run.is_over():
            await pause(run, 0.3, 2.0)
            fault = run.rng.choice(others)
            daemon = run.rng.choice(run.fleet.processes)
            group.create_task(begin(run, fault, daemon))


async def disturb_by_one(run: SoakRun, name: str) -> None:
    """Repeat one fault, each time after the last one has ended, beside planned work."""
    [fault] = [item for item in FAULTS if item.__name__ == name]
    async with asyncio.TaskGroup() as group:
        group.create_task(work_as_planned(run))
        while not run.is_over():
            await begin(run, fault, run.rng.choice(run.fleet.processes))


async def begin(run: SoakRun, fault: Fault, daemon: DaemonProcess) -> None:
    """Run one fault, and note when it lasted."""
    name = fault.__name__
    run.faults[name] += 1
    from_seconds = time.monotonic()
    await fault(run, daemon)
    span = Span(from_seconds, time.monotonic())
    index = run.fleet.processes.index(daemon) if fault in OWN_FAULTS else None
    run.answers.faults.append(FaultSpan(name, span, index))


async def soak(seed: int, play: Play, n_seconds: float, first: str = "") -> SoakRun:
    """Run one seed, with a fault to begin with if one is named."""
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as folder:
        fleet = ProcessFleet(pathlib.Path(folder))
        keys = {**KEYS, LOST_KEY: "lost"}
        try:
            await fleet.begin(play, keys)
            until_seconds = time.monotonic() + n_seconds
            run = SoakRun(seed, fleet, random.Random(seed), until_seconds, play=play)
            lag = asyncio.create_task(run.changes.watch_lag())
            memory = asyncio.create_task(watch_memory(fleet.processes, run.peaks))
            disturbing = disturb_by_one if play.is_alone else disturb
            async with asyncio.TaskGroup() as group:
                group.create_task(disturbing(run, first))
                group.create_task(drive(run))
            await run.parts.settle()
            lag.cancel()
            await check_settled(run)
            memory.cancel()
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


def make_play(options: argparse.Namespace) -> Play:
    """Return how much runs."""
    is_large = options.first in [fault.__name__ for fault in GROUP_FAULTS]
    play = LARGE_PLAY if is_large else Play()
    return replace(
        play,
        n_daemons=options.daemons,
        n_engines=options.engines or play.n_engines,
        n_plain=options.plain or play.n_plain,
        is_alone=options.only,
        without=frozenset(options.without.split(",")),
        form=options.form and EndlessForm(options.form),
        place=options.place and EndlessPlace(options.place),
        silent=options.silent and SilentServers(options.silent),
        work=options.work and Work(options.work),
    )


def main() -> int:
    """Run all seeds and tell what was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--failed", default=",".join(map(str, FAILED_SEEDS)))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--daemons", type=int, default=6)
    names_of_faults = [fault.__name__ for fault in FAULTS]
    parser.add_argument("--first", default="", choices=["", *names_of_faults])
    parser.add_argument("--only", action="store_true")
    parser.add_argument("--without", default="")
    parser.add_argument("--engines", type=int)
    parser.add_argument("--plain", type=int)
    for name, variants in VARIANTS.items():
        values = [variant.value for variant in variants]
        parser.add_argument(f"--{name}", choices=values)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.only and not options.first:
        parser.error("--only needs --first")
    play = make_play(options)
    # What failed among all faults says nothing about one alone.
    before = [] if options.only or not options.failed else seeds_of(options.failed)
    n_bad = 0
    for seed in [*before, *seeds_of(options.seeds)]:
        run = asyncio.run(soak(seed, play, options.seconds, options.first))
        n_bad += bool(run.report.violations)
        found = {
            "seed": seed,
            "faults": dict(run.faults),
            "figures": run.figures,
            "pids": [pid for item in run.fleet.processes for pid in item.pids],
            **run.report.describe(),
        }
        print(json.dumps(found) if options.json else found, flush=True)
    print(f"{n_bad} seeds with violations")
    return 1 if n_bad else 0


if __name__ == "__main__":
    sys.exit(main())
