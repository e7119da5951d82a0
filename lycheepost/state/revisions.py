"""The configuration in force on this daemon, and how it changes.

A change is accepted by one conditional transaction on the head row, so that of two
changes with the same basis one succeeds and the other is rejected. A daemon adopts only
higher revisions, from whichever source has them first: its peers, the table, a
snapshot, or at the start its own settings. A revision is never reverted.

In a larger fleet each daemon polls the head less often: the whole fleet reads it about
``_FLEET_POLLS_PER_INTERVAL`` times per poll interval, and peers forward what one of
them found. In a smaller fleet, or with no peers known, each polls once per interval.
"""

import asyncio
import random
import secrets
from collections import deque
from collections.abc import Callable

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import Configuration
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import (
    OutcomeUnknown,
    TableConflict,
    TablePort,
    TableThrottled,
    TableUnavailable,
)
from lycheepost.state.commit_retry import commit_with_retry
from lycheepost.state.deltas import Delta, apply_all, apply_delta, is_empty, make_delta
from lycheepost.state.errors import (
    BasisMoved,
    CommitUnknown,
    StateError,
    StoreUnreachable,
)
from lycheepost.state.revision_rows import (
    EMPTY,
    Head,
    make_revision_transaction,
    read_configuration,
    read_deltas,
    read_head,
    read_newest_snapshot,
)
from lycheepost.state.view import ConfigurationView, make_view
from lycheepost.utils.tasks import start_task

_FLEET_POLLS_PER_INTERVAL = 16
"""Reads of the head per poll interval by the whole fleet. With 540 daemons and an
interval of one second this is 16 of the 2,000 reads a second that the table allows,
and some daemon finds a change within a second even if no peer forwards it."""
_KEPT_DELTAS = 256
"""Newest deltas kept for peers that are slightly behind; at 64,000 changes a day they
cover almost six minutes."""
_START_READERS_PER_SECOND = 7.0
"""Daemons that read the table each second when all restart together. Each reads up to
257 rows (the head and the deltas since the last snapshot), so that 7 stay within 2,000
reads a second on average even if peers forward nothing."""
_MAX_SNAPSHOT_WAIT_SECONDS = 5.0
"""Loading a snapshot takes two reads of the object store: 540 daemons within this time
make 216 reads a second."""
_MAX_MEMBER_WAITS = 50
_MEMBER_WAIT_SECONDS = 0.02
_ASSUMED_DAEMONS = 50
"""Fleet size assumed if the VM list gives none within a second. A fleet of 540 then
reads within 5 seconds, and a single daemon waits 2.5 seconds on average."""
PEER_SOURCE = "peer"
_COMMIT_SECONDS = 10.0
_log = structlog.get_logger(part="revisions")

OnView = Callable[[ConfigurationView], None]


