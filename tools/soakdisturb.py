"""Faults of a soak on processes, their links and the store."""

import asyncio
import signal
import time

from soakchanges import feed_order
from soakfleet import DaemonProcess, ProxiedServer
from soaknotices import Span
from soakproxy import LinkState
from soakrun import SoakRun, note_store, pause

from lycheepost.platform.models.pathcuts import PathCut

RELAYED_SECONDS = 4.0
"""How long a request may be at a peer: as long as its client waits."""


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


async def restore_store(run: SoakRun, _daemon: DaemonProcess) -> None:
    """Let the store come back from a copy; operators and servers write again later."""
    store = run.fleet.store.store
    copy = store.copy()
    await pause(run, 0.5, 8.0)
    from_seconds = time.monotonic()
    store.faults.is_down = True
    await pause(run, 0.0, 3.0)
    before = {table: store.rows(table) for table in ("op", "servers")}
    store.restore(copy)
    store.faults.clear()
    await pause(run, 0.0, 1.5)
    for table, rows in before.items():
        store.write_again(table, rows)
    note_store(run, None, from_seconds)


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
