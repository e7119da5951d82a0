"""Steps of retryparts.feature."""

import math
import random
from bisect import bisect_left
from dataclasses import dataclass, field

from behave import given, then, when

from lycheepost.core.ids import DaemonId
from lycheepost.decide.retry import RetryBudget, RetryTerms
from lycheepost.decide.retryparts import RetryPart, fleet_retry_terms

WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.1
REQUESTS_PER_STEP = 2
SEEN_SECONDS = 0.8
"""How late daemons hear of a change."""

TRIES = 5


@dataclass
class ModelDaemon:
    """One daemon, which may start again and counts only its own retries."""

    name: DaemonId
    part: RetryPart
    budget: RetryBudget
    is_up: bool = True
    half: frozenset | None = None


@dataclass
class ModelFleet:
    """Daemons, and all requests and retries with their times."""

    n: int
    n_entry: int
    burst: float
    rng: random.Random
    daemons: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    retries: list = field(default_factory=list)
    views: list = field(default_factory=list)
    without_paths: frozenset = frozenset()
    """Daemons whose requests arrive at the others; they pay for relays."""
    sound_until_seconds: float = 0.0

    def begin(self):
        for index in range(self.n):
            self.start(DaemonId(f"daemon-{index}"), 0.0, is_first_start=True)

    def start(self, name, now_seconds, is_first_start=False):
        part = RetryPart(WINDOW_SECONDS, now_seconds, is_first_start)
        budget = RetryBudget(RetryTerms(0.0, 0.0, WINDOW_SECONDS))
        self.daemons = [item for item in self.daemons if item.name != name]
        self.daemons.append(ModelDaemon(name, part, budget))

    def entry(self):
        up = sorted(item.name for item in self.daemons if item.is_up)
        return frozenset(up[: self.n_entry])

    def step(self, now_seconds):
        """Tell all daemons what was true a moment ago, and let requests fail."""
        self.views.append((now_seconds, self.entry(), len(self.daemons)))
        while self.views[0][0] < now_seconds - SEEN_SECONDS:
            self.views.pop(0)
        _, entry, n_daemons = self.views[0]
        for daemon in [item for item in self.daemons if item.is_up]:
            seen_entry, n_seen = entry, n_daemons
            if daemon.half is not None:
                seen_entry = entry & daemon.half
                n_seen = len(daemon.half)
            divisor = daemon.part.divisor(
                daemon.name in seen_entry, len(seen_entry), n_seen, now_seconds
            )
            terms = fleet_retry_terms(0.2, self.burst, WINDOW_SECONDS, divisor)
            daemon.budget.set_terms(terms)
        carriers = [
            item
            for item in self.daemons
            if item.name in self.entry() and item.name not in self.without_paths
        ]
        for _ in range(REQUESTS_PER_STEP):
            daemon = self.rng.choice(carriers or self.daemons)
            self.requests.append(now_seconds)
            daemon.budget.note_first_attempt(now_seconds)
            if now_seconds < self.sound_until_seconds:
                continue
            self.repeat(daemon, now_seconds)
            for relaying in self.daemons:
                if relaying.name in self.without_paths:
                    self.repeat(relaying, now_seconds)

    def repeat(self, daemon, now_seconds):
        """Let a daemon send a request again as often as its budget allows."""
        for _ in range(TRIES):
            if not daemon.is_up or not daemon.budget.spend(now_seconds):
                return
            self.retries.append(now_seconds)

    def disturb(self, trouble, now_seconds):
        """Cause the next trouble."""
        rng = self.rng
        up = [item for item in self.daemons if item.is_up]
        match trouble:
            case "go on":
                pass
            case "are killed and start again":
                for daemon in rng.sample(up, max(1, len(up) // 3)):
                    self.start(daemon.name, now_seconds)
            case "are all killed at once and start again":
                for daemon in list(self.daemons):
                    self.start(daemon.name, now_seconds)
            case "do not hear of half of the others":
                names_up = sorted(item.name for item in up)
                halves = [frozenset(names_up[place::2]) for place in (0, 1)]
                for daemon in up:
                    own = next(half for half in halves if daemon.name in half)
                    daemon.half = None if daemon.half else own
            case "are replaced by new ones":
                gone = rng.choice(up)
                self.daemons.remove(gone)
                self.start(DaemonId(f"new-{now_seconds:.1f}"), now_seconds)
            case "take over from entry daemons that died":
                for name in list(self.entry()):
                    next(item for item in up if item.name == name).is_up = False
            case "lose their paths as servers begin to fail":
                names_up = sorted(item.name for item in up)
                lost, left = names_up[::2], names_up[1::2]
                cut = lost if set(lost) != self.without_paths else left
                self.without_paths = frozenset(cut)
                self.sound_until_seconds = rng.choice((0.0, now_seconds + 8.0))
            case "get all requests in turn as servers begin to fail":
                chosen = rng.choice([item.name for item in up])
                others = {item.name for item in up} - {chosen}
                self.without_paths = frozenset(others)
                self.sound_until_seconds = rng.choice((0.0, now_seconds + 12.0))
            case _:
                raise ValueError(trouble)


def play(n, n_entry, burst, seconds, trouble, seed):
    fleet = ModelFleet(n, n_entry, burst, random.Random(seed))
    fleet.begin()
    due_seconds = fleet.rng.uniform(5.0, 20.0)
    for number in range(int(seconds / STEP_SECONDS)):
        now_seconds = number * STEP_SECONDS
        if now_seconds >= due_seconds:
            fleet.disturb(trouble, now_seconds)
            due_seconds = now_seconds + fleet.rng.uniform(2.0, 15.0)
        fleet.step(now_seconds)
    return fleet


def used_shares(fleet):
    """Return the used share of the allowed retries in each window."""
    shares = []
    for start in sorted(set(fleet.retries)):
        end = start + WINDOW_SECONDS
        n_retries = bisect_left(fleet.retries, end) - bisect_left(fleet.retries, start)
        n_requests = bisect_left(fleet.requests, end) - bisect_left(
            fleet.requests, start
        )
        n_before = bisect_left(fleet.requests, start) - bisect_left(
            fleet.requests, start - WINDOW_SECONDS
        )
        shares.append(n_retries / (0.2 * max(n_requests, n_before) + fleet.burst))
    return shares


@given(
    "{n:d} daemons, of which {n_entry:d} are entry daemons, that may send 0.2 of their"
    " requests again and {burst:d} beyond in any 10 s"
)
def step_fleet(context, n, n_entry, burst):
    context.fleet = (n, n_entry, burst)


@when(
    "all requests fail for {seconds:d} s while daemons {trouble}, in {runs:d} seeded"
    " runs"
)
def step_play(context, seconds, trouble, runs):
    context.shares = {
        seed: used_shares(play(*context.fleet, seconds, trouble, seed))
        for seed in range(runs)
    }


@then("no 10 s hold more retries of all daemons together than allowed")
def step_bound(context):
    worst = {seed: max(shares) for seed, shares in context.shares.items()}
    assert max(worst.values()) <= 1.0, worst


@then("at least half of the allowed retries were used in some 10 s")
def step_used(context):
    assert min(max(shares) for shares in context.shares.values()) >= 0.5


def divisor(part, n, now_seconds):
    return part.divisor(True, n, n, now_seconds)


@given("a daemon of {n:d} that has started again")
def step_restarted(context, n):
    context.n = n
    context.part = RetryPart(WINDOW_SECONDS, 100.0, is_first_start=False)


@then("its part is 0 for 10 s, and a seventh 15 s after the start")
def step_no_part(context):
    for number in range(100):
        assert math.isinf(divisor(context.part, context.n, 100.0 + number / 10))
    assert divisor(context.part, context.n, 115.0) == 7


@then("a daemon of 7 that starts with the whole fleet has a seventh at once")
def step_first_start(context):
    part = RetryPart(WINDOW_SECONDS, 100.0, is_first_start=True)
    assert divisor(part, 7, 100.2) == 7


@given("a daemon of {n:d} that has long run")
def step_long_run(context, n):
    context.part = RetryPart(WINDOW_SECONDS, 0.0, is_first_start=False)
    for number in range(100):
        divisor(context.part, n, 1.0 * number)


@when("it hears of {n:d} daemons only")
def step_hears(context, n):
    context.n = n


@then("its part stays an eighth for {seconds:d} s")
def step_stays(context, seconds):
    for number in range(seconds):
        assert divisor(context.part, context.n, 100.0 + number) == 8


@then("it is a quarter {seconds:d} s later")
def step_quarter(context, seconds):
    for number in range(20):
        found = divisor(context.part, context.n, 400.0 + seconds + number)
    assert found == 4
