"""Follow the store through a peer that follows it, directly or through another peer.

Few daemons poll the store. The others ask one of these, or a daemon that does. They
poll the store themselves when no peer answers, or when all are behind or have lost the
store. The number of calls to the store hardly grows with the number of daemons, and a
peer forwards only what the store has answered.

The freshness of an answer is measured from the arrival of its request at the peer.
That is after the request was sent here, so a state confirmed some time after the
arrival was confirmed at least that long after the sending. Neither a delayed message
nor a suspended daemon makes an answer appear fresher than it is.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId
from lycheepost.generated.messages import FeedAnswer, FeedAsk, FeedRow
from lycheepost.peers.exchange import PeerExchange
from lycheepost.ports.feed import ChangedRow, Changes, FeedPort
from lycheepost.ports.table import TableError
from lycheepost.state.feedmirror import FeedMirror
from lycheepost.utils.tasks import start_task

PEER_HOLD_SECONDS = 0.6
"""How long a peer holds a request without a change. Keys are accepted on confirmations
up to 3.8 s old. A state forwarded by a peer is up to 2.4 s old, and 3.0 s when its
answer arrives."""

MAX_PEERS_ASKED = 2
"""Peers to ask in sequence before asking the store."""

STORE_HOLD_SECONDS = 0.8
"""How long the store holds a request of a daemon that answers peers."""

ANSWER_MARGIN_SECONDS = 0.3
"""Time beyond the hold time after which a peer counts as failed. Between availability
zones a message takes a few milliseconds, and a daemon is rarely busy for that long."""

FAILED_PEER_PAUSE_SECONDS = 5.0
"""How long a peer that did not answer is not asked; the next peer or the store is asked
instead. The death of a peer is detected within that time."""

REFUSED_PEER_PAUSE_SECONDS = 2.0
"""How long a peer that refused is not asked. It has no recent answer of the store
itself: it has just started, or will have reached the store again by then."""

STORE_INTERVAL_SECONDS = 0.25
"""Minimum time between two requests to the store for one table. While weights are
changed the registrations of targets change some twenty times a second, and each change
would cost a request of its own. Targets that leave must be known within two seconds."""

START_DELAY_SECONDS = 1.2
"""How long after its start a daemon asks the store for no changes: by then it knows
its peers. The state read at the start counts as fresh for three times as long. Without
the delay, the first requests of 200 daemons that start at once are a tenth of a day's
calls."""

FALLBACK_STORE_INTERVAL_SECONDS = 0.8
"""Minimum time between two requests to the store where there are peers to ask but none
answers. After the start of 200 daemons this lasts a second or two, during which the
registrations of all targets change."""

LOST_STORE_INTERVAL_SECONDS = 3.0
"""Minimum time between two requests for a daemon that no peer asks, once the store has
failed to answer it as well. With the store down, 200 daemons that each retried once a
second would make most of a day's calls. Daemons that others ask keep retrying and
report the store's return."""

NO_LINK_PAUSE_SECONDS = 0.2
"""How long a peer without a link is not asked."""

HELD_CHECK_INTERVAL_SECONDS = 0.1
"""Time between two checks for held requests that are due."""

ASKED_BY_PEERS_SECONDS = 5.0
"""Time since its last request from a peer during which a daemon counts as asked by
others."""

NO_VERSION = -1

_log = structlog.get_logger(part="feed")


class PeerFailure(Enum):
    """Why a peer gave no answer."""

    NO_LINK = "no link yet"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class _HeldRequest:
    """A request of a peer that waits for a change."""

    sender: DaemonId
    ask: FeedAsk
    arrived_seconds: float

    @property
    def until_seconds(self) -> float:
        return self.arrived_seconds + self.ask.wait_seconds


