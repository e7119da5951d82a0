"""Bytes sent to peers, by kind of message and by whether they leave the zone."""

from collections import Counter
from collections.abc import Iterable

from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.state.addresses import Member


class PeerTraffic:
    """Counts the bytes that this daemon sends to its peers."""

    def __init__(self) -> None:
        self._near_bytes: Counter[str] = Counter()
        self._far_bytes: Counter[str] = Counter()
        self._far: frozenset[DaemonId] = frozenset()

    def set_members(self, zone: AvailabilityZone, members: Iterable[Member]) -> None:
        """Set the members, of which those outside ``zone`` are far."""
        self._far = frozenset(
            member.daemon for member in members if member.availability_zone != zone
        )

    def count(self, daemon: DaemonId, kind: str, n_bytes: int) -> None:
        """Count one message that was sent."""
        counts = self._far_bytes if daemon in self._far else self._near_bytes
        counts[kind] += n_bytes

    def status(self) -> dict[str, dict[str, int]]:
        """Return the bytes by kind of message, the most between zones first."""
        kinds = sorted(
            self._near_bytes.keys() | self._far_bytes.keys(),
            key=lambda kind: (-self._far_bytes[kind], kind),
        )
        return {
            kind: {
                "same_zone": self._near_bytes[kind],
                "other_zones": self._far_bytes[kind],
            }
            for kind in kinds
        }
