"""Attempts whose target fell silent, kept until another one has begun to answer.

A sound target may send nothing for a second and go on. The request looks for another
target meanwhile, and may find none, so its old answer is not given up before.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from lycheepost.callers.reading import AttemptTrace
from lycheepost.decide.attempts import AttemptEnd


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        end: None when nothing more is due to the caller.
        reason: For the log.
    """

    end: AttemptEnd | None
    reason: str


class HeldAttempts:
    """The attempts of one request whose targets are silent, or have gone on."""

    def __init__(self) -> None:
        self._runs: list[AttemptRun] = []
        self._newest: AttemptRun | None = None
        self._news = asyncio.Event()

    def __bool__(self) -> bool:
        return bool(self._runs)

    def holds(self, trace: AttemptTrace) -> bool:
        """Return whether an attempt is held."""
        return any(run.trace is trace for run in self._runs)

    def holds_others(self, trace: AttemptTrace) -> bool:
        """Return whether an attempt other than this one is held."""
        return any(run.trace is not trace for run in self._runs)

    def note_begun(self, run: "AttemptRun") -> None:
        """Keep the newest attempt, which may be held later."""
        self._newest = run

    def add(self, run: "AttemptRun") -> None:
        """Keep an attempt whose target fell silent."""
        if run not in self._runs:
            self._runs.append(run)

    def end_others(self, trace: AttemptTrace) -> None:
        """End all attempts but one, which begins to answer.

        Answers may arrive at once, so the newest attempt ends here too, and not only
        with its search.
        """
        newest = () if self._newest is None else (self._newest,)
        for run in (*self._runs, *newest):
            if run.trace is trace:
                run.note_going_on()
            else:
                run.cancel()
        self._runs = [run for run in self._runs if run.trace is trace]

    def note_news(self) -> None:
        """Let ``wait`` look again, as an attempt has ended or its target is silent."""
        self._news.set()

    async def wait(self) -> tuple[AttemptTrace, AttemptResult | None]:
        """Wait for the next attempt that ends, or whose target falls silent again.

        Returns:
            The attempt, and its result, after which it is not held any more; None if
            its target is silent.
        """
        while True:
            run = next((run for run in self._runs if run.has_news), None)
            if run is not None:
                result = run.take_news()
                if result is not None:
                    self._runs.remove(run)
                return run.trace, result
            self._news.clear()
            await self._news.wait()

    async def end(self) -> None:
        """End all attempts."""
        runs, self._runs = self._runs, []
        self._newest = None
        for run in runs:
            # At once: the wait for their ends may be cancelled.
            run.cancel()
        if runs:
            await asyncio.gather(*(run.end() for run in runs))


class AttemptRun:
    """An attempt that may be held while the request is tried elsewhere.

    Args:
        trace: What it has relayed.
        held: The attempts of its request that are held.
        make: Returns the attempt, which calls ``hold`` when its target falls silent.
    """

    def __init__(
        self,
        trace: AttemptTrace,
        held: HeldAttempts,
        make: Callable[["AttemptRun"], Coroutine[Any, Any, AttemptResult]],
    ) -> None:
        self.trace = trace
        self._held = held
        self._is_silent = False
        self._news: asyncio.Future[None] | None = None
        self._is_cancelled = False
        task = asyncio.ensure_future(self._run(make))
        task.add_done_callback(self._note_end)
        self._task: asyncio.Task[AttemptResult] | None = task
        held.note_begun(self)

    async def _run(
        self, make: Callable[["AttemptRun"], Coroutine[Any, Any, AttemptResult]]
    ) -> AttemptResult:
        try:
            return await make(self)
        finally:
            # Whoever waits goes on a turn of the loop earlier than by ``_note_end``.
            self._tell()

    def hold(self) -> None:
        """Let the request be tried elsewhere, as the target is silent."""
        self._held.add(self)
        self._is_silent = True
        self._tell()

    def _note_end(self, task: asyncio.Task[AttemptResult]) -> None:
        if task.cancelled():
            # It keeps its error, whose traceback refers to this run.
            self._is_cancelled = True
            self._task = None
        else:
            # Nobody may wait for it any more; asyncio would log its error.
            task.exception()
        self._tell()

    def _tell(self) -> None:
        self._held.note_news()
        if self._news is not None and not self._news.done():
            self._news.set_result(None)

    async def wait(self) -> AttemptResult | None:
        """Return the result; None if the target has fallen silent since the last call.

        A cancelled call ends the attempt unless it is held.
        """
        if not self.has_news:
            self._news = asyncio.get_running_loop().create_future()
            try:
                await self._news
            except asyncio.CancelledError:
                if not self._held.holds(self.trace):
                    self.cancel()
                raise
        return self.take_news()

    @property
    def has_news(self) -> bool:
        """Return whether it has ended, or its target is silent."""
        return self._is_silent or self._is_done

    def take_news(self) -> AttemptResult | None:
        """Return the result; None if the target is silent."""
        if self._is_cancelled:
            raise asyncio.CancelledError
        if self._task is not None and self._task.done():
            return self._task.result()
        self._is_silent = False
        return None

    @property
    def _is_done(self) -> bool:
        return self._task is None or self._task.done()

    def note_going_on(self) -> None:
        """Let the request not be tried elsewhere, as the target is no longer silent."""
        self._is_silent = False

    def cancel(self) -> None:
        """End the attempt; its target's connection is closed."""
        if self._task is not None:
            self._task.cancel()

    async def end(self) -> None:
        """End the attempt, and wait until it has."""
        self.cancel()
        if self._task is not None:
            await asyncio.wait({self._task})
