"""Costs of a placement by the pauses that it makes in streams.

A placement costs as many late responses as it is expected to make, by a budget of
reading for each engine: the gap objective less the time that the event's own tokens
take.
"""

from dataclasses import dataclass

from lycheepost.core.ids import TargetId
from lycheepost.decide.load import TargetLoad

EVENT_TOKEN_SECONDS = 0.01
"""Time between two tokens of a loaded engine that reads no prompt."""

MIN_BUDGET_SHARE = 0.25
"""Least part of the gap objective that is left for reading."""

READING_ENGINE_RISK = 0.5
"""Chance that a stream on a reading engine is paused for too long. Streams run for
seconds, in which several long prompts arrive there."""

MAX_LOAD_AGE_SECONDS = 1.0
"""Streams in older reports of peers have probably ended."""


@dataclass(slots=True)
class PlacementState:
    """What placement determines of a target before it asks for the pause costs.

    Attributes:
        n_running: Requests of all daemons there.
        token_seconds: Time to read one token.
        own_seconds: How long the request's own prompt would take to read.
        wait_seconds: Predicted time to the first token.
    """

    n_running: float
    token_seconds: float
    own_seconds: float
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class PauseCosts:
    """What a placement of one request costs by the pauses that it makes.

    Attributes:
        late_seconds: Cost of one late response, as seconds of this request's wait: a
            request that waits for its whole objective is itself late.
        waited_seconds: How long this request has waited.
        is_long: Whether its prompt is long.
        is_stream: Whether it has a gap objective.
        stream_weight: Weight of the streams of short prompts that it would pause.
    """

    gap_seconds: float
    late_seconds: float
    waited_seconds: float
    is_long: bool
    is_stream: bool
    stream_weight: float
    reading_engines: frozenset[TargetId]
    has_budget: bool

    def cost_seconds(
        self, load: TargetLoad, state: PlacementState, now_seconds: float
    ) -> float:
        """Return the cost of a placement.

        Args:
            load: The target.
            state: What placement has already determined of it.
            now_seconds: The current time.
        """
        first_seconds = self.waited_seconds + state.wait_seconds
        n_late = late_risk(first_seconds, self.late_seconds)
        engines = self.reading_engines
        is_reading_engine = load.view.target in engines
        is_misplaced = bool(engines) and self.is_long is not is_reading_engine
        if is_misplaced and not self.is_long and self.is_stream:
            n_late += READING_ENGINE_RISK
        if self.has_budget:
            n_late += self._count_paused(load, state, is_misplaced, now_seconds)
        elif is_misplaced and self.is_long:
            n_late += 1.0
        return n_late * self.late_seconds

    def _count_paused(
        self,
        load: TargetLoad,
        state: PlacementState,
        is_misplaced: bool,
        now_seconds: float,
    ) -> float:
        """Return how many responses a placement is expected to pause for too long."""
        own_seconds = state.own_seconds
        limit_seconds = reading_budget_seconds(self.gap_seconds, load)
        token_seconds = state.token_seconds
        left_tokens = load.backlog.left(token_seconds, now_seconds)
        reading_seconds = left_tokens * token_seconds
        before = late_risk(reading_seconds, limit_seconds)
        after = late_risk(reading_seconds + own_seconds, limit_seconds)
        n_streams = load.n_streams
        if now_seconds - load.reported_seconds < MAX_LOAD_AGE_SECONDS:
            n_streams += load.peers_load.n_streams
        # Responses of the prompts that are read before this one wait for this one only.
        n_reading = max(0.0, state.n_running - n_streams)
        n_late = late_risk(own_seconds, limit_seconds) * n_reading
        if self.is_stream:
            n_late += before
        if not self.is_long:
            return n_late + (after - before) * n_streams * self.stream_weight
        if is_misplaced:
            # Streams are sent there at any time, also before this daemon hears of them.
            return n_late + (after - before) * (n_streams + 1) * self.stream_weight
        # Streams on reading engines are mostly those of other long prompts.
        return n_late + (after - before) * n_streams


def reading_budget_seconds(gap_seconds: float, load: TargetLoad) -> float:
    """Return how long an engine may read between two events of its streams."""
    own_seconds = load.view.event_tokens * EVENT_TOKEN_SECONDS
    return max(MIN_BUDGET_SHARE * gap_seconds, gap_seconds - own_seconds)


def late_risk(predicted_seconds: float, limit_seconds: float) -> float:
    """Return the chance that something takes longer than its limit.

    At the limit the chance is even. Below it falls with the square: engines turn slow
    for moments, and prompts of daemons that have not reported yet are read besides.
    """
    use = predicted_seconds / limit_seconds
    return min(1.0, 0.5 * use * use)
