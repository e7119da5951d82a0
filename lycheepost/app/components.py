"""Components of the daemon and their life cycle.

A component owns its sockets, tasks and state. The application starts components in
dependency order, and drains and stops them in reverse order.
"""

import asyncio
from typing import Protocol

import structlog

STOP_SECONDS = 5.0
"""Time-out for stopping one component. A component that exceeds it is abandoned, so
that it can't block the shutdown of the daemon."""

_log = structlog.get_logger(part="app")


class Component(Protocol):
    """The life-cycle hooks of one component."""

    async def start(self) -> None:
        """Open sockets and start tasks."""
        ...

    async def drain(self) -> None:
        """Finish the work in flight and accept no new work."""
        ...

    async def stop(self) -> None:
        """End tasks and close sockets; safe after a failed start."""
        ...


async def start_components(components: list[Component]) -> None:
    """Start components in order; on a failure stop those already started.

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
    """Drain components in reverse order; return False on a time-out."""
    try:
        async with asyncio.timeout(within_seconds):
            for component in reversed(components):
                await component.drain()
        return True
    except TimeoutError:
        _log.warning("app: drain took too long; stopping anyway")
        return False


async def stop_components(components: list[Component]) -> None:
    """Stop components in reverse order; errors of one don't affect the others."""
    for component in reversed(components):
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await component.stop()
        except Exception:
            _log.exception(
                "app: a component did not stop", name=type(component).__name__
            )
