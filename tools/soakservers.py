"""Faults of a soak on servers, and what servers say of themselves."""

import asyncio
import random
import time

from soakclients import ask_with_part
from soakfleet import DaemonProcess, ProxiedServer
from soaknotices import NamedLimit, Span
from soakparts import N_REQUESTS, REQUEST_SECONDS
from soakretries import begin_failing
from soakrun import SoakRun, pause
from soakstreams import VERSIONS

from lycheepost.app.platformfleet import ENGINES, FIRST_START_MS, MODEL, PLAIN
from lycheepost.platform.models.serverfaults import BrokenOff, StopPoint
from lycheepost.standin.rawbodies import Framing, Stop


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


async def pause_server(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let one server send nothing for about a second."""
    from_seconds = time.monotonic()
    await run.rng.choice(run.fleet.servers).pause(run.rng.uniform(0.3, 1.4))
    run.answers.silences.append(Span(from_seconds, time.monotonic()))


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
    new.n_events = old.n_events
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
