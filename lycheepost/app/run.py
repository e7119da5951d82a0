"""Runs an application until a signal stops it."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol, runtime_checkable

import structlog
import uvloop

from lycheepost.utils.allocator import return_large_blocks
from lycheepost.utils.collector import tune_collector
from lycheepost.utils.hangups import release_hangups

_log = structlog.get_logger(part="app")


class Application(Protocol):
    """The life-cycle hooks of a whole process."""

    async def start(self) -> None:
        """Start; the process serves once this returns."""
        ...

    async def drain(self) -> None:
        """Finish what is in flight."""
        ...

    async def stop(self) -> None:
        """Close everything."""
        ...


@runtime_checkable
class Reloadable(Protocol):
    """An application that can reload its settings while it runs."""

    async def reload(self) -> None:
        """Reload the settings and apply those that can change at run time."""
        ...


def run_until_signal(
    make_application: Callable[[], Application],
    on_started: Callable[[Application], Awaitable[None]] | None = None,
) -> None:
    """Run on uvloop until SIGTERM or SIGINT.

    The first signal drains, a second one stops at once. SIGHUP reloads the settings
    if the application supports it; it never ends the process.

    Args:
        make_application: Creates the application; called inside the event loop.
        on_started: Awaited after the start, for instance to print addresses.
    """
    uvloop.run(_serve(make_application, on_started))


async def _serve(
    make_application: Callable[[], Application],
    on_started: Callable[[Application], Awaitable[None]] | None,
) -> None:
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, signals.put_nowait, number)
    release_hangups()
    return_large_blocks()
    application = make_application()
    await application.start()
    tune_collector()
    try:
        if on_started is not None:
            await on_started(application)
        received = await _wait_to_stop(application, signals)
        _log.info("app: signal received", signal=received.name)
        await _drain_or_second_signal(application, signals)
    finally:
        await application.stop()


async def _wait_to_stop(
    application: Application, signals: "asyncio.Queue[signal.Signals]"
) -> signal.Signals:
    """Return the first signal to stop; reload on each SIGHUP before it."""
    while True:
        received = await signals.get()
        if received is not signal.SIGHUP:
            return received
        if isinstance(application, Reloadable):
            await application.reload()
        else:
            _log.info("app: reload not supported; settings are read at the start only")


async def _drain_or_second_signal(
    application: Application, signals: "asyncio.Queue[signal.Signals]"
) -> None:
    drain = asyncio.create_task(application.drain())
    second_signal = asyncio.create_task(_wait_to_stop(application, signals))
    await asyncio.wait({drain, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    for task in (drain, second_signal):
        task.cancel()
    await asyncio.gather(drain, second_signal, return_exceptions=True)
