"""A small deployment of the users' platform on loopback, as tasks of one process.

It runs a store, engines and plain services that implement the platform's protocol, and
daemons that route to them. The demo and whole-system tests use it.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
import yarl

from lycheepost.app.earlysockets import EarlySockets, open_socket
from lycheepost.app.leaveplan import LeavePlan
from lycheepost.app.platformdaemon import PlatformDaemon, make_platform_daemon
from lycheepost.core.ids import AvailabilityZone, DaemonId, RegionId
from lycheepost.decide.clientlimits import (
    MAX_QUEUED,
    RECEIVE_BUFFER_BYTES,
    make_client_limits,
)
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.platform import headers as names
from lycheepost.platform.models.pathcuts import CuttableNetwork
from lycheepost.platform.models.serverstandin import FIRST_SOFTWARE, PlatformServer
from lycheepost.platform.models.serverstate import ServerRun
from lycheepost.platform.models.storestandin import StoreStandin
from lycheepost.platform.settings import Bounds, Endpoint, NodeSettings
from lycheepost.utils.bodies import TrackedResponse

HOST = "127.0.0.1"
MODEL = "m0"
SITE = "site.example"
ENGINES = "llm"
PLAIN = "plain"
ZONE = AvailabilityZone("zone-a")
WAIT_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.02
FIRST_START_MS = 1_700_000_000_000
"""Start time of servers that report one."""
KEYS = {"k-one": "one", "k-two": "two"}
"""API keys and their customers; the second customer is isolated."""

ISOLATED_KEY = "k-two"
CLIENT_LIMITS = make_client_limits(memory_mebibytes=512.0, n_descriptors=8192)
"""Of the one process that all daemons of a fleet share."""

BOUNDS = Bounds(
    revoke_seconds=5.0,
    is_revoke_strict=True,
    drain_seconds=2.0,
    grace_seconds=8.0,
    lease_seconds=3.0,
    retry_share=0.2,
    retry_burst=54,
    retry_window_seconds=10.0,
    weights_seconds=10.0,
    address_seconds=5.0,
)


@dataclass
class Answer:
    """A client's response; ``status`` is None if the connection failed before it."""

    status: int | None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = True


def _listen() -> socket.socket:
    """Return a listening socket on a free port."""
    return open_socket(Endpoint(HOST, 0), MAX_QUEUED, RECEIVE_BUFFER_BYTES)


def _endpoint_of(listening: socket.socket) -> Endpoint:
    return Endpoint(HOST, int(listening.getsockname()[1]))


