"""Keeps long prompts from pausing streams for longer than their gap objective.

Engines read a prompt in pieces between the tokens of running streams. An event of a
stream holds several tokens, each of which waits for a piece, so the pause before an
event grows with what the engine has to read.

Long prompts go to reading engines first (``decide.readingengines``), streams and short
prompts to the others. Besides, each placement costs as many late responses as it is
expected to make, by a budget of reading for each engine: the gap objective less the
time that the event's own tokens take. Nothing is forbidden: if all engines are full, or
the prompt would itself be late, it is placed all the same.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

from lycheepost.core.ids import TargetId
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.partcondition import PartCondition
from lycheepost.decide.pausecondition import check_condition
from lycheepost.decide.pausecosts import PauseCosts
from lycheepost.decide.rates import Rates
from lycheepost.decide.readingengines import (
    SAMPLED_ENGINES,
    ReadingEngines,
    sum_of_sample,
)
from lycheepost.decide.records import Work
from lycheepost.decide.ring import Ring

LONG_SHARE = 0.25
"""A prompt counts as long if it takes at least this share of the gap objective to read:
several such prompts in a row pause streams for too long."""

TYPICAL_GAIN = 0.02
"""Weight of one prompt in the typical long prompt and in the share of short ones."""

MIN_LONG_PROMPTS = 10
"""Long prompts from which their typical size is known."""

MEMORY_SECONDS = 60.0
"""Gap objectives and long prompts of routes that nobody has called for this long no
longer count."""

N_SPEED_SAMPLES = 41
MIN_SPEED_SAMPLES = 5
"""First tokens of long prompts whose median tells the usual time to read a token. The
rates for predictions start from a guess and follow momentary waits; that must not
switch the guard."""

MIN_OFF_SECONDS = 10.0
"""The guard is given up only when its condition has not held for this long: while the
median moves between fast and slow engines, daemons would disagree otherwise."""

MIN_SHORT_SHARE = 0.2
GIVE_UP_SHORT_SHARE = 0.1
"""Reading engines are chosen while short prompts are at least this share of all: with
fewer, they only crowd the long ones."""

READING_SHARE = 0.5
"""An engine counts as reading if it has this share of a long prompt to read; less is
that of a short prompt."""

MAX_STREAMS_SHARE = 0.5
"""Share of the requests that an engine may run which its streams should take."""

UPDATE_SECONDS = 0.1
"""Interval at which the reading engines follow the demand: less than one long prompt
takes to read and more than loads take from daemon to daemon."""

RANK_WEIGHT = 2.0
MAX_RANK_STEPS = 2.0
"""Each rank by which streams are more urgent than the prompt that would pause them
doubles their weight, and each by which they are less urgent halves it."""


@dataclass(frozen=True, slots=True)
class PauseStatus:
    """State of the guard, for logs and status pages."""

    is_on: bool
    reason: str
    n_reading_engines: int

    def to_dict(self) -> dict[str, object]:
        """Return the fields by name."""
        return asdict(self)


class PauseGuard:
    """Pause costs within one target group.

    Args:
        rates: Measured rates of the group.
        switched_off: Disabled mechanisms.
    """

    def __init__(self, rates: Rates, switched_off: frozenset[Mechanism]) -> None:
        self._rates = rates
        self._is_enabled = Mechanism.PAUSE_GUARD not in switched_off
        self._has_reading_engines = Mechanism.READING_ENGINES not in switched_off
        self._has_budget = Mechanism.READING_BUDGET not in switched_off
        self.reading_engines = ReadingEngines()
        reason = "no traffic" if self._is_enabled else "switched off"
        self.condition = PartCondition(False, reason)
        self._gap_seconds: float | None = None
        self._gap_seen_seconds = float("-inf")
        self._long_tokens: float | None = None
        self._long_seen_seconds = float("-inf")
        self._stream_rank = 0.0
        self._short_share = 0.0
        self._n_prompts = 0
        self._n_long = 0
        self._speed_samples: deque[float] = deque(maxlen=N_SPEED_SAMPLES)
        self._token_seconds: float | None = None
        self._met_seconds = float("-inf")
        self._updated_seconds = float("-inf")
        self._is_separating = False

    @property
    def is_on(self) -> bool:
        """Return whether placements cost pauses now."""
        return self.condition.is_met

    def observe(self, work: Work, now_seconds: float) -> None:
        """Learn from a request that has arrived."""
        if not self._is_enabled or work.gap_seconds <= 0.0:
            return
        if self._gap_seconds is None or work.gap_seconds <= self._gap_seconds:
            self._gap_seconds = work.gap_seconds
            self._gap_seen_seconds = now_seconds
        self.note_prompt(work.prompt_tokens, now_seconds)
        if not self._is_long(work):
            self._stream_rank += TYPICAL_GAIN * (work.rank - self._stream_rank)

    def note_prompt(self, prompt_tokens: int, now_seconds: float) -> None:
        """Learn from the size of a prompt, of this daemon or of a peer.

        One daemon alone sees too few prompts to tell their typical size within seconds,
        and daemons that see the same ones agree on whether the guard is on.
        """
        is_long = prompt_tokens >= self._min_long_tokens()
        self._n_prompts += 1
        gain = max(TYPICAL_GAIN, 1.0 / self._n_prompts)
        self._short_share += gain * ((not is_long) - self._short_share)
        if not is_long:
            return
        self._long_seen_seconds = now_seconds
        self._n_long += 1
        before_tokens = self._long_tokens or 0.0
        gain = max(TYPICAL_GAIN, 1.0 / self._n_long)
        self._long_tokens = before_tokens + gain * (prompt_tokens - before_tokens)

    def note_first_token(self, elapsed_seconds: float, n_tokens: float) -> None:
        """Learn from the first token of a request of this daemon.

        Args:
            elapsed_seconds: Time from the dispatch to the first token.
            n_tokens: Uncached tokens of the prompt and of those ahead of it.
        """
        if n_tokens >= self._min_long_tokens():
            seconds = max(0.0, elapsed_seconds - self._rates.first_token_seconds)
            self._speed_samples.append(seconds / n_tokens)
            if len(self._speed_samples) >= MIN_SPEED_SAMPLES:
                self._token_seconds = statistics.median(self._speed_samples)

    def _is_long(self, work: Work) -> bool:
        return work.prompt_tokens >= self._min_long_tokens()

    def _min_long_tokens(self) -> float:
        if self._gap_seconds is None:
            return float("inf")
        token_seconds = self._token_seconds or self._rates.token_seconds
        return LONG_SHARE * self._gap_seconds / token_seconds

    def replace_targets(self, targets: Iterable[TargetId]) -> None:
        """Set the engines that take new work."""
        if self._is_separating:
            self.reading_engines.replace(targets)

    def update(
        self,
        loads: Mapping[TargetId, TargetLoad],
        now_seconds: float,
    ) -> None:
        """Check the condition and follow the demand, each ``UPDATE_SECONDS``.

        Args:
            loads: The engines that take new work.
            now_seconds: The current time.
        """
        elapsed_seconds = now_seconds - self._updated_seconds
        if not self._is_enabled or elapsed_seconds < UPDATE_SECONDS:
            return
        self._updated_seconds = now_seconds
        self._forget(now_seconds)
        long_tokens = self._long_tokens if self._n_long >= MIN_LONG_PROMPTS else None
        condition = check_condition(
            self._gap_seconds, long_tokens, self._token_seconds, self.is_on
        )
        if condition.is_met:
            self._met_seconds = now_seconds
        if now_seconds - self._met_seconds >= MIN_OFF_SECONDS or condition.is_met:
            self.condition = condition
        was_separating = self._is_separating
        share = GIVE_UP_SHORT_SHARE if was_separating else MIN_SHORT_SHARE
        self._is_separating = (
            self.is_on and self._has_reading_engines and self._short_share >= share
        )
        if not self._is_separating:
            if was_separating:
                self.reading_engines.clear()
            return
        if not was_separating:
            self.replace_targets(loads)
        least_tokens = READING_SHARE * self._min_long_tokens()
        self.reading_engines.update(
            lambda target: loads[target].estimate(now_seconds)[0] >= least_tokens,
            self._count_stream_engines(loads),
            now_seconds,
        )

    def _count_stream_engines(self, loads: Mapping[TargetId, TargetLoad]) -> int:
        """Return how many engines the running streams of short prompts need."""
        engines = self.reading_engines

        def count_streams(target: TargetId) -> float:
            return loads[target].all_streams()

        n_streams = sum_of_sample(engines.ordered, count_streams)
        n_streams += sum_of_sample(engines.others, count_streams)
        limits = [
            loads[target].view.concurrency_limit
            for target in engines.others[:SAMPLED_ENGINES]
        ]
        n_each = MAX_STREAMS_SHARE * sum(limits) / max(1, len(limits))
        return math.ceil(n_streams * self._short_share / max(1.0, n_each))

    def _forget(self, now_seconds: float) -> None:
        if now_seconds - self._gap_seen_seconds > MEMORY_SECONDS:
            self._gap_seconds = None
        if now_seconds - self._long_seen_seconds > MEMORY_SECONDS:
            self._long_tokens, self._n_long = None, 0

    def costs(self, work: Work, now_seconds: float) -> PauseCosts | None:
        """Return the pause costs of a request; None while there are none."""
        if not self.is_on or self._gap_seconds is None:
            return None
        steps = work.rank - self._stream_rank
        steps = min(MAX_RANK_STEPS, max(-MAX_RANK_STEPS, steps))
        return PauseCosts(
            gap_seconds=self._gap_seconds,
            late_seconds=min(work.objective_seconds, work.first_token_timeout_seconds),
            waited_seconds=now_seconds - work.arrived_seconds,
            is_long=self._is_long(work),
            is_stream=work.gap_seconds > 0.0,
            stream_weight=RANK_WEIGHT**steps,
            reading_engines=self.reading_engines.targets,
            has_budget=self._has_budget,
        )

    def suitable(self, costs: PauseCosts) -> Sequence[TargetId]:
        """Return the engines that suit a request; empty if all do."""
        if costs.is_long:
            return self.reading_engines.ordered
        return self.reading_engines.others

    def ring_for(self, costs: PauseCosts) -> Ring | None:
        """Return the ring of the engines that suit a request; None if all do."""
        engines = self.reading_engines
        return engines.ring if costs.is_long and engines.targets else None

    def status(self) -> PauseStatus:
        """Return whether the guard is on, why, and the number of reading engines."""
        n_reading_engines = len(self.reading_engines.ordered)
        return PauseStatus(self.is_on, self.condition.reason, n_reading_engines)
