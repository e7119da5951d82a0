"""Exchanges the load of each target and its placed prompts with the peers."""

import asyncio

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, PrefixDigest, TargetGroupId, TargetId
from lycheepost.decide.machinestates import StatedState
from lycheepost.decide.peerloads import (
    NO_LOAD,
    DaemonLoad,
    PeerLoads,
    find_changes,
)
from lycheepost.decide.records import LoadReport, Placed, PrefixLevel, TargetView
from lycheepost.generated.messages import (
    LoadNews,
    MachineSpeed,
    PlacedPrompt,
    TargetLoad,
)
from lycheepost.peers.exchange import PeerExchange
from lycheepost.utils.tasks import start_task

REPORT_SECONDS = 0.03
"""Interval between reports of changed load. The queue of a target is bounded for all
daemons together, so reports must arrive in less time than one prefill takes."""

IDLE_SECONDS = 0.4
"""Interval between checks for peers while there are none."""

FULL_REPORT_SECONDS = 0.4
"""Interval between full reports, also of unchanged load. Without them peers would
assume that this daemon is dead, and one that missed a change would keep a stale
load."""

FULL_UPDATE_SECONDS = 0.4
"""Interval between updates of all targets, so that the scheduler can tell a load that
has not changed from one that is out of date."""
_MILLISECONDS = 1000.0


