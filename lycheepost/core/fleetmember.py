"""A daemon as the decisions on the fleet see it."""

from dataclasses import dataclass

from lycheepost.core.capacity import Capacity
from lycheepost.core.ids import AvailabilityZone, DaemonId


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One daemon of the fleet.

    Attributes:
        capacity: What its VM can carry.
    """

    daemon: DaemonId
    availability_zone: AvailabilityZone
    capacity: Capacity
