"""Memory of engines as a resource that all daemons account for together.

The running requests of an engine and its cached prompt parts share one memory. Cached
parts yield; running requests do not. If the running requests outgrow the memory, the
engine puts the newest of the least urgent ones back, also in the middle of its stream,
and reads it again later. Where an engine has more slots than its memory has room for
long prompts, counting requests does not prevent this. There a request is sent only to a
target whose memory has room for what all daemons' requests hold and for the expected
size of this one.

Pure logic.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from lycheepost.core.ids import RequestId, TargetId
from lycheepost.decide.records import Work

LONG_QUANTILE = 0.9
"""The size below which nine in ten requests stay is that of a typical long one."""

QUANTILE_GAIN = 0.2
"""Relative step of a quantile; a tenfold change is followed within fifteen steps."""

MEDIAN = 0.5

RUN_SHARE = 0.5
"""Share of its output that a request holds on average while it runs. The sum of what
requests hold at their ends would keep a third of the memory unused, as few of them end
at the same time."""

MIN_HINT_RATIO = 0.25
MAX_HINT_RATIO = 64.0

BUSY_SECONDS = 10.0
"""The most tokens held are remembered for one to two times this long, so that the
pause between two bursts does not end the accounting."""

RESERVE_WAIT_SHARE = 0.25
"""Share of its objective that a request waits for room before room is kept for it."""

RESERVE_SECONDS = 3.0
"""Longest time for which room is kept. Two daemons that keep room for two requests on
one target can block each other; whose time ends first lets the other one pass."""


@dataclass(slots=True)
class RelativeQuantile:
    """A quantile of positive values, followed in relative steps.

    Attributes:
        value: The quantile; 0 before the first value.
    """

    quantile: float
    value: float = 0.0

    def observe(self, value: float) -> None:
        """Move towards one more value."""
        if self.value <= 0.0:
            self.value = value
            return
        above = value > self.value
        step = self.quantile if above else self.quantile - 1.0
        self.value *= math.exp(QUANTILE_GAIN * step)


@dataclass(slots=True)
class HintErrors:
    """How far callers' estimates of their output are off.

    Attributes:
        ratio: Actual over estimated output, at the median.
    """

    ratio: RelativeQuantile = field(
        default_factory=lambda: RelativeQuantile(MEDIAN, 1.0)
    )

    def expected_tokens(self, hint_tokens: int, max_tokens: int) -> int:
        """Return the output to expect; the stated maximum if there is no estimate."""
        if hint_tokens <= 0:
            return max_tokens
        ratio = min(MAX_HINT_RATIO, max(MIN_HINT_RATIO, self.ratio.value))
        return min(max_tokens, math.ceil(hint_tokens * ratio))

    def observe(self, hint_tokens: int, output_tokens: int) -> None:
        """Learn from a complete response."""
        if hint_tokens > 0 and output_tokens > 0:
            self.ratio.observe(output_tokens / hint_tokens)


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Sizes by which a group's memory is judged.

    Attributes:
        memory_tokens: Memory of one target; 0 if unknown.
        n_slots: Requests that it processes at the same time.
        long_tokens: Size of a typical long request.
        peak_held_tokens: Most tokens held at one target at recent busy moments.
    """

    memory_tokens: int
    n_slots: float
    long_tokens: float
    peak_held_tokens: float


@dataclass(frozen=True, slots=True)
class RoomNeed:
    """Whether memory limits a group's targets, and why."""

    is_short: bool
    reason: str


def judge_room(use: MemoryUse, was_short: bool) -> RoomNeed:
    """Return whether requests need room in the memory of their target.

    It begins when one more long request would not fit, and ends when two would.
    """
    if use.memory_tokens <= 0:
        return RoomNeed(False, "targets state no memory")
    if use.memory_tokens >= use.n_slots * use.long_tokens:
        return RoomNeed(False, "the memory holds a long request in every slot")
    n_more = 2 if was_short else 1
    if use.peak_held_tokens + n_more * use.long_tokens > use.memory_tokens:
        return RoomNeed(True, "another long request may not fit into the memory")
    return RoomNeed(False, "the memory was never nearly full")


