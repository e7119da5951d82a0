"""What we know of one target: its view, our work on it, its lagging reports.

A load report is up to a few seconds old and counts our own requests too. Used
as it stands, every daemon would send its work to the same target that looked
idle a second ago. So our own share at the time of the measurement is taken out
of the report, and what is in flight from here now is added.
"""

from collections import deque
from dataclasses import dataclass, field

from lycheepost.core.ids import RequestId
from lycheepost.decide.backlog import Backlog
from lycheepost.decide.cacheestimate import CacheEstimate
from lycheepost.decide.concurrency import Window
from lycheepost.decide.rates import Rates
from lycheepost.decide.records import LoadReport, TargetView, Work
from lycheepost.decide.sendpace import SendPace
from lycheepost.decide.slow import Slowness

HISTORY_SECONDS = 5.0
"""Load reports are at most a few seconds late."""

SHARED_WINDOW_TOKENS = 4_500
"""Prompt tokens of all daemons together that may wait at one target. They keep its
engine busy for some 0.1 s, until more can arrive; what waits beyond that waits here,
where it can still be ordered, sent where its prefix is, or refused in time."""

REPORT_SECONDS = 10.0
"""A report older than this says nothing about now."""


@dataclass(slots=True)
class InFlight:
    """One request dispatched from here.

    Attributes:
        uncached_tokens: Prompt tokens believed to need prefill.
        cost_seconds: Engine time charged to the customer.
        ahead_tokens: Uncached tokens that waited there before it.
    """

    work: Work
    dispatched_seconds: float
    predicted_seconds: float
    uncached_tokens: int
    cost_seconds: float
    ahead_tokens: float
    is_probe: bool = False
    has_first_token: bool = False


@dataclass(slots=True)
class OwnLoad:
    """Our own load on a target at one time."""

    at_seconds: float
    queued_prompt_tokens: int
    n_running: int


