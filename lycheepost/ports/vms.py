"""Interface to the platform's list of live and leaving VMs, which may be stale."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import AvailabilityZone


class VmState(Enum):
    """State of a VM as the platform reports it, up to several seconds late."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(Enum):
    """What runs on a VM."""

    DAEMON = "daemon"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the list.

    Attributes:
        name: The daemon id or target id that runs there.
        address: IP address of the VM.
        callers_url: Where callers reach the daemon; empty for targets.
        peer_endpoint: Where peers reach the daemon; empty for targets.
    """

    name: str
    role: VmRole
    state: VmState
    availability_zone: AvailabilityZone
    address: str
    callers_url: str = ""
    peer_endpoint: str = ""


@dataclass(frozen=True)
class VmListError(LycheepostError):
    """A call to the VM list failed."""


class VmListPort(Protocol):
    """Operations required of a VM list."""

    async def list_vms(self) -> Result[tuple[Vm, ...], VmListError]:
        """Return the whole list as last known to the platform."""
        ...
