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
from dataclasses import dataclass, field, replace
from enum import Enum

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId
from lycheepost.decide.feedtimes import FeedTimes
from lycheepost.generated.messages import FeedAnswer, FeedAsk, FeedRow
from lycheepost.peers.exchange import PeerExchange
from lycheepost.ports.feed import ChangedRow, Changes, FeedPort
from lycheepost.ports.table import TableError
from lycheepost.state.feedmirror import FeedMirror
from lycheepost.utils.runningtime import running_timeout

MAX_PEERS_ASKED = 2
"""Peers to ask in sequence before asking the store."""

MIN_HOLD_SECONDS = 0.1
"""Least time for which a peer holds a request. A copy that is old already would else be
asked for again and again without a pause."""

FAILED_PEER_PAUSE_SECONDS = 5.0
"""How long a peer that did not answer is not asked; the next peer or the store is asked
instead. The death of a peer is detected within that time."""

REFUSED_PEER_PAUSE_SECONDS = 0.5
"""How long a peer that refused is not asked. It has no recent answer of the store
itself. When the store is back, daemons learn of it through their peers, each within
this time of the one before it."""

STORE_INTERVAL_SECONDS = 0.25
"""Minimum time between two requests to the store for one table. While weights are
changed the registrations of targets change some twenty times a second, and each change
would cost a request of its own. Targets that leave must be known within two seconds."""

START_DELAY_SECONDS = 1.2
"""How long after its start a daemon asks the store for no changes: by then it knows
its peers. Without the delay, the first requests of 200 daemons that start at once are a
tenth of a day's calls."""

NO_LINK_PAUSE_SECONDS = 0.2
"""How long a peer without a link is not asked."""

FAILURE_LOG_SECONDS = 5.0
"""Minimum time between two log lines on the same failure of a peer."""

ASKED_BY_PEERS_SECONDS = 5.0
"""Time since its last request from a peer during which a daemon counts as asked by
others."""

LATE_ANSWER_SECONDS = 0.5
"""An answer of the store that is late by more counts as the end of an outage: a request
that hangs meanwhile may be answered after it. A slow store is late by 0.2 s."""

NO_VERSION = -1

_log = structlog.get_logger(part="feed")


class PeerFailure(Enum):
    """Why a peer gave no answer."""

    NO_LINK = "no link yet"
    NO_ANSWER = "no answer"


@dataclass(eq=False, slots=True)
class _HeldRequest:
    """A request of a peer that waits for the next answer of the store.

    Attributes:
        timer: Ends the wait.
    """

    sender: DaemonId
    ask: FeedAsk
    arrived_seconds: float
    timer: asyncio.TimerHandle = field(init=False)


