"""A fleet of daemons' shared state in one process, in virtual time.

Every daemon has its whole shared state: members, revisions, peers, claims and
duties. The platform's services and the links between daemons are the in-memory
stand-ins, so that only what the parts themselves do is counted.
"""

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from returns.result import Failure, Success

from lycheepost.core.ids import AvailabilityZone, DaemonId, Revision
from lycheepost.generated.configuration import (
    Configuration,
    Customer,
    Target,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.settings import (
    DaemonSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    StateSettings,
)
from lycheepost.peers.shared import Ports, SharedState, make_shared_state
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.standin.network import LinkModel, NetworkModel
from lycheepost.standin.objects import ObjectModel, make_object_model
from lycheepost.standin.table import TableModel, make_table_model
from lycheepost.standin.virtualtime import virtual_clock
from lycheepost.standin.vmlist import VmListModel, make_vm_list_model

_N_ZONES = 9
_GROUP = "engines"
_UNUSED_URL = "http://127.0.0.1:1"


class Spreading(Enum):
    """How changes reach the daemons."""

    PEERS = "lycheepost"
    TABLE_ONLY = "every daemon polls the table"


@dataclass(slots=True)
class ModelDaemon:
    """One daemon's shared state and its end of the network."""

    state: SharedState
    link: LinkModel
    name: DaemonId


@dataclass
class ModelFleet:
    """Daemons and what they share; made by ``make_fleet``."""

    daemons: list[ModelDaemon]
    table: TableModel
    objects: ObjectModel
    vm_list: VmListModel
    network: NetworkModel
    spreading: Spreading
    seed: int
    n_starts: Iterator[int] = field(default_factory=itertools.count)

    async def start(self) -> None:
        """Start all daemons at the same moment."""
        await asyncio.gather(*(start_daemon(self, item) for item in self.daemons))

    async def stop(self) -> None:
        """Stop all daemons without draining."""
        for item in self.daemons:
            await item.state.stop()

    def revisions(self) -> list[Revision]:
        """Return the revision in force on each daemon."""
        return [item.state.revisions.revision for item in self.daemons]

    async def change(self, number: int) -> bool:
        """Commit one small change on some daemon; return whether it was accepted."""
        keeper = self.daemons[number % len(self.daemons)].state.revisions
        # Before the first change this is what the daemon's settings say.
        before = keeper.view.configuration
        changed = replace(before, customers=_with_changed(before.customers, number))
        match await keeper.commit(Revision(before.revision), changed):
            case Success(_):
                return True
            case Failure(_):
                return False
        return False


async def start_daemon(fleet: ModelFleet, item: ModelDaemon) -> None:
    """Start one daemon; without peers its exchange stays closed."""
    if fleet.spreading is Spreading.PEERS:
        await item.state.start()
        return
    await item.state.members.start()
    await item.state.revisions.start()
    await item.state.claims.start()
    for duty in item.state.duties:
        await duty.start()


def make_fleet(
    n_daemons: int,
    seed: int,
    spreading: Spreading = Spreading.PEERS,
    configuration: Configuration | None = None,
) -> ModelFleet:
    """Return a fleet that has not been started.

    Args:
        n_daemons: Daemons in the fleet.
        seed: Seed of all jitter.
        spreading: With peers, or the baseline without.
        configuration: Served from until the first accepted one.
    """
    clock = virtual_clock()
    fleet = ModelFleet(
        daemons=[],
        table=make_table_model(clock),
        objects=make_object_model(clock),
        vm_list=make_vm_list_model(clock),
        network=NetworkModel(seed=seed),
        spreading=spreading,
        seed=seed,
    )
    for number in range(n_daemons):
        add_daemon(fleet, number, configuration)
    return fleet


def add_daemon(
    fleet: ModelFleet, number: int, configuration: Configuration | None = None
) -> ModelDaemon:
    """Add one daemon to the fleet and to the VM list."""
    name = DaemonId(f"daemon-{number}")
    link = LinkModel(fleet.network, name)
    zone = AvailabilityZone(f"zone-{number % _N_ZONES}")
    ports = Ports(fleet.table, fleet.objects, fleet.vm_list)
    state = make_shared_state(
        ports,
        link,
        virtual_clock(),
        _make_settings(name, zone),
        configuration,
        f"http://{name}",
        f"boot-{fleet.seed}-{next(fleet.n_starts)}",
    )
    if fleet.spreading is Spreading.TABLE_ONLY:
        # The baseline: nobody relies on another daemon's look at the table.
        state.revisions.set_daemon_count(lambda: 1)
    fleet.vm_list.put(
        Vm(
            name=name,
            role=VmRole.DAEMON,
            state=VmState.LIVE,
            availability_zone=zone,
            address="127.0.0.1",
            callers_url=f"http://{name}",
            peer_endpoint=link.endpoint,
        )
    )
    daemon = ModelDaemon(state, link, name)
    fleet.daemons.append(daemon)
    return daemon


def make_configuration(n_customers: int, n_targets: int) -> Configuration:
    """Return a configuration with this many customers and targets."""
    return Configuration(
        revision=0,
        customers=[_make_customer(number) for number in range(n_customers)],
        target_groups=[TargetGroup(target_group=_GROUP, kind=TargetGroupKind.ENGINE)],
        targets=[_make_target(number) for number in range(n_targets)],
    )


def _make_customer(number: int) -> Customer:
    key_hash = f"{number:064x}"
    return Customer(customer=f"customer-{number}", key_hashes=[key_hash])


def _make_target(number: int) -> Target:
    return Target(
        target=f"target-{number}",
        target_group=_GROUP,
        availability_zone=f"zone-{number % _N_ZONES}",
        url=f"http://10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
    )


def _with_changed(customers: list[Customer], number: int) -> list[Customer]:
    weight = 1.0 + random.Random(number).random()
    if not customers:
        return [_make_customer(number)]
    place = number % len(customers)
    changed = replace(customers[place], share_weight=weight)
    return list(itertools.chain(customers[:place], [changed], customers[place + 1 :]))


def _make_settings(name: DaemonId, zone: AvailabilityZone) -> Settings:
    return Settings(
        deployment="bench",
        daemon=DaemonSettings(daemon_id=name, availability_zone=zone, region="one"),
        platform=PlatformSettings(
            table_url=_UNUSED_URL,
            objects_url=_UNUSED_URL,
            weights_url=_UNUSED_URL,
            vm_list_url=_UNUSED_URL,
        ),
        peers=PeerSettings(),
        state=StateSettings(),
    )