class RevisionManager:
    """The configuration of one daemon; created by ``make_revision_manager``."""

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        clock: Clock,
        poll_seconds: float,
        fallback: Configuration,
        n_daemons: Callable[[], int],
        seed: int,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._poll_seconds = poll_seconds
        self._n_daemons = n_daemons
        self._random = random.Random(seed)
        self._subscribers: list[OnView] = []
        self._recent_deltas: deque[Delta] = deque(maxlen=_KEPT_DELTAS)
        self._task: asyncio.Task[None] | None = None
        self._adopted_seconds = clock.now_seconds()
        self._source = "settings"
        # Deltas apply to the accepted configuration, never to the daemon's settings.
        self._accepted = EMPTY
        self.view = make_view(fallback)
        self.n_polls = 0
        self.n_failed_polls = 0

    @property
    def revision(self) -> Revision:
        """Return the revision in force on this daemon."""
        return Revision(self._accepted.revision)

    @property
    def accepted(self) -> Configuration:
        """Return the highest accepted configuration; empty at revision 0."""
        return self._accepted

    def subscribe(self, on_view: OnView) -> None:
        """Call ``on_view`` with each view adopted in future."""
        self._subscribers.append(on_view)

    def set_daemon_count(self, n_daemons: Callable[[], int]) -> None:
        """Set the source of the number of daemons that share the polling."""
        self._n_daemons = n_daemons

    async def start(self) -> None:
        """Start polling; the initial view is usable at once."""
        self._task = start_task(self._run(), "revisions")

    async def drain(self) -> None:
        """Do nothing: the configuration is needed until the daemon stops."""

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def status(self) -> dict[str, int | float | str]:
        """Return the revision in force and where it came from."""
        age_seconds = self._clock.now_seconds() - self._adopted_seconds
        return {
            "revision": self.revision,
            "source": self._source,
            "adopted_seconds_ago": round(age_seconds, 3),
            "n_polls": self.n_polls,
            "n_failed_polls": self.n_failed_polls,
        }

    def adopt(self, configuration: Configuration, source: str) -> bool:
        """Adopt ``configuration`` if its revision is higher than the current one."""
        if configuration.revision <= self.revision:
            return False
        self._accepted = configuration
        self.view = make_view(configuration, self.view)
        self._source = source
        self._adopted_seconds = self._clock.now_seconds()
        for on_view in self._subscribers:
            on_view(self.view)
        return True

    def adopt_deltas(self, deltas: tuple[Delta, ...], source: str) -> bool:
        """Apply and adopt the deltas that follow the revision in force."""
        before = self.revision
        current = apply_all(self._accepted, deltas)
        self._keep_deltas(deltas, before)
        return self.adopt(current, source)

    def deltas_after(self, revision: Revision) -> tuple[Delta, ...] | None:
        """Return the deltas after ``revision``; None if some are no longer kept."""
        if revision >= self.revision:
            return ()
        found = tuple(
            delta for delta in self._recent_deltas if delta.revision > revision
        )
        if len(found) != self.revision - revision:
            return None
        return found

    async def refresh(self, source: str = "table") -> Result[Revision, StateError]:
        """Read the head and adopt newer revisions."""
        self.n_polls += 1
        match await read_head(self._table):
            case Success(head):
                pass
            case Failure(error):
                self.n_failed_polls += 1
                return Failure(error)
        if head.revision <= self.revision:
            return Success(self.revision)
        return await self._catch_up(head, source)

    async def load_snapshot(self) -> Result[Revision, StateError]:
        """Adopt the newest snapshot if it is higher."""
        match await read_newest_snapshot(self._objects):
            case Success(configuration):
                self.adopt(configuration, "snapshot")
                return Success(self.revision)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def commit(
        self, basis: Revision, configuration: Configuration
    ) -> Result[Revision, StateError]:
        """Make ``configuration`` the next revision if ``basis`` is the newest one.

        Returns:
            The new revision, in force on this daemon; ``BasisMoved`` if another change
            was accepted first; ``StoreUnreachable`` if nothing was changed;
            ``CommitUnknown`` if the outcome could not be determined.
        """
        match await read_head(self._table):
            case Success(head):
                pass
            case Failure(error):
                return Failure(error)
        if head.revision > self.revision:
            await self._catch_up(head, "table")
        if head.revision != basis or self.revision != basis:
            current = max(head.revision, self.revision)
            return Failure(BasisMoved(f"The basis is {current} now.", current))
        before = self._accepted
        revision = Revision(basis + 1)
        delta = make_delta(before, configuration, revision, secrets.token_hex(8))
        if is_empty(delta):
            return Success(basis)
        settled = await self._commit_delta(head, delta)
        if isinstance(settled, Success):
            self._adopt_committed(before, delta)
        return settled

    def _adopt_committed(self, before: Configuration, delta: Delta) -> None:
        """Adopt the committed change unless a peer has already delivered it."""
        if self.revision < delta.revision:
            self._recent_deltas.append(delta)
            self.adopt(apply_delta(before, delta), "own change")

    async def _commit_delta(
        self, head: Head, delta: Delta
    ) -> Result[Revision, StateError]:
        transaction = make_revision_transaction(head, delta)
        deadline_seconds = self._clock.now_seconds() + _COMMIT_SECONDS
        outcome = await commit_with_retry(
            self._table, transaction, self._clock, deadline_seconds
        )
        match outcome:
            case Success():
                return Success(delta.revision)
            case Failure(TableConflict()):
                return await self._read_own(delta, deadline_seconds)
            case Failure(OutcomeUnknown(reason=reason)):
                return Failure(CommitUnknown(reason))
            case Failure((TableThrottled() | TableUnavailable()) as error):
                return Failure(StoreUnreachable(error.reason))
            case Failure(error):
                return Failure(StateError(error.reason))
        raise AssertionError("unreachable")

    async def _read_own(
        self, delta: Delta, deadline_seconds: float
    ) -> Result[Revision, StateError]:
        """Find whether an earlier own attempt or another change was accepted."""
        before = Revision(delta.revision - 1)
        while self._clock.now_seconds() < deadline_seconds:
            match await read_deltas(self._table, before, delta.revision):
                case Success((found,)) if found.token == delta.token:
                    return Success(delta.revision)
                case Success((found,)):
                    reason = "Another change was accepted first."
                    return Failure(BasisMoved(reason, found.revision))
            # A stale read may show no row yet although the head has changed.
            await asyncio.sleep(0.1)
        return Failure(CommitUnknown("The outcome could not be read back."))

    async def _catch_up(self, head: Head, source: str) -> Result[Revision, StateError]:
        while self.revision < head.revision and head.snapshot <= self.revision:
            match await read_deltas(self._table, self.revision, head.revision):
                case Success(deltas) if deltas:
                    self.adopt_deltas(deltas, source)
                case Success(_):
                    break
                case Failure(error):
                    return Failure(error)
        if self.revision >= head.revision:
            return Success(self.revision)
        return await self._load_configuration(source)

    async def _load_configuration(self, source: str) -> Result[Revision, StateError]:
        match await read_configuration(self._table, self._objects, self._accepted):
            case Success(configuration):
                self.adopt(configuration, source)
                return Success(self.revision)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    def _keep_deltas(self, deltas: tuple[Delta, ...], before: Revision) -> None:
        expected = before + 1
        for delta in sorted(deltas, key=lambda item: item.revision):
            if delta.revision == expected:
                self._recent_deltas.append(delta)
                expected += 1

    async def _run(self) -> None:
        await self._start_up()
        while True:
            await asyncio.sleep(self._next_poll_seconds())
            outcome = await self.refresh()
            if isinstance(outcome, Failure) and self.n_failed_polls == 1:
                _log.warning("revisions: table does not respond")

    async def _start_up(self) -> None:
        """Get a first configuration from peers, a snapshot or the table, in this order.

        Peers respond within a round trip, and then nothing is read at all. If the whole
        fleet restarts at once, no peer has a configuration: each daemon waits for a
        random time, the first ones read, and they forward the result before most others
        start to read.
        """
        n_daemons = await self._wait_for_members()
        spread_seconds = n_daemons / _START_READERS_PER_SECOND
        table_seconds = self._random.uniform(0, spread_seconds)
        snapshot_seconds = self._random.uniform(
            0, min(spread_seconds, _MAX_SNAPSHOT_WAIT_SECONDS)
        )
        await asyncio.sleep(min(snapshot_seconds, table_seconds))
        if self.revision == 0 and snapshot_seconds < table_seconds:
            await self.load_snapshot()
            await asyncio.sleep(table_seconds - snapshot_seconds)
        if not self._source.startswith(PEER_SOURCE):
            await self.refresh()

    async def _wait_for_members(self) -> int:
        """Return the size of the fleet, or an assumed size if it stays unknown."""
        for _ in range(_MAX_MEMBER_WAITS):
            n_daemons = self._n_daemons()
            if n_daemons > 0:
                return n_daemons
            await asyncio.sleep(_MEMBER_WAIT_SECONDS)
        return _ASSUMED_DAEMONS

    def _next_poll_seconds(self) -> float:
        spread = max(1.0, self._n_daemons() / _FLEET_POLLS_PER_INTERVAL)
        return self._poll_seconds * spread * self._random.uniform(0.5, 1.5)


def make_revision_manager(
    table: TablePort,
    objects: ObjectPort,
    clock: Clock,
    poll_seconds: float = 1.0,
    fallback: Configuration | None = None,
    n_daemons: Callable[[], int] | None = None,
    seed: int = 0,
) -> RevisionManager:
    """Return the manager of one daemon's configuration.

    Args:
        table: Stores the accepted changes.
        objects: Stores the snapshots.
        clock: Clock of this daemon.
        poll_seconds: Poll interval of the head; longer in a large fleet.
        fallback: In force until another source responds. It counts as revision 0, so
            that any accepted configuration replaces it.
        n_daemons: Returns the number of live daemons; if None this one polls alone.
        seed: Seed of the jitter.
    """
    first = EMPTY if fallback is None else _with_revision_zero(fallback)
    return RevisionManager(
        table, objects, clock, poll_seconds, first, n_daemons or (lambda: 1), seed
    )


def _with_revision_zero(fallback: Configuration) -> Configuration:
    return Configuration(
        revision=0,
        customers=fallback.customers,
        models=fallback.models,
        target_groups=fallback.target_groups,
        targets=fallback.targets,
        capacity_intents=fallback.capacity_intents,
    )
