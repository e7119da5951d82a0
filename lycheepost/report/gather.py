"""Collects the counts of every daemon, and the stored history from one of them.

A known daemon that does not answer is listed as missing. Its counts up to its last
written slot may still come from the history. Its later counts are unknown, and the
report never shows unknown counts as good.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

from lycheepost.generated.report import (
    BurnAnswer,
    BurnHistory,
    BurnObjectives,
    BurnSlot,
)
from lycheepost.report.burn import PairBurn, assess
from lycheepost.report.routes import BURN_PATH, HISTORY_PATH
from lycheepost.utils.boundedreads import make_bounded_connector

_MAX_CONCURRENT_REQUESTS = 32
_COUNTS_TIMEOUT_SECONDS = 10.0
_HISTORY_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class MissingDaemon:
    """A daemon whose recent counts are unknown.

    Attributes:
        name: Its id if a peer named it, otherwise its address.
    """

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The burn of the whole system, as far as counts were available.

    Attributes:
        answered: Ids of the daemons that answered.
        history_gaps: Description of the part of the history that could not be
            read; empty if everything was read.
        disagreeing: Ids of daemons whose objectives differ from those of the
            first daemon.
    """

    wall_seconds: float
    objectives: BurnObjectives
    answered: tuple[str, ...]
    missing: tuple[MissingDaemon, ...]
    disagreeing: tuple[str, ...]
    history_gaps: str
    n_slots_lost: int
    pairs: tuple[PairBurn, ...]
    slots: tuple[BurnSlot, ...]

    @property
    def is_complete(self) -> bool:
        """Whether all expected counts are present."""
        return not (self.missing or self.history_gaps or self.n_slots_lost)


@dataclass(frozen=True, slots=True)
class _FetchResult:
    """The answer of one address, or why there is none."""

    address: str
    answer: BurnAnswer | None
    reason: str


async def gather_burn(
    addresses: tuple[str, ...], operator_key: str
) -> BurnReport | None:
    """Return the report; None if no daemon answered.

    Args:
        addresses: Base URLs of the operators' listeners.
        operator_key: Sent as a bearer key.
    """
    headers = {"Authorization": f"Bearer {operator_key}"}
    connector = make_bounded_connector("report")
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        limit = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

        async def fetch(address: str) -> _FetchResult:
            async with limit:
                return await _fetch_counts(session, address)

        asked = await asyncio.gather(*(fetch(address) for address in addresses))
        reached = [item for item in asked if item.answer is not None]
        if not reached:
            return None
        history, gaps = await _fetch_history(session, reached)
    return _make_report(list(asked), history, gaps)


async def _fetch_counts(session: aiohttp.ClientSession, address: str) -> _FetchResult:
    try:
        data = await _get(session, f"{address}{BURN_PATH}", _COUNTS_TIMEOUT_SECONDS)
        return _FetchResult(address, msgspec.json.decode(data, type=BurnAnswer), "")
    except aiohttp.ClientResponseError as error:
        return _FetchResult(address, None, f"answered {error.status}")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return _FetchResult(address, None, type(error).__name__)
    except msgspec.MsgspecError:
        return _FetchResult(address, None, "answered something else")


async def _get(
    session: aiohttp.ClientSession, url: str, timeout_seconds: float
) -> bytes:
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    async with session.get(url, timeout=timeout) as response:
        response.raise_for_status()
        return await response.read()


async def _fetch_history(
    session: aiohttp.ClientSession, reached: list[_FetchResult]
) -> tuple[list[BurnSlot], str]:
    for item in reached:
        try:
            url = f"{item.address}{HISTORY_PATH}"
            data = await _get(session, url, _HISTORY_TIMEOUT_SECONDS)
            history = msgspec.json.decode(data, type=BurnHistory)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            continue
        gaps = f"{history.n_unread} objects unread" if history.n_unread else ""
        return history.slots, gaps
    return [], "no daemon could read the history"


def _make_report(
    asked: list[_FetchResult], history: list[BurnSlot], history_gaps: str
) -> BurnReport:
    answers = [item.answer for item in asked if item.answer is not None]
    slots = [slot for answer in answers for slot in answer.slots]
    # The latest wall clock, so that no daemon's open slot lies in the future.
    wall_seconds = max(answer.wall_seconds for answer in answers)
    objectives = answers[0].objectives
    return BurnReport(
        wall_seconds=wall_seconds,
        objectives=objectives,
        answered=tuple(sorted(answer.daemon_id for answer in answers)),
        missing=_find_missing(asked, answers),
        disagreeing=tuple(
            answer.daemon_id for answer in answers if answer.objectives != objectives
        ),
        history_gaps=history_gaps,
        n_slots_lost=sum(answer.n_slots_lost for answer in answers),
        pairs=tuple(assess([*slots, *history], objectives, wall_seconds)),
        slots=(*slots, *history),
    )


def _find_missing(
    asked: list[_FetchResult], answers: list[BurnAnswer]
) -> tuple[MissingDaemon, ...]:
    answered = {answer.daemon_id for answer in answers}
    named = {member for answer in answers for member in answer.members}
    unreached = [
        MissingDaemon(item.address, item.reason)
        for item in asked
        if item.answer is None
    ]
    unasked = [
        MissingDaemon(name, "named by a peer, did not answer")
        for name in sorted(named - answered)
    ]
    return tuple(unreached + unasked)
