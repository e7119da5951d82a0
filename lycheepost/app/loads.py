"""Share with the peers what is under way at each target, and what was placed there."""

import asyncio

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, PrefixDigest, TargetGroupId, TargetId
from lycheepost.decide.peerloads import (
    NOTHING,
    PeerLoads,
    UnderWay,
    find_changes,
)
from lycheepost.decide.records import LoadReport, Placed, PrefixLevel, TargetView
from lycheepost.generated.messages import LoadNews, PlacedPrompt, TargetLoad
from lycheepost.peers.exchange import PeerExchange
from lycheepost.utils.tasks import start_task

TELL_SECONDS = 0.03
"""How soon a change of our load is told. What waits at a target is bounded for all
daemons together, so each must know within less than a prompt takes to be read."""

ALONE_SECONDS = 0.4
"""Between two looks at whether there is somebody to tell."""

AGAIN_SECONDS = 0.4
"""So often all of our load is told, also when it is unchanged: peers would take this
daemon for dead, and one that missed a change would believe in it for good."""


class LoadExchange:
    """Tells our load to the other entry daemons and theirs to the scheduler.

    Args:
        dispatcher: Knows our load and places by the sum.
        exchange: The links.
        clock: The clock of the decisions.
    """

    def __init__(
        self, dispatcher: Dispatcher, exchange: PeerExchange, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        self._peers = PeerLoads()
        self._targets: tuple[TargetId, ...] = ()
        self._mates: tuple[DaemonId, ...] = ()
        self._told: dict[TargetId, UnderWay] = {}
        self._told_waiting: tuple[TargetGroupId, ...] = ()
        self._whole_seconds = float("-inf")
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(LoadNews, self._take)

    async def start(self) -> None:
        """Begin to tell."""
        self._task = start_task(self._run(), "loads")

    async def drain(self) -> None:
        """Go on: what is in flight here still counts for the others."""

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Follow the targets that the scheduler knows."""
        self._targets = tuple(view.target for view in views)

    def set_mates(self, mates: tuple[DaemonId, ...]) -> None:
        """Follow who else is told; nobody where this daemon stands by."""
        self._mates = mates

    def count_running(self, target: TargetId) -> int:
        """Return how many requests of this daemon and its peers run at a target."""
        own = self._dispatcher.under_way().get(target, NOTHING)
        others = self._peers.at(target, self._clock.now_seconds())
        return own.n_running + others.n_running

    def observe_report(self, report: LoadReport) -> None:
        """Take a target's own word; it counts where no peer tells all of its load."""
        is_told = self._peers.is_known(self._clock.now_seconds())
        if not is_told or report.target not in self._targets:
            self._dispatcher.observe_load(report)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TELL_SECONDS if self._mates else ALONE_SECONDS)
            placed = self._dispatcher.take_placed()
            if self._mates:
                self._tell(placed)
                self._pass_on()

    def _tell(self, placed: tuple[Placed, ...]) -> None:
        loads = self._dispatcher.under_way()
        now_seconds = self._clock.now_seconds()
        is_whole = now_seconds - self._whole_seconds > AGAIN_SECONDS
        told = loads if is_whole else find_changes(self._told, loads)
        waiting = self._dispatcher.waiting_groups()
        is_news = told or placed or waiting != self._told_waiting
        if not is_news and not (is_whole and loads):
            return
        self._told, self._told_waiting = loads, waiting
        if is_whole:
            self._whole_seconds = now_seconds
        news = LoadNews(
            is_whole=is_whole,
            waiting_groups=list(waiting),
            loads=[
                TargetLoad(
                    target=target,
                    queued_tokens=load.queued_tokens,
                    n_running=load.n_running,
                )
                for target, load in told.items()
            ],
            placed=[_to_message(item) for item in placed],
        )
        self._exchange.send_to_each(self._mates, news)

    def _pass_on(self) -> None:
        now_seconds = self._clock.now_seconds()
        is_known = self._peers.is_known(now_seconds)
        if is_known:
            totals = self._peers.totals(now_seconds)
            for target in self._targets:
                self._dispatcher.set_peer_load(target, totals.get(target, NOTHING))
        self._dispatcher.draw_admission(
            lambda group: self._peers.n_waiting(group, now_seconds)
        )
        if is_known:
            self._dispatcher.dispatch_waiting()

    def _take(self, news: LoadNews, sender: DaemonId) -> None:
        loads = {
            TargetId(load.target): UnderWay(load.queued_tokens, load.n_running)
            for load in news.loads
        }
        now_seconds = self._clock.now_seconds()
        if news.is_whole:
            self._peers.observe(sender, loads, now_seconds)
        else:
            self._peers.observe_changes(sender, loads, now_seconds)
        self._peers.note_waiting(sender, map(TargetGroupId, news.waiting_groups))
        for item in news.placed:
            self._dispatcher.note_placed(_from_message(item))


def _to_message(placed: Placed) -> PlacedPrompt:
    return PlacedPrompt(
        target=placed.target,
        digests=[level.digest for level in placed.levels],
        end_tokens=[level.end_tokens for level in placed.levels],
    )


def _from_message(message: PlacedPrompt) -> Placed:
    pairs = zip(message.digests, message.end_tokens, strict=False)
    levels = tuple(PrefixLevel(PrefixDigest(digest), end) for digest, end in pairs)
    return Placed(TargetId(message.target), levels)