def make_route(
    name: str, prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    """Return a route in the format of the operators' configuration."""
    return {
        "name": name,
        "host": SITE,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 100,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def make_configuration(
    version: int = 1,
    keys: tuple[str, ...] = tuple(KEYS),
    customers: Mapping[str, str] = KEYS,
) -> dict[str, Any]:
    """Return a configuration in the operators' format."""
    engine = {"slots": 32, "kv_capacity_tokens": 100000, "models": [{"name": MODEL}]}
    return {
        "version": version,
        "routes": [
            make_route("look", "/look/", "idempotent", PLAIN),
            make_route("order", "/order/", "non_idempotent", PLAIN, max_attempts=1),
            make_route("title", "/title/", "streaming", ENGINES, resumable=True),
            make_route("album", "/album/", "streaming", ENGINES, max_attempts=1),
        ],
        "services": [
            {"name": PLAIN, "health_path": "/health", "max_conns": 100},
            {
                "name": ENGINES,
                "health_path": "/health",
                "max_conns": 100,
                "engine": engine,
            },
        ],
        "tenants": [
            {
                "name": customers[key],
                "api_keys": [key],
                "priority": 1,
                "isolated": key == ISOLATED_KEY,
            }
            for key in keys
        ],
    }


class PlatformFleet:
    """Store, servers and daemons, as tasks of the running loop.

    Args:
        bounds: The platform's bounds for daemons.

    Attributes:
        store: The platform's store.
        servers: Engines and plain services.
        nodes: The platform's settings of each daemon.
        daemons: The daemons, in the same order as ``nodes``.
        networks: The paths of each daemon to the servers, in the same order.
        attempt_id: The attempt id of the last request.
        switched_off: Disabled mechanisms of daemons that are started from now on.
        leave_plan: The phases of the shutdown of daemons that are started from now on.
    """

    def __init__(self, bounds: Bounds = BOUNDS) -> None:
        self.store = StoreStandin()
        self.servers: list[PlatformServer] = []
        self.nodes: list[NodeSettings] = []
        self.daemons: list[PlatformDaemon] = []
        self.networks: list[CuttableNetwork] = []
        self.attempt_id = ""
        self.switched_off: frozenset[Mechanism] = frozenset()
        self.leave_plan = LeavePlan(accept_seconds=0.4, finish_seconds=5.0)
        self._bounds = bounds
        self._n_attempts = 0
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session of the clients."""
        if self._session is None:
            raise RuntimeError("the fleet is not started")
        return self._session

    async def start(
        self,
        n_daemons: int = 1,
        n_plain: int = 2,
        n_engines: int = 2,
        is_configured: bool = True,
        states_starts: bool = False,
        n_slots: int = 32,
        zones: Sequence[AvailabilityZone] = (ZONE,),
        software: Sequence[str] = (FIRST_SOFTWARE,),
        max_connections: int = 100,
    ) -> None:
        """Start everything and wait until the daemons are ready.

        Args:
            n_daemons: Number of daemons.
            n_plain: Number of plain services.
            n_engines: Number of engines.
            is_configured: Whether a configuration is written before the start.
            states_starts: Whether servers report their start time.
            n_slots: Slots of each server.
            zones: Availability zones that the daemons are in by turns.
            software: Software versions of the servers by turns.
            max_connections: Connections of all clients together; 0 for no bound.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=max_connections),
            auto_decompress=False,
            response_class=TrackedResponse,
        )
        await self.store.start()
        for service, model, n in ((PLAIN, "", n_plain), (ENGINES, MODEL, n_engines)):
            for number in range(n):
                server = PlatformServer(service, model, n_slots=n_slots)
                server.state.software = software[number % len(software)]
                server.state.started_ms = FIRST_START_MS if states_starts else None
                await self.add_server(server)
        if is_configured:
            self.configure(make_configuration())
        for index in range(n_daemons):
            await self.add_daemon(zones[index % len(zones)], is_first_start=True)
        if is_configured:
            await self.until(self.all_ready)

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in self.daemons:
            await daemon.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        await self.session.close()

    async def add_server(self, server: PlatformServer) -> None:
        """Start one server and register it."""
        await server.start()
        self.servers.append(server)
        self.register(server)

    def register(self, server: PlatformServer) -> None:
        """Write a server's current entry to the store."""
        self.store.store.put("servers", server.name, server.entry(ZONE))

    async def replace_crashed(
        self, server: PlatformServer, away_seconds: float
    ) -> None:
        """Bring a crashed server back under a new name, as servers do themselves.

        Its entry expires in the meantime.
        """
        await asyncio.sleep(away_seconds)
        self.store.store.put("servers", server.name, None)
        await server.stop()
        server.rename()
        await server.start()
        self.register(server)

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store, as an operator does."""
        self.store.store.put("op", "config", msgspec.json.encode(document))

    def publish_weights(self, version: int) -> None:
        """Write a new weights version to the store, as an operator does."""
        value = msgspec.json.encode({"model": MODEL, "version": version})
        self.store.store.put("op", f"version/{MODEL}", value)

    async def add_daemon(
        self, zone: AvailabilityZone = ZONE, is_first_start: bool = False
    ) -> None:
        """Start one more daemon in an availability zone.

        Args:
            zone: The availability zone.
            is_first_start: Whether the whole fleet starts for the first time.
        """
        clients, readiness, directory = _listen(), _listen(), _listen()
        node = NodeSettings(
            daemon=DaemonId(f"front-{len(self.nodes)}"),
            availability_zone=zone,
            region=RegionId("r"),
            host=HOST,
            clients=_endpoint_of(clients),
            readiness=_endpoint_of(readiness),
            directory=_endpoint_of(directory),
            peer_ports=(0, 0),
            store=Endpoint(HOST, int(self.store.url.rpartition(":")[2])),
            bounds=self._bounds,
            client_limits=CLIENT_LIMITS,
            is_first_start=is_first_start,
        )
        network = CuttableNetwork()
        daemon = make_platform_daemon(
            node,
            EarlySockets(clients, readiness, directory),
            metrics_port=0,
            leave_plan=self.leave_plan,
            switched_off=self.switched_off,
            network=network,
        )
        await daemon.start()
        self.nodes.append(node)
        self.daemons.append(daemon)
        self.networks.append(network)

    async def until(
        self,
        condition: Callable[[], Awaitable[bool]],
        within_seconds: float = WAIT_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until a condition holds; raise TimeoutError if it doesn't in time."""
        async with asyncio.timeout(within_seconds):
            while True:
                if await condition():
                    return
                await asyncio.sleep(POLL_SECONDS)

    async def all_ready(self) -> bool:
        """Return whether every daemon is ready and listed in the directory."""
        for index in range(len(self.nodes)):
            if await self.ready(index) != 200:
                return False
        return len(await self.addresses(0)) == len(self.nodes)

    async def ready(self, index: int = 0) -> int:
        """Return the HTTP status of a daemon's readiness check."""
        url = f"http://{self.nodes[index].readiness}/ready"
        async with self.session.get(url) as answer:
            return answer.status

    async def addresses(self, index: int = 0) -> list[str]:
        """Return the addresses that a daemon's directory lists."""
        url = f"http://{self.nodes[index].directory}/lookup?name={SITE}&zone={ZONE}"
        async with self.session.get(url) as answer:
            if answer.status != 200:
                return []
            return list((await answer.json())["addresses"])

    def group(self, service: str) -> list[PlatformServer]:
        """Return the servers of one service."""
        return [server for server in self.servers if server.service == service]

    def runs(self, attempt_id: str | None = None) -> list[ServerRun]:
        """Return the runs of one request or of all requests on all servers."""
        return [
            run
            for server in self.servers
            for run in server.runs
            if attempt_id is None or run.attempt_id == attempt_id
        ]

    def headers(self, key: str = "k-one", **more: str) -> dict[str, str]:
        """Return the headers of a new request."""
        self._n_attempts += 1
        self.attempt_id = f"attempt-{self._n_attempts}"
        found = {
            "Host": SITE,
            names.ATTEMPT_ID: self.attempt_id,
            names.DEADLINE: "3000",
            **more,
        }
        if key:
            found[names.AUTHORIZATION] = f"Token {key}"
        return found

    def prompt_headers(
        self, key: str = "k-one", parts: str = "aa:100,bb:50", **more: str
    ) -> dict[str, str]:
        """Return the headers of a new request with a prompt."""
        prompt = {
            names.MODEL: MODEL,
            names.TOKENS: "150,6",
            names.PROMPT_PARTS: parts,
        }
        return self.headers(key, **{**prompt, **more})

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        index: int = 0,
        max_bytes: int | None = None,
    ) -> Answer:
        """Send one request through a daemon and read the response.

        Args:
            method: The HTTP method.
            path: The path.
            headers: All headers.
            body: The body.
            index: The daemon.
            max_bytes: The client leaves once the body is longer; None for never.
        """
        url = yarl.URL(f"http://{self.nodes[index].clients}{path}", encoded=True)
        try:
            response = await self.session.request(
                method, url, headers=headers, data=body or None
            )
        except aiohttp.ClientError:
            return Answer(None, is_whole=False)
        answer = Answer(response.status, dict(response.headers))
        try:
            async for part in response.content.iter_any():
                answer.body += part
                if max_bytes is not None and len(answer.body) > max_bytes:
                    response.close()
                    answer.is_whole = False
                    return answer
            assert isinstance(response, TrackedResponse)
            await response.wait_body_end()
        except aiohttp.ClientError:
            answer.is_whole = False
        response.close()
        return answer
