"""Real daemons as processes before stand-ins of the platform, through proxies."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field

import aiohttp
from soakchanges import make_soak_configuration
from soakendless import EndlessAnswers
from soaknotices import Pause, ServerWords
from soakplay import Play
from soakproxy import Proxy

from lycheepost.app.platformfleet import (
    BOUNDS,
    ENGINES,
    FIRST_START_MS,
    HOST,
    MODEL,
    PLAIN,
    ZONE,
    PlatformFleet,
)
from lycheepost.core.clock import SystemClock
from lycheepost.core.ids import AvailabilityZone, DaemonId, RegionId
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import PlatformServer, seal_of
from lycheepost.platform.settings import Endpoint, NodeSettings
from lycheepost.standin.enginetiming import make_engine_timing, make_speeds
from lycheepost.standin.ports import port_of, reserve_port

ROOT = pathlib.Path(__file__).resolve().parent.parent
GRACE_SECONDS = 8.0
ZONES = (ZONE, AvailabilityZone("zone-b"))
"""Zones that the daemons are in by turns; the servers are in the first."""
FIRST_START_LINE = "bootstrap=true\n"
MEMORY_MB = 150
DESCRIPTORS = 4100
"""Of each daemon's VM; those of the smallest deployment with few daemons."""
START_SECONDS = 90.0
"""For all processes to be up the first time, also on a machine that is busy."""