class SharedFeed:
    """Implements ``ports.feed.FeedPort`` over a peer and the store.

    Args:
        store: Feed that asks the store itself.
        exchange: Links to the peers.
        clock: A clock that includes time spent suspended.
        get_sources: Returns the peers to ask, best first; empty to ask the store.
    """

    def __init__(
        self,
        store: FeedPort,
        exchange: PeerExchange,
        clock: Clock,
        get_sources: Callable[[], tuple[DaemonId, ...]],
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._clock = clock
        self._get_sources = get_sources
        self._mirrors: dict[str, FeedMirror] = defaultdict(FeedMirror)
        self._known_tables: set[str] = set()
        self._held: list[_HeldRequest] = []
        self._has_held = asyncio.Event()
        self._request_numbers = itertools.count(1)
        self._answers: dict[int, asyncio.Future[FeedAnswer]] = {}
        self._failed_until: dict[DaemonId, float] = {}
        self._store_asked_seconds: dict[str, float] = {}
        self._asked_by_peers_seconds = float("-inf")
        self._started_seconds = float("-inf")
        self._has_waited_at_start = False
        self._task: asyncio.Task[None] | None = None
        self.n_peer_answers = 0
        self.n_peer_failures = 0
        exchange.subscribe(FeedAsk, self._handle_ask)
        exchange.subscribe(FeedAnswer, self._handle_answer)

    async def start(self) -> None:
        """Start to answer peers."""
        self._started_seconds = self._clock.now_seconds()
        self._task = start_task(self._run(), "feed-share")

    async def drain(self) -> None:
        """Do nothing: peers may still send requests."""

    async def stop(self) -> None:
        """Stop answering."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return the source of changes and counts for the status page."""
        return {
            "source": self._current_source() or "store",
            "n_peer_answers": self.n_peer_answers,
            "n_peer_failures": self.n_peer_failures,
            "n_held": len(self._held),
        }

    async def read_table(self, table: str) -> Result[Changes, TableError]:
        """Return every row of ``table``.

        A peer is asked only while nothing is known of the table. Its copy may be older
        than the rows known here, which would then go back to earlier values.
        """
        if table not in self._known_tables:
            changes = await self._ask_peers(table, NO_VERSION, 0.0)
            if changes is not None:
                return Success(changes)
        sent_seconds = self._clock.now_seconds()
        answer = await self._store.read_table(table)
        return self._record_store_answer(table, None, answer, sent_seconds)

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Result[Changes, TableError]:
        """Return the changes after a version, as soon as there are some."""
        changes = await self._ask_peers(
            table, after, min(wait_seconds, PEER_HOLD_SECONDS)
        )
        if changes is not None:
            return Success(changes)
        is_first = not self._has_waited_at_start
        await self._wait_for_store_interval(table)
        if is_first:
            self._has_waited_at_start = True
            return await self.wait_changes(table, after, wait_seconds)
        sent_seconds = self._clock.now_seconds()
        held_seconds = min(wait_seconds, STORE_HOLD_SECONDS)
        self._log_store_asked(table, sent_seconds)
        answer = await self._store.wait_changes(table, after, held_seconds)
        return self._record_store_answer(table, after, answer, sent_seconds)

    def _log_store_asked(self, table: str, now_seconds: float) -> None:
        """Log a request to the store of a daemon that has peers to ask."""
        sources = self._get_sources()
        if sources:
            _log.info(
                "feed: store asked",
                table=table,
                sources=sources,
                age_seconds=round(self._mirrors[table].age_seconds(now_seconds), 3),
            )

    def _record_store_answer(
        self,
        table: str,
        after: int | None,
        answer: Result[Changes, TableError],
        sent_seconds: float,
    ) -> Result[Changes, TableError]:
        """Apply an answer of the store to the copy, and answer held requests.

        The answer returned is confirmed from when the store was asked. The caller has
        waited for peers, or for its turn, before that.
        """
        mirror = self._mirrors[table]
        match answer:
            case Success(changes):
                mirror.apply(changes, after, sent_seconds)
                self._known_tables.add(table)
                answer = Success(replace(changes, confirmed_seconds=sent_seconds))
            case Failure(_):
                mirror.note_lost()
        self._answer_held()
        return answer

    async def _wait_for_store_interval(self, table: str) -> None:
        """Wait until the store may be asked for a table again."""
        now_seconds = self._clock.now_seconds()
        asked_seconds = self._store_asked_seconds.get(table, float("-inf"))
        due_seconds = max(
            now_seconds, asked_seconds + self._store_interval_seconds(table)
        )
        if not self._has_waited_at_start:
            due_seconds = max(due_seconds, self._started_seconds + START_DELAY_SECONDS)
        self._store_asked_seconds[table] = due_seconds
        await asyncio.sleep(due_seconds - now_seconds)

    def _store_interval_seconds(self, table: str) -> float:
        if not self._get_sources():
            return STORE_INTERVAL_SECONDS
        now_seconds = self._clock.now_seconds()
        is_asked = now_seconds < self._asked_by_peers_seconds + ASKED_BY_PEERS_SECONDS
        if self._mirrors[table].is_lost and not is_asked:
            return LOST_STORE_INTERVAL_SECONDS
        return FALLBACK_STORE_INTERVAL_SECONDS

    def _current_source(self) -> DaemonId | None:
        """Return the peer to ask, or None for the store."""
        now_seconds = self._clock.now_seconds()
        for daemon in self._get_sources():
            if now_seconds >= self._failed_until.get(daemon, float("-inf")):
                return daemon
        return None

    async def _ask_peers(
        self, table: str, after: int, wait_seconds: float
    ) -> Changes | None:
        """Return the changes from a peer, or None if the store has to be asked.

        A peer that refuses has lost its connection to the store. The next one is asked
        immediately: if every daemon that asks the failed peer turned to the store
        instead, 200 daemons would ask it at the same moment.
        """
        for _ in range(MAX_PEERS_ASKED):
            source = self._current_source()
            if source is None:
                return None
            changes = await self._ask_peer(source, table, after, wait_seconds)
            if changes is not None:
                return changes
        return None

    async def _ask_peer(
        self, source: DaemonId, table: str, after: int, wait_seconds: float
    ) -> Changes | None:
        """Return the changes from one peer, or None if it failed or refused."""
        number = next(self._request_numbers)
        ask = FeedAsk(
            number=number, table=table, after=after, wait_seconds=wait_seconds
        )
        sent_seconds = self._clock.now_seconds()
        answer = await self._send(source, ask)
        match answer:
            case FeedAnswer(is_known=True):
                pass
            case FeedAnswer():
                self._record_peer_failure(
                    source, table, "refused", REFUSED_PEER_PAUSE_SECONDS
                )
                return None
            case PeerFailure.NO_LINK:
                self._record_peer_failure(
                    source, table, answer.value, NO_LINK_PAUSE_SECONDS
                )
                return None
            case PeerFailure.NO_ANSWER:
                self._record_peer_failure(
                    source, table, answer.value, FAILED_PEER_PAUSE_SECONDS
                )
                return None
        self.n_peer_answers += 1
        self._known_tables.add(table)
        confirmed_seconds = sent_seconds + answer.confirmed_after_seconds
        changes = Changes(
            tuple(_to_change(row) for row in answer.rows),
            answer.version,
            answer.is_whole,
            confirmed_seconds,
        )
        # Without these changes the copy would have a gap once the store is asked again.
        self._mirrors[table].apply(changes, after, confirmed_seconds)
        return changes

    async def _send(self, source: DaemonId, ask: FeedAsk) -> FeedAnswer | PeerFailure:
        """Send a request and return its answer, or why there is none."""
        future: asyncio.Future[FeedAnswer]
        future = asyncio.get_running_loop().create_future()
        self._answers[ask.number] = future
        try:
            if not self._exchange.send(source, ask):
                return PeerFailure.NO_LINK
            async with asyncio.timeout(ask.wait_seconds + ANSWER_MARGIN_SECONDS):
                return await future
        except TimeoutError:
            return PeerFailure.NO_ANSWER
        finally:
            del self._answers[ask.number]

    def _record_peer_failure(
        self, source: DaemonId, table: str, reason: str, pause_seconds: float
    ) -> None:
        self.n_peer_failures += 1
        self._failed_until[source] = self._clock.now_seconds() + pause_seconds
        _log.info(
            "feed: peer failed",
            peer=source,
            table=table,
            reason=reason,
            not_asked_for_seconds=pause_seconds,
        )

    def _handle_answer(self, answer: FeedAnswer, _sender: DaemonId) -> None:
        future = self._answers.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def _handle_ask(self, ask: FeedAsk, sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        self._asked_by_peers_seconds = now_seconds
        held = _HeldRequest(sender, ask, now_seconds)
        if not self._mirrors[ask.table].is_fresh(now_seconds):
            self._refuse(held)
        elif not self._try_answer(held, now_seconds):
            self._held.append(held)
            self._has_held.set()

    def _refuse(self, held: _HeldRequest) -> None:
        self._exchange.send(held.sender, FeedAnswer(number=held.ask.number))

    def _try_answer(self, held: _HeldRequest, now_seconds: float) -> bool:
        """Answer a request if it has changes or is due; return whether it did."""
        mirror = self._mirrors[held.ask.table]
        changes = mirror.changes_after(held.ask.after)
        is_due = now_seconds >= held.until_seconds
        if changes is None or not (changes.rows or is_due):
            return False
        answer = FeedAnswer(
            number=held.ask.number,
            is_known=True,
            version=changes.version,
            is_whole=changes.is_whole,
            confirmed_after_seconds=mirror.confirmed_after_seconds(
                held.arrived_seconds
            ),
            rows=[_to_row(row) for row in changes.rows],
        )
        self._exchange.send(held.sender, answer)
        return True

    def _answer_held(self) -> None:
        """Answer the held requests that can be answered, and refuse overdue ones."""
        now_seconds = self._clock.now_seconds()
        kept: list[_HeldRequest] = []
        for held in self._held:
            if not self._mirrors[held.ask.table].is_fresh(now_seconds):
                self._refuse(held)
            elif self._try_answer(held, now_seconds):
                continue
            elif now_seconds >= held.until_seconds:
                self._refuse(held)
            else:
                kept.append(held)
        self._held = kept

    async def _run(self) -> None:
        while True:
            if not self._held:
                self._has_held.clear()
                await self._has_held.wait()
            await asyncio.sleep(HELD_CHECK_INTERVAL_SECONDS)
            self._answer_held()


def _to_change(row: FeedRow) -> ChangedRow:
    return ChangedRow(row.key, None if row.is_removed else row.value)


def _to_row(row: ChangedRow) -> FeedRow:
    if row.value is None:
        return FeedRow(key=row.key, value=b"", is_removed=True)
    return FeedRow(key=row.key, value=row.value)
