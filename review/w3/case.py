"""SIGHUP reaches daemons that have just been started."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

N_DAEMONS = 7
N_HIT = 2
"""Daemons whose settings change soon after each start: two of seven are over a tenth."""
N_STARTS = 3
AFTER_START_SECONDS = 0.2
GRACE_SECONDS = 8.0
SERVICE = "kiosk-orders"


async def restart(record: standins.Record, daemon: standins.Daemon) -> None:
    """Stop a daemon as the platform does, and start it again."""
    process = daemon.process
    assert process is not None
    daemon.signal(signal.SIGTERM)
    record.note("SIGTERM", daemon=daemon.name)
    until_seconds = record.now() + GRACE_SECONDS
    while process.poll() is None and record.now() < until_seconds:
        await asyncio.sleep(0.05)
    daemon.end()
    daemon.start()
    record.note("started", daemon=daemon.name)


async def hit(
    record: standins.Record, daemon: standins.Daemon, has_trouble: bool
) -> int:
    """Restart a daemon several times; return how often it ended by itself."""
    n_ends = 0
    for _ in range(N_STARTS):
        await restart(record, daemon)
        await asyncio.sleep(AFTER_START_SECONDS)
        daemon.write_settings({"recover_s": 12})
        if has_trouble:
            daemon.signal(signal.SIGHUP)
            record.note("SIGHUP", daemon=daemon.name)
        await asyncio.sleep(1.0)
        process = daemon.process
        assert process is not None
        if process.poll() is not None:
            n_ends += 1
            record.note("has ended", daemon=daemon.name, code=process.returncode)
            daemon.start()
        await daemon.wait_ready()
        await asyncio.sleep(3.5)
    return n_ends


async def play(record: standins.Record, work: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    store = standins.Store()
    await store.http.start()
    routes = [standins.make_route("order", "/order/", "non_idempotent", SERVICE)]
    services = [standins.make_service(SERVICE)]
    store.put_json("op", "config", standins.make_configuration(7, routes, services))
    for _ in range(3):
        await standins.PlainServer(store, SERVICE, record).start()
    daemons = [
        standins.Daemon(number + 1, store, work) for number in range(N_DAEMONS)
    ]
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(1.0)
        ends = await asyncio.gather(
            *(hit(record, daemon, has_trouble) for daemon in daemons[:N_HIT])
        )
    finally:
        for daemon in daemons:
            daemon.end()
    record.note("ended by themselves", counts=ends)
    print(f"ends of their own: {ends}")
    return sum(n_ends >= N_STARTS for n_ends in ends) < N_HIT


if __name__ == "__main__":
    sys.exit(standins.run_case(str(FOLDER), play))
