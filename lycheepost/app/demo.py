"""The demo: a whole deployment in one process, with generated load and an audit.

Stand-ins for all external services and three daemons in two availability zones run
as tasks on loopback ports. Daemons, stand-ins and callers communicate over HTTP as
they would on separate machines.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lycheepost.app.daemon import Daemon, make_daemon
from lycheepost.app.standins import HOST, FleetShape, StandinFleet
from lycheepost.core.ids import Revision
from lycheepost.generated.settings import (
    DaemonSettings,
    ListenerSettings,
    OperatorSettings,
    PeerAddress,
    PeerSettings,
    Settings,
    StateSettings,
)
from lycheepost.loadgen.drive import LoadPlan, Progress, run_load
from lycheepost.loadgen.expected import make_standin_answers
from lycheepost.loadgen.mixes import Deployment
from lycheepost.loadgen.report import LoadReport
from lycheepost.utils.keys import OPERATOR_KEY_PREFIX, hash_key, make_key

ZONES = ("zone-a", "zone-b")
REGION = "demo"
N_DAEMONS = 3
DEFAULT_SECONDS = 20.0
RATE_PER_SECOND = 25.0
"""Keeps four stand-in engines busy without saturating them, on one core that also
runs the daemons and the callers."""
KILL_AFTER_SHARE = 0.4
"""Share of the run after which one engine crashes."""
ORDERS_PATH = "orders"


@dataclass(frozen=True)
class DemoPlan:
    """Parameters of a demo run.

    Attributes:
        n_seconds: How long traffic is sent.
        kills_engine: Whether one engine crashes while traffic runs.
        settings: Overrides limits, objectives and streams of the daemons; None
            for the defaults.
    """

    n_seconds: float = DEFAULT_SECONDS
    rate_per_second: float = RATE_PER_SECOND
    seed: int = 1
    kills_engine: bool = False
    settings: Settings | None = None


@dataclass(frozen=True)
class DemoFleet:
    """A running deployment.

    Attributes:
        operator_key: Key for the operators' API of each daemon.
    """

    standins: StandinFleet
    daemons: tuple[Daemon, ...]
    operator_key: str

    def base_urls(self) -> tuple[str, ...]:
        """Return the base URLs for callers and operators."""
        return tuple(daemon.callers_url for daemon in self.daemons)

    def describe(self) -> dict[str, Any]:
        """Return the addresses, keys, models and services that a caller needs."""
        shape = self.standins.shape
        return {
            "base_urls": list(self.base_urls()),
            "keys": dict(self.standins.keys),
            "operator_key": self.operator_key,
            "models": [shape.engine_group],
            "services": [shape.service_group],
        }


def demo_shape() -> FleetShape:
    """Return the shape of the demo deployment: small, with kiosk customers."""
    return FleetShape(
        availability_zones=ZONES,
        engine_group="caption-llm",
        n_engines=4,
        service_group="kiosk-orders",
        n_services=2,
        customers=("northgate-drugs", "northgate-grocers", "brandon", "lethbridge"),
    )


def make_demo_settings(
    standins: StandinFleet,
    seeds: list[PeerAddress],
    operator_key: str,
    base: Settings | None,
) -> Settings:
    """Return the settings of the next daemon of the demo.

    Args:
        standins: The stand-ins that the daemon connects to.
        seeds: Peers that are already running.
        operator_key: Key for the operators' API.
        base: Overrides limits, objectives, streams, targets and the timing of
            operators' changes.
    """
    index = len(seeds)
    settings = Settings(
        deployment="demo",
        daemon=DaemonSettings(
            daemon_id=f"demo-{index}",
            availability_zone=ZONES[index % len(ZONES)],
            region=REGION,
            drain_seconds=30,
            announce_leaving_seconds=0.2,
        ),
        listeners=ListenerSettings(
            host=HOST, callers_port=0, operators_port=0, operators_on_callers_port=True
        ),
        peers=PeerSettings(seeds=seeds, exchange_seconds=0.2),
        platform=standins.platform_settings(),
        operators=OperatorSettings(key_hashes=[hash_key(operator_key)]),
        state=StateSettings(poll_seconds=0.3, vm_list_poll_seconds=0.5),
    )
    if base is None:
        return settings
    return replace(
        settings,
        limits=base.limits,
        objectives=base.objectives,
        streams=base.streams,
        targets=base.targets,
        operators=replace(base.operators, key_hashes=settings.operators.key_hashes),
    )


@contextlib.asynccontextmanager
async def run_fleet(
    shape: FleetShape, base: Settings | None = None, n_daemons: int = N_DAEMONS
) -> AsyncIterator[DemoFleet]:
    """Run stand-ins and daemons for as long as the context lasts."""
    standins = StandinFleet(shape)
    operator_key = make_key(OPERATOR_KEY_PREFIX)
    daemons: list[Daemon] = []
    await standins.start()
    try:
        for _ in range(n_daemons):
            seeds = [_peer_address(daemon) for daemon in daemons]
            settings = make_demo_settings(standins, seeds, operator_key, base)
            daemon = make_daemon(settings)
            await daemon.start()
            daemons.append(daemon)
        await _commit_configuration(daemons, standins)
        yield DemoFleet(standins, tuple(daemons), operator_key)
    finally:
        for daemon in daemons:
            await daemon.stop()
        await standins.stop()


def _peer_address(daemon: Daemon) -> PeerAddress:
    me = daemon.state.members.me()
    return PeerAddress(daemon_id=me.daemon, endpoint=me.peer_endpoint)


async def _commit_configuration(daemons: list[Daemon], standins: StandinFleet) -> None:
    """Commit the first configuration and wait until every daemon uses it."""
    first = daemons[0].state.revisions
    await first.commit(Revision(0), standins.configuration())
    async with asyncio.timeout(10):
        for daemon in daemons:
            await daemon.state.revisions.refresh()
            daemon.traffic.feed.feed()


async def run_demo(
    fleet: DemoFleet,
    plan: DemoPlan,
    on_progress: Callable[[Progress], None] | None = None,
) -> LoadReport:
    """Send mixed traffic to a running deployment and audit every response."""
    shape = fleet.standins.shape
    load = LoadPlan(
        addresses=fleet.base_urls(),
        keys=fleet.standins.keys,
        deployment=Deployment.PRAIRIE,
        model=shape.engine_group,
        service_path=f"/services/{shape.service_group}/{ORDERS_PATH}",
        answers=make_standin_answers(),
        n_seconds=plan.n_seconds,
        rate_per_second=plan.rate_per_second,
        seed=plan.seed,
        read_evidence=_evidence_reader(fleet),
        on_progress=on_progress,
    )
    async with asyncio.TaskGroup() as group:
        if plan.kills_engine:
            group.create_task(_kill_engine(fleet, plan.n_seconds * KILL_AFTER_SHARE))
        return await run_load(load)


def _evidence_reader(fleet: DemoFleet) -> Callable[[], Awaitable[Any]]:
    async def read() -> Any:
        return fleet.standins.evidence()

    return read


async def _kill_engine(fleet: DemoFleet, after_seconds: float) -> None:
    await asyncio.sleep(after_seconds)
    fleet.standins.engines[0].crash()


def encode_description(fleet: DemoFleet) -> str:
    """Return the first line of the ``--json`` output."""
    return json.dumps(msgspec.to_builtins(fleet.describe()))
