"""A small deployment of stand-ins on loopback ports, as tasks of one process.

It consists of engines, plain services and the platform's four services, with the
configuration that describes them. The demo and whole-system tests run daemons against
it over HTTP, as they would against the real services.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from aiohttp import web

from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    ModelId,
    WeightsVersion,
)
from lycheepost.generated.configuration import (
    Configuration,
    Customer,
    Model,
    Target,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.settings import PlatformSettings
from lycheepost.loadgen.audit import Evidence
from lycheepost.loadgen.expected import collect_evidence
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.ports.weights import WeightsInfo
from lycheepost.standin.engine import EngineStandin, make_engine
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.standin.objects import make_object_model, make_objects_app
from lycheepost.standin.service import (
    ServiceStandin,
    ServiceStandinSettings,
    make_service,
)
from lycheepost.standin.table import make_table_app, make_table_model
from lycheepost.standin.vmlist import make_vm_list_app, make_vm_list_model
from lycheepost.standin.webserver import StandinServer
from lycheepost.standin.weightstore import (
    make_weight_store_app,
    make_weight_store_model,
)
from lycheepost.utils.keys import CALLER_KEY_PREFIX, hash_key, make_key

HOST = "127.0.0.1"
_WEIGHTS_BYTES = 16_000_000_000
"""Size of an 8-billion-parameter model in half precision."""


@dataclass(frozen=True)
class FleetShape:
    """The size and names of a stand-in deployment.

    Attributes:
        customers: Names, the largest customer first.
        concurrent_loads: Number of targets that may load weights at once.
    """

    availability_zones: tuple[str, ...]
    engine_group: str
    n_engines: int
    service_group: str
    n_services: int
    customers: tuple[str, ...]
    concurrent_loads: int = 2
    weights_version: str = "w1"
    engine: EngineStandinSettings = field(default_factory=EngineStandinSettings)


class StandinFleet:
    """The running stand-ins.

    Attributes:
        keys: A caller key for each customer, the largest customer first.
        table: The model of the table service; tests inject faults into it.
    """

    def __init__(self, shape: FleetShape) -> None:
        self.shape = shape
        self.keys = {
            CustomerId(name): make_key(CALLER_KEY_PREFIX) for name in shape.customers
        }
        self.table = make_table_model()
        self.objects = make_object_model()
        self.weights = make_weight_store_model(shape.concurrent_loads)
        self.vm_list = make_vm_list_model()
        self.engines = [self._make_engine(index) for index in range(shape.n_engines)]
        self.services = [
            make_service(ServiceStandinSettings(name=f"{shape.service_group}-{index}"))
            for index in range(shape.n_services)
        ]
        self._servers = {
            "table": _make_server(lambda: make_table_app(self.table)),
            "objects": _make_server(lambda: make_objects_app(self.objects)),
            "weights": _make_server(lambda: make_weight_store_app(self.weights)),
            "vm_list": _make_server(lambda: make_vm_list_app(self.vm_list)),
        }
        self.weights.put(
            WeightsInfo(
                ModelId(shape.engine_group),
                WeightsVersion(shape.weights_version),
                _WEIGHTS_BYTES,
                0.5,
            )
        )

    async def start(self) -> None:
        """Open all ports and add the targets' VMs to the VM list."""
        for server in self._servers.values():
            await server.start()
        for standin in self._targets():
            await standin.start()
        for target in self.configuration().targets:
            self.vm_list.put(
                Vm(
                    name=target.target,
                    role=VmRole.TARGET,
                    state=VmState.LIVE,
                    availability_zone=AvailabilityZone(target.availability_zone),
                    address=HOST,
                )
            )

    async def stop(self) -> None:
        """Close all ports."""
        for standin in self._targets():
            await standin.stop()
        for server in self._servers.values():
            await server.stop()

    def platform_settings(self) -> PlatformSettings:
        """Return the platform section of a daemon's settings."""
        return PlatformSettings(
            table_url=self._servers["table"].url,
            objects_url=self._servers["objects"].url,
            weights_url=self._servers["weights"].url,
            vm_list_url=self._servers["vm_list"].url,
        )

    def configuration(self) -> Configuration:
        """Return the configuration of this deployment, as revision 0."""
        shape = self.shape
        return Configuration(
            revision=0,
            customers=[
                Customer(
                    customer=name,
                    key_hashes=[hash_key(key)],
                    # The first two customers are the large ones.
                    share_weight=4.0 if index < 2 else 1.0,
                )
                for index, (name, key) in enumerate(self.keys.items())
            ],
            models=[
                Model(
                    model=shape.engine_group,
                    weights_version=shape.weights_version,
                    target_group=shape.engine_group,
                )
            ],
            target_groups=[
                TargetGroup(
                    target_group=shape.engine_group,
                    kind=TargetGroupKind.ENGINE,
                    checks_fencing=shape.engine.checks_fencing,
                    concurrent_loads=shape.concurrent_loads,
                ),
                TargetGroup(
                    target_group=shape.service_group, kind=TargetGroupKind.SERVICE
                ),
            ],
            targets=[
                *self._list_targets(shape.engine_group, self.engines),
                *self._list_targets(shape.service_group, self.services),
            ],
        )

    def evidence(self) -> Evidence:
        """Return the runs recorded by the targets, for the audit."""
        return collect_evidence(self.engines, self.services)

    def _make_engine(self, index: int) -> EngineStandin:
        shape = self.shape
        name = f"{shape.engine_group}-{index}"
        return make_engine(
            replace(
                shape.engine,
                name=name,
                model=shape.engine_group,
                weights_version=shape.weights_version,
            )
        )

    def _targets(self) -> list[EngineStandin | ServiceStandin]:
        return [*self.engines, *self.services]

    def _list_targets(
        self, group: str, standins: Sequence[EngineStandin | ServiceStandin]
    ) -> list[Target]:
        zones = self.shape.availability_zones
        return [
            Target(
                target=f"{group}-{index}",
                target_group=group,
                availability_zone=zones[index % len(zones)],
                url=standin.url,
            )
            for index, standin in enumerate(standins)
        ]


def _make_server(make_app: Callable[[], web.Application]) -> StandinServer:
    return StandinServer(make_app, HOST, 0)
