"""A daemon as a member of the fleet."""

from dataclasses import dataclass

from lycheepost.core.capacity import Capacity
from lycheepost.core.ids import AvailabilityZone, DaemonId


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One daemon of the fleet.

    Attributes:
        capacity: Capacity of its VM.
    """

    daemon: DaemonId
    availability_zone: AvailabilityZone
    capacity: Capacity
