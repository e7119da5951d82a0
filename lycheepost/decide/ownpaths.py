"""Whether this daemon itself reaches the targets of a group.

A daemon may lose the paths to all targets while callers, the store and its peers still
reach it. Its connections then fail at every target, although no target has failed.
Counted against the targets, that would leave the daemon without usable targets but
in use. So the paths are judged apart from the targets, for each target group, since
groups may lie behind different links.

A group whose targets are all silent looks the same to each daemon. Sound targets may
send nothing for a second and go on, so a group that nobody is known to reach counts as
silent for that long: its requests stay at their targets. A daemon that hears nothing
while others do has lost its paths at once, and so has one that is refused everywhere.

Only responses over new connections count. Open connections may live on while new ones
lead nowhere, and a device in between may accept connections that never reach a target.
"""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.core.ids import TargetId
from lycheepost.decide.silence import MAX_SOUND_SILENCE_SECONDS

PROBED_TARGETS = 4
"""Targets of one probe of a group. At one lost packet in ten, all four connections fail
in one probe of ten thousand."""

DOUBTED_SECONDS = 5.0
"""How long a target that did not respond is only probed if there are too few others.
Crashed targets say nothing of the paths; they are away for some seconds."""

MIN_PROBED_TARGETS = 2
"""Minimum number of targets for a verdict: one target that is down says nothing of the
paths."""

MIN_PROBE_INTERVAL_SECONDS = 1.0
"""Minimum time between probes while the paths work. Crashed targets make connections
fail too, and each probe costs some connections."""

LOST_PROBE_INTERVAL_SECONDS = 0.5
"""Interval of probes without paths: callers are served with a detour until one
succeeds."""

SILENT_PROBE_INTERVAL_SECONDS = 0.25
"""Interval of probes while a group counts as silent: requests wait for its end."""

MAX_GROUP_SILENCE_SECONDS = MAX_SOUND_SILENCE_SECONDS
"""How long after the begin of the first failed probe a group may count as silent. What
the targets were silent for before that is the margin."""

MAX_PROBE_LAG_SECONDS = 1.0
"""A probe that lasts longer than its time-out by this says nothing of the paths: the
daemon itself was suspended or short of processor time. Shorter stalls are not counted
as time of a probe."""

MIN_REFUSING_TARGETS = 3
"""Targets that refuse this daemon or give it no response, without one that responds in
between, from which its own paths are suspected."""


@dataclass(slots=True)
class RefusedConnections:
    """Targets that refused this daemon or gave no response since one last responded.

    Attributes:
        targets: These targets.
    """

    targets: set[TargetId] = field(default_factory=set)

    def note(self, target: TargetId, is_answered: bool) -> None:
        """Record a connection that got a response, or got none or was refused."""
        if is_answered:
            self.targets.clear()
        else:
            self.targets.add(target)

    @property
    def are_own(self) -> bool:
        """Return whether the refusals are likely due to this daemon's own paths."""
        return len(self.targets) >= MIN_REFUSING_TARGETS


