"""Random changes of the configuration and of servers beside traffic, from a seed."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from deployment import KEYS, Deployment, make_configuration
from keptconnections import Ending, KeptConnections

from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import PlatformServer

LATE_SECONDS = 0.2
"""How long after its time a request may still be without an answer."""

IN_FORCE_SECONDS = 3.0
"""How long after a newer version an older one may be in force."""

GIVE_UP_SECONDS = 7.0
"""Longer than any time-out below."""

TIMEOUTS_MS = (800, 1500, 2500, 4000)
PAUSES_SECONDS = (0.3, 1.4)
N_EVENTS = (6, 100, 300)
"""A stream of 300 events takes over a second."""

DEADLINES_MS = ("", "400", "900", "1500", "3000", "60000")


@dataclass
class Sent:
    """One request and how it ended.

    Attributes:
        sent_seconds: When it was sent, by the loop's clock.
        shortest_seconds: The time that it has, by its deadline and the shortest
            time-out of its route in the versions that may be in force.
        longest_seconds: The same by the longest time-out.
    """

    attempt_id: str
    path: str
    sent_seconds: float
    shortest_seconds: float
    longest_seconds: float
    ending: Ending


@dataclass
class Play:
    """A deployment, its traffic and its changes, all drawn from one seed."""

    seed: int
    has_pauses: bool = True
    is_mild: bool = False
    sent: list[Sent] = field(default_factory=list)
    done: Counter[str] = field(default_factory=Counter)
    broken_ids: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.fleet = Deployment()
        self.n_events = self.rng.choice(N_EVENTS)
        self.version = 1
        self.weights = 1
        self.timeouts: list[tuple[float, dict[str, float]]] = []
        self.clients: list[KeptConnections] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float, requests_per_s: float = 60.0) -> None:
        """Play for some time; returns when each request has ended."""
        await self.fleet.start(
            n_daemons=2,
            n_plain=self.rng.randint(1, 2),
            n_engines=self.rng.randint(1, 2),
            states_starts=True,
            n_slots=self.rng.choice((2, 4, 8)),
        )
        self._write(make_configuration())
        for node in self.fleet.nodes:
            host, _, port = str(node.clients).partition(":")
            self.clients.append(KeptConnections(host, int(port)))
        for server in self.fleet.servers:
            self._prepare(server)
        try:
            async with asyncio.timeout(seconds + 30.0):
                await asyncio.gather(
                    self._send_all(seconds, requests_per_s), self._change_all(seconds)
                )
                await asyncio.gather(*self.tasks)
        finally:
            for client in self.clients:
                client.close()
            await self.fleet.stop()

    def _prepare(self, server: PlatformServer) -> None:
        server.run_seconds = self.rng.choice((0.002, 0.05, 0.3))
        server.n_events = self.n_events

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_all(self, seconds: float, requests_per_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        while loop.time() < end_seconds:
            self._start(self._send())
            await asyncio.sleep(self.rng.expovariate(requests_per_s))

    async def _send(self) -> None:
        path = self.rng.choice(("/look/", "/order/", "/title/", "/album/"))
        path += str(self.rng.randint(1, 999))
        deadline = self.rng.choice(DEADLINES_MS)
        is_stream = path.startswith(("/title/", "/album/"))
        make_headers = self.fleet.prompt_headers if is_stream else self.fleet.headers
        key = self.rng.choice(tuple(KEYS))
        part = self.rng.randint(1, 20)
        more = {"parts": f"a{part}:100,b{self.rng.randint(1, 99)}:50"}
        headers = make_headers(key, **(more if is_stream else {}))
        attempt_id = self.fleet.attempt_id
        del headers[names.DEADLINE]
        deadline_seconds = math.inf
        if deadline:
            headers[names.DEADLINE] = deadline
            deadline_seconds = int(deadline) / 1000.0
        body = b"x" * self.rng.choice((0, 20, 2000))
        head = f"POST {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        client = self.rng.choice(self.clients)
        sent_seconds = asyncio.get_running_loop().time()
        ending = await client.ask(data, GIVE_UP_SECONDS)
        found = self._timeouts_seconds(path.split("/")[1], sent_seconds)
        shortest, longest = (min(deadline_seconds, f(found)) for f in (min, max))
        self.sent.append(
            Sent(attempt_id, path, sent_seconds, shortest, longest, ending)
        )

    def _timeouts_seconds(self, route: str, sent_seconds: float) -> list[float]:
        """Return the time-outs of a route that may be in force for a request."""
        first_seconds = sent_seconds - IN_FORCE_SECONDS
        written = [item for item in self.timeouts if item[0] <= sent_seconds + 0.5]
        current = [item for item in written if item[0] >= first_seconds]
        before = written[: len(written) - len(current)][-1:]
        return [found[route] for _, found in before + current if route in found]

    async def _change_all(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        changes: list[Callable[[], None]] = [
            *[self._configure] * 4,
            *[self._pause] * (3 if self.has_pauses else 0),
            self._leave,
            self._restart,
            self._name_weights,
            self._notify,
        ]
        while loop.time() < end_seconds:
            change = self.rng.choice(changes)
            change()
            self.done[change.__name__.strip("_")] += 1
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))

    def _configure(self) -> None:
        """Write a version that moves, splits, drops or changes routes and limits."""
        rng = self.rng
        self.version += rng.randint(1, 3)
        if self.is_mild:
            self._write(self._mild_document())
            return
        keys = tuple(KEYS) if rng.random() < 0.7 else (rng.choice(tuple(KEYS)),)
        document = make_configuration(self.version, keys)
        plain, engines = document["services"]
        for service in (plain, engines):
            service["max_conns"] = rng.choice((2, 20, 100))
            service["health_path"] = rng.choice(("/health", "/other"))
        engines["engine"]["slots"] = rng.choice((1, 4, 32))
        document["services"].append({**plain, "name": "empty"})
        for route in document["routes"]:
            self._change_route(route)
        document["routes"] = [
            route for route in document["routes"] if rng.random() < 0.9
        ]
        if rng.random() < 0.2:
            document["services"].remove(rng.choice(document["services"]))
            kept = {service["name"] for service in document["services"]}
            document["routes"] = [
                route for route in document["routes"] if self._uses(route) <= kept
            ]
        for tenant in document["tenants"]:
            if rng.random() < 0.3:
                tenant |= {"rate_per_s": rng.choice((1, 20, 500)), "burst": 5}
        if rng.random() < 0.3:
            document["limits"] = {
                "max_header_bytes": rng.choice((100, *[16384] * 4)),
                "max_body_bytes": rng.choice((10, 4194304)),
                "idle_timeout_ms": rng.choice((10, 15000)),
                "header_timeout_ms": rng.choice((10, 3000)),
            }
        self._write(document)

    def _write(self, document: dict[str, Any]) -> None:
        found = {item["name"]: item["timeout_ms"] / 1000 for item in document["routes"]}
        self.timeouts.append((asyncio.get_running_loop().time(), found))
        self.fleet.configure(document)

    def _mild_document(self) -> dict[str, Any]:
        """Return a version that changes only figures, so that most requests run."""
        rng = self.rng
        document = make_configuration(self.version)
        for route in document["routes"]:
            route["timeout_ms"] = rng.choice(TIMEOUTS_MS[1:])
            route["max_attempts"] = rng.randint(1, 3)
            if route["name"] == "title":
                route["target_gap_ms"] = 500
        for service in document["services"]:
            service["max_conns"] = rng.choice((20, 100))
        return document

    def _uses(self, route: dict[str, Any]) -> set[str]:
        shares = route.get("traffic_split", [])
        return {share["service"] for share in shares} or {route["service"]}

    def _change_route(self, route: dict[str, Any]) -> None:
        rng = self.rng
        route["timeout_ms"] = rng.choice(TIMEOUTS_MS)
        route["max_attempts"] = rng.randint(1, 3)
        route["public"] = rng.random() < 0.3
        if route["name"] == "title":
            route["target_gap_ms"] = 500
            route["resumable"] = rng.random() < 0.8
        if route["name"] == "look" and rng.random() < 0.1:
            route["kind"] = "non_idempotent"
        choice = rng.random()
        if choice < 0.1:
            route["service"] = "empty"
        elif choice < 0.3:
            weight = rng.choice((0.0, 0.5, 1.0))
            route["traffic_split"] = [
                {"service": route["service"], "weight": weight},
                {"service": "empty", "weight": 1.0 - weight},
            ]

    def _server(self) -> PlatformServer:
        return self.rng.choice(self.fleet.servers)

    def _pause(self) -> None:
        servers = [self._server()]
        if self.rng.random() < 0.3:
            servers = list(self.fleet.servers)
        seconds = self.rng.uniform(*PAUSES_SECONDS)
        for server in servers:
            self._start(server.pause(seconds))

    def _leave(self) -> None:
        self._start(self._replace(self._server()))

    async def _replace(self, server: PlatformServer) -> None:
        """Let a server leave, and start another in its place."""
        if server.is_leaving:
            return
        server.is_leaving = True
        self.fleet.register(server)
        new = PlatformServer(server.service, server.state.model, n_slots=server.n_slots)
        new.state.started_ms = server.state.started_ms
        new.state.version = server.state.version
        self._prepare(new)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self.fleet.add_server(new)
        await asyncio.sleep(3.0)
        self.fleet.store.store.put("servers", server.name, None)

    def _restart(self) -> None:
        server = self._server()
        if server.is_leaving:
            return
        self.broken_ids |= {run.attempt_id for run in server.runs}
        server.restart()
        self.fleet.register(server)

    def _name_weights(self) -> None:
        self.weights += 1
        self.fleet.publish_weights(self.weights)

    def _notify(self) -> None:
        server = self._server()
        server.limit_per_second = self.rng.choice((None, 1.0, 30.0))
        server.announces_leaving = self.rng.random() < 0.2
        server.backoff_seconds = self.rng.choice((None, None, 0.5))

    def unanswered(self) -> list[Sent]:
        """Return the requests without a response, or with one that came too late."""
        return [
            item
            for item in self.sent
            if item.ending.first_seconds is None
            or item.ending.first_seconds > item.longest_seconds + LATE_SECONDS
        ]

    def cut(self) -> list[Sent]:
        """Return the requests whose answer was cut without a reason.

        A server that restarts, and the end of a request's time, are reasons.
        """
        return [
            item
            for item in self.sent
            if item.ending.status is not None
            and not item.ending.is_whole
            and item.attempt_id not in self.broken_ids
            and item.ending.seconds < item.shortest_seconds - LATE_SECONDS
        ]