@dataclass(slots=True)
class RecentPeak:
    """The highest of the values of the last ten to twenty seconds."""

    _current: float = 0.0
    _previous: float = 0.0
    _started_seconds: float = float("-inf")

    def observe(self, value: float, now_seconds: float) -> None:
        """Take one more value."""
        self._advance(now_seconds)
        self._current = max(self._current, value)

    def now(self, now_seconds: float) -> float:
        """Return the highest recent value."""
        self._advance(now_seconds)
        return max(self._current, self._previous)

    def _advance(self, now_seconds: float) -> None:
        elapsed_seconds = now_seconds - self._started_seconds
        if elapsed_seconds < BUSY_SECONDS:
            return
        is_next = elapsed_seconds < 2 * BUSY_SECONDS
        self._previous = self._current if is_next else 0.0
        self._current = 0.0
        self._started_seconds = now_seconds


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is kept on one target for one waiting request."""

    request: RequestId
    target: TargetId
    n_tokens: int
    until_seconds: float


@dataclass(slots=True)
class RoomCounts:
    """Counts since the start.

    Attributes:
        n_waited: Placements that found no room.
        n_reserved: Requests for which room was kept.
        n_put_back: Requests that a more urgent one was meant to displace.
        n_too_large: Requests refused because no target's memory holds them.
    """

    n_waited: int = 0
    n_reserved: int = 0
    n_put_back: int = 0
    n_too_large: int = 0


class GroupRoom:
    """Room in the memories of one target group, as seen by one daemon.

    Args:
        is_on: False to decide by slots alone.

    Attributes:
        need: Whether memory limits the targets now, and why.
        counts: Counts since the start.
        reservation: Room kept for a request that waits here, if any.
    """

    def __init__(self, is_on: bool = True) -> None:
        self._is_on = is_on
        self._largest_memory_tokens = 0
        self._memory_tokens = 0
        self._n_slots = 0.0
        self._long = RelativeQuantile(LONG_QUANTILE)
        self._hints = HintErrors()
        self._peak = RecentPeak()
        self.need = RoomNeed(False, "nothing was sent yet" if is_on else "switched off")
        self.counts = RoomCounts()
        self.reservation: Reservation | None = None

    def set_memories(self, memories_tokens: Iterable[int]) -> None:
        """Set the memory of each target, also of those that take no new work now."""
        sizes = tuple(memories_tokens)
        self._largest_memory_tokens = max(sizes) if sizes and all(sizes) else 0

    def expected_tokens(self, work: Work) -> int:
        """Return the tokens that a request is expected to hold while it runs."""
        output_tokens = self._hints.expected_tokens(
            work.hint_tokens, work.output_tokens
        )
        return work.prompt_tokens + round(RUN_SHARE * output_tokens)

    def is_too_large(self, work: Work) -> bool:
        """Return whether no target can hold a request, however idle it is."""
        memory_tokens = self._largest_memory_tokens
        return self._is_on and 0 < memory_tokens < work.prompt_tokens

    def note_arrival(self, work: Work, now_seconds: float) -> None:
        """Count the size of an arriving request."""
        if self._is_on and work.prompt_tokens > 0:
            self._long.observe(self.expected_tokens(work))
            self._judge(now_seconds)

    def note_output(self, work: Work, output_tokens: int) -> None:
        """Learn from the length of a complete response."""
        self._hints.observe(work.hint_tokens, output_tokens)

    def note_held(
        self, held_tokens: int, memory_tokens: int, n_slots: float, now_seconds: float
    ) -> None:
        """Judge the need again after a request was sent to a target.

        Args:
            held_tokens: Tokens that all daemons' requests hold there.
            memory_tokens: Its memory; 0 if unknown.
            n_slots: Its slots.
            now_seconds: The current time.
        """
        if not self._is_on or memory_tokens <= 0:
            return
        self._memory_tokens, self._n_slots = memory_tokens, n_slots
        self._peak.observe(held_tokens, now_seconds)
        self._judge(now_seconds)

    def _judge(self, now_seconds: float) -> None:
        peak_tokens = self._peak.now(now_seconds)
        use = MemoryUse(
            self._memory_tokens, self._n_slots, self._long.value, peak_tokens
        )
        self.need = judge_room(use, self.need.is_short)

    def reserve(
        self, work: Work, target: TargetId, n_tokens: int, now_seconds: float
    ) -> None:
        """Keep room for a request that has waited for it; one at a time.

        Without it, small requests that fit take all room as it becomes free.
        """
        patience = min(work.objective_seconds, work.first_token_timeout_seconds)
        if now_seconds - work.arrived_seconds < RESERVE_WAIT_SHARE * patience:
            return
        if self.reservation is not None:
            return
        until_seconds = now_seconds + RESERVE_SECONDS
        self.reservation = Reservation(work.request, target, n_tokens, until_seconds)
        self.counts.n_reserved += 1

    def release(self, request: RequestId) -> None:
        """Keep no room any longer for a request that was sent or refused."""
        if self.reservation is not None and self.reservation.request == request:
            self.reservation = None

    def expire(self, now_seconds: float) -> None:
        """Keep room no longer than ``RESERVE_SECONDS``."""
        kept = self.reservation
        if kept is not None and now_seconds >= kept.until_seconds:
            self.reservation = None

    def is_reserved(self, target: TargetId) -> bool:
        """Return whether room is kept on a target."""
        return self.reservation is not None and self.reservation.target == target

    def reserved_tokens(
        self, target: TargetId, request: RequestId | None = None
    ) -> int:
        """Return the room kept on a target for requests other than ``request``."""
        kept = self.reservation
        if kept is None or kept.target != target or kept.request == request:
            return 0
        return kept.n_tokens

    def status(self) -> dict[str, object]:
        """Return the need, its reason and the counts, for status pages."""
        return {
            "is_short": self.need.is_short,
            "reason": self.need.reason,
            "long_tokens": round(self._long.value),
            "hint_ratio": round(self._hints.ratio.value, 2),
            "n_waited": self.counts.n_waited,
            "n_reserved": self.counts.n_reserved,
            "n_put_back": self.counts.n_put_back,
            "n_too_large": self.counts.n_too_large,
        }


@dataclass(frozen=True, slots=True)
class Holder:
    """A request that holds memory of a target.

    Attributes:
        sent_seconds: When it was sent there.
        is_streaming: Its caller receives a stream that must not pause.
    """

    request: RequestId
    rank: int
    sent_seconds: float
    n_tokens: int
    is_streaming: bool


def choose_yielding(
    holders: Iterable[Holder], rank: int, missing_tokens: int
) -> tuple[RequestId, ...]:
    """Return the requests that make room for a more urgent one.

    They are those that an engine would put back: the newest of the least urgent first.

    Args:
        holders: This daemon's requests at the target. Those of other daemons are not
            known one by one; the engine may put back a still less urgent one instead.
        rank: The newcomer's rank.
        missing_tokens: The room that it lacks.

    Returns:
        Nothing if they would not make enough room, or if one of them is as urgent as
        the newcomer or a stream that would pause.
    """
    yielding: list[RequestId] = []
    for holder in sorted(holders, key=_put_back_order):
        if missing_tokens <= 0:
            break
        if holder.rank <= rank or holder.is_streaming:
            return ()
        yielding.append(holder.request)
        missing_tokens -= holder.n_tokens
    return tuple(yielding) if missing_tokens <= 0 else ()


def _put_back_order(holder: Holder) -> tuple[int, float]:
    return -holder.rank, -holder.sent_seconds
