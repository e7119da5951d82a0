"""A tenant becomes isolated; others go on with the KV cache that it made before."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    ATTEMPT_ID,
    CLIENT_HOST,
    DEADLINE,
    KEY,
    SEAL,
    TENANT,
    CannotRun,
    Daemon,
    ModelServer,
    Record,
    Request,
    Response,
    Store,
    make_configuration,
    make_route,
    make_service,
    next_attempt,
    read_body,
    read_head,
    run_case,
)

MODEL = "daka510000"
OTHER_TENANT = "lopu112"
OTHER_KEY = "q7vvk2wunm4xz0djrlta"
SHARED_PARTS = [f"5c1e07{number:02x}" for number in range(8)]
"""Shared parts of prompts, as of albums that both tenants caption."""
SHARED_TOKENS = 6300
OWN_TOKENS = 2890
APPLY_SECONDS = 2.0
"""``config_apply_ms``."""


class CachingServer(ModelServer):
    """A model server that caches parts under the salt that a request names.

    Attributes:
        uses: Which cached parts requests used: time, attempt, tenant, part, the tenant
            that made it.
    """

    def __init__(self, store: Store, service: str, record: Record) -> None:
        super().__init__(store, service, record, MODEL)
        self._cache: dict[tuple[str, str], str] = {}
        self.uses: list[tuple[float, str, str, str, str]] = []

    async def _run(self, request: Request, attempt: str) -> Response:
        tenant = request.header("X-Lycheepost-Tenant") or ""
        salt = request.header("X-Lycheepost-Cache-Salt") or ""
        parts = request.header("X-Lycheepost-Prompt-Prefix") or ""
        self._record.note(
            "runs", request=attempt, server=self.name, tenant=tenant, salt=salt
        )
        is_found = True
        for part in (word.split(":")[0] for word in parts.split(",")):
            maker = self._cache.get((salt, part))
            # A part is found only if all parts before it are.
            is_found = is_found and maker is not None
            if is_found and maker is not None:
                self.uses.append((self._record.now(), attempt, tenant, part, maker))
                self._record.note(
                    "uses cache", request=attempt, tenant=tenant, part=part, by=maker
                )
            else:
                self._cache[salt, part] = tenant
        await asyncio.sleep(0.05)
        headers = {**self._headers(request), SEAL: f"s.{attempt}"}
        headers["Content-Type"] = "text/event-stream"
        return Response(200, b"id: 1\ndata: word\n\n", headers)


async def caption(record: Record, daemon: Daemon, key: str, part: str) -> int | None:
    """Ask for one caption and return the status."""
    attempt = next_attempt()
    host, _, port = daemon.address.partition(":")
    lines = [
        "POST /albums/1 HTTP/1.1",
        f"Host: {CLIENT_HOST}",
        f"{ATTEMPT_ID}: {attempt}",
        f"{DEADLINE}: 5000",
        f"X-Lycheepost-Model: {MODEL}",
        f"X-Lycheepost-Token-Usage: {SHARED_TOKENS + OWN_TOKENS},10",
        f"X-Lycheepost-Prompt-Prefix: {part}:{SHARED_TOKENS},{attempt}:{OWN_TOKENS}",
        f"Authorization: Token {key}",
        "Content-Length: 2",
    ]
    record.note("sends", request=attempt, to=daemon.name, part=part)
    async with asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhi")
            head = await read_head(reader)
            if head is None:
                return None
            await read_body(reader, head[1])
        finally:
            writer.close()
    status = int(head[0].split(" ")[1])
    record.note("answered", request=attempt, status=status)
    return status


def configuration(version: int, is_isolated: bool) -> dict:
    """Return a configuration with two tenants."""
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
    document = make_configuration(version, [route], [service])
    document["tenants"] = [
        {
            "name": TENANT,
            "api_keys": [KEY],
            "priority": 1,
            "isolated": is_isolated,
        },
        {
            "name": OTHER_TENANT,
            "api_keys": [OTHER_KEY],
            "priority": 1,
            "isolated": False,
        },
    ]
    return document


async def case(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case."""
    store = Store()
    await store.http.start()
    store.put_json("op", "config", configuration(1, is_isolated=False))
    store.put_json("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    servers = [CachingServer(store, "captions", record) for _ in range(2)]
    for server in servers:
        await server.start()
    daemons = [Daemon(number, store, folder) for number in (1, 2)]
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(3.0)
        statuses = [
            await caption(record, daemons[number % 2], KEY, part)
            for number, part in enumerate(SHARED_PARTS)
        ]
        if has_trouble:
            store.put_json("op", "config", configuration(4, is_isolated=True))
            record.note("configuration acknowledged", isolated=TENANT)
        acknowledged_seconds = record.now()
        await asyncio.sleep(2 * APPLY_SECONDS)
        statuses += [
            await caption(record, daemons[number % 2], OTHER_KEY, part)
            for number, part in enumerate(SHARED_PARTS)
        ]
        if statuses != [200] * len(statuses):
            raise CannotRun(f"not all were served: {statuses}")
    finally:
        for daemon in daemons:
            daemon.end()
        for server in servers:
            server.http.crash()
        await asyncio.sleep(0.1)
    crossed = [
        use
        for server in servers
        for use in server.uses
        if use[0] > acknowledged_seconds + APPLY_SECONDS and use[2] != use[4]
    ]
    record.note("result", n_used_of_other_tenant=len(crossed), isolated=has_trouble)
    return not (crossed and has_trouble)


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), case))
