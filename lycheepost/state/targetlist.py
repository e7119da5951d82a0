"""The targets of routed requests, as this daemon may use them now.

Joins four sources: what targets registered, orders that change their weights, what
answers say of the weights and of leaving, and how requests end there. Whoever may not
take new work is out of the views that the scheduler gets.

A target whose registration lapses while the store is away has not left: it
registers again within about two seconds of the store's return. So a removal that
is seen right after an outage counts only after that time.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    AvailabilityZone,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget, RouteTable
from lycheepost.core.starts import TargetStart
from lycheepost.decide.leaving import LeavingTargets
from lycheepost.decide.records import TargetView
from lycheepost.decide.targethealth import Ending, TargetHealth
from lycheepost.state.targetstarts import TargetStarts
from lycheepost.state.targetviews import Standing, make_view
from lycheepost.state.wantedweights import (
    OLD_WEIGHTS_MARGIN_SECONDS,
    NamedVersion,
    WantedWeights,
    weights_number,
)

LAPSE_SECONDS = 2.2
"""Registrations that lapsed are back two seconds after the store; and one round
trip through the target and the store."""

CHANGE_SECONDS = 2.5
"""A target that was ordered to change its weights is used again after this time
even if nobody told that it is done: the daemon that knew may have died, or be cut
off. Twice what a change takes; a target that still changes only says so."""

ZONE_SECONDS = 0.004
"""What a target in another availability zone costs: a round trip for the connection and
one for the request, and the bytes of both are paid for."""

NO_ZONE = AvailabilityZone("")

SETTLED_SECONDS = 0.6
"""What a target says of its weights is believed, also when they are older than those
that it was believed to hold, once that belief is so old: a report is some 0.1 s late,
and an answer's head seldom takes half a second."""

_log = structlog.get_logger(part="targets")

OnViews = Callable[[tuple[TargetView, ...]], None]


@dataclass(slots=True)
class _Known:
    """What is known of one target.

    Attributes:
        gone_seconds: When its removal counts; None while it is registered.
        weights: By model; what was learned last.
        learned_seconds: When ``weights`` last changed.
        changing_until_seconds: New weights are being put in until then.
    """

    listed: ListedTarget
    gone_seconds: float | None = None
    weights: dict[ModelId, WeightsVersion] | None = None
    learned_seconds: float = float("-inf")
    changing_until_seconds: float = float("-inf")


@dataclass(frozen=True, slots=True)
class WeightsChange:
    """What is done to the weights of one target.

    Attributes:
        start: Which start of the target it is done to.
        version: The version that it holds now; None where that is not known.
        for_seconds: How long it gets no new work from now on; 0 when it is done.
    """

    start: TargetStart
    model: ModelId
    version: WeightsVersion | None
    for_seconds: float


