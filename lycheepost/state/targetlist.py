"""The targets of routed requests that this daemon may currently use.

Combines registrations, orders that change weights, what responses report about weights
and leaving, and how requests end. Views mark targets that may not take new work.

A target whose registration lapses while the store is down, or just after it, has not
left: it registers again within two seconds of the store's return. Removals are not
applied before that.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    AvailabilityZone,
    ModelId,
    SoftwareVersion,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget, RouteTable
from lycheepost.core.starts import TargetStart
from lycheepost.decide.leaving import LeavingTargets
from lycheepost.decide.records import TargetView
from lycheepost.decide.softwareversions import SoftwareVersions
from lycheepost.decide.targethealth import Ending, TargetHealth
from lycheepost.state.departures import Departures
from lycheepost.state.namedweights import (
    OLD_WEIGHTS_MARGIN_SECONDS,
    NamedVersion,
    NamedWeights,
    weights_number,
)
from lycheepost.state.softwarelist import SoftwareList
from lycheepost.state.targetrecords import NO_ZONE, TargetRecord, ViewBuilder
from lycheepost.state.targetstarts import TargetStarts
from lycheepost.state.watch import NO_OUTAGE

REGISTRATION_GRACE_SECONDS = 2.2
"""Lapsed registrations are renewed within two seconds of the store's return, plus one
round trip through the target and the store."""

WEIGHTS_CHANGE_TIMEOUT_SECONDS = 2.5
"""Twice the duration of a weights change. Afterwards a target is used again without a
report of completion: the daemon that would report may have died or be disconnected. A
target that is still changing its weights says so in its response."""

REPORT_LAG_SECONDS = 0.6
"""A target's report of weights older than the recorded ones counts once the record has
this age: reports are about 0.1 s late, and headers seldom take half a second."""

_log = structlog.get_logger(part="targets")

OnViews = Callable[[tuple[TargetView, ...]], None]


@dataclass(frozen=True, slots=True)
class WeightsChange:
    """A change of the weights of one target.

    Attributes:
        start: The start of the target that the change applies to.
        version: The version that the target holds now; None if unknown.
        for_seconds: How long the target gets no new work from now on; 0 when the
            change is complete.
    """

    start: TargetStart
    model: ModelId
    version: WeightsVersion | None
    for_seconds: float


class TargetList:
    """The targets that may take routed requests.

    Args:
        clock: A clock that includes time spent suspended.
        on_views: Called with all views whenever one has changed.
        weights_seconds: Returns how long old weights may be served after new ones
            were named.
        prefers_new_weights: Whether targets with older weights than the named ones
            have a higher cost.
        availability_zone: Zone of this daemon; empty to treat all zones alike.
        leaving: The targets whose responses say that they are leaving.
        software: The software versions of the groups.
        on_versions: Called when a group has got a further software version.
        is_list_current: Returns whether the registrations are up to date.
        on_denied: Called with a registration that names an earlier start than a known
            one; the target itself can tell which of them is its own.
    """

    def __init__(
        self,
        clock: Clock,
        on_views: OnViews,
        weights_seconds: Callable[[], float],
        prefers_new_weights: bool = True,
        availability_zone: AvailabilityZone = NO_ZONE,
        leaving: LeavingTargets | None = None,
        software: SoftwareVersions | None = None,
        on_versions: Callable[[], None] = lambda: None,
        is_list_current: Callable[[], bool] = lambda: True,
        on_denied: Callable[[ListedTarget], None] = lambda _: None,
    ) -> None:
        self._software = SoftwareList(
            software or SoftwareVersions(float("-inf")), on_versions, is_list_current
        )
        self._leaving = LeavingTargets() if leaving is None else leaving
        self._registered_leaving = LeavingTargets()
        self._departures = Departures()
        self._availability_zone = availability_zone
        self._prefers_new_weights = prefers_new_weights
        self._clock = clock
        self._on_views = on_views
        self._weights_seconds = weights_seconds
        self._named_weights = NamedWeights()
        self._known: dict[TargetId, TargetRecord] = {}
        self._starts = TargetStarts()
        self._denied: dict[TargetId, ListedTarget] = {}
        self._on_denied = on_denied
        self._health: dict[TargetGroupId, TargetHealth] = {}
        self._unreached: set[TargetGroupId] = set()
        self._limited: set[TargetId] = set()
        self._table: RouteTable | None = None
        self._views: tuple[TargetView, ...] = ()
        self._newest: dict[ModelId, WeightsVersion] = {}
        self._next_change_seconds = float("-inf")

    @property
    def n_listed(self) -> int:
        """Return the number of targets."""
        return len(self._known)

    def get(self, target: TargetId) -> ListedTarget | None:
        """Return a target that may be sent to; None if it has left or is leaving."""
        known = self._known.get(target)
        if known is None or known.listed.is_leaving:
            return None
        return known.listed

    def listed(self, target_group: TargetGroupId) -> tuple[ListedTarget, ...]:
        """Return the registered targets of a group, with their last known weights."""
        return tuple(
            replace(known.listed, weights=known.weights)
            for known in self._known.values()
            if known.listed.target_group == target_group
        )

    def groups(self) -> frozenset[TargetGroupId]:
        """Return the groups that have targets."""
        return frozenset(known.listed.target_group for known in self._known.values())

    def weights_of(self, target: TargetId, model: ModelId) -> WeightsVersion | None:
        """Return the weights version of a target, if known."""
        known = self._known.get(target)
        return None if known is None or not known.weights else known.weights.get(model)

    def status(self) -> dict[str, object]:
        """Return the recorded state of each target, for the status page."""
        states = {view.target: view.state.value for view in self._views}
        return {
            str(name): {
                "state": states.get(name),
                "target_group": known.listed.target_group,
                "address": known.listed.address,
                "weights": known.weights,
                "started_ms": known.listed.started_ms,
                "software_version": known.listed.software_version,
                "is_leaving": known.listed.is_leaving,
            }
            for name, known in self._known.items()
        }

    def newest_weights(self, model: ModelId) -> WeightsVersion:
        """Return the newest weights of a model that any target holds."""
        return self._newest.get(model, WeightsVersion(""))

    def software_versions(
        self, target_group: TargetGroupId
    ) -> frozenset[SoftwareVersion]:
        """Return the known software versions of a group's targets."""
        return self._software.versions(target_group)

    def set_table(self, table: RouteTable) -> None:
        """Set the route table; its groups define what their targets can do."""
        self._table = table
        self._software.set_table(table)
        self.refresh()

    def take(
        self,
        listed: Iterable[ListedTarget],
        removed: Iterable[TargetId],
        outage_ended_seconds: float = NO_OUTAGE,
    ) -> None:
        """Apply registrations and removals.

        Args:
            listed: Targets as they registered.
            removed: Targets whose registrations are gone.
            outage_ended_seconds: When the store last responded again after an outage.
        """
        for target in listed:
            self._departures.note_written(target)
            self._correct_weights(target)
            self._put(target)
        now_seconds = self._clock.now_seconds()
        renewed_seconds = outage_ended_seconds + REGISTRATION_GRACE_SECONDS
        wait_seconds = max(0.0, renewed_seconds - now_seconds)
        for name in removed:
            self._departures.note_removed(name)
            self._denied.pop(name, None)
            known = self._known.get(name)
            if known is None or known.removed_seconds is not None:
                continue
            # The target is used during the wait, as most are still running.
            known.removed_seconds = now_seconds + wait_seconds
            if not wait_seconds:
                self._departures.note_left(known.listed)
            _log.info("targets: registration gone", target=name, wait=wait_seconds)
        self.refresh()

    def replace_all(
        self,
        listed: Iterable[ListedTarget],
        outage_ended_seconds: float = NO_OUTAGE,
        after_restore: bool = False,
    ) -> None:
        """Apply a full read of the registrations; targets not in it are removed.

        Args:
            listed: Targets as they registered.
            outage_ended_seconds: When the store last responded again after an outage.
            after_restore: Whether the store was restored from a copy: targets that
                registered since the copy write again, and targets that left since are
                listed until their registrations expire.
        """
        targets = tuple(listed)
        names = {target.target for target in targets}
        missing = (self._known.keys() | self._departures.held_back()) - names
        now_seconds = self._clock.now_seconds()
        usable = self._departures.choose_usable(targets, after_restore, now_seconds)
        if after_restore:
            outage_ended_seconds = now_seconds
        self.take(usable, sorted(missing), outage_ended_seconds)

    def drop_unusable(self, names: Iterable[TargetId]) -> None:
        """Stop using targets whose registration was replaced by an unusable one.

        Unlike a lapsed registration this does not show whether the target runs. There
        is no wait, because the unknown writer could register a wrong address next.
        """
        found = [self._known[name] for name in names if name in self._known]
        for known in found:
            known.removed_seconds = self._clock.now_seconds()
            _log.warning("targets: registration unusable", target=known.listed.target)
        if found:
            self.refresh()

    def _correct_weights(self, listed: ListedTarget) -> None:
        """Forget weights that only the registration before has named.

        Another program may have written that one. Its number would make all that the
        target writes look old.
        """
        known = self._known.get(listed.target)
        if known is None or known.listed.start != listed.start:
            return
        for model, version in listed.weights.items():
            before = known.listed.weights.get(model)
            is_registered = known.weights.get(model) == before
            if is_registered and weights_number(version) < weights_number(before):
                _log.warning("targets: weights withdrawn", target=listed.target)
                known.weights = {**known.weights, model: version}

    def _put(self, listed: ListedTarget) -> None:
        name = listed.target
        if self._starts.is_old(listed.start):
            # Its state, weights and address belong to a process that has ended.
            newest_ms = self._starts.newest(name).started_ms
            _log.info(
                "targets: registration of an earlier start",
                target=name,
                started_ms=listed.started_ms,
                newest_ms=newest_ms,
            )
            self._denied[name] = listed
            self._on_denied(listed)
            return
        self._denied.pop(name, None)
        if listed.is_leaving:
            self._registered_leaving.note(listed.start)
        elif self._registered_leaving.is_leaving(
            listed.start
        ) or self._leaving.is_leaving(listed.start):
            listed = replace(listed, is_leaving=True)
        is_restarted = self._starts.note(listed.start, is_registration=True)
        known = self._known.get(name)
        if known is None or is_restarted:
            self._register(listed, is_restarted)
            return
        if listed.is_leaving and not known.listed.is_leaving:
            _log.info("targets: leaving", target=name)
        if listed.weights != known.listed.weights:
            self._upgrade(known, listed.weights)
        known.listed = listed
        known.removed_seconds = None

    def _register(self, listed: ListedTarget, is_restarted: bool) -> None:
        """Replace a target's record; no data of an earlier start applies to it."""
        self._known[listed.target] = TargetRecord(listed, dict(listed.weights))
        self._forget_health(listed)
        _log.info(
            "targets: registered",
            target=listed.target,
            target_group=listed.target_group,
            address=listed.address,
            started_ms=listed.started_ms,
            software_version=listed.software_version,
            is_restarted=is_restarted,
        )

    def _forget_health(self, listed: ListedTarget) -> None:
        health = self._health.get(listed.target_group)
        if health is not None:
            health.forget_one(listed.target)

    def note_start(self, start: TargetStart) -> None:
        """Record the start that a target itself has reported.

        A target may crash and restart before its registration shows it. Without this
        its cache would be assumed warm and its lost requests running, and the request
        that crashed it would not be found. The weights are assumed unchanged until the
        next registration or response; its software may have another version.
        """
        known = self._known.get(start.target)
        if known is None or not start.is_newer_than(known.listed.start):
            return
        if self._starts.note(start, is_registration=False):
            listed = replace(
                known.listed,
                started_ms=start.started_ms,
                weights=known.weights,
                software_version=None,
            )
            self._register(listed, is_restarted=True)
            self.refresh()

    def note_own_start(self, start: TargetStart) -> None:
        """Record the start that a target has just reported.

        If a registration was ignored as one of this start, the later start that an
        earlier registration named was not the target's.
        """
        denied = self._denied.get(start.target)
        if (
            denied is not None
            and denied.start == start
            and self._starts.withdraw_registered(start)
        ):
            _log.warning("targets: start withdrawn", target=start.target)
            self._known.pop(start.target, None)
            self._put(denied)
            self.refresh()
            return
        self.note_start(start)

    def note_leaving(self, start: TargetStart) -> None:
        """Stop using a target after a response of this start said that it leaves."""
        known = self._known.get(start.target)
        if known is None or known.listed.start.is_newer_than(start):
            return
        known.listed = replace(known.listed, is_leaving=True)
        self.refresh()

    def set_limited(self, target: TargetId, is_limited: bool) -> None:
        """Set whether a target has a rate limit and cannot take over others' work."""
        self._limited.discard(target)
        if is_limited and target in self._known:
            self._limited.add(target)
        self.refresh()

    def is_newest_start(self, start: TargetStart) -> bool:
        """Return whether no later start of the target is known."""
        return not self._starts.is_old(start)

    def _upgrade(
        self, known: TargetRecord, weights: Mapping[ModelId, WeightsVersion]
    ) -> None:
        """Record newer weights; ignore older ones, which are usually late reports."""
        current = known.weights
        newer = {
            model: version
            for model, version in weights.items()
            if weights_number(version) > weights_number(current.get(model))
        }
        if newer:
            known.weights = {**current, **newer}
            known.weights_changed_seconds = self._clock.now_seconds()
            known.changing_until_seconds = float("-inf")

    def _downgrade(
        self, known: TargetRecord, model: ModelId, version: WeightsVersion
    ) -> None:
        """Record weights older than those that a target was recorded to hold.

        A restarted target may execute a late order for its earlier start, because its
        counter of orders restarted too. With a wrong record it would reject every
        request because of its weights and never be updated. Its own report therefore
        counts after ``REPORT_LAG_SECONDS``.
        """
        now_seconds = self._clock.now_seconds()
        current = known.weights
        if weights_number(version) >= weights_number(current.get(model)):
            return
        if now_seconds - known.weights_changed_seconds < REPORT_LAG_SECONDS:
            return
        _log.warning(
            "targets: weights are older than recorded",
            target=known.listed.target,
            model=model,
            version=version,
            recorded=current.get(model),
        )
        known.weights = {**current, model: version}
        known.weights_changed_seconds = now_seconds

    def want(self, model: ModelId, version: int, named_seconds: float | None) -> None:
        """Record a version that an operator named for a model.

        Args:
            model: The model.
            version: Ordinal of the version within its model.
            named_seconds: The version was named at this time or later; None if it was
                found at the daemon's start and the time is unknown.
        """
        self._named_weights.add(
            model,
            version,
            named_seconds,
            self.old_weights_seconds(),
            self._clock.now_seconds(),
        )
        self.refresh()

    def named_weights(self) -> Mapping[ModelId, tuple[NamedVersion, ...]]:
        """Return the named versions of each model whose times are known."""
        return self._named_weights.known()

    def note_named(self, model: ModelId, version: int, old_for_seconds: float) -> None:
        """Record a peer's report of how long weights before a version may be served."""
        now_seconds = self._clock.now_seconds()
        until_seconds = now_seconds + old_for_seconds
        self._named_weights.add_reported(model, version, until_seconds, now_seconds)
        self.refresh()

    def old_weights_seconds(self) -> float:
        """Return how long old weights get new requests after newer ones were named."""
        return max(0.0, self._weights_seconds() - OLD_WEIGHTS_MARGIN_SECONDS)

    def note_weights(
        self, target: TargetId, model: ModelId, version: WeightsVersion
    ) -> None:
        """Record the weights that a target reports to hold."""
        known = self._known.get(target)
        if known is None or known.weights.get(model) == version:
            return
        self._upgrade(known, {model: version})
        self._downgrade(known, model, version)
        self.refresh()

    def note_changes(self, changes: Iterable[WeightsChange]) -> None:
        """Record weights changes; during one a target gets no new work."""
        now_seconds = self._clock.now_seconds()
        for change in changes:
            self.note_start(change.start)
            known = self._known.get(change.start.target)
            if known is None or change.start.is_older_than(known.listed.start):
                continue
            if change.version is not None:
                self._upgrade(known, {change.model: change.version})
            known.changing_until_seconds = now_seconds + change.for_seconds
        self.refresh()

    def set_unreached(self, target_group: TargetGroupId, is_unreached: bool) -> None:
        """Set whether this daemon itself reaches no target of a group.

        The ends of requests then say nothing of the targets. What was recorded before
        is dropped as well, as part of it is due to that.
        """
        self._unreached.discard(target_group)
        if is_unreached:
            self._unreached.add(target_group)
            self._health.pop(target_group, None)
        self.refresh()

    def note_end(self, target: TargetId, ending: Ending) -> None:
        """Record how a request ended."""
        known = self._known.get(target)
        if known is None or known.listed.target_group in self._unreached:
            return
        health = self._health.setdefault(known.listed.target_group, TargetHealth())
        if health.observe(target, ending, self._clock.now_seconds()):
            _log.info("targets: ejected", target=target, ending=ending.value)
            self.refresh()

    def note_other_at_address(self, target: TargetId) -> None:
        """Drop a target that has ended: another one responds at its address."""
        known = self._known.get(target)
        if known is not None and known.removed_seconds is None:
            _log.info("targets: address taken by another target", target=target)
            known.removed_seconds = self._clock.now_seconds()
            self.refresh()

    def refresh_if_due(self) -> None:
        """Rebuild the views if one may have changed with the time alone.

        Called periodically. In most calls nothing has changed, and the views of all
        targets would be compared for it.
        """
        if self._clock.now_seconds() >= self._next_change_seconds:
            self.refresh()

    def refresh(self) -> None:
        """Rebuild the views; called on changes."""
        now_seconds = self._clock.now_seconds()
        for target in self._departures.take_due(now_seconds):
            self._put(target)
        self._forget_gone(now_seconds)
        ejected = self._ejected(now_seconds)
        excluded = ejected | self._software.held_back(
            self._known.values(), ejected, now_seconds
        )
        builder = ViewBuilder(
            self._named_weights,
            self._table,
            self._availability_zone,
            self._prefers_new_weights,
            now_seconds,
        )
        views = tuple(
            builder.build(known, name in excluded)
            for name, known in sorted(self._known.items())
        )
        self._newest = builder.newest_weights()
        self._next_change_seconds = self._find_next_change(now_seconds)
        if views != self._views:
            self._views = views
            self._on_views(views)

    def _find_next_change(self, now_seconds: float) -> float:
        """Return when a view may change next without another call."""
        times = [self._named_weights.next_change_seconds(now_seconds)]
        times.append(self._software.next_change_seconds(now_seconds))
        times.append(self._departures.next_change_seconds())
        times += [
            item.next_change_seconds(now_seconds) for item in self._health.values()
        ]
        times += [
            item.next_change_seconds(now_seconds) for item in self._known.values()
        ]
        return min(times)

    def _forget_gone(self, now_seconds: float) -> None:
        gone = [
            name
            for name, known in self._known.items()
            if known.removed_seconds is not None
            and known.removed_seconds <= now_seconds
        ]
        for name in gone:
            del self._known[name]
            self._limited.discard(name)
        if gone:
            for health in self._health.values():
                health.forget(self._known)

    def _ejected(self, now_seconds: float) -> set[TargetId]:
        ejected: set[TargetId] = set()
        for group, health in self._health.items():
            if not health.has_ejections(now_seconds):
                continue
            names = [
                name
                for name, known in self._known.items()
                if known.listed.target_group == group and not known.listed.is_leaving
            ]
            ejected |= health.ejected(names, now_seconds, self._limited)
        return ejected