class LoadExchange:
    """Sends this daemon's load to its peers and passes theirs to the scheduler.

    Args:
        dispatcher: Returns the load of this daemon and places requests by the sum.
        exchange: The links to the peers.
        clock: The clock that the scheduler uses.
    """

    def __init__(
        self, dispatcher: Dispatcher, exchange: PeerExchange, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        self._peer_loads = PeerLoads()
        self._targets: frozenset[TargetId] = frozenset()
        self._peers: tuple[DaemonId, ...] = ()
        self._published: dict[TargetId, DaemonLoad] = {}
        self._published_waiting: tuple[TargetGroupId, ...] = ()
        self._last_full_report_seconds = float("-inf")
        self._next_full_update_seconds = float("-inf")
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(LoadNews, self._receive)

    async def start(self) -> None:
        """Start sending load."""
        self._task = start_task(self._run(), "loads")

    async def drain(self) -> None:
        """Do nothing: requests in flight still count towards the load of targets."""

    async def stop(self) -> None:
        """Stop sending load."""
        if self._task is not None:
            self._task.cancel()

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Set the targets that the scheduler knows."""
        self._targets = frozenset(view.target for view in views)
        # The scheduler knows nothing yet of new and of restarted targets.
        self._next_full_update_seconds = float("-inf")

    def set_peers(self, peers: tuple[DaemonId, ...]) -> None:
        """Set the peers to send load to; none for a standby daemon."""
        self._peers = peers

    def count_running(self, target: TargetId) -> int:
        """Return the number of requests of this daemon and its peers at a target."""
        own = self._dispatcher.under_way().get(target, NO_LOAD)
        others = self._peer_loads.at(target, self._clock.now_seconds())
        return own.n_running + others.n_running

    def totals(self) -> dict[TargetId, DaemonLoad]:
        """Return the load of this daemon and its peers at each target that has any."""
        totals = self._peer_loads.totals(self._clock.now_seconds())
        for target, own in self._dispatcher.under_way().items():
            totals[target] = own.with_changed(NO_LOAD, totals.get(target, NO_LOAD))
        return totals

    def has_peers(self) -> bool:
        """Return whether any peer has reported its load recently."""
        return self._peer_loads.is_known(self._clock.now_seconds())

    def waiting_share(self, group: TargetGroupId) -> float:
        """Return the share of all daemons where requests for a group wait."""
        now_seconds = self._clock.now_seconds()
        n_waiting = self._peer_loads.n_waiting(group, now_seconds)
        n_waiting += group in self._dispatcher.waiting_groups()
        return n_waiting / (1 + self._peer_loads.n_daemons(now_seconds))

    def observe_report(self, report: LoadReport) -> None:
        """Use a target's own load report unless the peers report all of its load."""
        is_reported = self._peer_loads.is_known(self._clock.now_seconds())
        if not is_reported or report.target not in self._targets:
            self._dispatcher.observe_load(report)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_SECONDS if self._peers else IDLE_SECONDS)
            placed = self._dispatcher.take_placed()
            states = self._dispatcher.take_state_news()
            if self._peers:
                self._publish(placed, states)
                self._apply_peer_loads()

    def _publish(
        self, placed: tuple[Placed, ...], states: tuple[StatedState, ...]
    ) -> None:
        loads = self._dispatcher.under_way()
        now_seconds = self._clock.now_seconds()
        is_whole = now_seconds - self._last_full_report_seconds > FULL_REPORT_SECONDS
        changed = loads if is_whole else find_changes(self._published, loads)
        waiting = self._dispatcher.waiting_groups()
        has_changes = changed or placed or states or waiting != self._published_waiting
        if not has_changes and not (is_whole and loads):
            return
        self._published, self._published_waiting = loads, waiting
        if is_whole:
            self._last_full_report_seconds = now_seconds
        update = LoadNews(
            is_whole=is_whole,
            waiting_groups=list(waiting),
            loads=[
                TargetLoad(
                    target=target,
                    queued_tokens=load.queued_tokens,
                    n_running=load.n_running,
                    n_streams=load.n_streams,
                    held_tokens=load.held_tokens,
                )
                for target, load in changed.items()
            ],
            placed=[_to_message(item) for item in placed],
            speeds=[_to_speed(item) for item in states],
        )
        self._exchange.send_to_each(self._peers, update)

    def _apply_peer_loads(self) -> None:
        now_seconds = self._clock.now_seconds()
        is_known = self._peer_loads.is_known(now_seconds)
        if is_known:
            for target in self._take_due(now_seconds):
                load = self._peer_loads.at(target, now_seconds)
                self._dispatcher.set_peer_load(target, load)
        else:
            # The targets' own reports are used until a peer reports again.
            self._next_full_update_seconds = float("-inf")
        self._dispatcher.draw_admission(
            lambda group: self._peer_loads.n_waiting(group, now_seconds)
        )
        if is_known:
            self._dispatcher.dispatch_waiting()

    def _take_due(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets whose load to pass on; at times all of them."""
        changed = self._peer_loads.take_changed(now_seconds)
        if now_seconds < self._next_full_update_seconds:
            return changed & self._targets
        self._next_full_update_seconds = now_seconds + FULL_UPDATE_SECONDS
        return self._targets

    def _receive(self, update: LoadNews, sender: DaemonId) -> None:
        loads = {
            TargetId(load.target): DaemonLoad(
                load.queued_tokens, load.n_running, load.n_streams, load.held_tokens
            )
            for load in update.loads
        }
        now_seconds = self._clock.now_seconds()
        if update.is_whole:
            self._peer_loads.observe(sender, loads, now_seconds)
        else:
            self._peer_loads.observe_changes(sender, loads, now_seconds)
        self._peer_loads.note_waiting(sender, map(TargetGroupId, update.waiting_groups))
        for item in update.placed:
            self._dispatcher.note_placed(_from_message(item))
        for speed in update.speeds:
            self._dispatcher.observe_peer_state(read_speed(speed))


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


def _to_speed(told: StatedState) -> MachineSpeed:
    return MachineSpeed(
        target=told.target,
        percent=round(told.percent),
        usual_percent=round(told.usual_percent),
        age_ms=round(told.age_seconds * _MILLISECONDS),
    )


def read_speed(message: MachineSpeed) -> StatedState:
    """Return what a peer tells of the momentary speed of a target."""
    return StatedState(
        TargetId(message.target),
        message.percent,
        message.usual_percent,
        message.age_ms / _MILLISECONDS,
    )
