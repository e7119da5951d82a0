"""Entries without models let requests run on KV cache of earlier weights."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    ATTEMPT_ID,
    CLIENT_HOST,
    DEADLINE,
    HEARTBEAT_SECONDS,
    KEY,
    NOT_RUN,
    SEAL,
    CannotRun,
    Daemon,
    HttpServer,
    ModelServer,
    Record,
    Request,
    Response,
    Store,
    json_response,
    make_configuration,
    make_route,
    make_service,
    next_attempt,
    read_body,
    read_head,
    run_case,
)

MODEL = "daka510000"
N_SERVERS = 2
SHARED_PART = "5c1e07a2"
SHARED_TOKENS = 6300
OWN_TOKENS = 2890
WRITE_SECONDS = 0.3
"""Between two entries of the other writer."""
REQUESTS_SECONDS = 4.0
RESTART_SECONDS = 0.3
QUIET_SECONDS = 3.0


class KvStore:
    """The store of kept KV cache; parts stay as they were first made.

    Attributes:
        parts: The weights version of each part, by salt and id.
    """

    def __init__(self) -> None:
        self.parts: dict[tuple[str, str], int] = {}
        self._events: list[list[object]] = []
        self.http = HttpServer(self._handle)

    def keep(self, salt: str, part: str, tokens: int, version: int) -> None:
        """Keep a part, unless it is held."""
        if (salt, part) in self.parts:
            return
        self.parts[salt, part] = version
        self._events.append([len(self._events) + 1, "+", salt, part, tokens, MODEL])

    async def _handle(self, request: Request) -> Response:
        if request.path != "/kv-events":
            return Response(404)
        since = int(request.query.get("since", "0"))
        for _ in range(int(request.header("Wait-Ms") or "0") // 20):
            if len(self._events) > since:
                break
            await asyncio.sleep(0.02)
        return json_response(
            200,
            {
                "boot_epoch": 1,
                "next": len(self._events),
                "lost": False,
                "events": self._events[since:],
            },
        )


class CachingServer(ModelServer):
    """A model server that caches parts, and fetches them from a store.

    Args:
        store: Where it registers itself.
        record: Where it notes what it runs.
        kv_store: The store of kept KV cache.

    Attributes:
        stale: Attempts that used a part of another weights version.
    """

    def __init__(self, store: Store, record: Record, kv_store: KvStore) -> None:
        super().__init__(store, "captions", record, MODEL)
        self._kv_store = kv_store
        self._cache: dict[tuple[str, str], int] = {}
        self.stale: list[str] = []

    async def _register(self) -> None:
        """Write its entry with each heartbeat; it changes if another one lies there."""
        while True:
            self._seq += 1
            self._store.put_json("servers", self.name, {**self.entry()}, self.part)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _headers(self, request: Request) -> dict[str, str]:
        return {
            **super()._headers(request),
            "X-Lycheepost-Weight-Versions": str(self.version),
        }

    def _end_load(self, version: int) -> None:
        self._cache.clear()
        super()._end_load(version)

    async def _handle(self, request: Request) -> Response:
        if request.path == "/kv-events":
            await asyncio.sleep(int(request.header("Wait-Ms") or "0") / 1000)
            page = {"boot_epoch": 1, "next": 0, "lost": False, "events": []}
            return json_response(200, page)
        expected = request.header("X-Lycheepost-Expect-Version")
        if expected is not None and int(expected) != self.version:
            return Response(421, headers=self._headers(request))
        if self._is_loading and request.header(ATTEMPT_ID) is not None:
            return Response(503, headers={**self._headers(request), NOT_RUN: "1"})
        return await super()._handle(request)

    async def _run(self, request: Request, attempt: str) -> Response:
        salt = request.header("X-Lycheepost-Cache-Salt") or ""
        source = request.header("X-Lycheepost-Kv-Source")
        sink = request.header("X-Lycheepost-Kv-Sink")
        prefix = request.header("X-Lycheepost-Prompt-Prefix") or ""
        self._record.note(
            "runs",
            request=attempt,
            server=self.name,
            version=self.version,
            salt=repr(salt),
            expected=request.header("X-Lycheepost-Expect-Version"),
            source=source,
        )
        is_found = True
        for part, _, tokens in (word.partition(":") for word in prefix.split(",")):
            made = self._cache.get((salt, part))
            if made is None and source == self._kv_store.http.address:
                made = self._kv_store.parts.get((salt, part))
            # A part is found only if all parts before it are.
            is_found = is_found and made is not None
            if is_found and made is not None:
                self._record.note("uses", request=attempt, part=part, version=made)
                if made != self.version:
                    self.stale.append(attempt)
            else:
                self._cache[salt, part] = self.version
            if sink == self._kv_store.http.address:
                self._kv_store.keep(salt, part, int(tokens), self.version)
        await asyncio.sleep(0.05)
        headers = {**self._headers(request), SEAL: f"s.{attempt}"}
        headers["Content-Type"] = "text/event-stream"
        return Response(200, b"id: 1\ndata: word\n\n", headers)


async def caption(record: Record, daemon: Daemon) -> int | None:
    """Ask for one caption and return the status; None without an answer."""
    attempt = next_attempt()
    host, _, port = daemon.address.partition(":")
    lines = [
        "POST /albums/1 HTTP/1.1",
        f"Host: {CLIENT_HOST}",
        f"{ATTEMPT_ID}: {attempt}",
        f"{DEADLINE}: 5000",
        f"X-Lycheepost-Model: {MODEL}",
        f"X-Lycheepost-Token-Usage: {SHARED_TOKENS + OWN_TOKENS},10",
        f"X-Lycheepost-Prompt-Prefix: {SHARED_PART}:{SHARED_TOKENS},"
        f"{attempt}:{OWN_TOKENS}",
        f"Authorization: Token {KEY}",
        "Content-Length: 2",
    ]
    record.note("sends", request=attempt, to=daemon.name)
    status = None
    writer = None
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhi")
            head = await read_head(reader)
            if head is not None:
                await read_body(reader, head[1])
                status = int(head[0].split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    record.note("answered", request=attempt, status=status)
    return status


async def case(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case."""
    store, kv_store = Store(), KvStore()
    await store.http.start()
    await kv_store.http.start()
    route = make_route("albums", "/albums/", "streaming", "captions", timeout_ms=5000)
    route |= {"target_latency_ms": 600, "target_gap_ms": 500, "sticky": True}
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 115005,
        "kv_token_bytes": 18432,
        "link_mbps": 370000,
        "models": [{"name": MODEL}],
    }
    service = make_service("captions", max_conns=360, engine=engine)
    keep = {
        "name": "keep",
        "kv_store_addr": kv_store.http.address,
        "zone": "regina-hall",
        "kv_capacity_tokens": 1_000_000,
        "link_mbps": 370000,
    }
    store.put_json("op", "config", make_configuration(1, [route], [service, keep]))
    store.put_json("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    servers = [CachingServer(store, record, kv_store) for _ in range(N_SERVERS)]
    for server in servers:
        await server.start()
    daemons = [Daemon(number, store, folder) for number in (1, 2)]

    async def write_entries() -> None:
        """Overwrite the entries of the servers with ones that lack a field."""
        while True:
            for server in servers:
                entry = server.entry()
                del entry["models"]
                store.put_json("servers", server.name, entry)
                record.note("other writer", entry=json.dumps(entry))
            await asyncio.sleep(WRITE_SECONDS)

    async def restart_and_ask() -> int:
        """Kill one daemon, ask it as soon as it is back, and return what it served."""
        writing = asyncio.ensure_future(write_entries()) if has_trouble else None
        try:
            await asyncio.sleep(2 * WRITE_SECONDS)
            daemons[1].end()
            record.note("daemon killed", daemon=daemons[1].name)
            await asyncio.sleep(RESTART_SECONDS)
            daemons[1].start()
            until_seconds = record.now() + REQUESTS_SECONDS
            n_served = 0
            while record.now() < until_seconds:
                n_served += await caption(record, daemons[1]) == 200
                await asyncio.sleep(0.1)
            return n_served
        finally:
            if writing is not None:
                writing.cancel()

    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(QUIET_SECONDS)
        n_served = [await restart_and_ask()]
        await asyncio.sleep(QUIET_SECONDS)
        store.put_json("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        record.note("weights named", version=2)
        await asyncio.sleep(4 * QUIET_SECONDS)
        if any(server.version != 2 for server in servers):
            raise CannotRun("the weights were not changed")
        for _ in range(2):
            n_served.append(await restart_and_ask())
        stale = [attempt for server in servers for attempt in server.stale]
        record.note("result", n_served=n_served, n_stale=len(stale))
        if not all(n_served):
            raise CannotRun(f"too little was served: {n_served}")
        return not stale
    finally:
        for daemon in daemons:
            daemon.end()
        for server in servers:
            server.http.crash()
        kv_store.http.crash()
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), case))
