"""Finds out whether targets that broke off were lost, apart from the requests there.

A caller may leave, or its time may run out, before its target has been asked whether it
is still the same. The loss counts all the same. All requests of one target share the
answer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Hashable

import structlog

from lycheepost.utils.tasks import start_task

LOST_SECONDS = 2.0
"""How long a verdict holds for further requests of the same target. They all notice its
loss within this time; a verdict that was wrong is not kept for longer."""

_log = structlog.get_logger(part="losses")


class LossVerdicts:
    """The verdicts on starts of targets; one question at a time for each."""

    def __init__(self) -> None:
        self._questions: dict[Hashable, asyncio.Future[bool]] = {}
        self._lost_seconds: dict[Hashable, float] = {}

    async def is_lost(
        self, start: Hashable, is_same: Callable[[], Awaitable[bool]]
    ) -> bool:
        """Return whether a start of a target has ended.

        Args:
            start: The start of the target.
            is_same: Asks the target whether it is still the same.
        """
        if self._is_known_lost(start):
            return True
        question = self._questions.get(start)
        if question is None:
            question = asyncio.get_running_loop().create_future()
            self._questions[start] = question
            start_task(self._ask(start, is_same, question), "loss-verdict")
        return await asyncio.shield(question)

    def count_later(
        self,
        start: Hashable,
        is_same: Callable[[], Awaitable[bool]],
        note_lost: Callable[[], None],
        delay_seconds: float = 0.0,
    ) -> None:
        """Call ``note_lost`` if a start of a target turns out to have ended.

        Args:
            start: The start of the target.
            is_same: Asks the target whether it is still the same.
            note_lost: Counts the loss.
            delay_seconds: When to ask; a sound target may be silent for a moment.
        """

        async def ask() -> None:
            await asyncio.sleep(delay_seconds)
            if await self.is_lost(start, is_same):
                note_lost()

        start_task(ask(), "late-loss")

    async def _ask(
        self,
        start: Hashable,
        is_same: Callable[[], Awaitable[bool]],
        question: "asyncio.Future[bool]",
    ) -> None:
        is_lost = False
        try:
            is_lost = not await is_same()
        finally:
            del self._questions[start]
            if is_lost:
                self._remember(start)
            if not question.done():
                question.set_result(is_lost)

    def _remember(self, start: Hashable) -> None:
        _log.info("losses: a target was lost", start=str(start))
        self._lost_seconds[start] = asyncio.get_running_loop().time()

    def _is_known_lost(self, start: Hashable) -> bool:
        oldest_seconds = asyncio.get_running_loop().time() - LOST_SECONDS
        for name, lost_seconds in list(self._lost_seconds.items()):
            if lost_seconds < oldest_seconds:
                del self._lost_seconds[name]
        return start in self._lost_seconds
