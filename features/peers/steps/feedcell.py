"""Daemons that follow a model of the store, over a model of their links."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from returns.result import Failure, Success

from lycheepost.core.ids import DaemonId
from lycheepost.decide.feedtimes import make_feed_times
from lycheepost.peers.feedshare import SharedFeed
from lycheepost.peers.wire import WireCounts, decode_message, encode_message
from lycheepost.platform.store import CALL_TIMEOUT_SECONDS, LONG_POLL_MARGIN_SECONDS
from lycheepost.ports.feed import ChangedRow, Changes, HistoryGone
from lycheepost.ports.table import OutcomeUnknown, TableUnavailable
from lycheepost.standin.network import LinkModel, NetworkModel
from lycheepost.standin.rowstore import RowStore
from lycheepost.state.watch import Watch

TABLE = "servers"
KEY = "config"
HELD_SECONDS = 1.5
STORE_SECONDS = 0.004
SMALL_FLEET_TIMES = make_feed_times(2.0, 3.0)
LARGE_FLEET_TIMES = make_feed_times(3.0, 4.0)


class LinkedExchange:
    """The methods of ``PeerExchange`` in use, over the model of the links."""

    def __init__(self, network, daemon):
        self.link = network.links.get(daemon)
        self.subscribers = defaultdict(list)
        self.counts = WireCounts()

    def subscribe(self, kind, on_message):
        self.subscribers[kind].append(on_message)

    def send(self, daemon, message):
        return self.link.send(daemon, encode_message(message))

    def receive(self, sender, data):
        message = decode_message(data, self.counts)
        for on_message in self.subscribers[type(message)]:
            on_message(message, sender)


class StoreFeed:
    """One daemon's feed of the store; fails as configured.

    Attributes:
        is_cut: Whether the store refuses the daemon.
        is_silent: Whether the daemon gets no answers of the store.
        hangs: Whether its answers wait until this ends, or the daemon gives up.
    """

    def __init__(self, store, rng=None):
        self.store, self.rng = store, rng
        self.n_calls = 0
        self.is_cut = False
        self.is_silent = False
        self.hangs = False

    async def read_table(self, table):
        if self.is_silent:
            return await self.time_out(CALL_TIMEOUT_SECONDS)
        rows = [ChangedRow(row.key, row.value) for row in self.store.rows(table)]
        return await self.answer(rows, is_whole=True)

    async def wait_changes(self, table, after, wait_seconds):
        if after < self.store.oldest_version:
            self.n_calls += 1
            return Failure(HistoryGone("gone"))
        if self.is_silent:
            return await self.time_out(wait_seconds + LONG_POLL_MARGIN_SECONDS)
        rows = await self.store.wait_changes(table, after, wait_seconds)
        if self.is_silent:
            return await self.time_out(LONG_POLL_MARGIN_SECONDS)
        if after < self.store.oldest_version:
            self.n_calls += 1
            return Failure(HistoryGone("gone"))
        changed = [
            ChangedRow(row.key, None if row.value is None else row.value)
            for row in rows
        ]
        return await self.answer(changed, is_whole=False)

    async def time_out(self, seconds):
        self.n_calls += 1
        await asyncio.sleep(seconds)
        return Failure(OutcomeUnknown("silent"))

    async def answer(self, rows, is_whole):
        self.n_calls += 1
        version, answered_seconds = (
            self.store.version,
            asyncio.get_running_loop().time(),
        )
        await asyncio.sleep(STORE_SECONDS)
        patience_seconds = LONG_POLL_MARGIN_SECONDS
        while self.hangs:
            if patience_seconds <= 0.0:
                return Failure(OutcomeUnknown("silent"))
            await asyncio.sleep(STORE_SECONDS)
            patience_seconds -= STORE_SECONDS
        if self.is_cut:
            return Failure(TableUnavailable("away"))
        if self.rng is not None:
            await asyncio.sleep(self.rng.choice((0.0, 0.3)))
            if self.rng.random() < 0.15:
                return Failure(TableUnavailable("down"))
        return Success(Changes(tuple(rows), version, is_whole, answered_seconds))


@dataclass
class Follower:
    """One daemon that follows the store.

    Attributes:
        known_seconds: When it came to know each row's value.
    """

    feed: StoreFeed
    shared: SharedFeed
    watch: Watch
    known: dict = field(default_factory=dict)
    known_seconds: dict = field(default_factory=dict)

    async def stop(self):
        await self.watch.stop()
        await self.shared.stop()


class Cell:
    """Daemons of one cell that follow one store."""

    def __init__(
        self,
        loop,
        n,
        rng=None,
        on_confirmed=None,
        is_tree=False,
        find_sources=None,
        times=SMALL_FLEET_TIMES,
    ):
        self.loop = loop
        self.times = times
        self.is_tree = is_tree
        self.find_sources = find_sources
        self.store = RowStore()
        self.network = NetworkModel(seed=1)
        self.names = [DaemonId(f"daemon-{index}") for index in range(n)]
        self.source = self.names[0]
        self.on_confirmed = on_confirmed
        self.followers = [self.make(name, rng) for name in self.names]

    def make(self, name, rng):
        LinkModel(self.network, name)
        exchange = LinkedExchange(self.network, name)
        feed = StoreFeed(self.store, rng)
        shared = SharedFeed(
            feed,
            exchange,
            self.loop,
            lambda: self.sources_of(name),
            lambda: self.times,
        )
        follower = Follower(feed, shared, None)
        follower.watch = Watch(
            shared,
            TABLE,
            self.loop,
            lambda: HELD_SECONDS,
            lambda seen: self.apply(follower, seen),
        )
        follower.exchange = exchange
        return follower

    def sources_of(self, name):
        """Return the peers to ask: the source, or its ancestors in the tree."""
        if self.find_sources is not None:
            return self.find_sources(name)
        if not self.is_tree:
            return () if self.source == name else (self.source,)
        index = self.names.index(name)
        above = {0: (), 1: (0,), 2: (1, 0)}.get(index, (1 + index % 2, 2 - index % 2))
        return tuple(self.names[number] for number in above)

    def apply(self, follower, seen):
        if seen.is_whole:
            follower.known.clear()
        for row in seen.rows:
            if row.value is None:
                follower.known.pop(row.key, None)
            else:
                follower.known[row.key] = row.value
                times = follower.known_seconds
                times.setdefault((row.key, row.value), self.loop.now_seconds())
        if self.on_confirmed is not None:
            self.on_confirmed(follower, seen)

    async def start(self):
        for follower in self.followers:
            await follower.exchange.link.start(follower.exchange.receive)
            await follower.shared.start()
            await follower.watch.start()

    async def stop(self):
        for follower in self.followers:
            await follower.stop()

    @property
    def n_calls(self):
        return sum(follower.feed.n_calls for follower in self.followers)
