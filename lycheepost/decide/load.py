"""Load of one target: its view, this daemon's requests on it, and its load reports.

A load report is up to a few seconds old and includes this daemon's own requests. Used
unchanged, it would make every daemon send its work to the target that looked idle a
second ago. So the daemon's own share at the time of the measurement is subtracted from
the report, and its current in-flight requests are added.
"""

from collections import deque
from dataclasses import dataclass, field

from lycheepost.core.ids import RequestId, StartKey
from lycheepost.decide.backlog import Backlog
from lycheepost.decide.brittle import usable_requests
from lycheepost.decide.cacheestimate import CacheEstimate
from lycheepost.decide.concurrency import Window
from lycheepost.decide.heldmemory import HeldMemory
from lycheepost.decide.machinestates import MachineState
from lycheepost.decide.peerloads import NO_LOAD, DaemonLoad
from lycheepost.decide.rates import Rates
from lycheepost.decide.records import LoadReport, TargetView, Work
from lycheepost.decide.requestpacer import RequestPacer
from lycheepost.decide.room import GroupRoom, Holder, choose_yielding
from lycheepost.decide.slow import Slowness
from lycheepost.decide.targetrates import DurationRatio

HISTORY_SECONDS = 5.0
"""Load reports are at most a few seconds late."""

SHARED_WINDOW_TOKENS = 4_500
"""Prompt tokens of all daemons together that may wait at one target. They keep its
engine busy for about 0.1 s at 45,000 tokens a second, until more can arrive. Further
work waits in the daemon, where it can still be reordered, sent to the target that
caches its prefix, or refused in time."""

NO_START = StartKey("")

MAX_REPORT_AGE_SECONDS = 10.0
"""Older reports are ignored."""


@dataclass(slots=True)
class InFlight:
    """One request dispatched by this daemon.

    Attributes:
        uncached_tokens: Prompt tokens estimated to need prefill.
        cost_seconds: Engine time charged to the customer.
        ahead_tokens: Uncached tokens that waited at the target when it was sent.
        held_tokens: Tokens that it is expected to hold in the target's memory.
        start: The start of the target that it was sent to.
        has_written: Whether its target has completed the first part of its answer.
    """

    work: Work
    dispatched_seconds: float
    predicted_seconds: float
    uncached_tokens: int
    cost_seconds: float
    ahead_tokens: float
    is_probe: bool = False
    has_first_token: bool = False
    held_tokens: int = 0
    start: StartKey = NO_START
    has_written: bool = False


@dataclass(slots=True)
class OwnLoad:
    """This daemon's load on a target at one time."""

    at_seconds: float
    queued_prompt_tokens: int
    n_running: int


