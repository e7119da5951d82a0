"""An order that crashes each server that begins to run it comes again and again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

N_SERVERS = 3
N_DAEMONS = 2
BACK_SECONDS = 3.0
"""A crashed server is back after this time, under a new id."""
PAUSE_SECONDS = 2.5
"""Between two sends of the order."""
N_SENDS = 16
CONTACT_SECONDS = 3.0
MAX_RETRIES = 3
THIRD = 3
SERVICE = "kiosk-orders"
PATH = "/order/7"
ORDER = b'{"order": 7, "photo": "damaged"}'


async def play(record: standins.Record, work: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    store = standins.Store()
    await store.http.start()
    routes = [
        standins.make_route(
            "order", "/order/", "non_idempotent", SERVICE, timeout_ms=600
        )
    ]
    services = [standins.make_service(SERVICE)]
    store.put_json("op", "config", standins.make_configuration(7, routes, services))
    crashes: list[float] = []
    servers: list[standins.PlainServer] = []
    tasks: set[asyncio.Task[None]] = set()

    async def add_server(wait_seconds: float) -> None:
        await asyncio.sleep(wait_seconds)
        server = standins.PlainServer(
            store,
            SERVICE,
            record,
            work_seconds=0.0225,
            crash_on=ORDER if has_trouble else None,
            on_crash=note_crash,
        )
        servers.append(server)
        await server.start()

    def note_crash(_server: standins.PlainServer) -> None:
        crashes.append(record.now())
        tasks.add(asyncio.ensure_future(add_server(BACK_SECONDS)))

    for _ in range(N_SERVERS):
        await add_server(0.0)
    daemons = [standins.Daemon(number + 1, store, work) for number in range(N_DAEMONS)]
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2.0)
        answer = await standins.ask(
            record, daemons[0].address, "POST", "/order/1", b"sound", deadline_ms=600
        )
        if answer.status != 200:
            raise standins.CannotRun("a sound order is not served")
        for number in range(N_SENDS):
            address = daemons[number % N_DAEMONS].address
            await standins.ask(record, address, "POST", PATH, ORDER, deadline_ms=600)
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        for daemon in daemons:
            daemon.end()
    arrivals = sorted(
        at_seconds
        for server in servers
        for at_seconds, _, body in server.arrivals
        if body == ORDER
    )
    record.note("counted", arrivals=len(arrivals), crashes=len(crashes))
    if len(crashes) < THIRD:
        return True
    since_seconds = crashes[THIRD - 1] + CONTACT_SECONDS
    late = [at_seconds for at_seconds in arrivals if at_seconds > since_seconds]
    record.note("after the third crash", since=round(since_seconds, 3), late=len(late))
    print(f"{len(crashes)} crashes, {len(late)} arrivals after the third and 3 s")
    return len(late) <= MAX_RETRIES


if __name__ == "__main__":
    sys.exit(standins.run_case(str(FOLDER), play))
