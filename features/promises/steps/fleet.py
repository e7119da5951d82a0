"""A fleet of complete daemons and stand-ins, run as tasks of one process."""

import asyncio
from dataclasses import replace

from lycheepost.app.daemon import make_daemon
from lycheepost.app.demo import demo_shape, make_demo_settings
from lycheepost.app.standins import StandinFleet
from lycheepost.core.ids import Revision
from lycheepost.generated.settings import (
    DaemonSettings,
    PeerAddress,
    PlatformSettings,
    Settings,
    StreamSettings,
    TargetSettings,
)
from lycheepost.loadgen.drive import LoadPlan, run_load
from lycheepost.loadgen.expected import make_standin_answers
from lycheepost.loadgen.mixes import Deployment
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.standin.enginetiming import make_speeds
from lycheepost.standin.ports import port_of, reserve_port

N_DAEMONS = 3
CRASH_TEXT = "poisonous"
BASE_SETTINGS = Settings(
    deployment="promises",
    daemon=DaemonSettings(daemon_id="x", availability_zone="z", region="r"),
    platform=PlatformSettings(
        table_url="http://x",
        objects_url="http://x",
        weights_url="http://x",
        vm_list_url="http://x",
        timeout_seconds=0.5,
    ),
    # Short time-outs, so that they expire within a scenario.
    streams=StreamSettings(silence_seconds=0.5, first_byte_seconds=2.0),
    targets=TargetSettings(health_poll_seconds=0.2),
)


class Fleet:
    def __init__(self, n_daemons=N_DAEMONS):
        shape = replace(
            demo_shape(),
            engine=EngineStandinSettings(
                crash_text=CRASH_TEXT,
                restart_seconds=0.4,
                timing=make_speeds(iteration_seconds=0.002),
            ),
        )
        self.standins = StandinFleet(shape)
        self.operator_key = "lpo-promises"
        self.n_daemons = n_daemons
        self.settings = []
        self.daemons = []
        self.held_ports = []

    async def start(self):
        await self.standins.start()
        for _ in range(self.n_daemons):
            seeds = [peer_address(daemon) for daemon in self.daemons]
            settings = make_demo_settings(
                self.standins, seeds, self.operator_key, BASE_SETTINGS
            )
            # A daemon restarts on the same port, as on a VM.
            self.held_ports.append(reserve_port(settings.listeners.host))
            port = port_of(self.held_ports[-1])
            listeners = replace(settings.listeners, callers_port=port)
            self.settings.append(replace(settings, listeners=listeners))
            daemon = make_daemon(self.settings[-1])
            await daemon.start()
            self.daemons.append(daemon)
        await self.daemons[0].state.revisions.commit(
            Revision(0), self.standins.configuration()
        )
        await self.wait_for(lambda: set(self.revisions()) == {1})

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()
        await self.standins.stop()
        for held in self.held_ports:
            held.close()

    def revisions(self):
        return [daemon.state.revisions.revision for daemon in self.daemons]

    def urls(self):
        return tuple(daemon.callers_url for daemon in self.daemons)

    async def wait_for(self, is_true, seconds=8.0):
        async with asyncio.timeout(seconds):
            while not is_true():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def stop_daemon(self, index):
        await self.daemons[index].stop()

    async def start_daemon(self, index):
        self.daemons[index] = make_daemon(self.settings[index])
        await self.daemons[index].start()

    async def restart(self, *indexes):
        await asyncio.gather(*(self.stop_daemon(index) for index in indexes))
        await asyncio.gather(*(self.start_daemon(index) for index in indexes))

    async def drain_and_restart(self, index):
        await self.daemons[index].drain()
        await self.restart(index)

    def make_plan(self, **fields):
        shape = self.standins.shape

        async def read_evidence():
            return self.standins.evidence()

        plan = LoadPlan(
            addresses=self.urls(),
            keys=self.standins.keys,
            deployment=Deployment.PRAIRIE,
            model=shape.engine_group,
            service_path=f"/services/{shape.service_group}/orders",
            answers=make_standin_answers(),
            n_seconds=0.6,
            rate_per_second=120,
            seed=5,
            read_evidence=read_evidence,
        )
        return replace(plan, **fields)

    async def load_with(self, inject, after_seconds=0.15, quiet_seconds=0, **fields):
        """Send traffic, inject a failure meanwhile, and return the report."""
        await asyncio.sleep(quiet_seconds)

        async def later():
            await asyncio.sleep(after_seconds)
            await inject()

        load = asyncio.create_task(run_load(self.make_plan(**fields)))
        failure = asyncio.create_task(later())
        report, _none = await asyncio.gather(load, failure)
        return report


def peer_address(daemon):
    me = daemon.state.members.me()
    return PeerAddress(daemon_id=me.daemon, endpoint=me.peer_endpoint)
