"""Run a duty on one daemon of the fleet, under a lease.

Any daemon can be chosen for any duty. At any time only a few are candidates for each
(``is_candidate``), chosen by rendezvous hashing over the live members: if all 540
daemons polled a lease, that would cost more reads than the duty itself.
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
from lycheepost.state.leases import (
    Lease,
    LeaseLost,
    LeaseManager,
    LeasesUnknown,
    LeaseTaken,
)
from lycheepost.utils.tasks import start_task

CANDIDATES_PER_DUTY = 3
"""Candidates per duty: enough to survive the loss of a rack or an availability zone,
few enough that a duty costs less than one read a second."""
_log = structlog.get_logger(part="duties")

Work = Callable[[Callable[[], Lease]], Awaitable[None]]


class DutyRunner:
    """Acquires the lease of one duty, then does the work and renews in a loop.

    Args:
        leases: The leases of this daemon.
        duty: Name of the duty.
        is_candidate: Returns whether this daemon is currently a candidate.
        can_work: Returns whether it can do the work at present; if not, it releases
            the lease.
        work: Called repeatedly while the lease is held, with a function that returns
            the newest lease. ``work`` calls it before each order to a target.
        period_seconds: Time between calls of ``work``; less than half a lease.
        clock: The clock of the leases.
        seed: Seed of the jitter.
        max_poll_seconds: Maximum time between polls of a lease that another daemon
            holds. A lease counts as expired only after its row was seen unchanged for
            the lease's length, so a longer interval delays every takeover.
        last_order_seconds: Returns when the work last sent an order; infinite if
            unknown.
        on_held: Called with the lease each time its row was written.
        on_released: Called with a lease that was released.
        startup_delay_seconds: How long a daemon acquires no lease after its start.
            Until it knows its peers, each daemon considers itself a candidate, and two
            hundred that start at once would all read the lease.
    """

    def __init__(
        self,
        leases: LeaseManager,
        duty: str,
        is_candidate: Callable[[], bool],
        work: Work,
        period_seconds: float,
        clock: Clock,
        seed: int = 0,
        max_poll_seconds: float = math.inf,
        last_order_seconds: Callable[[], float] = lambda: math.inf,
        startup_delay_seconds: float = 0.0,
        on_held: Callable[[Lease], None] = lambda _lease: None,
        on_released: Callable[[Lease], None] = lambda _lease: None,
        can_work: Callable[[], bool] = lambda: True,
    ) -> None:
        self._can_work = can_work
        self._on_held = on_held
        self._on_released = on_released
        self._startup_delay_seconds = startup_delay_seconds
        self._last_order_seconds = last_order_seconds
        self._max_poll_seconds = max_poll_seconds
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
        """Start to compete for the lease while this daemon is a candidate."""
        self._task = start_task(self._run(), "duty")

    async def drain(self) -> None:
        """Release the lease, so that another daemon takes over at once."""
        await self.stop()

    async def stop(self) -> None:
        """Stop working and release the lease if it is held."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        await self._release()

    async def _release(self) -> None:
        """Release the lease if it is held."""
        lease, self._lease = self._lease, None
        if lease is not None and lease.is_unexpired(self._clock.now_seconds()):
            await self._leases.release(lease, self._last_order_seconds())
            self._on_released(lease)

    def status(self) -> dict[str, object]:
        """Return whether this daemon holds the duty."""
        now_seconds = self._clock.now_seconds()
        is_held = self._lease is not None and self._lease.is_held(now_seconds)
        return {"duty": self._duty, "is_held": is_held, "n_failures": self.n_failures}

    async def _run(self) -> None:
        await asyncio.sleep(self._startup_delay_seconds)
        while True:
            if not self._can_work():
                await self._release()
                wait_seconds = self._period_seconds
            elif self._lease is not None:
                wait_seconds = await self._work_and_renew()
            elif self._is_candidate() and not self._leases.is_renewal_reported(
                self._duty
            ):
                wait_seconds = await self._try_acquire()
            else:
                wait_seconds = self._period_seconds
            await asyncio.sleep(wait_seconds * self._random.uniform(0.9, 1.1))

    async def _try_acquire(self) -> float:
        match await self._leases.acquire(self._duty):
            case Success(lease):
                self._set_lease(lease)
                return 0.0
            case Failure(LeaseTaken(retry_after_seconds=seconds)):
                wait_seconds = max(self._period_seconds, seconds)
                return min(wait_seconds, self._max_poll_seconds)
            case Failure(LeasesUnknown(reason=reason, retry_after_seconds=seconds)):
                _log.info(
                    "duties: lease not acquired",
                    duty=self._duty,
                    reason=reason,
                    retry_after_seconds=round(seconds, 3),
                )
                return max(self._period_seconds, seconds)
            case Failure(error):
                _log.info(
                    "duties: lease not acquired", duty=self._duty, reason=error.reason
                )
        return self._period_seconds

    async def _work_and_renew(self) -> float:
        await self._do_work()
        if self._lease is None:
            return self._period_seconds
        match await self._leases.renew(self._lease):
            case Success(lease):
                self._set_lease(lease)
            case Failure(error):
                # Others count from the row in the store, whoever wrote it.
                is_lost = isinstance(error, LeaseLost) or not self._lease.is_unexpired(
                    self._clock.now_seconds()
                )
                event = "duties: lease lost" if is_lost else "duties: lease not renewed"
                _log.warning(event, duty=self._duty, reason=error.reason)
                if is_lost:
                    self._lease = None
        return self._period_seconds

    def _set_lease(self, lease: Lease) -> None:
        self._lease = lease
        self._on_held(lease)

    async def _do_work(self) -> None:
        try:
            await self._work(self._get_lease)
        except Exception:
            # An exception in the work must not end the runner: each daemon in turn
            # would acquire the lease, stop, and block the duty until it expires.
            self.n_failures += 1
            _log.exception("duties: work failed", duty=self._duty)

    def _get_lease(self) -> Lease:
        if self._lease is None:
            raise RuntimeError("The lease was requested while the duty is not held.")
        return self._lease


def is_candidate(
    duty: str,
    me: DaemonId,
    members: tuple[Member, ...],
    n_candidates: int = CANDIDATES_PER_DUTY,
) -> bool:
    """Return whether ``me`` is among the candidates for ``duty``."""
    live = [member.daemon for member in members if member.state is MemberState.LIVE]
    return me in rendezvous_order(hash_bytes(duty.encode()), live)[:n_candidates]
