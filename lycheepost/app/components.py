"""Parts of the daemon and their life cycle.

A part owns its sockets, tasks and state. The application starts parts in order,
so that each finds below it what it needs, and drains and stops them in reverse.
"""

import asyncio
from typing import Protocol

import structlog

STOP_SECONDS = 5.0
"""A part that cannot stop by then is left behind, so that a daemon that is told
to stop does stop."""

_log = structlog.get_logger(part="app")


class Component(Protocol):
    """The life-cycle hooks of one part."""

    async def start(self) -> None:
        """Open sockets and start tasks."""
        ...

    async def drain(self) -> None:
        """Finish what is in flight and take nothing new."""
        ...

    async def stop(self) -> None:
        """End tasks and close sockets; safe after a failed start."""
        ...


async def start_components(components: list[Component]) -> None:
    """Start parts in order; on a failure stop those that have started.

    Raises:
        OSError: A socket could not be opened.
    """
    started: list[Component] = []
    try:
        for component in components:
            started.append(component)
            await component.start()
    except BaseException:
        await stop_components(started)
        raise


async def drain_components(components: list[Component], within_seconds: float) -> bool:
    """Drain parts in reverse order; False when the time ran out."""
    try:
        async with asyncio.timeout(within_seconds):
            for component in reversed(components):
                await component.drain()
        return True
    except TimeoutError:
        _log.warning("app: drain took too long; stopping anyway")
        return False


async def stop_components(components: list[Component]) -> None:
    """Stop parts in reverse order; a fault of one does not keep the others."""
    for component in reversed(components):
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await component.stop()
        except Exception:
            _log.exception("app: a part did not stop", name=type(component).__name__)
