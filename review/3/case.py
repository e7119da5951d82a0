"""Rows of other parts of the servers' table are taken for registered servers."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
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

SERVICE = "kiosk-orders"
OTHER_PART = "staging"
N_SERVERS = 3
N_DAEMONS = 2
N_ORDERS = 100


async def play(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    store = Store()
    await store.http.start()
    servers = [PlainServer(store, SERVICE, record) for _ in range(N_SERVERS)]
    for server in servers:
        await server.start()
    route = make_route("r-order", "/order/", "non_idempotent", SERVICE)
    store.put_json(
        "op", "config", make_configuration(1, [route], [make_service(SERVICE)])
    )
    daemons = [Daemon(number + 1, store, folder) for number in range(N_DAEMONS)]
    # A server of another deployment keeps its row in a part of its own. It is not
    # registered: ``servers/ID`` refers to a row with an empty part.
    staging = PlainServer(store, SERVICE, record, part=OTHER_PART)
    statuses: dict[int | None, int] = {}
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2.0)
        if has_trouble:
            await staging.start()
        await asyncio.sleep(1.0)
        for number in range(N_ORDERS):
            daemon = daemons[number % len(daemons)]
            body = f'{{"order": {number}}}'.encode()
            answer = await ask(record, daemon.address, "POST", "/order/x", body)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.05)
    finally:
        for daemon in daemons:
            daemon.end()
    record.note("answers", **{str(key): n for key, n in statuses.items()})
    record.note(
        "orders",
        n=N_ORDERS,
        run_by_registered=sum(server.n_run for server in servers),
        run_by_staging=staging.n_run,
    )
    return staging.n_run == 0


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
