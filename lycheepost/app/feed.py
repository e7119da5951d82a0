"""Passes the targets and their states to the scheduler.

Combines the configuration with the states from members and health checks.
``state.members`` has already chosen the most pessimistic state of each target; this
module only builds ``TargetView`` records.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    Incarnation,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.generated.configuration import Target, TargetDesiredState
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.tasks import start_task

FEED_INTERVAL_SECONDS = 1.0
"""States and revisions are fed as they arrive; the periodic pass only finds states
that have expired. At 12,000 targets a pass takes 11 ms (`lycheepost bench slopes`), so
four passes a second would exceed the CPU budget of all control work."""

FEED_DELAY_SECONDS = 0.01
FULL_RATE_TARGETS = 500
"""Up to this many targets a pass every ``FEED_INTERVAL_SECONDS`` costs under 1% of a
core. Larger fleets get fewer passes, which only delays the expiry of old states."""

_UNKNOWN_INCARNATION = Incarnation("")

States = Callable[[], dict[TargetId, TargetState]]
Incarnations = Callable[[], dict[TargetId, Incarnation]]
OnTargets = Callable[[ConfigurationView, tuple[TargetView, ...]], None]


@dataclass(frozen=True, slots=True)
class _CachedView:
    """A target's view and the inputs that it was made from."""

    target: Target
    state: TargetState
    incarnation: Incarnation
    weights: str
    view: TargetView


class ViewMaker:
    """Makes the views of all targets and caches those of unchanged targets.

    At 12,000 targets making every view takes tens of milliseconds. State changes can
    cause four or more passes a second, which would exceed the CPU budget of all control
    work. A new revision keeps the records of unchanged targets, so they are compared by
    identity.
    """

    def __init__(self) -> None:
        self._cache: dict[TargetId, _CachedView] = {}
        self._targets: dict[TargetId, Target] = {}
        self._order: tuple[TargetId, ...] = ()

    def make(
        self,
        view: ConfigurationView,
        states: dict[TargetId, TargetState],
        incarnations: dict[TargetId, Incarnation],
    ) -> tuple[TargetView, ...]:
        """Return the views of all targets, sorted by name."""
        weights = {
            model.target_group: model.weights_version for model in view.models.values()
        }
        if view.targets is not self._targets:
            self._targets = view.targets
            self._order = tuple(sorted(view.targets))
            self._cache = {
                name: cached
                for name, cached in self._cache.items()
                if name in view.targets
            }
        return tuple(
            self._get_or_make(
                name,
                view.targets[name],
                states.get(name, TargetState.SERVING),
                incarnations.get(name, _UNKNOWN_INCARNATION),
                weights.get(view.targets[name].target_group, ""),
            )
            for name in self._order
        )

    def _get_or_make(
        self,
        name: TargetId,
        target: Target,
        state: TargetState,
        incarnation: Incarnation,
        weights: str,
    ) -> TargetView:
        cached = self._cache.get(name)
        if (
            cached is not None
            and cached.target is target
            and cached.state is state
            and cached.incarnation == incarnation
            and cached.weights == weights
        ):
            return cached.view
        view = _make_view(target, state, incarnation, weights)
        self._cache[name] = _CachedView(target, state, incarnation, weights, view)
        return view


def _make_view(
    target: Target, state: TargetState, incarnation: Incarnation, weights: str
) -> TargetView:
    if target.desired_state is not TargetDesiredState.SERVING:
        state = TargetState.LEAVING
    return TargetView(
        target=TargetId(target.target),
        target_group=TargetGroupId(target.target_group),
        availability_zone=AvailabilityZone(target.availability_zone),
        state=state,
        incarnation=incarnation,
        weights_version=WeightsVersion(target.weights_version or weights),
        concurrency_limit=target.concurrency_limit,
        serving_share=target.serving_share,
    )


class TargetFeed:
    """Passes changes of the targets to the scheduler, in a task."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        get_view: Callable[[], ConfigurationView],
        get_states: States,
        get_incarnations: Incarnations,
        on_targets: OnTargets,
    ) -> None:
        self._dispatcher = dispatcher
        self._get_view = get_view
        self._get_states = get_states
        self._get_incarnations = get_incarnations
        self._on_targets = on_targets
        self._maker = ViewMaker()
        self._last: tuple[int, tuple[TargetView, ...]] | None = None
        self._last_states: dict[TargetId, TargetState] = {}
        self._pending_feed: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Feed once, so that the first request finds targets, then periodically."""
        self.feed()
        self._task = start_task(self._run(), "target-feed")

    async def drain(self) -> None:
        """Do nothing: requests in flight still have to be placed."""

    async def stop(self) -> None:
        """Stop feeding."""
        for pending in (self._task, self._pending_feed):
            if pending is not None:
                pending.cancel()

    def note_state(self, target: TargetId, state: TargetState | None) -> None:
        """Schedule a feed if this state differs from the last one fed.

        When a rack fails or recovers, the states of many targets change at once; the
        delay of ``FEED_DELAY_SECONDS`` lets one pass handle all of them.
        """
        if self._last_states.get(target) is state or self._pending_feed is not None:
            return
        loop = asyncio.get_running_loop()
        self._pending_feed = loop.call_later(FEED_DELAY_SECONDS, self.feed)

    def feed(self) -> None:
        """Pass the targets to the scheduler if any of them has changed."""
        if self._pending_feed is not None:
            self._pending_feed.cancel()
            self._pending_feed = None
        view = self._get_view()
        self._last_states = self._get_states()
        views = self._maker.make(view, self._last_states, self._get_incarnations())
        # The revision is compared as well: otherwise a change of a customer's share
        # would take effect only when some target changes.
        seen = (view.configuration.revision, views)
        if seen == self._last:
            return
        self._last = seen
        self._on_targets(view, views)
        self._dispatcher.set_shares(
            {
                CustomerId(customer.customer): customer.share_weight
                for customer in view.customers.values()
            }
        )
        self._dispatcher.replace_targets(views)

    async def _run(self) -> None:
        while True:
            n_targets = len(self._last_states)
            await asyncio.sleep(
                FEED_INTERVAL_SECONDS * max(1.0, n_targets / FULL_RATE_TARGETS)
            )
            self.feed()
