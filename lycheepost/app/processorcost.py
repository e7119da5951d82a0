"""Measure the processor time that a daemon takes, by the size of its fleet.

All daemons of a fleet run in one process and in virtual time: their members, links,
load reports, target lists and schedulers. Links and targets are models in memory, so
the time that the kernel, ZeroMQ and HTTP take is not included. The messages that each
daemon sends are counted, as each costs system calls and wake-ups on both sides.
"""

import asyncio
import gc
import itertools
import time
from collections.abc import Iterator
from dataclasses import dataclass

from lycheepost.app.components import Component
from lycheepost.app.fleettopology import EntryChooser, TopologyTracker
from lycheepost.app.loads import LoadExchange
from lycheepost.app.platformpeers import (
    ADDRESS_SECONDS,
    EXCHANGE_SECONDS,
    FLEET_POLL_SECONDS,
    MEMBER_POLL_SECONDS,
    PEER_LINKS,
)
from lycheepost.app.ticker import Ticker
from lycheepost.bench.slopes import Slope, fit_slope
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.ids import (
    AvailabilityZone,
    BodyFingerprint,
    CustomerId,
    DaemonId,
    ModelId,
    PrefixDigest,
    RequestId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import (
    CallerLimits,
    EngineTraits,
    ListedTarget,
    RoutedGroup,
    make_route_table,
)
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    PrefixLevel,
    Priority,
    TargetView,
    Work,
)
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.generated.configuration import Configuration
from lycheepost.peers.exchange import make_peer_exchange
from lycheepost.peers.membership import MemberExchange
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.standin.network import LinkModel, NetworkModel
from lycheepost.standin.virtualtime import run_virtual, virtual_clock
from lycheepost.standin.vmlist import VmListModel, make_vm_list_model
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.members import make_member_manager
from lycheepost.state.targetlist import TargetList
from lycheepost.state.view import make_view

SIZES = (7, 76, 195, 300)
DESIGN_SIZE = 300
TARGETS_PER_DAEMON = 0.56
MIN_TARGETS = 6
REQUESTS_PER_TARGET = 4.0
"""Requests per second and target under load."""

SETTLE_SECONDS = 2.0
"""Virtual time after the start until all daemons know each other."""
MEASURED_SECONDS = 2.0

PROMPT_TOKENS = 800
N_PREFIXES = 40
FIRST_TOKEN_SECONDS = 0.05
RESPONSE_SECONDS = 0.25

_N_ZONES = 3
_GROUP = TargetGroupId("engines")
_MODEL = ModelId("model")
_WEIGHTS = WeightsVersion("1")
_TABLE = make_route_table(
    version=1,
    routes=(),
    groups=(
        RoutedGroup(
            _GROUP,
            health_path="/health",
            max_connections=600,
            engine=EngineTraits(64, 100_000, 20_000.0, 10_000.0, (_MODEL,)),
        ),
    ),
    limits=CallerLimits(16_384, 1_000_000, 5.0, 10.0),
    key_holders=None,
    kv_stores=(),
)


@dataclass(frozen=True, slots=True)
class ProcessorRecord:
    """The cost of a daemon in a fleet of one size, as the mean of all daemons.

    Attributes:
        requests_per_second: Requests to the whole fleet.
        processor_seconds: Processor time per daemon and second.
        n_messages: Messages to peers per daemon and second.
    """

    n_daemons: int
    n_entry: int
    n_targets: int
    requests_per_second: float
    processor_seconds: float
    n_messages: float


class _FleetDaemon:
    """The parts of one daemon whose work grows with the fleet."""

    def __init__(
        self, number: int, network: NetworkModel, vm_list: VmListModel
    ) -> None:
        clock = virtual_clock()
        name = DaemonId(f"daemon-{number}")
        zone = AvailabilityZone(f"zone-{number % _N_ZONES}")
        self.link = LinkModel(network, name)
        vm_list.put(_make_vm(name, zone, self.link.endpoint))
        chooser = EntryChooser()
        view = make_view(Configuration(revision=0))
        self.members = make_member_manager(
            vm_list,
            clock,
            _make_member(number, name, zone),
            lambda: view,
            MEMBER_POLL_SECONDS,
            ADDRESS_SECONDS,
            seed=number,
            includes_unconfirmed=False,
            choose_entry_daemons=chooser.choose,
            fleet_poll_seconds=FLEET_POLL_SECONDS,
        )
        self._topology_tracker = TopologyTracker(self.members, chooser)
        self.exchange = make_peer_exchange(
            self.link,
            self.members,
            clock,
            lambda: 0,
            PEER_LINKS,
            EXCHANGE_SECONDS,
            self._members_to_link,
        )
        MemberExchange(self.exchange, self.members, clock)
        self.dispatcher = Dispatcher(Scheduler(SchedulerSettings(), number), clock)
        self._loads = LoadExchange(self.dispatcher, self.exchange, clock)
        self.targets = TargetList(
            clock, self._set_views, lambda: 0.0, availability_zone=zone
        )
        self._components: list[Component] = [
            self.members,
            self.exchange,
            self.dispatcher,
            self._loads,
            Ticker(self._tick),
        ]

    @property
    def is_entry(self) -> bool:
        """Return whether callers are sent here."""
        return self.members.me().daemon in self.members.entry()

    async def start(self) -> None:
        for component in self._components:
            await component.start()

    async def stop(self) -> None:
        for component in reversed(self._components):
            await component.stop()

    async def serve(self, work: Work) -> None:
        """Send one request to a target that responds after a fixed time."""
        outcome = await self.dispatcher.admit(work)
        if not isinstance(outcome, Dispatch):
            return
        await asyncio.sleep(FIRST_TOKEN_SECONDS)
        self.dispatcher.first_token(work.request)
        await asyncio.sleep(RESPONSE_SECONDS)
        self.dispatcher.finish(work.request, FinishKind.COMPLETE)

    def _set_views(self, views: tuple[TargetView, ...]) -> None:
        self.dispatcher.replace_targets(views)
        self._loads.set_targets(views)

    def _members_to_link(self, members: tuple[Member, ...]) -> tuple[Member, ...]:
        topology = self._topology_tracker.topology()
        names = {*topology.peers, *topology.sources}
        return tuple(item for item in members if item.daemon in names)

    def _tick(self) -> None:
        self._topology_tracker.set_targets(self.targets.n_listed)
        self._loads.set_peers(self._topology_tracker.topology().peers)
        self.targets.refresh_if_due()


