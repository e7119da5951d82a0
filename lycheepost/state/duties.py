"""Run a duty on one daemon of the fleet, under a lease.

Any daemon may hold any duty. Only a few stand ready for each (``is_candidate``),
chosen by rendezvous hashing over the live members: 540 daemons that all watched
a lease would cost more reads than the duty itself.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import DaemonId
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.leases import Lease, LeaseKeeper, LeaseTaken
from lycheepost.utils.tasks import start_task

CANDIDATES = 3
"""Daemons that stand ready for a duty: enough that a rack or an availability zone
may go, few enough that a duty costs under one read a second."""
_log = structlog.get_logger(part="duties")

Work = Callable[[Callable[[], Lease]], Awaitable[None]]


class DutyRunner:
    """Acquires the lease of one duty, works, renews, and starts over.

    Args:
        leases: The leases of this daemon.
        duty: Name of the duty.
        is_candidate: Whether this daemon stands ready now.
        work: Called while the lease is held, again and again; it gets a function
            that returns the newest lease, to be asked at each send.
        period_seconds: Time between calls of ``work``; less than half a lease.
        clock: The clock of the leases.
        seed: Seed of the jitter.
        watch_seconds: Longest time between two looks at a lease that somebody else
            holds. A lease counts as run out only when it was seen not to move for
            its length, so a long pause between looks is added to every takeover.
        last_order_seconds: Returns when the work last sent an order; infinite when
            that is not known.
        on_held: Told of the lease each time that its row was written.
        on_released: Told of a lease that was given up.
        settle_seconds: How long after its start a daemon takes no lease. Until it
            knows the others each takes itself for a candidate, and two hundred that
            start at once would all read the lease.
    """

    def __init__(
        self,
        leases: LeaseKeeper,
        duty: str,
        is_candidate: Callable[[], bool],
        work: Work,
        period_seconds: float,
        clock: Clock,
        seed: int = 0,
        watch_seconds: float = math.inf,
        last_order_seconds: Callable[[], float] = lambda: math.inf,
        settle_seconds: float = 0.0,
        on_held: Callable[[Lease], None] = lambda _lease: None,
        on_released: Callable[[Lease], None] = lambda _lease: None,
    ) -> None:
        self._on_held = on_held
        self._on_released = on_released
        self._settle_seconds = settle_seconds
        self._last_order_seconds = last_order_seconds
        self._watch_seconds = watch_seconds
        self._leases = leases
        self._duty = duty
        self._is_candidate = is_candidate
        self._work = work
        self._period_seconds = period_seconds
        self._clock = clock
        self._random = random.Random(seed)
        self._lease: Lease | None = None
        self._task: asyncio.Task[None] | None = None
        self.n_failures = 0

    async def start(self) -> None:
        """Begin to stand ready."""
        self._task = start_task(self._run(), "duty")

    async def drain(self) -> None:
        """Give the lease up, so that another daemon takes over at once."""
        await self.stop()

    async def stop(self) -> None:
        """Stop working and release the lease if it is held."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        lease, self._lease = self._lease, None
        if lease is not None and lease.is_kept(self._clock.now_seconds()):
            await self._leases.release(lease, self._last_order_seconds())
            self._on_released(lease)

    def status(self) -> dict[str, object]:
        """Return whether this daemon holds the duty."""
        now_seconds = self._clock.now_seconds()
        is_held = self._lease is not None and self._lease.is_held(now_seconds)
        return {"duty": self._duty, "is_held": is_held, "n_failures": self.n_failures}

    async def _run(self) -> None:
        await asyncio.sleep(self._settle_seconds)
        while True:
            if self._lease is not None:
                wait_seconds = await self._hold()
            elif self._is_candidate() and not self._leases.was_told(self._duty):
                wait_seconds = await self._try_acquire()
            else:
                wait_seconds = self._period_seconds
            await asyncio.sleep(wait_seconds * self._random.uniform(0.9, 1.1))

    async def _try_acquire(self) -> float:
        match await self._leases.acquire(self._duty):
            case Success(lease):
                self._keep(lease)
                return 0.0
            case Failure(LeaseTaken(retry_after_seconds=seconds)):
                wait_seconds = max(self._period_seconds, seconds)
                return min(wait_seconds, self._watch_seconds)
            case Failure(error):
                _log.info("duties: not taken", duty=self._duty, reason=error.reason)
        return self._period_seconds

    async def _hold(self) -> float:
        await self._do_work()
        if self._lease is None:
            return self._period_seconds
        match await self._leases.renew(self._lease):
            case Success(lease):
                self._keep(lease)
            case Failure(error):
                is_kept = self._lease.is_kept(self._clock.now_seconds())
                said = "duties: not renewed" if is_kept else "duties: lost"
                _log.warning(said, duty=self._duty, reason=error.reason)
                if not is_kept:
                    self._lease = None
        return self._period_seconds

    def _keep(self, lease: Lease) -> None:
        self._lease = lease
        self._on_held(lease)

    async def _do_work(self) -> None:
        try:
            await self._work(self._current)
        except Exception:
            # A duty that raises must not end its runner: the lease would be
            # held by nobody else either until it ran out, again and again.
            self.n_failures += 1
            _log.exception("duties: failed", duty=self._duty)

    def _current(self) -> Lease:
        if self._lease is None:
            raise RuntimeError("The lease is asked for outside of the work.")
        return self._lease


def is_candidate(
    duty: str, me: DaemonId, members: tuple[Member, ...], n_candidates: int = CANDIDATES
) -> bool:
    """Return whether ``me`` is among the daemons that stand ready for ``duty``."""
    live = [member.daemon for member in members if member.state is MemberState.LIVE]
    return me in rendezvous_order(hash_bytes(duty.encode()), live)[:n_candidates]