class TargetList:
    """The targets that may take routed requests.

    Args:
        clock: A clock that counts suspension.
        on_views: Gets all views whenever one has changed.
        weights_seconds: Returns how long after new weights were named old ones may
            serve.
        prefers_new_weights: Targets with older weights than named cost more.
        availability_zone: Where this daemon is; empty to take all zones alike.
        leaving: The targets whose answers say that they are leaving.
    """

    def __init__(
        self,
        clock: Clock,
        on_views: OnViews,
        weights_seconds: Callable[[], float],
        prefers_new_weights: bool = True,
        availability_zone: AvailabilityZone = NO_ZONE,
        leaving: LeavingTargets | None = None,
    ) -> None:
        self._leaving = LeavingTargets() if leaving is None else leaving
        self._availability_zone = availability_zone
        self._prefers_new_weights = prefers_new_weights
        self._clock = clock
        self._on_views = on_views
        self._weights_seconds = weights_seconds
        self._wanted = WantedWeights()
        self._known: dict[TargetId, _Known] = {}
        self._starts = TargetStarts()
        self._health: dict[TargetGroupId, TargetHealth] = {}
        self._table: RouteTable | None = None
        self._views: tuple[TargetView, ...] = ()
        self._newest: dict[ModelId, WeightsVersion] = {}

    @property
    def n_listed(self) -> int:
        """Return how many targets there are."""
        return len(self._known)

    def get(self, target: TargetId) -> ListedTarget | None:
        """Return a target that may still be sent to; None when it has left."""
        known = self._known.get(target)
        if known is None or known.listed.is_leaving:
            return None
        return known.listed

    def listed(self, target_group: TargetGroupId) -> tuple[ListedTarget, ...]:
        """Return the registered targets of a group, with the weights known now."""
        return tuple(
            replace(known.listed, weights=known.weights or {})
            for known in self._known.values()
            if known.listed.target_group == target_group
        )

    def weights_of(self, target: TargetId, model: ModelId) -> WeightsVersion | None:
        """Return the weights that a target holds, as far as known."""
        known = self._known.get(target)
        return None if known is None or not known.weights else known.weights.get(model)

    def status(self) -> dict[str, object]:
        """Return what is known of each target, for the status page."""
        states = {view.target: view.state.value for view in self._views}
        return {
            str(name): {
                "state": states.get(name),
                "target_group": known.listed.target_group,
                "address": known.listed.address,
                "weights": known.weights,
                "started_ms": known.listed.started_ms,
                "is_leaving": known.listed.is_leaving,
            }
            for name, known in self._known.items()
        }

    def newest_weights(self, model: ModelId) -> WeightsVersion:
        """Return the newest weights of a model that any target holds."""
        return self._newest.get(model, WeightsVersion(""))

    def set_table(self, table: RouteTable) -> None:
        """Follow the route table: its groups say what their targets can do."""
        self._table = table
        self.refresh()

    def take(
        self,
        listed: Iterable[ListedTarget],
        removed: Iterable[TargetId],
        was_lost: bool,
    ) -> None:
        """Take registrations and removals.

        Args:
            listed: Targets as they registered.
            removed: Targets whose registrations are gone.
            was_lost: The store had not answered before.
        """
        for target in listed:
            self._put(target)
        now_seconds = self._clock.now_seconds()
        for name in removed:
            known = self._known.get(name)
            if known is None or known.gone_seconds is not None:
                continue
            # While the wait lasts it goes on serving: most of them live.
            wait_seconds = LAPSE_SECONDS if was_lost else 0.0
            known.gone_seconds = now_seconds + wait_seconds
            _log.info("targets: registration gone", target=name, wait=wait_seconds)
        self.refresh()

    def take_all(self, listed: Iterable[ListedTarget], was_lost: bool) -> None:
        """Take a whole read: whoever is not in it is removed."""
        targets = tuple(listed)
        names = {target.target for target in targets}
        self.take(
            targets, [name for name in self._known if name not in names], was_lost
        )

    def overwritten(self, names: Iterable[TargetId]) -> None:
        """Stop using targets in whose place something unusable is registered.

        Unlike a registration that lapsed it says nothing of the target's life, so
        there is no wait: whoever wrote it may write an address there next.
        """
        found = [self._known[name] for name in names if name in self._known]
        for known in found:
            known.gone_seconds = self._clock.now_seconds()
            _log.warning("targets: registration unusable", target=known.listed.target)
        if found:
            self.refresh()

    def _put(self, listed: ListedTarget) -> None:
        name = listed.target
        if self._starts.is_old(listed.start):
            # A late entry of an earlier start: its state, weights and address are
            # those of a process that has ended.
            newest_ms = self._starts.newest(name).started_ms
            _log.info(
                "targets: registration of an earlier start",
                target=name,
                started_ms=listed.started_ms,
                newest_ms=newest_ms,
            )
            return
        if self._leaving.is_leaving(listed.start):
            listed = replace(listed, is_leaving=True)
        is_restarted = self._starts.note(listed.start)
        known = self._known.get(name)
        if known is None or is_restarted:
            self._register(listed, is_restarted)
            return
        if listed.is_leaving and not known.listed.is_leaving:
            _log.info("targets: leaving", target=name)
        if listed.weights != known.listed.weights:
            self._learn(known, listed.weights)
        known.listed = listed
        known.gone_seconds = None

    def _register(self, listed: ListedTarget, is_restarted: bool) -> None:
        """Begin anew with a target: nothing of an earlier start holds for it."""
        self._known[listed.target] = _Known(listed, weights=dict(listed.weights))
        self._forget_health(listed)
        _log.info(
            "targets: registered",
            target=listed.target,
            target_group=listed.target_group,
            address=listed.address,
            started_ms=listed.started_ms,
            is_restarted=is_restarted,
        )

    def _forget_health(self, listed: ListedTarget) -> None:
        health = self._health.get(listed.target_group)
        if health is not None:
            health.forget_one(listed.target)

    def note_start(self, start: TargetStart) -> None:
        """Learn from a target itself which start of it answers.

        The failure: a target dies and starts again under its name before its entry
        tells so. Its cache would be believed full, its requests be taken for running,
        and a request that killed it be taken for innocent. It holds the weights that
        it had; its next entry or answer tells if that was other ones.
        """
        known = self._known.get(start.target)
        if known is None or not start.is_newer_than(known.listed.start):
            return
        if self._starts.note(start):
            listed = replace(
                known.listed, started_ms=start.started_ms, weights=known.weights or {}
            )
            self._register(listed, is_restarted=True)
            self.refresh()

    def note_leaving(self, start: TargetStart) -> None:
        """Use a target no more: an answer of this start has said that it leaves."""
        known = self._known.get(start.target)
        if known is None or known.listed.start.is_newer_than(start):
            return
        known.listed = replace(known.listed, is_leaving=True)
        self.refresh()

    def is_start(self, start: TargetStart) -> bool:
        """Tell whether a start of a target is the newest that is known of it."""
        return not self._starts.is_old(start)

    def _learn(self, known: _Known, weights: Mapping[ModelId, WeightsVersion]) -> None:
        """Take weights that are newer; registrations come late."""
        current = known.weights or {}
        newer = {
            model: version
            for model, version in weights.items()
            if weights_number(version) > weights_number(current.get(model))
        }
        if newer:
            known.weights = current | newer
            known.learned_seconds = self._clock.now_seconds()
            known.changing_until_seconds = float("-inf")

    def _unlearn(self, known: _Known, model: ModelId, version: WeightsVersion) -> None:
        """Take weights older than those that a target was believed to hold.

        The failure: a target starts again, and an order that was sent to its earlier
        start reaches it late and is carried out, as its count of orders has begun
        anew. It shows as a target that rejects every request for its weights, and as
        one that is never brought to the newest. Its own word, once the belief is no
        longer fresh, is better than the belief.
        """
        now_seconds = self._clock.now_seconds()
        current = known.weights or {}
        if weights_number(version) >= weights_number(current.get(model)):
            return
        if now_seconds - known.learned_seconds < SETTLED_SECONDS:
            return
        _log.warning(
            "targets: weights are older than believed",
            target=known.listed.target,
            model=model,
            version=version,
            believed=current.get(model),
        )
        known.weights = {**current, model: version}
        known.learned_seconds = now_seconds

    def want(self, model: ModelId, version: int, named_seconds: float | None) -> None:
        """Take a version that an operator named for a model.

        Args:
            model: The model.
            version: Place of the version among those of its model.
            named_seconds: It was named at this time or later; None when it was
                found at the start and nothing is known.
        """
        self._wanted.want(
            model,
            version,
            named_seconds,
            self.old_weights_seconds(),
            self._clock.now_seconds(),
        )
        self.refresh()

    def named_weights(self) -> Mapping[ModelId, tuple[NamedVersion, ...]]:
        """Return the named versions of each model whose times are no guess."""
        return self._wanted.known()

    def note_named(self, model: ModelId, version: int, old_for_seconds: float) -> None:
        """Take from a peer how long weights older than a version may be served."""
        now_seconds = self._clock.now_seconds()
        until_seconds = now_seconds + old_for_seconds
        self._wanted.note_told(model, version, until_seconds, now_seconds)
        self.refresh()

    def old_weights_seconds(self) -> float:
        """Return how long after newer weights were named old ones get requests."""
        return max(0.0, self._weights_seconds() - OLD_WEIGHTS_MARGIN_SECONDS)

    def _is_unfit(self, known: _Known, now_seconds: float) -> bool:
        """Tell whether a target's weights keep it from serving."""
        is_changing = now_seconds < known.changing_until_seconds
        weights = known.weights or {}
        return is_changing or self._wanted.is_outdated(weights, now_seconds)

    def note_weights(
        self, target: TargetId, model: ModelId, version: WeightsVersion
    ) -> None:
        """Learn which weights a target says that it holds now."""
        known = self._known.get(target)
        if known is None or (known.weights or {}).get(model) == version:
            return
        self._learn(known, {model: version})
        self._unlearn(known, model, version)
        self.refresh()

    def note_changes(self, changes: Iterable[WeightsChange]) -> None:
        """Follow what is done to the weights of targets.

        New work is kept off a target while its weights are being changed.
        """
        now_seconds = self._clock.now_seconds()
        for change in changes:
            self.note_start(change.start)
            known = self._known.get(change.start.target)
            if known is None or change.start.is_older_than(known.listed.start):
                continue
            if change.version is not None:
                self._learn(known, {change.model: change.version})
            known.changing_until_seconds = now_seconds + change.for_seconds
        self.refresh()

    def note_end(self, target: TargetId, ending: Ending) -> None:
        """Learn from the end of a request."""
        known = self._known.get(target)
        if known is None:
            return
        health = self._health.setdefault(known.listed.target_group, TargetHealth())
        if health.observe(target, ending, self._clock.now_seconds()):
            _log.info("targets: left alone", target=target, ending=ending.value)
            self.refresh()

    def note_other_at_address(self, target: TargetId) -> None:
        """Drop a target whose address another one answers at; it has ended."""
        known = self._known.get(target)
        if known is not None and known.gone_seconds is None:
            _log.info("targets: address has another target", target=target)
            known.gone_seconds = self._clock.now_seconds()
            self.refresh()

    def refresh(self) -> None:
        """Make the views anew; called on changes and as time passes."""
        now_seconds = self._clock.now_seconds()
        self._forget_gone(now_seconds)
        self._newest = self._find_newest()
        ejected = self._resting(now_seconds)
        views = tuple(
            self._view(known, name in ejected, now_seconds)
            for name, known in sorted(self._known.items())
        )
        if views != self._views:
            self._views = views
            self._on_views(views)

    def _find_newest(self) -> dict[ModelId, WeightsVersion]:
        newest: dict[ModelId, WeightsVersion] = {}
        for known in self._known.values():
            for model, version in (known.weights or {}).items():
                if weights_number(version) > weights_number(newest.get(model)):
                    newest[model] = version
        return newest

    def _forget_gone(self, now_seconds: float) -> None:
        for name, known in list(self._known.items()):
            if known.gone_seconds is not None and known.gone_seconds <= now_seconds:
                del self._known[name]
        for health in self._health.values():
            health.forget(self._known)

    def _resting(self, now_seconds: float) -> set[TargetId]:
        ejected: set[TargetId] = set()
        for group, health in self._health.items():
            names = [
                name
                for name, known in self._known.items()
                if known.listed.target_group == group and not known.listed.is_leaving
            ]
            ejected |= health.ejected(names, now_seconds)
        return ejected

    def _penalty_seconds(self, known: _Known, now_seconds: float) -> float:
        """Return what answers of a target are worth less, told as a wait."""
        is_near = known.listed.availability_zone == self._availability_zone
        far_seconds = 0.0 if is_near or not self._availability_zone else ZONE_SECONDS
        if not self._prefers_new_weights:
            return far_seconds
        return far_seconds + self._wanted.penalty_seconds(
            known.weights or {}, now_seconds
        )

    def _view(self, known: _Known, is_resting: bool, now_seconds: float) -> TargetView:
        standing = Standing(
            weights=known.weights or {},
            is_left_alone=is_resting or self._is_unfit(known, now_seconds),
            penalty_seconds=self._penalty_seconds(known, now_seconds),
        )
        return make_view(known.listed, standing, self._table)