def measure_processor(sizes: tuple[int, ...] = SIZES) -> Iterator[ProcessorRecord]:
    """Measure fleets of each size, idle and under load."""
    for n_daemons in sizes:
        n_targets = max(MIN_TARGETS, round(TARGETS_PER_DAEMON * n_daemons))
        for requests_per_target in (0.0, REQUESTS_PER_TARGET):
            gc.collect()
            yield run_virtual(_measure(n_daemons, n_targets, requests_per_target))


def fit_processor_slopes(records: list[ProcessorRecord]) -> list[Slope]:
    """Return how the cost of one daemon grows with the fleet, idle and under load."""
    slopes = []
    for is_loaded in (False, True):
        values = {
            record.n_daemons: record.processor_seconds
            for record in records
            if (record.requests_per_second > 0.0) == is_loaded
        }
        part = "daemon under load" if is_loaded else "idle daemon"
        cost = "processor time per second, seconds"
        slopes.append(fit_slope(part, cost, "daemons", values, DESIGN_SIZE))
    return slopes


async def _measure(
    n_daemons: int, n_targets: int, requests_per_target: float
) -> ProcessorRecord:
    network, vm_list = NetworkModel(), make_vm_list_model(virtual_clock())
    daemons = [_FleetDaemon(index, network, vm_list) for index in range(n_daemons)]
    for daemon in daemons:
        daemon.targets.set_table(_TABLE)
        daemon.targets.replace_all(_list_targets(n_targets))
        await daemon.start()
    await asyncio.sleep(SETTLE_SECONDS)
    requests_per_second = requests_per_target * n_targets
    n_messages = sum(daemon.link.messages_out for daemon in daemons)
    entry = [daemon for daemon in daemons if daemon.is_entry]
    started_seconds = time.process_time()
    await _send_requests(entry, requests_per_second)
    processor_seconds = time.process_time() - started_seconds
    n_messages = sum(daemon.link.messages_out for daemon in daemons) - n_messages
    for daemon in daemons:
        await daemon.stop()
    daemon_seconds = n_daemons * MEASURED_SECONDS
    return ProcessorRecord(
        n_daemons,
        len(entry),
        n_targets,
        requests_per_second,
        processor_seconds / daemon_seconds,
        n_messages / daemon_seconds,
    )


async def _send_requests(entry: list[_FleetDaemon], requests_per_second: float) -> None:
    """Send requests to the entry daemons in turn for ``MEASURED_SECONDS``."""
    n_requests = round(requests_per_second * MEASURED_SECONDS)
    if not n_requests:
        await asyncio.sleep(MEASURED_SECONDS)
        return
    tasks = []
    daemons = itertools.cycle(entry)
    for number in range(n_requests):
        work = _make_work(number, virtual_clock().now_seconds())
        tasks.append(asyncio.create_task(next(daemons).serve(work)))
        await asyncio.sleep(1.0 / requests_per_second)
    await asyncio.gather(*tasks)


def _make_work(number: int, now_seconds: float) -> Work:
    shared = PrefixLevel(PrefixDigest(number % N_PREFIXES), PROMPT_TOKENS // 2)
    own = PrefixLevel(PrefixDigest(N_PREFIXES + number), PROMPT_TOKENS)
    return Work(
        request=RequestId(str(number)),
        customer=CustomerId(f"customer-{number % _N_ZONES}"),
        target_group=_GROUP,
        model=_MODEL,
        weights_version=_WEIGHTS,
        levels=(shared, own),
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=50,
        priority=Priority.INTERACTIVE,
        arrived_seconds=now_seconds,
        first_token_timeout_seconds=5.0,
        fingerprint=BodyFingerprint(number),
        objective_seconds=0.5,
    )


def _list_targets(n_targets: int) -> tuple[ListedTarget, ...]:
    return tuple(
        ListedTarget(
            target=TargetId(f"target-{number}"),
            target_group=_GROUP,
            address=f"10.0.{number >> 8}.{number & 255}:8000",
            availability_zone=AvailabilityZone(f"zone-{number % _N_ZONES}"),
            slots=64,
            weights={_MODEL: _WEIGHTS},
            started_ms=1,
        )
        for number in range(n_targets)
    )


def _make_member(number: int, name: DaemonId, zone: AvailabilityZone) -> Member:
    return Member(
        daemon=name,
        boot=f"boot-{number}",
        state=MemberState.LIVE,
        availability_zone=zone,
        callers_url=f"http://{name}",
        peer_endpoint="",
        started_wall_seconds=virtual_clock().wall_seconds(),
    )


def _make_vm(name: DaemonId, zone: AvailabilityZone, endpoint: str) -> Vm:
    return Vm(
        name=name,
        role=VmRole.DAEMON,
        state=VmState.LIVE,
        availability_zone=zone,
        address="127.0.0.1",
        callers_url=f"http://{name}",
        peer_endpoint=endpoint,
    )
