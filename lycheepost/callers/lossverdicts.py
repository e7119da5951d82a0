"""Finds out whether targets that broke off were lost, apart from the requests there.

A caller may leave, or its time may run out, before its target has been asked whether it
is still the same. The loss counts all the same. All requests of one target share the
answer. As long as no one can tell, the target is asked again.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Hashable
from typing import Any

import structlog

from lycheepost.core.starts import StartVerdict
from lycheepost.decide.records import FinishKind
from lycheepost.utils.tasks import start_task

LOST_SECONDS = 2.0
"""How long a verdict holds for further requests of the same target. They all notice its
loss within this time; a verdict that was wrong is not kept for longer."""

FIRST_REPEAT_SECONDS = 0.25
"""When a target is asked again while its end is not known; then at twice the interval
each time. A probe takes as long."""

MAX_QUESTIONS = 6
"""The last question comes after some eight seconds. Crashed targets are mostly back
before, under another name."""

FINISH_KIND_BY_VERDICT = {
    StartVerdict.SAME: FinishKind.ANSWER_LOST,
    StartVerdict.ENDED: FinishKind.TARGET_LOST,
    StartVerdict.UNKNOWN: FinishKind.LOSS_UNKNOWN,
}
"""How an attempt that broke off counts for the scheduler."""

Judge = Callable[[], Awaitable[StartVerdict]]

_log = structlog.get_logger(part="losses")


class LossVerdicts:
    """The verdicts on starts of targets; one question at a time for each."""

    def __init__(self) -> None:
        self._questions: dict[Hashable, asyncio.Future[StartVerdict]] = {}
        self._lost_seconds: dict[Hashable, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing: questions are asked as targets break off."""

    async def drain(self) -> None:
        """Do nothing: losses count until the end."""

    async def stop(self) -> None:
        """Ask no more."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def ask(self, start: Hashable, judge: Judge) -> StartVerdict:
        """Return whether a start of a target has ended.

        Args:
            start: The start of the target.
            judge: Asks the target whether it is still the same.
        """
        if self._is_known_lost(start):
            return StartVerdict.ENDED
        question = self._questions.get(start)
        if question is None:
            question = asyncio.get_running_loop().create_future()
            self._questions[start] = question
            self._start(self._ask(start, judge, question), "loss-verdict")
        return await asyncio.shield(question)

    def count_later(
        self,
        start: Hashable,
        judge: Judge,
        note_lost: Callable[[], None],
        delay_seconds: float = 0.0,
    ) -> None:
        """Call ``note_lost`` if a start of a target turns out to have ended.

        Args:
            start: The start of the target.
            judge: Asks the target whether it is still the same.
            note_lost: Counts the loss.
            delay_seconds: When to ask; a sound target may be silent for a moment.
        """

        async def ask() -> None:
            await asyncio.sleep(delay_seconds)
            repeat_seconds = FIRST_REPEAT_SECONDS
            for _ in range(MAX_QUESTIONS):
                verdict = await self.ask(start, judge)
                if verdict is StartVerdict.ENDED:
                    note_lost()
                if verdict is not StartVerdict.UNKNOWN:
                    return
                await asyncio.sleep(repeat_seconds)
                repeat_seconds *= 2.0
            _log.info("losses: the end of a target stays unknown", start=str(start))

        self._start(ask(), "late-loss")

    def _start(self, work: Coroutine[Any, Any, None], name: str) -> None:
        task = start_task(work, name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(
        self,
        start: Hashable,
        judge: Judge,
        question: "asyncio.Future[StartVerdict]",
    ) -> None:
        verdict = StartVerdict.UNKNOWN
        try:
            verdict = await judge()
        finally:
            del self._questions[start]
            if verdict is StartVerdict.ENDED:
                self._remember(start)
            if not question.done():
                question.set_result(verdict)

    def _remember(self, start: Hashable) -> None:
        _log.info("losses: a target was lost", start=str(start))
        self._lost_seconds[start] = asyncio.get_running_loop().time()

    def _is_known_lost(self, start: Hashable) -> bool:
        oldest_seconds = asyncio.get_running_loop().time() - LOST_SECONDS
        for name, lost_seconds in list(self._lost_seconds.items()):
            if lost_seconds < oldest_seconds:
                del self._lost_seconds[name]
        return start in self._lost_seconds