@dataclass(slots=True)
class TargetLoad:
    """Everything the decisions hold about one target.

    Attributes:
        rates: Measured speeds of its group.
        backlog: What it has to read of all that was sent to it.
        queued_tokens: Our own uncached tokens without a first token yet.
        queued_prompt_tokens: The whole prompts of the same requests, which is
            what engines report, as they look into the cache only later.
        peers_tokens: Uncached tokens of other daemons that wait there.
        peers_running: Requests of other daemons that run there.
        slowness: Observed over predicted first-token time, smoothed.
        is_shared: The other daemons tell what they have there.
        rate_limiter: When this daemon may send to it; None while it names no limit.
        backoff_until_seconds: It wants no request from this daemon until then.
    """

    view: TargetView
    cache_estimate: CacheEstimate
    rates: Rates
    backlog: Backlog = field(default_factory=Backlog)
    in_flight: dict[RequestId, InFlight] = field(default_factory=dict)
    queued_tokens: int = 0
    queued_prompt_tokens: int = 0
    window: Window = field(default_factory=Window)
    peers_tokens: float = 0.0
    peers_running: float = 0.0
    reported_seconds: float = float("-inf")
    slowness: Slowness = field(default_factory=Slowness)
    is_shared: bool = False
    rate_limiter: SendPace | None = None
    backoff_until_seconds: float = float("-inf")
    history: deque[OwnLoad] = field(default_factory=deque)

    def replace_view(self, view: TargetView) -> None:
        """Follow a change; what an older incarnation or weights cached is gone."""
        if view.incarnation != self.view.incarnation:
            self.cache_estimate.follow(view.incarnation)
            self.peers_tokens = 0.0
            self.peers_running = 0.0
            self.slowness = Slowness()
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
        self._remember(now_seconds)
        self._follow_sent(now_seconds)

    def first_token(self, entry: InFlight, now_seconds: float) -> None:
        """Count the end of a prefill."""
        if entry.has_first_token:
            return
        entry.has_first_token = True
        self._count_queued(entry, -1)
        self._remember(now_seconds)
        self._follow_sent(now_seconds)

    def end(self, request: RequestId, now_seconds: float) -> InFlight | None:
        """Stop counting a request."""
        entry = self.in_flight.pop(request, None)
        if entry is None:
            return None
        if not entry.has_first_token:
            self._count_queued(entry, -1)
        self._remember(now_seconds)
        self._follow_sent(now_seconds)
        return entry

    def _count_queued(self, entry: InFlight, sign: int) -> None:
        self.queued_tokens += sign * entry.uncached_tokens
        self.queued_prompt_tokens += sign * entry.work.prompt_tokens

    def _follow_sent(self, now_seconds: float) -> None:
        sent_tokens = self.queued_tokens + self._known_peer_load(now_seconds)[0]
        self.backlog.set_sent(
            sent_tokens, self._token_seconds(now_seconds), now_seconds
        )

    def _token_seconds(self, now_seconds: float) -> float:
        return self.rates.token_seconds * self.slowness.now(now_seconds)

    def _known_peer_load(self, now_seconds: float) -> tuple[float, float]:
        """Return tokens and requests of other daemons; an old word says nothing."""
        if now_seconds - self.reported_seconds > REPORT_SECONDS:
            return 0.0, 0.0
        return self.peers_tokens, self.peers_running

    def _remember(self, now_seconds: float) -> None:
        own = OwnLoad(now_seconds, self.queued_prompt_tokens, len(self.in_flight))
        self.history.append(own)
        # The newest entry before the horizon stays: it was true until the next.
        horizon = now_seconds - HISTORY_SECONDS
        while len(self.history) > 1 and self.history[1].at_seconds < horizon:
            self.history.popleft()

    def _own_at(self, at_seconds: float) -> OwnLoad:
        for own in reversed(self.history):
            if own.at_seconds <= at_seconds:
                return own
        return OwnLoad(at_seconds, 0, 0)

    def observe(self, report: LoadReport, uncached_share: float) -> None:
        """Take in a report; one that is older than the last is ignored.

        Args:
            report: What the target measured.
            uncached_share: Share of waiting prompts that needs computing.
        """
        if report.measured_seconds <= self.reported_seconds:
            return
        if not self.cache_estimate.follow(report.incarnation):
            return
        own = self._own_at(report.measured_seconds)
        self.reported_seconds = report.measured_seconds
        n_requests = report.n_running + report.n_queued
        others_prompts = report.queued_prompt_tokens - own.queued_prompt_tokens
        peers_tokens = max(0, others_prompts) * uncached_share
        peers_running = max(0, n_requests - own.n_running)
        # The mean of two reports: one alone may have caught a burst that is
        # long gone when it arrives.
        self.peers_tokens = (self.peers_tokens + peers_tokens) / 2
        self.peers_running = (self.peers_running + peers_running) / 2
        self._follow_sent(report.measured_seconds)

    def set_peer_load(self, tokens: int, n_running: int, now_seconds: float) -> None:
        """Take what the other daemons told that they have here."""
        self.peers_tokens = float(tokens)
        self.peers_running = float(n_running)
        self.reported_seconds = now_seconds
        self.is_shared = True
        self._follow_sent(now_seconds)

    def estimate(self, now_seconds: float) -> tuple[float, float]:
        """Return the tokens without a first token yet there, and the requests there."""
        peers_tokens, peers_running = self._known_peer_load(now_seconds)
        n_running = len(self.in_flight) + peers_running
        return self.queued_tokens + peers_tokens, n_running

    def has_capacity(self, n_running: float, now_seconds: float) -> bool:
        """Tell whether it may take one more beside ``n_running``."""
        if self.is_throttled(now_seconds) or n_running >= self.limit():
            return False
        if self.is_shared:
            token_seconds = self._token_seconds(now_seconds)
            return self.backlog.left(token_seconds, now_seconds) < SHARED_WINDOW_TOKENS
        # One request may always go: windows are narrower than long prompts.
        return not self.queued_tokens or self.queued_tokens < self.window.tokens

    def is_throttled(self, now_seconds: float) -> bool:
        """Tell whether its limit, or a back-off, leaves nothing to this daemon now."""
        if self.backoff_until_seconds > now_seconds:
            return True
        return (
            self.rate_limiter is not None
            and self.rate_limiter.next_seconds > now_seconds
        )

    def throttled_seconds(self, now_seconds: float, n_ahead: int = 0) -> float:
        """Return how long a request is held back behind ``n_ahead`` others."""
        backoff_seconds = max(0.0, self.backoff_until_seconds - now_seconds)
        if self.rate_limiter is None:
            return backoff_seconds
        return max(
            backoff_seconds, self.rate_limiter.wait_seconds(now_seconds, n_ahead)
        )

    def free_slots(self, now_seconds: float) -> float:
        """Return for how many more requests it has room; one where prompts wait."""
        n_running = self.estimate(now_seconds)[1]
        if not self.has_capacity(n_running, now_seconds):
            return 0.0
        is_engine = self.view.cache_tokens > 0
        return (
            1.0
            if is_engine or self.rate_limiter is not None
            else self.limit() - n_running
        )

    def limit(self) -> float:
        """Return the most requests that it should hold."""
        return max(1.0, self.view.concurrency_limit * self.view.serving_share)