class ReservedPorts:
    """Ports that no other process is given until they are released.

    Two runs that only looked for ports without a listener would take the same ones.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self, n: int) -> list[int]:
        """Return ports that can be listened on."""
        found = [reserve_port(HOST) for _ in range(n)]
        self._sockets += found
        return [port_of(item) for item in found]

    def release(self) -> None:
        """Let other processes have the ports."""
        for item in self._sockets:
            item.close()
        self._sockets.clear()


class ProxiedServer(PlatformServer):
    """A server that daemons reach through a proxy, and that notes what it got and said.

    Attributes:
        words: These notes.
        endless: What it answers without end; None for nothing.
    """

    def __init__(self, service: str, model: str = "") -> None:
        super().__init__(service, model)
        self.proxy: Proxy | None = None
        self.words = ServerWords()
        self.endless: EndlessAnswers | None = None
        self._n_pauses = 0

    @property
    def address(self) -> str:
        """Return the address that it registers: its proxy's."""
        if self.proxy is None:
            return super().address
        return f"{HOST}:{self.proxy.port}"

    async def start(self) -> None:
        """Listen, and open the proxy before it."""
        await super().start()
        host, _, port = super().address.partition(":")
        self.proxy = Proxy((host, int(port)))
        await self.proxy.start()

    async def stop(self) -> None:
        """Close both."""
        if self.proxy is not None:
            await self.proxy.stop()
        await super().stop()

    def slow_down(self, event_seconds: float) -> None:
        """Generate events at this interval, until the server restarts."""
        self._timing.close()
        speeds = make_speeds(iteration_seconds=event_seconds)
        self._timing = make_engine_timing(self.name, speeds, SystemClock())

    async def pause(self, seconds: float) -> None:
        """Send nothing for a time; of several pauses the last one to end counts."""
        self._n_pauses += 1
        self._awake.clear()
        await asyncio.sleep(seconds)
        self._n_pauses -= 1
        if not self._n_pauses:
            self._awake.set()

    async def _run(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        if self.endless is None or not self.endless.is_due(request):
            return await super()._run(request)
        body = await request.read()
        headers = self._response_headers(request)
        if names.ATTEMPT_ID in request.headers:
            self._note_arrival(request)
            # A server that sends such an answer may have done the work.
            self._record(request, body)
            headers[names.SEAL] = seal_of(body)
        return await self.endless.send(request, headers)

    async def _health(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        if self.endless is not None and self.endless.is_due(request):
            return await self.endless.send(request, self._response_headers(request))
        return await super()._health(request)

    async def _report(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        if self.endless is not None and self.endless.is_due(request):
            return await self.endless.send(request, self._notice_headers())
        return await super()._report(request)

    def _record(self, request: aiohttp.web.Request, body: bytes) -> None:
        super()._record(request, body)
        self.words.arrived_seconds[self.runs[-1].attempt_id] = time.monotonic()

    def _response_headers(self, request: aiohttp.web.Request) -> dict[str, str]:
        attempt_id = request.headers.get(names.ATTEMPT_ID)
        if self.announces_leaving and attempt_id in self.words.arrived_seconds:
            self.words.said_leaving.add(attempt_id)
        if self.limit_per_second and attempt_id in self.words.arrived_seconds:
            self.words.said_limit.add(attempt_id)
        return super()._response_headers(request)

    def _reject_with_backoff(
        self, request: aiohttp.web.Request, backoff_seconds: float
    ) -> aiohttp.web.Response:
        attempt_id = request.headers[names.ATTEMPT_ID]
        now_seconds = time.monotonic()
        self.words.arrived_seconds[attempt_id] = now_seconds
        self.words.pauses.append(Pause(attempt_id, now_seconds, backoff_seconds))
        return super()._reject_with_backoff(request, backoff_seconds)


@dataclass
class DaemonProcess:
    """One daemon, which may be started again."""

    zone: AvailabilityZone
    node_file: pathlib.Path
    metrics_port: int
    store: Proxy
    clients: Proxy
    process: subprocess.Popen[bytes] | None = None
    pids: list[int] = field(default_factory=list)

    def start(self) -> None:
        """Start it; its log goes beside its settings, after what is there."""
        environment = {
            **os.environ,
            "LYCHEEPOST_METRICS_PORT": str(self.metrics_port),
        }
        with self.node_file.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "tools/soakdaemon.py", str(self.node_file)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.pids.append(self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this very process, if it lives."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def set_cut(self, cut: str) -> None:
        """Cut its paths to the servers; none of them if ``cut`` is empty."""
        written = self.node_file.with_suffix(".new")
        written.write_text(cut)
        written.replace(self.node_file.with_suffix(".cut"))

    async def end(self, within_seconds: float) -> None:
        """Stop it; kill it if it does not end in time."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        until_seconds = time.monotonic() + within_seconds
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > until_seconds:
                self.send(signal.SIGKILL)
            await asyncio.sleep(0.05)


class ProcessFleet(PlatformFleet):
    """The platform's stand-ins in this process, the daemons in their own.

    Args:
        folder: For settings files and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(BOUNDS)
        self.folder = folder
        self.processes: list[DaemonProcess] = []
        self.ports = ReservedPorts()

    async def begin(self, play: Play, keys: dict[str, str]) -> None:
        """Start everything and wait until the daemons are ready."""
        await self.start(0, 0, 0, is_configured=False, max_connections=0)
        self.configure(make_soak_configuration(1, keys))
        for service, model, n in (
            (PLAIN, "", play.n_plain),
            (ENGINES, MODEL, play.n_engines),
        ):
            for _ in range(n):
                server = ProxiedServer(service, model)
                server.n_events = play.n_events
                if play.event_seconds is not None:
                    server.slow_down(play.event_seconds)
                server.state.started_ms = FIRST_START_MS if model else None
                await self.add_server(server)
        for _ in range(play.n_daemons):
            await self.add_process()
        await self.until(self.all_up, START_SECONDS)
        self.end_first_start()

    async def add_process(self) -> None:
        """Start one more daemon in a process of its own."""
        store_port = int(self.store.url.rpartition(":")[2])
        store = Proxy((HOST, store_port))
        await store.start()
        front, ready, directory, metrics, first = self.ports.take(5)
        clients = Proxy((HOST, front))
        await clients.start()
        name = f"front-{len(self.nodes)}"
        zone = ZONES[len(self.nodes) % len(ZONES)]
        settings = {
            "node_name": name,
            "zone": zone,
            "region": "r",
            "ip": HOST,
            "listen.front": f"{HOST}:{front}",
            "listen.ready": f"{HOST}:{ready}",
            "listen.directory": f"{HOST}:{directory}",
            "port_range": f"{first},{first}",
            "platform.address": f"{HOST}:{store.port}",
            "limits.memory_mb": MEMORY_MB,
            "limits.max_fds": DESCRIPTORS,
        }
        node_file = self.folder / f"{name}.conf"
        text = "".join(f"{k}={v}\n" for k, v in settings.items())
        node_file.write_text(text + FIRST_START_LINE)
        self.nodes.append(
            NodeSettings(
                daemon=DaemonId(name),
                availability_zone=zone,
                region=RegionId("r"),
                host=HOST,
                clients=Endpoint(HOST, clients.port),
                readiness=Endpoint(HOST, ready),
                directory=Endpoint(HOST, directory),
                peer_ports=(first, first),
                store=Endpoint(HOST, store.port),
                bounds=BOUNDS,
            )
        )
        process = DaemonProcess(zone, node_file, metrics, store, clients)
        process.start()
        self.processes.append(process)

    async def all_up(self) -> bool:
        """Tell whether every daemon is ready; one that does not answer is not."""
        for index in range(len(self.nodes)):
            if not await self.is_up(index):
                return False
        return True

    async def is_up(self, index: int) -> bool:
        """Tell whether one daemon is ready."""
        try:
            async with asyncio.timeout(1.0):
                return await self.ready(index) == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def end_first_start(self) -> None:
        """Change the settings of later starts: the fleet has run before."""
        for process in self.processes:
            text = process.node_file.read_text()
            process.node_file.write_text(text.removesuffix(FIRST_START_LINE))

    async def end(self) -> None:
        """End every process that was started here, and the stand-ins."""
        await asyncio.gather(*(item.end(GRACE_SECONDS) for item in self.processes))
        for item in self.processes:
            await item.store.stop()
            await item.clients.stop()
        await self.stop()
        self.ports.release()
