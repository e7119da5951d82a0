"""What operators do in a soak: new weights, keys and routes."""

import asyncio
import time

from soakchanges import ASKED_SECONDS, RouteAnswer
from soakfleet import DaemonProcess
from soaknotices import Span
from soakrun import SoakRun

from lycheepost.platform import headers as names


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
    run.note_request(attempt_id, index, "/look", "k-one")
    try:
        async with asyncio.timeout(4.0):
            answer = await run.fleet.ask("GET", f"/{name}/x", headers, b"", index)
    except TimeoutError:
        return
    asked = Span(from_seconds, time.monotonic())
    run.changes.answers.append(RouteAnswer(index, asked, acked_seconds, answer.status))
