"""Follow the store through a peer that follows it, directly or through another.

Few daemons ask the store; the others ask one of these, or one that does, and turn to
the store themselves when nobody answers, or all are behind or cut off. So the calls
to the store hardly grow with the daemons, and nothing is served by word of a peer that
the store would not have said.

How fresh an answer is counts from the arrival of its question at the peer: that lies
after its sending here, so what was confirmed so long after the arrival was confirmed
at least so long after the sending. Neither a message that was long on its way nor a
daemon that slept makes an answer look fresher than it is.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
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
"""How long a question to a peer is held. Keys rest on confirmations of up to 3.8 s.
What a peer passes on is up to 2.4 s old, and 3.0 s when its answer comes."""

MAX_PEERS_ASKED = 2
"""Peers that are asked one after the other before the store is."""

STORE_HOLD_SECONDS = 0.8
"""How long the store holds a question of a daemon that answers others."""

ANSWER_MARGIN_SECONDS = 0.3
"""Beyond the time of holding; later the peer counts as dead. Between availability
zones a message takes a few milliseconds, and a daemon is rarely busy for so long."""

FAILED_PEER_PAUSE_SECONDS = 5.0
"""How long a peer that failed is not asked; the next one is, or the store.
A peer that died is found out within that time."""

REFUSED_PEER_PAUSE_SECONDS = 2.0
"""The same for a peer that answers, but has not heard the store itself: it has just
started, or will have found its own way back by then."""

STORE_INTERVAL_SECONDS = 0.25
"""Shortest time between two questions to the store for one table. While weights are
changed the servers' entries change some twenty times a second, and each change would
be asked for by itself; targets that leave must be known within two seconds."""

START_DELAY_SECONDS = 1.2
"""How long after its start a daemon asks the store for no changes: by then it knows
whom else to ask. What it read at its start counts as fresh for three times as long.
When two hundred start at once, their first questions were a tenth of a day's calls."""

FALLBACK_STORE_INTERVAL_SECONDS = 0.8
"""The same where a peer should tell, but does not. After the start of two hundred
daemons that is so for a second or two, in which the entries of all servers change."""

LOST_STORE_INTERVAL_SECONDS = 3.0
"""The same for a daemon that nobody asks, once the store has not answered it either.
When the store is down, two hundred daemons that each tried once a second would make
most of a day's calls; those that others ask go on trying, and tell of its return."""

NO_LINK_PAUSE_SECONDS = 0.2
"""How long a peer is not asked that there is no link with yet."""

HELD_CHECK_INTERVAL_SECONDS = 0.1
"""Between two looks at what is held for too long."""

ASKED_BY_PEERS_SECONDS = 5.0
"""A daemon that was asked so long ago counts as one that others ask."""

NO_VERSION = -1

_log = structlog.get_logger(part="feed")


class PeerFailure(Enum):
    """Why a peer did not answer."""

    NO_LINK = "no link yet"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class _HeldRequest:
    """A question of a peer that waits for a change."""

    sender: DaemonId
    ask: FeedAsk
    arrived_seconds: float

    @property
    def until_seconds(self) -> float:
        return self.arrived_seconds + self.ask.wait_seconds


class SharedFeed:
    """Implements ``ports.feed.FeedPort`` over a peer and the store.

    Args:
        store: The store's own feed.
        exchange: Links to the peers.
        clock: A clock that counts suspension.
        get_sources: Returns the peers to ask, best first; none to ask the store.
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
        """Begin to answer peers."""
        self._started_seconds = self._clock.now_seconds()
        self._task = start_task(self._run(), "feed-share")

    async def drain(self) -> None:
        """Go on: peers may still ask."""

    async def stop(self) -> None:
        """Stop answering."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return where the store's word comes from, for the status page."""
        return {
            "source": self._current_source() or "store",
            "n_peer_answers": self.n_peer_answers,
            "n_peer_failures": self.n_peer_failures,
            "n_held": len(self._held),
        }

    async def read_table(self, table: str) -> Result[Changes, TableError]:
        """Return every row of ``table``.

        A peer is asked only as long as nothing is known: its copy may be older than
        what was known here before, and rows would go back.
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
        answer = await self._store.wait_changes(table, after, held_seconds)
        return self._record_store_answer(table, after, answer, sent_seconds)

    def _record_store_answer(
        self,
        table: str,
        after: int | None,
        answer: Result[Changes, TableError],
        sent_seconds: float,
    ) -> Result[Changes, TableError]:
        """Keep what the store told, and answer the peers that wait for it."""
        mirror = self._mirrors[table]
        match answer:
            case Success(changes):
                mirror.take(changes, after, sent_seconds)
                self._known_tables.add(table)
            case Failure(_):
                mirror.note_lost()
        self._answer_held()
        return answer

    async def _wait_for_store_interval(self, table: str) -> None:
        """Wait until the store may be asked again for a table."""
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
        """Return the peer to ask now; None for the store."""
        now_seconds = self._clock.now_seconds()
        for daemon in self._get_sources():
            if now_seconds >= self._failed_until.get(daemon, float("-inf")):
                return daemon
        return None

    async def _ask_peers(
        self, table: str, after: int, wait_seconds: float
    ) -> Changes | None:
        """Return what a peer told; None where the store is to be asked.

        One that refuses has lost its own way to the store, for itself alone or for
        all that ask through it. The next one is asked at once: were all of these to
        turn to the store, two hundred daemons would ask it at the same moment.
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
        """Return what one peer told; None where it told nothing."""
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
                    source, table, "not known there", REFUSED_PEER_PAUSE_SECONDS
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
        # Kept as well, or the copy would have a gap once the store is asked again.
        self._mirrors[table].take(changes, after, confirmed_seconds)
        return changes

    async def _send(self, source: DaemonId, ask: FeedAsk) -> FeedAnswer | PeerFailure:
        """Send a question and return its answer, or why there is none."""
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
        if not self._mirrors[ask.table].knows(now_seconds):
            self._refuse(held)
        elif not self._try_answer(held, now_seconds):
            self._held.append(held)
            self._has_held.set()

    def _refuse(self, held: _HeldRequest) -> None:
        self._exchange.send(held.sender, FeedAnswer(number=held.ask.number))

    def _try_answer(self, held: _HeldRequest, now_seconds: float) -> bool:
        """Answer a question if there is something to tell; return whether so."""
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
        """Answer what can be answered now, and refuse what cannot be in time."""
        now_seconds = self._clock.now_seconds()
        kept: list[_HeldRequest] = []
        for held in self._held:
            if not self._mirrors[held.ask.table].knows(now_seconds):
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
