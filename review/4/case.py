"""A tenant becomes isolated; another tenant goes on using the parts that it made."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "caption-llm"
MODEL = "daka510000"
KEYS = {"sese880": "ctnfzs989anu6wsjnban", "lolu417": "fqasnmgkcuyj8pjbvk9m"}
ISOLATED, OTHER = "sese880", "lolu417"
PART = "5c1e07a2"
"""A part that both tenants' prompts begin with."""
PART_TOKENS = 800
N_SERVERS = 3
N_DAEMONS = 2
APPLY_SECONDS = 2.0
WAIT_SECONDS = 3.0
"""Longer than the time after which the configuration is in force, in a calm system."""


class Engine(standins.ModelServer):
    """A model server that keeps parts by salt, as PROTOCOL.md says of servers."""

    def __init__(self, store: standins.Store, record: standins.Record) -> None:
        super().__init__(store, SERVICE, record, MODEL)
        self.kept: dict[tuple[str, str], str] = {}
        self.uses: list[tuple[float, str, str]] = []

    async def _run(self, request: standins.Request, attempt: str) -> standins.Response:
        salt = request.header("X-Lycheepost-Cache-Salt") or ""
        tenant = request.header("X-Lycheepost-Tenant") or ""
        for word in (request.header("X-Lycheepost-Prompt-Prefix") or "").split(","):
            part = word.strip().partition(":")[0]
            maker = self.kept.setdefault((salt, part), tenant)
            how = "makes" if maker == tenant else "uses"
            self._record.note(
                f"{how} part",
                request=attempt,
                tenant=tenant,
                part=part,
                salt=json.dumps(salt),
                made_by=maker,
                server=self.name,
            )
            self.uses.append((self._record.now(), tenant, maker))
        await asyncio.sleep(0.05)
        events = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 4))
        headers = {
            **self._headers(request),
            "X-Lycheepost-Response-Seal": f"s.{attempt}",
            "X-Lycheepost-Weight-Versions": str(self.version),
            "Content-Type": "text/event-stream",
        }
        return standins.Response(200, events.encode(), headers)


def make_configuration(version: int, is_isolated: bool) -> dict:
    """Return a configuration with both tenants."""
    route = standins.make_route(
        "title",
        "/title/",
        "streaming",
        SERVICE,
        timeout_ms=15000,
        target_latency_ms=500,
        sticky=True,
        target_gap_ms=500,
    )
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 115005,
        "kv_token_bytes": 18432,
        "link_mbps": 370000.0,
        "max_inflight": 12,
        "models": [{"name": MODEL}],
    }
    service = standins.make_service(SERVICE, max_conns=360, engine=engine)
    found = standins.make_configuration(version, [route], [service])
    found["tenants"] = [
        {
            "name": name,
            "api_keys": [key],
            "priority": 1,
            "isolated": is_isolated and name == ISOLATED,
        }
        for name, key in KEYS.items()
    ]
    return found


async def ask(
    record: standins.Record, address: str, tenant: str, number: int
) -> standins.Answer:
    """Send one request of a tenant whose prompt begins with the shared part."""
    attempt = standins.next_attempt()
    host, _, port = address.partition(":")
    lines = [
        "POST /title/2f HTTP/1.1",
        f"Host: {standins.CLIENT_HOST}",
        f"{standins.ATTEMPT_ID}: {attempt}",
        f"{standins.DEADLINE}: 5000",
        f"X-Lycheepost-Model: {MODEL}",
        f"X-Lycheepost-Token-Usage: {PART_TOKENS + 250},80",
        f"X-Lycheepost-Prompt-Prefix: {PART}:{PART_TOKENS},{0xE4402B00 + number:x}:250",
        f"Authorization: Token {KEYS[tenant]}",
        "Content-Length: 2",
    ]
    record.note("sends", request=attempt, tenant=tenant, to=address)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(5.0):
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n{}")
            head = await standins.read_head(reader)
            if head is None:
                return standins.Answer(None)
            body = await standins.read_body(reader, head[1])
    finally:
        writer.close()
    status = int(head[0].split(" ")[1])
    record.note("answered", request=attempt, status=status)
    return standins.Answer(status, head[1], body)


async def play(record: standins.Record, work: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    store = standins.Store()
    await store.http.start()
    store.put_json("op", "config", make_configuration(7, is_isolated=False))
    engines = [Engine(store, record) for _ in range(N_SERVERS)]
    for engine in engines:
        await engine.start()
    daemons = [standins.Daemon(number + 1, store, work) for number in range(N_DAEMONS)]
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2.0)
        for number in range(12):
            address = daemons[number % N_DAEMONS].address
            answer = await ask(record, address, ISOLATED, number)
            if answer.status != 200:
                raise standins.CannotRun(f"not served: {answer.status}")
        if has_trouble:
            store.put_json("op", "config", make_configuration(11, is_isolated=True))
            record.note("configuration acknowledged", version=11, isolated=ISOLATED)
        acknowledged_seconds = record.now()
        await asyncio.sleep(WAIT_SECONDS)
        for number in range(12, 24):
            address = daemons[number % N_DAEMONS].address
            answer = await ask(record, address, OTHER, number)
            if answer.status != 200:
                raise standins.CannotRun(f"not served: {answer.status}")
    finally:
        for daemon in daemons:
            daemon.end()
    shared = [
        at_seconds
        for engine in engines
        for at_seconds, tenant, maker in engine.uses
        if tenant == OTHER and maker == ISOLATED
        if at_seconds > acknowledged_seconds + APPLY_SECONDS
    ]
    record.note("uses of the isolated tenant's parts by the other", count=len(shared))
    print(f"{len(shared)} uses of parts of {ISOLATED} by {OTHER}")
    return not (has_trouble and shared)


if __name__ == "__main__":
    sys.exit(standins.run_case(str(FOLDER), play))