@dataclass(slots=True)
class TargetLoad:
    """The scheduler's state of one target.

    Attributes:
        rates: Measured rates of its group.
        backlog: Tokens that it still has to prefill, of all daemons' requests.
        queued_tokens: This daemon's uncached tokens without a first token yet.
        queued_prompt_tokens: Whole prompts of the same requests. Engines report these,
            as they look up the cache only later.
        n_streams: This daemon's requests with a gap objective that have their first
            token.
        held: What this daemon's requests are expected to hold in its memory.
        room: Room in the memories of its group.
        peers_tokens: Uncached tokens of peers that wait there.
        peers_running: Requests of peers that run there.
        peers_load: The load that peers last reported there.
        slowness: Smoothed ratio of observed to predicted first-token time.
        measured_ratio: Durations there compared with the group's, averaged over long.
        rate_ratio: The ratio that decisions use; 1 while they use the group's rates.
        machine_state: The momentary speed that the target states.
        has_peer_reports: Whether peers report their load there.
        rate_limiter: Its rate limit for this daemon; None while it sets no limit.
        backoff_until_seconds: End of the back-off that it asked this daemon for.
        own_slots: Requests that this daemon may have at a brittle target, which crashes
            when it rejects too many; None if it is not brittle.
    """

    view: TargetView
    cache_estimate: CacheEstimate
    rates: Rates
    backlog: Backlog = field(default_factory=Backlog)
    in_flight: dict[RequestId, InFlight] = field(default_factory=dict)
    queued_tokens: int = 0
    queued_prompt_tokens: int = 0
    n_streams: int = 0
    held: HeldMemory = field(default_factory=HeldMemory)
    room: GroupRoom = field(default_factory=GroupRoom)
    window: Window = field(default_factory=Window)
    peers_tokens: float = 0.0
    peers_running: float = 0.0
    peers_load: DaemonLoad = NO_LOAD
    reported_seconds: float = float("-inf")
    slowness: Slowness = field(default_factory=Slowness)
    measured_ratio: DurationRatio = field(default_factory=DurationRatio)
    rate_ratio: float = 1.0
    machine_state: MachineState = field(default_factory=MachineState)
    has_peer_reports: bool = False
    rate_limiter: RequestPacer | None = None
    backoff_until_seconds: float = float("-inf")
    own_slots: int | None = None
    history: deque[OwnLoad] = field(default_factory=deque)

    def replace_view(self, view: TargetView) -> None:
        """Update the view; a new incarnation or weights version has an empty cache."""
        if view.incarnation != self.view.incarnation:
            self.cache_estimate.check_incarnation(view.incarnation)
            self.peers_tokens = 0.0
            self.peers_running = 0.0
            self.peers_load = NO_LOAD
            self.held.clear()
            self.slowness = Slowness()
            self.measured_ratio = DurationRatio()
            self.rate_ratio = 1.0
            self.machine_state = MachineState()
            self.window = Window()
            self.backlog = Backlog()
        if view.weights_version != self.view.weights_version:
            self.cache_estimate.clear()
        self.view = view

    def start(self, entry: InFlight, now_seconds: float) -> None:
        """Count a dispatched request."""
        self.in_flight[entry.work.request] = entry
        if self.rate_limiter is not None:
            self.rate_limiter.note_sent(now_seconds)
        self._count_queued(entry, 1)
        entry.held_tokens = self.room.expected_tokens(entry.work)
        self.held.add(entry.work.request, entry.work.levels, entry.held_tokens)
        self._judge_room(now_seconds)
        self._record_own_load(now_seconds)
        self._update_backlog(now_seconds)

    def first_token(self, entry: InFlight, now_seconds: float) -> None:
        """Count the end of a prefill."""
        if entry.has_first_token:
            return
        entry.has_first_token = True
        self._count_queued(entry, -1)
        self.n_streams += _is_stream(entry.work)
        self._record_own_load(now_seconds)
        self._update_backlog(now_seconds)

    def end(self, request: RequestId, now_seconds: float) -> InFlight | None:
        """Stop counting a request."""
        entry = self.in_flight.pop(request, None)
        if entry is None:
            return None
        self.held.remove(request)
        if entry.has_first_token:
            self.n_streams -= _is_stream(entry.work)
        else:
            self._count_queued(entry, -1)
        self._record_own_load(now_seconds)
        self._update_backlog(now_seconds)
        return entry

    def _count_queued(self, entry: InFlight, sign: int) -> None:
        self.queued_tokens += sign * entry.uncached_tokens
        self.queued_prompt_tokens += sign * entry.work.prompt_tokens

    def _update_backlog(self, now_seconds: float) -> None:
        sent_tokens = self.queued_tokens + self._known_peer_load(now_seconds)[0]
        self.backlog.set_sent(sent_tokens, self.token_seconds(now_seconds), now_seconds)

    def token_seconds(self, now_seconds: float) -> float:
        """Return the prefill time of one token."""
        return self.rates.token_seconds * self.duration_ratio(now_seconds)

    def duration_ratio(self, now_seconds: float) -> float:
        """Return how long work takes there now, compared with the group's rates."""
        return self.slowness.now(now_seconds) * self._known_ratio(now_seconds)

    def set_rate_ratio(self, ratio: float) -> None:
        """Set the ratio to the group's rates that decisions use."""
        if ratio != self.rate_ratio:
            self.slowness.remove_explained(ratio / self.rate_ratio)
            self.rate_ratio = ratio

    def _known_ratio(self, now_seconds: float) -> float:
        """Return the ratio without ``slowness``; 1 without target rates and states."""
        return self.rate_ratio * self.machine_state.momentary_ratio(now_seconds)

    def window_tokens(self, now_seconds: float) -> float:
        """Return how many prompt tokens of all daemons may wait there.

        A target that is known to read twice as fast may have twice as many waiting.
        """
        return SHARED_WINDOW_TOKENS / self._known_ratio(now_seconds)

    def _known_peer_load(self, now_seconds: float) -> tuple[float, float]:
        """Return the peers' tokens and requests there; zero if the report is old."""
        if now_seconds - self.reported_seconds > MAX_REPORT_AGE_SECONDS:
            return 0.0, 0.0
        return self.peers_tokens, self.peers_running

    def _record_own_load(self, now_seconds: float) -> None:
        own = OwnLoad(now_seconds, self.queued_prompt_tokens, len(self.in_flight))
        self.history.append(own)
        # Keep the newest entry before the horizon: it is valid until the next one.
        horizon = now_seconds - HISTORY_SECONDS
        while len(self.history) > 1 and self.history[1].at_seconds < horizon:
            self.history.popleft()

    def _own_load_at(self, at_seconds: float) -> OwnLoad:
        for own in reversed(self.history):
            if own.at_seconds <= at_seconds:
                return own
        return OwnLoad(at_seconds, 0, 0)

    def observe(self, report: LoadReport, uncached_share: float) -> None:
        """Apply a load report; reports older than the last one are ignored.

        Args:
            report: The target's measurement.
            uncached_share: Share of waiting prompt tokens that needs prefill.
        """
        if report.measured_seconds <= self.reported_seconds:
            return
        if not self.cache_estimate.check_incarnation(report.incarnation):
            return
        own = self._own_load_at(report.measured_seconds)
        self.reported_seconds = report.measured_seconds
        n_requests = report.n_running + report.n_queued
        others_prompts = report.queued_prompt_tokens - own.queued_prompt_tokens
        peers_tokens = max(0, others_prompts) * uncached_share
        peers_running = max(0, n_requests - own.n_running)
        # Average two reports: one alone may contain a burst that has ended by the
        # time it arrives.
        self.peers_tokens = (self.peers_tokens + peers_tokens) / 2
        self.peers_running = (self.peers_running + peers_running) / 2
        self._update_backlog(report.measured_seconds)

    def own_load(self) -> DaemonLoad:
        """Return this daemon's load, to be sent to peers.

        Room that it keeps for a waiting request counts as held, so that peers leave it.
        """
        reserved_tokens = self.room.reserved_tokens(self.view.target)
        return DaemonLoad(
            self.queued_tokens,
            len(self.in_flight),
            self.n_streams,
            self.held.tokens + reserved_tokens,
        )

    def set_peer_load(self, load: DaemonLoad, now_seconds: float) -> None:
        """Set the load that peers report at this target."""
        self.peers_tokens = float(load.queued_tokens)
        self.peers_running = float(load.n_running)
        is_fuller = load.held_tokens > self.peers_load.held_tokens
        self.peers_load = load
        self.reported_seconds = now_seconds
        if is_fuller:
            self._judge_room(now_seconds)
        self.has_peer_reports = True
        self._update_backlog(now_seconds)

    def estimate(self, now_seconds: float) -> tuple[float, float]:
        """Return the tokens without a first token, and the requests, of all daemons."""
        peers_tokens, peers_running = self._known_peer_load(now_seconds)
        n_running = len(self.in_flight) + peers_running
        return self.queued_tokens + peers_tokens, n_running

    def reading_seconds(self, now_seconds: float) -> float:
        """Return how long the prompts of all daemons there still take to prefill."""
        token_seconds = self.token_seconds(now_seconds)
        return self.backlog.left(token_seconds, now_seconds) * token_seconds

    def all_streams(self) -> int:
        """Return the streams of all daemons that run there."""
        return self.n_streams + self.peers_load.n_streams

    def all_held_tokens(self, now_seconds: float) -> int:
        """Return the tokens that the requests of all daemons are expected to hold."""
        if now_seconds - self.reported_seconds > MAX_REPORT_AGE_SECONDS:
            return self.held.tokens
        return self.held.tokens + self.peers_load.held_tokens

    def missing_tokens(self, work: Work, now_seconds: float) -> int:
        """Return the tokens of memory that a request lacks there; 0 if it fits.

        Cached parts that no running request uses yield, so only held tokens count. A
        request that is expected to fill the whole memory fits when nothing is held.
        """
        memory_tokens = self.view.memory_tokens
        if not self.room.need.is_short or not memory_tokens:
            return 0
        held = self.all_held_tokens(now_seconds)
        held += self.room.reserved_tokens(self.view.target, work.request)
        n_tokens = min(memory_tokens, self.room.expected_tokens(work))
        added = self.held.added_tokens(work.levels, n_tokens)
        return max(0, held + added - memory_tokens)

    def has_room(self, work: Work, now_seconds: float) -> bool:
        """Return whether a request fits, or is meant to displace less urgent ones."""
        missing_tokens = self.missing_tokens(work, now_seconds)
        return not missing_tokens or bool(self._yielding(work, missing_tokens))

    def put_back(self, work: Work, now_seconds: float) -> tuple[RequestId, ...]:
        """Return the requests of this daemon that a request is meant to displace."""
        missing_tokens = self.missing_tokens(work, now_seconds)
        return self._yielding(work, missing_tokens) if missing_tokens else ()

    def room_wait_seconds(self, work: Work, now_seconds: float) -> float:
        """Return the predicted wait until a request finds room there."""
        missing_tokens = self.missing_tokens(work, now_seconds)
        if not missing_tokens:
            return 0.0
        return missing_tokens / self.view.memory_tokens * self.rates.hold_seconds

    def _yielding(self, work: Work, missing_tokens: int) -> tuple[RequestId, ...]:
        holders = [
            Holder(
                entry.work.request,
                entry.work.rank,
                entry.dispatched_seconds,
                entry.held_tokens,
                entry.has_first_token and _is_stream(entry.work),
            )
            for entry in self.in_flight.values()
        ]
        return choose_yielding(holders, work.rank, missing_tokens)

    def _judge_room(self, now_seconds: float) -> None:
        held_tokens = self.all_held_tokens(now_seconds)
        self.room.note_held(
            held_tokens, self.view.memory_tokens, self.max_requests(), now_seconds
        )

    def has_slot(self, n_running: float, now_seconds: float) -> bool:
        """Return whether a slot is free besides ``n_running`` requests."""
        if self.is_throttled(now_seconds) or n_running >= self.max_requests():
            return False
        return self.own_slots is None or len(self.in_flight) < self.own_slots

    def has_capacity(self, n_running: float, now_seconds: float) -> bool:
        """Return whether it may take one more request besides ``n_running``."""
        if not self.has_slot(n_running, now_seconds):
            return False
        if self.has_peer_reports:
            token_seconds = self.token_seconds(now_seconds)
            left_tokens = self.backlog.left(token_seconds, now_seconds)
            return left_tokens < self.window_tokens(now_seconds)
        # One request is always allowed: a long prompt may exceed the window.
        return not self.queued_tokens or self.queued_tokens < self.window.tokens

    def is_throttled(self, now_seconds: float) -> bool:
        """Return whether a limit, a back-off or a lack of own slots blocks it now."""
        if self.backoff_until_seconds > now_seconds or self.own_slots == 0:
            return True
        return (
            self.rate_limiter is not None
            and self.rate_limiter.next_seconds > now_seconds
        )

    def throttled_seconds(self, now_seconds: float, n_ahead: int = 0) -> float:
        """Return how long a request behind ``n_ahead`` others is throttled."""
        backoff_seconds = max(0.0, self.backoff_until_seconds - now_seconds)
        if self.rate_limiter is None:
            return backoff_seconds
        return max(
            backoff_seconds, self.rate_limiter.wait_seconds(now_seconds, n_ahead)
        )

    def free_slots(self, now_seconds: float) -> float:
        """Return the free slots; at most one for engines and rate-limited targets."""
        n_running = self.estimate(now_seconds)[1]
        if not self.has_capacity(n_running, now_seconds):
            return 0.0
        is_engine = self.view.cache_tokens > 0
        if is_engine or self.rate_limiter is not None:
            return 1.0
        free_slots = self.max_requests() - n_running
        if self.own_slots is None:
            return free_slots
        return min(free_slots, float(self.own_slots - len(self.in_flight)))

    def max_requests(self) -> float:
        """Return the most requests of all daemons that it should have at a time."""
        n_requests = max(1.0, self.view.concurrency_limit * self.view.serving_share)
        return n_requests if self.own_slots is None else usable_requests(n_requests)

    def excess_requests(self, n_running: float) -> float:
        """Return how many of ``n_running`` requests of all daemons exceed its slots."""
        excess = n_running - self.max_requests()
        if self.own_slots is None:
            return excess
        return max(excess, float(len(self.in_flight) + 1 - self.own_slots))


def _is_stream(work: Work) -> bool:
    return work.gap_seconds > 0.0
