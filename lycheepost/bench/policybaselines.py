"""The policies that ours is measured against.

All speak the scheduler's interface and run once per daemon, as ours does. The
first five send each request on at once and leave queueing to the engines; the
last three hold work back like ours, with simpler rules.
"""

import random
from collections import deque
from typing import Protocol

from lycheepost.core.ids import (
    Incarnation,
    RequestId,
    TargetId,
)
from lycheepost.decide.queueing import FairQueue
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    LoadReport,
    Outcome,
    RefusalReason,
    Refuse,
    TargetState,
    TargetView,
    Work,
)
from lycheepost.decide.ring import Ring
from lycheepost.generated.engine import CacheEvent


class Policy(Protocol):
    """What the bench asks of a policy; ``decide.scheduler`` describes it."""

    def replace_targets(
        self, targets: tuple[TargetView, ...], now_seconds: float
    ) -> list[Outcome]:
        """See ``Scheduler.replace_targets``."""
        ...

    def arrive(self, work: Work, now_seconds: float) -> list[Outcome]:
        """See ``Scheduler.arrive``."""
        ...

    def retry(self, work: Work, now_seconds: float) -> list[Outcome]:
        """See ``Scheduler.retry``."""
        ...

    def first_token(
        self, request: RequestId, now_seconds: float, cached_tokens: int | None
    ) -> None:
        """See ``Scheduler.first_token``."""
        ...

    def finish(
        self, request: RequestId, now_seconds: float, kind: FinishKind
    ) -> list[Outcome]:
        """See ``Scheduler.finish``."""
        ...

    def cancel(self, request: RequestId, now_seconds: float) -> list[Outcome]:
        """See ``Scheduler.cancel``."""
        ...

    def tick(self, now_seconds: float) -> list[Outcome]:
        """See ``Scheduler.tick``."""
        ...

    def observe_load(self, report: LoadReport, now_seconds: float) -> None:
        """See ``Scheduler.observe_load``."""
        ...

    def observe_cache_events(
        self,
        target: TargetId,
        boot_id: Incarnation,
        events: tuple[CacheEvent, ...],
        now_seconds: float,
    ) -> None:
        """See ``Scheduler.observe_cache_events``."""
        ...


