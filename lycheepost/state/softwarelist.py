"""The software versions of the listed targets, and the targets that they hold back."""

from collections.abc import Callable, Iterable

from lycheepost.core.ids import SoftwareVersion, TargetGroupId, TargetId
from lycheepost.core.routing import RouteTable
from lycheepost.decide.routes import resumable_groups
from lycheepost.decide.softwareversions import ListedVersions, SoftwareVersions
from lycheepost.state.targetrecords import TargetRecord

UNKNOWN_CHECK_SECONDS = 0.5
"""Time between checks whether a target of unknown version may be used."""


class SoftwareList:
    """Passes the listed versions to ``SoftwareVersions`` and applies what it decides.

    Args:
        software: The software versions of the groups.
        on_versions: Called when a group has got a further software version.
        is_list_current: Returns whether the registrations are up to date.
    """

    def __init__(
        self,
        software: SoftwareVersions,
        on_versions: Callable[[], None],
        is_list_current: Callable[[], bool],
    ) -> None:
        self._software = software
        self._on_versions = on_versions
        self._is_list_current = is_list_current
        self._has_unknown = False
        self._resumable: frozenset[TargetGroupId] = frozenset()
        self._listed: dict[TargetGroupId, ListedVersions] = {}

    def set_table(self, table: RouteTable) -> None:
        """Set the route table, which says whose streams may go on elsewhere."""
        self._resumable = resumable_groups(table)

    def versions(self, target_group: TargetGroupId) -> frozenset[SoftwareVersion]:
        """Return the known software versions of a group's targets."""
        listed = self._listed.get(target_group)
        return frozenset() if listed is None else listed.listed

    def next_change_seconds(self, now_seconds: float) -> float:
        """Return when a target may begin streams by the time alone."""
        at_seconds = self._software.next_change_seconds(now_seconds)
        if self._has_unknown:
            at_seconds = min(at_seconds, now_seconds + UNKNOWN_CHECK_SECONDS)
        return at_seconds

    def held_back(
        self,
        records: Iterable[TargetRecord],
        ejected: set[TargetId],
        now_seconds: float,
    ) -> set[TargetId]:
        """Return the targets that may not begin streams because of their software.

        Only groups whose streams may go on at another target are concerned. A target
        that has restarted soon registers its version, so it waits for that; while
        registrations are out of date it is used, and its streams go on nowhere else.

        Args:
            records: All targets.
            ejected: Those that get no requests because of their failures.
            now_seconds: The current time.
        """
        by_group: dict[TargetGroupId, list[TargetRecord]] = {}
        for known in records:
            by_group.setdefault(known.listed.target_group, []).append(known)
        self._listed = {
            group: _listed_versions(found, ejected) for group, found in by_group.items()
        }
        groups = self._resumable & by_group.keys()
        listed = {group: self._listed[group] for group in groups}
        if self._software.set_listed(listed, now_seconds):
            self._on_versions()
        held_back: set[TargetId] = set()
        unknown: set[TargetId] = set()
        for group in groups:
            versions = self._software.held_back(group, now_seconds)
            for known in by_group[group]:
                if known.listed.software_version is None:
                    unknown.add(known.listed.target)
                elif known.listed.software_version in versions:
                    held_back.add(known.listed.target)
        self._has_unknown = bool(unknown)
        return held_back | unknown if self._is_list_current() else held_back


def _listed_versions(
    records: Iterable[TargetRecord], ejected: set[TargetId]
) -> ListedVersions:
    listed: set[SoftwareVersion] = set()
    usable: set[SoftwareVersion] = set()
    for known in records:
        version = known.listed.software_version
        if version is None:
            continue
        listed.add(version)
        if not known.listed.is_leaving and known.listed.target not in ejected:
            usable.add(version)
    return ListedVersions(frozenset(listed), frozenset(usable))
