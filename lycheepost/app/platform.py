"""Clients of the four services that ``app.daemon`` uses: table, objects, weights, VMs.

The users' platform has a protocol of its own; ``lycheepost.platform`` adapts to it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lycheepost.generated.settings import Settings
from lycheepost.ports.http_objects import make_http_objects
from lycheepost.ports.http_table import make_http_table
from lycheepost.ports.http_vms import make_http_vm_list
from lycheepost.ports.http_weights import make_http_weights
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import TablePort
from lycheepost.ports.vms import VmListPort
from lycheepost.ports.weights import WeightsPort


@dataclass(frozen=True)
class Platform:
    """One port for each service, and the functions that close their connections."""

    table: TablePort
    objects: ObjectPort
    weights: WeightsPort
    vm_list: VmListPort
    closers: tuple[Callable[[], Awaitable[None]], ...] = ()

    async def start(self) -> None:
        """Do nothing: connections are opened on first use."""

    async def drain(self) -> None:
        """Do nothing: other components use the services while they drain."""

    async def stop(self) -> None:
        """Close all connections."""
        for close in self.closers:
            await close()


def make_http_platform(settings: Settings) -> Platform:
    """Return HTTP clients of the services given in the settings."""
    platform = settings.platform
    timeout_seconds = platform.timeout_seconds
    table = make_http_table(platform.table_url, timeout_seconds)
    objects = make_http_objects(platform.objects_url, timeout_seconds)
    weights = make_http_weights(platform.weights_url, timeout_seconds)
    vm_list = make_http_vm_list(platform.vm_list_url, timeout_seconds)
    return Platform(
        table,
        objects,
        weights,
        vm_list,
        (table.close, objects.close, weights.close, vm_list.close),
    )
