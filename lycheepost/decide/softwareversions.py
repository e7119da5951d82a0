"""The software versions of each group's targets, and which of them may begin streams.

What targets of two versions generate doesn't fit together, so a stream goes on only at
the version that began it. As long as a group has one version, every stream is of that
version and nothing need be recorded. This holds only if no daemon begins a stream at a
version that another daemon has not heard of. A new version therefore begins streams
once all peers have confirmed that they know it, or after the time in which each has
either read the list of targets again or knows that its list is out of date.

Pure logic: every method takes ``now_seconds``.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from lycheepost.core.ids import DaemonId, SoftwareVersion, TargetGroupId

STREAM_SECONDS = 30.0
"""Longest time from the first event of a stream to its last one, over all tries of its
caller: twice the longest time-outs that callers use."""

CURRENT_LIST_SECONDS = 3.5
"""Age up to which the list of targets counts as current. A list that a peer forwards is
up to 3.0 s old."""

ADOPTION_SECONDS = 4.0
"""Time after which a new version begins streams without the confirmation of all peers.
By then a daemon that has not heard of it has no current list."""

Versions = frozenset[SoftwareVersion]


@dataclass(slots=True)
class _Sighting:
    """When targets of one version were known.

    Attributes:
        is_initial: Whether it was in the first list of its group.
    """

    first_seconds: float
    last_seconds: float
    is_initial: bool


@dataclass(frozen=True, slots=True)
class ListedVersions:
    """The versions of the targets of one group.

    Attributes:
        listed: Versions of all its targets.
        usable: Versions of the targets that take new requests.
    """

    listed: Versions
    usable: Versions


_NONE_LISTED = ListedVersions(frozenset(), frozenset())


class SoftwareVersions:
    """The versions known to one daemon.

    Args:
        known_from_seconds: All versions since then are known; minus infinity if no
            target was used before.
    """

    def __init__(self, known_from_seconds: float) -> None:
        self._known_from_seconds = known_from_seconds
        self._sightings: dict[TargetGroupId, dict[SoftwareVersion, _Sighting]] = {}
        self._listed: dict[TargetGroupId, ListedVersions] = {}
        self._confirmed: dict[DaemonId, dict[TargetGroupId, Versions]] = {}
        self._peers: tuple[DaemonId, ...] = ()
        self._complete: set[TargetGroupId] = set()

    def set_listed(
        self, listed: Mapping[TargetGroupId, ListedVersions], now_seconds: float
    ) -> bool:
        """Set the versions of the listed targets.

        Returns:
            Whether a group has got a further version.
        """
        before = self._listed
        self._listed = dict(listed)
        has_gained = False
        for group in {*before, *listed}:
            versions = {
                *before.get(group, _NONE_LISTED).listed,
                *listed.get(group, _NONE_LISTED).listed,
            }
            has_gained |= self._see(group, versions, now_seconds)
            self._forget_over(group, now_seconds)
        return has_gained

    def note_told(
        self,
        peer: DaemonId,
        target_group: TargetGroupId,
        versions: Iterable[SoftwareVersion],
        now_seconds: float,
    ) -> bool:
        """Record the versions that a peer knows.

        Returns:
            Whether a group has got a further version.
        """
        told = frozenset(versions)
        self._confirmed.setdefault(peer, {})[target_group] = told
        return self._see(target_group, told, now_seconds)

    def _see(
        self,
        target_group: TargetGroupId,
        versions: Collection[SoftwareVersion],
        now_seconds: float,
    ) -> bool:
        sightings = self._sightings.setdefault(target_group, {})
        is_initial = not sightings
        has_gained = False
        for version in versions:
            sighting = sightings.get(version)
            if sighting is None or self._is_over(sighting, now_seconds):
                has_gained |= not is_initial
                sightings[version] = _Sighting(now_seconds, now_seconds, is_initial)
            else:
                sighting.last_seconds = now_seconds
        return has_gained

    def _forget_over(self, target_group: TargetGroupId, now_seconds: float) -> None:
        known = self.known(target_group, now_seconds)
        sightings = self._sightings[target_group]
        for version in [name for name in sightings if name not in known]:
            del sightings[version]

    def _is_over(self, sighting: _Sighting, now_seconds: float) -> bool:
        return now_seconds - sighting.last_seconds > STREAM_SECONDS

    def set_peers(self, peers: tuple[DaemonId, ...]) -> None:
        """Set the daemons that callers may take streams up at, besides this one."""
        self._peers = peers
        for peer in [name for name in self._confirmed if name not in peers]:
            del self._confirmed[peer]

    def groups(self) -> tuple[TargetGroupId, ...]:
        """Return the groups of which a version is known."""
        return tuple(sorted(self._sightings))

    def known(self, target_group: TargetGroupId, now_seconds: float) -> Versions:
        """Return the versions of which streams may still be under way."""
        listed = self._listed.get(target_group, _NONE_LISTED).listed
        return frozenset(
            version
            for version, sighting in self._sightings.get(target_group, {}).items()
            if version in listed or not self._is_over(sighting, now_seconds)
        )

    def is_mixed(self, target_group: TargetGroupId, now_seconds: float) -> bool:
        """Return whether streams of two versions may be under way."""
        return len(self.known(target_group, now_seconds)) > 1

    def known_for_seconds(self, now_seconds: float) -> float:
        """Return for how long all versions are known."""
        return now_seconds - self._known_from_seconds

    def note_known_for(self, seconds: float, now_seconds: float) -> None:
        """Record for how long a peer, whose versions were told, knows them all."""
        self._known_from_seconds = min(self._known_from_seconds, now_seconds - seconds)

    def note_recorded(
        self,
        target_group: TargetGroupId,
        versions: Collection[SoftwareVersion],
        now_seconds: float,
    ) -> bool:
        """Record all versions of the last 30 s, as a start finds them recorded.

        Returns:
            Whether the group has got a further version.
        """
        self._complete.add(target_group)
        return self._see(target_group, versions, now_seconds)

    def is_complete(self, target_group: TargetGroupId, now_seconds: float) -> bool:
        """Return whether all versions of a group of the last 30 s are known."""
        is_long_known = self.known_for_seconds(now_seconds) >= STREAM_SECONDS
        return is_long_known or target_group in self._complete

    def sole(
        self, target_group: TargetGroupId, now_seconds: float
    ) -> SoftwareVersion | None:
        """Return the version of every stream under way; None if not known."""
        if not self.is_complete(target_group, now_seconds):
            return None
        versions = self.known(target_group, now_seconds)
        return next(iter(versions)) if len(versions) == 1 else None

    def unconfirmed(
        self, peer: DaemonId, now_seconds: float
    ) -> dict[TargetGroupId, Versions]:
        """Return the groups with a version that a peer has not confirmed yet.

        Versions that begin streams in any case are left out.
        """
        told = self._confirmed.get(peer, {})
        found: dict[TargetGroupId, Versions] = {}
        for group, sightings in self._sightings.items():
            versions = self.known(group, now_seconds)
            waiting = [
                version
                for version in versions - told.get(group, frozenset())
                if not self._is_settled(sightings[version], now_seconds)
            ]
            if waiting:
                found[group] = versions
        return found

    def held_back(self, target_group: TargetGroupId, now_seconds: float) -> Versions:
        """Return the listed versions that may not begin streams yet.

        It is empty while no target of another version can be used.
        """
        listed = self._listed.get(target_group, _NONE_LISTED)
        if len(listed.listed) < 2:
            return frozenset()
        held_back = frozenset(
            version
            for version in listed.listed
            if not self._is_adopted(target_group, version, now_seconds)
        )
        return held_back if listed.usable - held_back else frozenset()

    def next_change_seconds(self, now_seconds: float) -> float:
        """Return when a version may begin streams by the time alone."""
        ends = [
            sighting.first_seconds + ADOPTION_SECONDS
            for sightings in self._sightings.values()
            for sighting in sightings.values()
            if not self._is_settled(sighting, now_seconds)
        ]
        return min(ends, default=float("inf"))

    def _is_adopted(
        self,
        target_group: TargetGroupId,
        version: SoftwareVersion,
        now_seconds: float,
    ) -> bool:
        if self._is_settled(self._sightings[target_group][version], now_seconds):
            return True
        return all(
            version in self._confirmed.get(peer, {}).get(target_group, frozenset())
            for peer in self._peers
        )

    def _is_settled(self, sighting: _Sighting, now_seconds: float) -> bool:
        is_old = now_seconds - sighting.first_seconds >= ADOPTION_SECONDS
        return sighting.is_initial or is_old