class ProbeEnd(Enum):
    """How the probe of one target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """There was no connection, or it broke before a response."""
    SILENT = "silent"
    """The target sent nothing in time."""


class PathState(Enum):
    """Whether this daemon reaches targets of a group."""

    REACHES_TARGETS = "reaches_targets"
    GROUP_SILENT = "group_silent"
    """No target responds, and nobody is known to hear one; they may be sound."""
    REACHES_NONE = "reaches_none"


def may_be_silent(ends: Mapping[TargetId, ProbeEnd], is_group_heard: bool) -> bool:
    """Return whether a group that a probe does not reach may only be silent.

    Args:
        ends: How the probes of its targets ended.
        is_group_heard: Whether this daemon or a peer has heard from a target of the
            group meanwhile.
    """
    return not is_group_heard and ProbeEnd.SILENT in ends.values()


@dataclass(slots=True)
class OwnPaths:
    """The state of this daemon's own paths to the targets of one group.

    Attributes:
        state: The verdict of the last probe.
        since_seconds: When the state was entered.
        failed: Targets at which a new connection failed or got no response, since one
            last responded.
        reached: Targets that responded to the last probe.
        silent_from_seconds: When the first probe began that found the group silent;
            meaningful only in that state.
    """

    state: PathState = PathState.REACHES_TARGETS
    since_seconds: float = float("-inf")
    failed: set[TargetId] = field(default_factory=set)
    reached: frozenset[TargetId] = frozenset()
    silent_from_seconds: float = float("-inf")
    _doubted_seconds: dict[TargetId, float] = field(default_factory=dict)
    _probed_seconds: float = float("-inf")

    @property
    def are_lost(self) -> bool:
        """Return whether no target is reached, and not for the group's silence."""
        return self.state is PathState.REACHES_NONE

    @property
    def is_probed_again(self) -> bool:
        """Return whether a further probe is due without a further failure."""
        return self.state is not PathState.REACHES_TARGETS

    def is_silent(self, now_seconds: float) -> bool:
        """Return whether all targets are silent and may be sound."""
        is_over = now_seconds - self.silent_from_seconds >= MAX_GROUP_SILENCE_SECONDS
        return self.state is PathState.GROUP_SILENT and not is_over

    def note_answered(self) -> None:
        """Record that a target has responded over a new connection."""
        self.failed.clear()

    def note_failed(self, target: TargetId, now_seconds: float) -> None:
        """Record that a new connection to a target failed or got no response."""
        self.failed.add(target)
        self._doubted_seconds[target] = now_seconds

    def choose_probed(
        self, targets: Collection[TargetId], now_seconds: float, rng: random.Random
    ) -> list[TargetId]:
        """Return the targets to probe: first those that did not fail lately.

        With several crashed targets among those probed, a daemon would take the
        crashes for a loss of its own paths.

        Args:
            targets: The targets of the group that may be probed.
            now_seconds: The current time.
            rng: Draws among equal ones.
        """
        doubted_from_seconds = now_seconds - DOUBTED_SECONDS
        self._doubted_seconds = {
            target: at_seconds
            for target, at_seconds in self._doubted_seconds.items()
            if at_seconds > doubted_from_seconds
        }
        drawn = rng.sample(sorted(targets), len(targets))
        drawn.sort(key=lambda target: target in self._doubted_seconds)
        return drawn[:PROBED_TARGETS]

    @property
    def probe_interval_seconds(self) -> float:
        """Return the minimum time from one probe to the next."""
        match self.state:
            case PathState.REACHES_TARGETS:
                return MIN_PROBE_INTERVAL_SECONDS
            case PathState.GROUP_SILENT:
                return SILENT_PROBE_INTERVAL_SECONDS
            case PathState.REACHES_NONE:
                return LOST_PROBE_INTERVAL_SECONDS

    def probe_wait_seconds(self, now_seconds: float) -> float:
        """Return the time until the next probe may begin."""
        next_seconds = self._probed_seconds + self.probe_interval_seconds
        return max(0.0, next_seconds - now_seconds)

    def note_probe(
        self,
        probed: Collection[TargetId],
        reached: Collection[TargetId],
        now_seconds: float,
        is_late: bool = False,
        silent_from_seconds: float | None = None,
    ) -> bool:
        """Apply the result of a probe; return whether the state has changed.

        Args:
            probed: Targets that were probed at the same time.
            reached: Those that responded.
            now_seconds: The current time.
            is_late: Whether the probe lasted longer than its time-out allows.
            silent_from_seconds: When the probe began, if the group may only be silent;
                None otherwise.
        """
        self._probed_seconds = now_seconds
        self.reached = frozenset(reached)
        for target in probed:
            self._doubted_seconds[target] = now_seconds
        for target in reached:
            self._doubted_seconds.pop(target, None)
        if reached or not probed:
            self.failed.clear()
        before = self.state
        self.state = self._next_state(
            len(probed), bool(reached), is_late, now_seconds, silent_from_seconds
        )
        if self.state is before:
            return False
        self.since_seconds = now_seconds
        return True

    def _next_state(
        self,
        n_probed: int,
        is_reached: bool,
        is_late: bool,
        now_seconds: float,
        silent_from_seconds: float | None,
    ) -> PathState:
        # A single target is enough: the others may be down. Of a group without targets
        # nothing can be told.
        if is_reached or not n_probed:
            return PathState.REACHES_TARGETS
        if self.state is PathState.REACHES_NONE or is_late:
            return self.state
        if n_probed < MIN_PROBED_TARGETS:
            return PathState.REACHES_TARGETS
        if silent_from_seconds is None:
            return PathState.REACHES_NONE
        if self.state is PathState.REACHES_TARGETS:
            self.silent_from_seconds = silent_from_seconds
        silent_seconds = now_seconds - self.silent_from_seconds
        if silent_seconds >= MAX_GROUP_SILENCE_SECONDS:
            return PathState.REACHES_NONE
        return PathState.GROUP_SILENT
