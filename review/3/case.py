"""Settings change while daemons are restarted in turn: SIGHUP ends those that start."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (
    CannotRun,
    Daemon,
    PlainServer,
    Record,
    Store,
    ask,
    make_configuration,
    make_route,
    make_service,
    run_case,
)

N_DAEMONS = 3
N_ROUNDS = 3
GRACE_SECONDS = 8.0
CHANGE_SECONDS = 0.25
"""Time from the start of a process until the platform signals the next change."""
RESTART_SECONDS = 0.3
MIN_ENDS = 3
MIN_MACHINES = 2


async def wait_ended(daemon: Daemon, within_seconds: float) -> int | None:
    """Return the exit code of a process; None if it still runs."""
    loop = asyncio.get_running_loop()
    until_seconds = loop.time() + within_seconds
    while loop.time() < until_seconds:
        code = None if daemon.process is None else daemon.process.poll()
        if code is not None:
            return code
        await asyncio.sleep(0.02)
    return None


async def case(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case."""
    store = Store()
    await store.http.start()
    route = make_route("orders", "/orders/", "non_idempotent", "orders")
    document = make_configuration(1, [route], [make_service("orders")])
    store.put_json("op", "config", document)
    server = PlainServer(store, "orders", record)
    await server.start()
    daemons = [Daemon(number, store, folder) for number in range(1, N_DAEMONS + 1)]
    n_ends = dict.fromkeys((daemon.name for daemon in daemons), 0)
    n_answered = 0
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(3.0)
        for round_number in range(1, N_ROUNDS + 1):
            for daemon in daemons:
                daemon.signal(signal.SIGTERM)
                record.note("SIGTERM", daemon=daemon.name)
                if await wait_ended(daemon, GRACE_SECONDS) is None:
                    daemon.end()
                await asyncio.sleep(RESTART_SECONDS)
                daemon.start()
                record.note("platform starts", daemon=daemon.name)
                await asyncio.sleep(CHANGE_SECONDS)
                if has_trouble:
                    daemon.write_settings({"retry_slack": 54 + round_number})
                    daemon.signal(signal.SIGHUP)
                    record.note("settings changed, SIGHUP", daemon=daemon.name)
                code = await wait_ended(daemon, 1.0)
                if code is not None:
                    n_ends[daemon.name] += 1
                    record.note("ended by itself", daemon=daemon.name, exit_code=code)
                    await asyncio.sleep(RESTART_SECONDS)
                    daemon.start()
                await daemon.wait_ready()
                answer = await ask(record, daemon.address, "POST", "/orders/1", b"x")
                n_answered += answer.status == 200
        if not n_answered:
            raise CannotRun("nothing was answered")
    finally:
        for daemon in daemons:
            daemon.end()
        server.http.crash()
        await asyncio.sleep(0.1)
    record.note("result", n_answered=n_answered, ended_by_themselves=n_ends)
    return sum(n >= MIN_ENDS for n in n_ends.values()) < MIN_MACHINES


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), case))