class SharedFeed:
    """Implements ``ports.feed.FeedPort`` over a peer and the store.

    A wait ends at an age of the copy (see ``decide.feedtimes``), so that the sum of all
    waits is bounded, whichever peers fail.

    Args:
        store: Feed that asks the store itself.
        exchange: Links to the peers.
        clock: A clock that includes time spent suspended.
        get_sources: Returns the peers to ask, best first; empty to ask the store.
        get_times: Returns the waits in force.
    """

    def __init__(
        self,
        store: FeedPort,
        exchange: PeerExchange,
        clock: Clock,
        get_sources: Callable[[], tuple[DaemonId, ...]],
        get_times: Callable[[], FeedTimes],
    ) -> None:
        self._get_times = get_times
        self._store = store
        self._exchange = exchange
        self._clock = clock
        self._get_sources = get_sources
        self._mirrors: dict[str, FeedMirror] = defaultdict(FeedMirror)
        self._known_tables: set[str] = set()
        self._held: list[_HeldRequest] = []
        self._request_numbers = itertools.count(1)
        self._answers: dict[int, asyncio.Future[FeedAnswer]] = {}
        self._failed_until: dict[DaemonId, float] = {}
        self._failure_logged_seconds: dict[tuple[DaemonId, str, str], float] = {}
        self._store_asked_seconds: dict[str, float] = {}
        self._asked_by_peers_seconds = float("-inf")
        self._started_seconds = float("-inf")
        self._has_waited_at_start = False
        self.n_peer_answers = 0
        self.n_peer_failures = 0
        exchange.subscribe(FeedAsk, self._handle_ask)
        exchange.subscribe(FeedAnswer, self._handle_answer)

    async def start(self) -> None:
        """Start to answer peers."""
        self._started_seconds = self._clock.now_seconds()

    async def drain(self) -> None:
        """Do nothing: peers may still send requests."""

    async def stop(self) -> None:
        """Stop answering."""
        for held in self._held:
            held.timer.cancel()
        self._held.clear()

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
            changes = await self._ask_peers(table, NO_VERSION)
            if changes is not None:
                return Success(changes)
        sent_seconds = self._clock.now_seconds()
        answer = await self._store.read_table(table)
        return self._record_store_answer(table, None, answer, sent_seconds, 0.0)

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Result[Changes, TableError]:
        """Return the changes after a version, as soon as there are some."""
        while True:
            changes = await self._ask_peers(table, after)
            if changes is not None:
                return Success(changes)
            pause_seconds = self._store_pause_seconds(table)
            if pause_seconds <= 0.0:
                break
            # A peer may reach the store before this daemon may ask it again.
            await asyncio.sleep(min(pause_seconds, REFUSED_PEER_PAUSE_SECONDS))
        sent_seconds = self._clock.now_seconds()
        self._store_asked_seconds[table] = sent_seconds
        self._log_store_asked(table, sent_seconds)
        held_seconds = self._store_hold_seconds(table, wait_seconds)
        answer = await self._store.wait_changes(table, after, held_seconds)
        return self._record_store_answer(
            table, after, answer, sent_seconds, held_seconds
        )

    def _store_hold_seconds(self, table: str, wait_seconds: float) -> float:
        """Return how long the store may hold a request.

        An old copy needs a confirmation at once.
        """
        times = self._get_times()
        age_seconds = self._mirrors[table].age_seconds(self._clock.now_seconds())
        if age_seconds > times.peer_due_seconds:
            return 0.0
        return min(wait_seconds, times.store_hold_seconds)

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
        held_seconds: float,
    ) -> Result[Changes, TableError]:
        """Apply an answer of the store to the copy, and answer held requests.

        If it does not state when it was given, it is confirmed from when the store was
        asked: the caller has waited for peers, or for its turn, before that.

        Args:
            table: The table.
            after: The version in the request; None for a full read.
            answer: The answer.
            sent_seconds: When the store was asked.
            held_seconds: How long it was allowed to hold the request.
        """
        mirror = self._mirrors[table]
        match answer:
            case Success(changes):
                confirmed_seconds = changes.confirmed_seconds or sent_seconds
                now_seconds = self._clock.now_seconds()
                late_seconds = now_seconds - sent_seconds - held_seconds
                if mirror.is_lost or late_seconds > LATE_ANSWER_SECONDS:
                    mirror.note_outage_end(now_seconds)
                mirror.apply(changes, after, confirmed_seconds)
                self._known_tables.add(table)
                answer = Success(
                    replace(
                        changes,
                        confirmed_seconds=confirmed_seconds,
                        outage_ended_seconds=mirror.outage_ended_seconds,
                    )
                )
            case Failure(_):
                mirror.note_lost()
        self._answer_held(table)
        return answer

    def _store_pause_seconds(self, table: str) -> float:
        """Return the time until the store may be asked for a table."""
        now_seconds = self._clock.now_seconds()
        if not self._has_waited_at_start:
            left_seconds = self._started_seconds + START_DELAY_SECONDS - now_seconds
            self._has_waited_at_start = left_seconds <= 0.0
            return left_seconds
        asked_seconds = self._store_asked_seconds.get(table, float("-inf"))
        interval_seconds = self._store_interval_seconds(table, now_seconds)
        return asked_seconds + interval_seconds - now_seconds

    def _store_interval_seconds(self, table: str, now_seconds: float) -> float:
        """Return the minimum time between two requests to the store for a table.

        Where peers can be asked, few requests are made: after the start of 200 daemons,
        or with the store down, all of them may turn to it. Daemons that others ask keep
        asking, and report the store's return.
        """
        times, mirror = self._get_times(), self._mirrors[table]
        if not self._get_sources():
            return STORE_INTERVAL_SECONDS
        is_asked = now_seconds < self._asked_by_peers_seconds + ASKED_BY_PEERS_SECONDS
        if not mirror.is_lost or is_asked:
            return times.store_hold_seconds
        if mirror.age_seconds(now_seconds) <= times.bound_seconds:
            return times.lost_interval_seconds
        return times.lost_store_interval_seconds

    def _current_source(self) -> DaemonId | None:
        """Return the peer to ask, or None for the store."""
        now_seconds = self._clock.now_seconds()
        for daemon in self._get_sources():
            if now_seconds >= self._failed_until.get(daemon, float("-inf")):
                return daemon
        return None

    async def _ask_peers(self, table: str, after: int) -> Changes | None:
        """Return the changes from a peer, or None if the store has to be asked.

        A peer that refuses has lost its connection to the store. The next one is asked
        immediately: if every daemon that asks the failed peer turned to the store
        instead, 200 daemons would ask it at the same moment.
        """
        times = self._get_times()
        for due_seconds in (times.peer_due_seconds, times.store_due_seconds):
            source = self._current_source()
            if source is None or self._must_ask_store(table):
                return None
            changes = await self._ask_peer(source, table, after, due_seconds)
            if changes is not None:
                return changes
        return None

    def _must_ask_store(self, table: str) -> bool:
        """Return whether the copy is too old for an answer of a peer to be in time.

        One that is older than the bound is late anyway: the store was away, or this
        daemon has started.
        """
        times = self._get_times()
        age_seconds = self._mirrors[table].age_seconds(self._clock.now_seconds())
        latest_seconds = times.store_due_seconds - times.answer_seconds
        return latest_seconds < age_seconds <= times.bound_seconds

    async def _ask_peer(
        self, source: DaemonId, table: str, after: int, due_seconds: float
    ) -> Changes | None:
        """Return the changes from one peer, or None if it failed or refused.

        Args:
            source: The peer.
            table: The table.
            after: The version that is known.
            due_seconds: Age of the copy at which the peer is left.
        """
        number = next(self._request_numbers)
        sent_seconds = self._clock.now_seconds()
        left_seconds = due_seconds - self._mirrors[table].age_seconds(sent_seconds)
        answer_seconds = self._get_times().answer_seconds
        hold_seconds = 0.0
        if after != NO_VERSION:
            hold_seconds = max(MIN_HOLD_SECONDS, left_seconds - answer_seconds)
        ask = FeedAsk(
            number=number, table=table, after=after, wait_seconds=hold_seconds
        )
        answer = await self._send(source, ask, hold_seconds + answer_seconds)
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
        mirror = self._mirrors[table]
        if answer.outage_ended_ago_seconds is not None:
            now_seconds = self._clock.now_seconds()
            mirror.note_outage_end(now_seconds - answer.outage_ended_ago_seconds)
        changes = Changes(
            tuple(_to_change(row) for row in answer.rows),
            answer.version,
            answer.is_whole,
            confirmed_seconds,
            mirror.outage_ended_seconds,
        )
        # Without these changes the copy would have a gap once the store is asked again.
        mirror.apply(changes, after, confirmed_seconds)
        self._answer_held(table)
        return changes

    async def _send(
        self, source: DaemonId, ask: FeedAsk, timeout_seconds: float
    ) -> FeedAnswer | PeerFailure:
        """Send a request and return its answer, or why there is none."""
        future: asyncio.Future[FeedAnswer]
        future = asyncio.get_running_loop().create_future()
        self._answers[ask.number] = future
        try:
            if not self._exchange.send(source, ask):
                return PeerFailure.NO_LINK
            async with running_timeout("peer feed", timeout_seconds):
                return await future
        except TimeoutError:
            return PeerFailure.NO_ANSWER
        finally:
            del self._answers[ask.number]

    def _record_peer_failure(
        self, source: DaemonId, table: str, reason: str, pause_seconds: float
    ) -> None:
        self.n_peer_failures += 1
        now_seconds = self._clock.now_seconds()
        self._failed_until[source] = now_seconds + pause_seconds
        logged_seconds = self._failure_logged_seconds.get((source, table, reason))
        if logged_seconds is not None and (
            now_seconds < logged_seconds + FAILURE_LOG_SECONDS
        ):
            return
        self._failure_logged_seconds[source, table, reason] = now_seconds
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
        """Answer a request at once if there are changes, else with the next answer."""
        now_seconds = self._clock.now_seconds()
        self._asked_by_peers_seconds = now_seconds
        if not self._may_be_confirmed(ask.table, now_seconds):
            self._refuse(ask, sender)
            return
        mirror = self._mirrors[ask.table]
        changes = mirror.changes_after(ask.after)
        is_due = ask.wait_seconds <= 0.0 and self._is_fresh(ask.table, now_seconds)
        if changes is not None and (changes.rows or is_due):
            self._answer(ask, sender, changes, now_seconds)
            return
        held = _HeldRequest(sender, ask, now_seconds)
        loop = asyncio.get_running_loop()
        held.timer = loop.call_later(ask.wait_seconds, self._end_hold, held)
        self._held.append(held)

    def _is_fresh(self, table: str, now_seconds: float) -> bool:
        """Return whether the copy of a table may be passed on."""
        max_age_seconds = self._get_times().peer_due_seconds
        return self._mirrors[table].is_fresh(now_seconds, max_age_seconds)

    def _may_be_confirmed(self, table: str, now_seconds: float) -> bool:
        """Return whether the copy is fresh, or may be so in a moment.

        A daemon asks the store by itself once its copy has reached a certain age. Those
        that ask it then should get that answer, and not ask the store as well.
        """
        times = self._get_times()
        max_age_seconds = times.store_due_seconds + times.answer_seconds
        return self._mirrors[table].is_fresh(now_seconds, max_age_seconds)

    def _refuse(self, ask: FeedAsk, sender: DaemonId) -> None:
        self._exchange.send(sender, FeedAnswer(number=ask.number))

    def _answer(
        self, ask: FeedAsk, sender: DaemonId, changes: Changes, arrived_seconds: float
    ) -> None:
        mirror = self._mirrors[ask.table]
        ended_seconds = mirror.outage_ended_seconds
        answer = FeedAnswer(
            number=ask.number,
            is_known=True,
            version=changes.version,
            is_whole=changes.is_whole,
            confirmed_after_seconds=mirror.confirmed_after_seconds(arrived_seconds),
            outage_ended_ago_seconds=(
                None
                if ended_seconds is None
                else self._clock.now_seconds() - ended_seconds
            ),
            rows=[_to_row(row) for row in changes.rows],
        )
        self._exchange.send(sender, answer)

    def _end_hold(self, held: _HeldRequest) -> None:
        """Answer a held request without a change, or refuse it."""
        self._held.remove(held)
        changes = self._mirrors[held.ask.table].changes_after(held.ask.after)
        if changes is None or not self._is_fresh(
            held.ask.table, self._clock.now_seconds()
        ):
            self._refuse(held.ask, held.sender)
            return
        self._answer(held.ask, held.sender, changes, held.arrived_seconds)

    def _answer_held(self, table: str) -> None:
        """Pass the newest answer on to all that wait for it, or refuse them."""
        now_seconds = self._clock.now_seconds()
        is_lost = not self._may_be_confirmed(table, now_seconds)
        mirror = self._mirrors[table]
        for held in [item for item in self._held if item.ask.table == table]:
            changes = mirror.changes_after(held.ask.after)
            if changes is None and not is_lost:
                continue
            held.timer.cancel()
            self._held.remove(held)
            if is_lost or changes is None:
                self._refuse(held.ask, held.sender)
            else:
                self._answer(held.ask, held.sender, changes, held.arrived_seconds)


def _to_change(row: FeedRow) -> ChangedRow:
    return ChangedRow(row.key, None if row.is_removed else row.value)


def _to_row(row: ChangedRow) -> FeedRow:
    if row.value is None:
        return FeedRow(key=row.key, value=b"", is_removed=True)
    return FeedRow(key=row.key, value=row.value)
