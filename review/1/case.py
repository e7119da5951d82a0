"""Servers whose entries lapsed in an outage of the store stay unknown to daemons."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    Daemon,
    ModelServer,
    PlainServer,
    Record,
    Store,
    ask,
    make_configuration,
    make_route,
    make_service,
    run_case,
)

MODEL = "daka510000"
MODELS = "caption-llm"
ORDERS = "kiosk-orders"
N_MODEL_SERVERS = 12
N_ORDER_SERVERS = 3
N_DAEMONS = 7
OUTAGE_SECONDS = 6.0
SETTLE_SECONDS = 5.0
"""From the end of the outage to the new weights: more than ``contact_ms``."""
STABLE_SECONDS = 16.0
"""From the new weights to the end: more than 1.5 x ``version_ms``, 15 s."""
MAX_OUTAGES = 3
"""The traffic ends after the first outage that leaves servers with old weights."""
ORDERS_PER_SECOND = 10


async def send_orders(
    record: Record, daemons: list[Daemon], counts: dict[int | None, int]
) -> None:
    """Send orders to the daemons in turn until cancelled."""
    for number in range(100_000):
        daemon = daemons[number % len(daemons)]
        body = f'{{"order": {number}}}'.encode()
        answer = await ask(record, daemon.address, "POST", "/order/x", body)
        counts[answer.status] = counts.get(answer.status, 0) + 1
        await asyncio.sleep(1 / ORDERS_PER_SECOND)


async def send_for(
    record: Record, daemons: list[Daemon], seconds: float
) -> dict[int | None, int]:
    """Send orders for a time and return how often each status was answered."""
    counts: dict[int | None, int] = {}
    sending = asyncio.ensure_future(send_orders(record, daemons, counts))
    await asyncio.sleep(seconds)
    sending.cancel()
    return counts


def note_orders(record: Record, counts: dict[int | None, int]) -> None:
    """Note how often each status was answered."""
    record.note("orders", **{str(status): n for status, n in counts.items()})


async def break_store(record: Record, store: Store, has_trouble: bool) -> None:
    """Take the store down for a time, and wait until the machines are in touch."""
    record.note("store goes down" if has_trouble else "store stays up")
    if has_trouble:
        await store.fail(OUTAGE_SECONDS)
    else:
        await asyncio.sleep(OUTAGE_SECONDS)
    record.note("store is back")
    await asyncio.sleep(SETTLE_SECONDS)


async def play(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    store = Store()
    await store.http.start()
    models = [ModelServer(store, MODELS, record, MODEL) for _ in range(N_MODEL_SERVERS)]
    plain = [PlainServer(store, ORDERS, record) for _ in range(N_ORDER_SERVERS)]
    for server in (*models, *plain):
        await server.start()
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 115005,
        "kv_token_bytes": 18432,
        "link_mbps": 370000.0,
        "stride": 5,
        "max_inflight": 12,
        "models": [{"name": MODEL}],
    }
    routes = [
        make_route("r-title", "/title/", "streaming", MODELS, resumable=True),
        make_route("r-order", "/order/", "non_idempotent", ORDERS),
    ]
    services = [make_service(MODELS, engine=engine), make_service(ORDERS)]
    store.put_json("op", "config", make_configuration(1, routes, services))
    daemons = [Daemon(number + 1, store, folder) for number in range(N_DAEMONS)]
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        counts = await send_for(record, daemons, 4.0)
        note_orders(record, counts)
        for number in range(MAX_OUTAGES):
            await break_store(record, store, has_trouble)
            version = number + 2
            named = {"model": MODEL, "version": version}
            store.put_json("op", f"version/{MODEL}", named)
            record.note("new weights named", version=version)
            counts = await send_for(record, daemons, STABLE_SECONDS)
            note_orders(record, counts)
            n_old = sum(server.version < version for server in models)
            record.note("model servers", n=len(models), with_older_version=n_old)
            if n_old > max(1, len(models) // 10):
                return False
    finally:
        for daemon in daemons:
            daemon.end()
    return True


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
