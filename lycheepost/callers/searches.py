"""Runs the searches for a target that serves a request, one at a time.

A search ends early when a silent target, at which the request is held, goes on. One
that finds no target waits for the silent ones.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from lycheepost.callers.heldattempts import HeldAttempts
from lycheepost.callers.relaying import body_fields
from lycheepost.decide.attempts import AttemptEnd

Search = Coroutine[Any, Any, None]

_log = structlog.get_logger(part="forward")


class Searches:
    """The searches of one request.

    Args:
        request_id: The caller's id of the request, for the log.
        held: The attempts of the request at silent targets.
        search_on: Returns the search that follows a held attempt; None stands for a
            target that is silent again.
        on_interrupted: Called when a search has ended early.
    """

    def __init__(
        self,
        request_id: str,
        held: HeldAttempts,
        search_on: Callable[[AttemptEnd | None], Search],
        on_interrupted: Callable[[], None],
    ) -> None:
        self._held = held
        self._search_on = search_on
        self._on_interrupted = on_interrupted
        self._task: asyncio.Task[None] | None = None
        self._log = _log.bind(request_id=request_id)

    @property
    def is_running(self) -> bool:
        """Return whether a search looks for a target now."""
        return self._task is not None

    def interrupt(self) -> None:
        """End the search, as a silent target goes on."""
        if self._task is not None:
            self._log.info("forward: silent target went on")
            self._task.cancel()

    def end(self) -> None:
        """Run no more searches, and drop the references to the request."""
        del self._search_on, self._on_interrupted

    async def run(self, search: Search) -> None:
        """Run a search, and those that follow, until nothing more is due.

        Raises:
            Exception: The last search's, if no silent target is left.
        """
        following: Search | None = search
        try:
            while following is not None:
                following = await self._follow(following)
        finally:
            await self._held.end()

    async def _follow(self, search: Search) -> Search | None:
        """Return the search that follows one; None once nothing more is due."""
        task = self._task = asyncio.ensure_future(search)
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            await asyncio.wait({task})
            if not task.cancelled():
                # Nobody is left to be told; asyncio would log its error.
                task.exception()
            raise
        finally:
            self._task = None
        if task.cancelled():
            self._on_interrupted()
            return await self._await_held()
        error = task.exception()
        if error is None:
            return None
        if not self._held:
            try:
                raise error
            finally:
                # The error's traceback refers to this frame.
                del error, task
        self._log.info("forward: waits for a silent target", reason=str(error))
        return await self._await_held()

    async def _await_held(self) -> Search | None:
        """Wait for silent targets, and for those that have gone on."""
        while True:
            trace, result = await self._held.wait()
            if result is None:
                return self._search_on(None)
            self._log.info(
                "forward: silent target ended",
                end="served" if result.end is None else result.reason,
                **body_fields(trace.body),
            )
            if result.end is None:
                return None
            if not self._held:
                return self._search_on(result.end)
