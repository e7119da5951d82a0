"""A whole small deployment on loopback: store, servers, daemons, and a client.

Ports are free ones; nothing asserts how long anything takes, only that it comes
about before a generous bound.
"""

import asyncio
import socket
from dataclasses import dataclass, field

import aiohttp
import msgspec
import yarl

from lycheepost.app.earlysockets import open_sockets
from lycheepost.app.platformdaemon import LeavePlan, make_platform_daemon
from lycheepost.core.ids import AvailabilityZone, DaemonId, RegionId
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverface import PlatformServer
from lycheepost.platform.models.storeface import StoreFace
from lycheepost.platform.settings import Bounds, Endpoint, NodeSettings

HOST = "127.0.0.1"
MODEL = "m0"
SITE = "site.example"
PROMPT = "aa:100,bb:50"
PATIENCE_SECONDS = 10.0
KEYS = {"k-one": "one", "k-two": "two"}
BOUNDS = Bounds(
    revoke_seconds=5.0,
    is_revoke_strict=True,
    drain_seconds=2.0,
    grace_seconds=8.0,
    lease_seconds=3.0,
    retry_share=0.2,
    retry_burst=54,
    weights_seconds=10.0,
    address_seconds=5.0,
)


@dataclass
class Answer:
    """What the client got; ``status`` None when the connection broke first."""

    status: int | None
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = True


def free_port():
    with socket.socket() as found:
        found.bind((HOST, 0))
        return found.getsockname()[1]


def route(name, prefix, kind, service, **more):
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


def make_configuration(version=1, keys=("k-one", "k-two"), extra_routes=()):
    tenants = [
        {
            "name": KEYS[key],
            "api_keys": [key],
            "priority": 1,
            "isolated": key == "k-two",
        }
        for key in keys
    ]
    return {
        "version": version,
        "routes": [
            route("look", "/look/", "idempotent", "plain"),
            route("order", "/order/", "non_idempotent", "plain", max_attempts=1),
            route("title", "/title/", "streaming", "llm", resumable=True),
            route("album", "/album/", "streaming", "llm", max_attempts=1),
            *extra_routes,
        ],
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 100},
            {
                "name": "llm",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {
                    "slots": 32,
                    "kv_capacity_tokens": 100000,
                    "models": [{"name": MODEL}],
                },
            },
        ],
        "tenants": tenants,
    }


class Deployment:
    """Store, servers and daemons, as tasks of the scenario's loop."""

    def __init__(self, bounds=BOUNDS):
        self.store = StoreFace()
        self.servers = []
        self.nodes = []
        self.daemons = []
        self.bounds = bounds
        self.n_attempts = 0
        self.session = None

    async def start(self, n_daemons=1, n_plain=2, n_engines=2, is_configured=True):
        self.session = aiohttp.ClientSession(auto_decompress=False)
        await self.store.start()
        for service, model, n in (("plain", "", n_plain), ("llm", MODEL, n_engines)):
            for _ in range(n):
                await self.add_server(PlatformServer(service, model))
        if is_configured:
            self.configure(make_configuration())
        for _ in range(n_daemons):
            await self.add_daemon()
        if is_configured:
            await self.until(self.all_ready)

    async def add_server(self, server):
        await server.start()
        self.servers.append(server)
        self.register(server)

    def register(self, server):
        self.store.store.put("servers", server.name, server.entry("zone-a"))

    def configure(self, document):
        self.store.store.put("op", "config", msgspec.json.encode(document))

    async def add_daemon(self):
        index = len(self.nodes)
        node = NodeSettings(
            daemon=DaemonId(f"front-{index}"),
            availability_zone=AvailabilityZone("zone-a"),
            region=RegionId("r"),
            host=HOST,
            clients=Endpoint(HOST, free_port()),
            readiness=Endpoint(HOST, free_port()),
            directory=Endpoint(HOST, free_port()),
            peer_ports=(free_port(), 0),
            store=Endpoint(HOST, int(self.store.url.rpartition(":")[2])),
            bounds=self.bounds,
        )
        plan = LeavePlan(take_seconds=0.4, finish_seconds=5.0)
        sockets = open_sockets(node)
        daemon = make_platform_daemon(node, sockets, metrics_port=0, leave_plan=plan)
        await daemon.start()
        self.nodes.append(node)
        self.daemons.append(daemon)

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        await self.session.close()

    async def until(self, condition):
        """Wait until a condition holds; fail after a generous bound."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not await condition():
                await asyncio.sleep(0.02)

    async def all_ready(self):
        for index in range(len(self.nodes)):
            if await self.ready(index) != 200:
                return False
        return len(await self.addresses(0)) == len(self.nodes)

    async def ready(self, index=0):
        async with self.session.get(
            f"http://{self.nodes[index].readiness}/ready"
        ) as answer:
            return answer.status

    async def addresses(self, index=0):
        url = f"http://{self.nodes[index].directory}/lookup?name={SITE}&zone=zone-a"
        async with self.session.get(url) as answer:
            if answer.status != 200:
                return []
            return (await answer.json())["addresses"]

    def group(self, service):
        return [server for server in self.servers if server.service == service]

    def runs(self, attempt_id=None):
        return [
            run
            for server in self.servers
            for run in server.runs
            if attempt_id is None or run.attempt_id == attempt_id
        ]

    def headers(self, key="k-one", **more):
        self.n_attempts += 1
        self.attempt_id = f"attempt-{self.n_attempts}"
        found = {
            "Host": SITE,
            names.ATTEMPT_ID: self.attempt_id,
            names.DEADLINE: "3000",
            **more,
        }
        if key:
            found[names.AUTHORIZATION] = f"Token {key}"
        return found

    def prompt_headers(self, **more):
        return self.headers(
            **{
                names.MODEL: MODEL,
                names.TOKENS: "150,6",
                names.PROMPT_PARTS: PROMPT,
                **more,
            }
        )

    async def ask(self, method, path, headers, body=b"", index=0):
        """Send one request through a daemon and read what comes."""
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
        except aiohttp.ClientError:
            answer.is_whole = False
        response.close()
        return answer