class Baseline:
    """Sends each request on at once; subclasses choose the target."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.targets: list[TargetId] = []
        self.outstanding: dict[TargetId, int] = {}
        self._running: dict[RequestId, TargetId] = {}

    def choose(self, work: Work, targets: list[TargetId]) -> TargetId:
        """Return one of ``targets``."""
        raise NotImplementedError

    def replace_targets(
        self, targets: tuple[TargetView, ...], now_seconds: float
    ) -> list[Outcome]:
        """Follow a change of the targets."""
        self.targets = [
            view.target for view in targets if view.state is TargetState.SERVING
        ]
        for target in self.targets:
            self.outstanding.setdefault(target, 0)
        return []

    def arrive(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Send a request on."""
        usable = [item for item in self.targets if item not in work.excluded]
        if not usable:
            return [Refuse(work.request, RefusalReason.NO_TARGET, 1.0)]
        return [self.send(work, self.choose(work, usable))]

    def send(self, work: Work, target: TargetId) -> Dispatch:
        """Count and return a dispatch."""
        self.outstanding[target] += 1
        self._running[work.request] = target
        return Dispatch(work.request, target, 0.0, 0)

    def retry(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Send a request on again."""
        return self.arrive(work, now_seconds)

    def first_token(
        self, request: RequestId, now_seconds: float, cached_tokens: int | None
    ) -> None:
        """Ignore a first token."""

    def finish(
        self, request: RequestId, now_seconds: float, kind: FinishKind
    ) -> list[Outcome]:
        """Stop counting a request."""
        target = self._running.pop(request, None)
        if target is not None:
            self.outstanding[target] -= 1
        return []

    def cancel(self, request: RequestId, now_seconds: float) -> list[Outcome]:
        """Nothing ever waits here."""
        return []

    def tick(self, now_seconds: float) -> list[Outcome]:
        """Nothing falls due with time."""
        return []

    def observe_load(self, report: LoadReport, now_seconds: float) -> None:
        """Ignore load reports."""

    def observe_cache_events(
        self,
        target: TargetId,
        boot_id: Incarnation,
        events: tuple[CacheEvent, ...],
        now_seconds: float,
    ) -> None:
        """Ignore cache events."""


class RandomPolicy(Baseline):
    """Any target."""

    def choose(self, work: Work, targets: list[TargetId]) -> TargetId:
        """Return a random target."""
        return self.rng.choice(targets)


class RoundRobin(Baseline):
    """Each target in turn."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._turn = self.rng.randrange(1000)

    def choose(self, work: Work, targets: list[TargetId]) -> TargetId:
        """Return the next target."""
        self._turn += 1
        return targets[self._turn % len(targets)]


class LeastOutstanding(Baseline):
    """The target with the fewest of our requests."""

    def choose(self, work: Work, targets: list[TargetId]) -> TargetId:
        """Return the least loaded target, by chance among equals."""
        least = min(self.outstanding[target] for target in targets)
        equal = [item for item in targets if self.outstanding[item] == least]
        return self.rng.choice(equal)


class TwoChoices(Baseline):
    """The less loaded of two random targets."""

    def choose(self, work: Work, targets: list[TargetId]) -> TargetId:
        """Return the better of two."""
        pair = [self.rng.choice(targets), self.rng.choice(targets)]
        return min(pair, key=lambda target: self.outstanding[target])


class PrefixHash(Baseline):
    """The owner of the prompt's shared prefix on a hash ring."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._ring = Ring()

    def choose(self, work: Work, targets: list[TargetId]) -> TargetId:
        """Return the first owner that is usable."""
        self._ring.replace(set(targets))
        key = work.levels[-2 if len(work.levels) > 1 else -1].digest
        return self._ring.owners(key, 1)[0]


class Holding(LeastOutstanding):
    """Holds work back above a number of requests per target."""

    PER_TARGET = 6
    """Seven daemons x 6 = 42 of the 64 requests that an engine runs."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.deadlines: dict[RequestId, float] = {}

    def push(self, work: Work, now_seconds: float) -> None:
        """Put a request into the queue."""
        raise NotImplementedError

    def pop(self, now_seconds: float) -> Work | None:
        """Take the next request out of the queue."""
        raise NotImplementedError

    def arrive(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Queue a request and send on what has room."""
        self.push(work, now_seconds)
        return self.dispatch_waiting(now_seconds)

    def dispatch_waiting(self, now_seconds: float) -> list[Outcome]:
        """Send on while some target has room."""
        outcomes: list[Outcome] = []
        while any(self.outstanding[item] < self.PER_TARGET for item in self.targets):
            work = self.pop(now_seconds)
            if work is None:
                break
            outcomes.extend(super().arrive(work, now_seconds))
        return outcomes

    def finish(
        self, request: RequestId, now_seconds: float, kind: FinishKind
    ) -> list[Outcome]:
        """Stop counting a request and use its room."""
        super().finish(request, now_seconds, kind)
        return self.dispatch_waiting(now_seconds)


class Fifo(Holding):
    """First come, first served; what its caller has left is skipped."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._queue: deque[Work] = deque()
        self._left: set[RequestId] = set()

    def push(self, work: Work, now_seconds: float) -> None:
        """Append."""
        self._queue.append(work)

    def pop(self, now_seconds: float) -> Work | None:
        """Return the oldest whose caller is still there."""
        while self._queue:
            work = self._queue.popleft()
            if work.request not in self._left:
                return work
            self._left.discard(work.request)
        return None

    def cancel(self, request: RequestId, now_seconds: float) -> list[Outcome]:
        """Skip a request later."""
        self._left.add(request)
        return []


class ReactiveDrop(Fifo):
    """First come, first served; drops what has waited most of its patience."""

    DROP_SHARE = 0.8

    def tick(self, now_seconds: float) -> list[Outcome]:
        """Refuse what has waited too long."""
        outcomes: list[Outcome] = []
        while self._queue:
            work = self._queue[0]
            waited = now_seconds - work.arrived_seconds
            if waited < self.DROP_SHARE * work.first_token_timeout_seconds:
                break
            self._queue.popleft()
            if work.request not in self._left:
                outcomes.append(Refuse(work.request, RefusalReason.DEADLINE, 1.0))
            self._left.discard(work.request)
        return outcomes


class FairShare(Holding):
    """Fair between customers, blind to deadlines and prefixes."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._queue = FairQueue()

    def push(self, work: Work, now_seconds: float) -> None:
        """Queue in the customer's lane, at one unit a request."""
        self._queue.push(self._queue.make_waiting(work, 1.0, now_seconds))

    def pop(self, now_seconds: float) -> Work | None:
        """Return the next in fair order."""
        for waiting in self._queue.in_order(1):
            self._queue.remove(waiting.work.request)
            self._queue.charge(waiting.work.customer, 1.0)
            return waiting.work
        return None

    def cancel(self, request: RequestId, now_seconds: float) -> list[Outcome]:
        """Take a request out."""
        self._queue.remove(request)
        return []


BASELINES: dict[str, type[Baseline]] = {
    "random": RandomPolicy,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "two_choices": TwoChoices,
    "prefix_hash": PrefixHash,
    "fifo": Fifo,
    "fair_share": FairShare,
    "reactive_drop": ReactiveDrop,
}
