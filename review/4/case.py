"""Orders whose clients have left are still sent to servers much later."""

import asyncio
import pathlib
import random
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
    next_attempt,
    run_case,
)

SERVICE = "postroom-app"
N_SERVERS = 2
N_DAEMONS = 2
WORK_SECONDS = 0.045
"""With six slots each, the two servers do 266 requests a second."""
USUAL_PER_SECOND = 225.0
BURST = 1.7
BURST_SECONDS = 3.0
N_BURSTS = 3
PAUSE_SECONDS = 4.0
OBJECTIVE_MS = 200
DEADLINE_MS = 1500
LEAVING_SHARE = 0.3
LEAVE_SECONDS = OBJECTIVE_MS / 1000 / 2
GONE_SECONDS = 0.5
MAX_LATE = 5
"""The rule says more than a few."""


def is_in_burst(at_seconds: float) -> bool:
    """Return whether many users come at once at a time since the first request."""
    period_seconds = PAUSE_SECONDS + BURST_SECONDS
    return at_seconds % period_seconds >= PAUSE_SECONDS


async def play(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    rng = random.Random(3)
    store = Store()
    await store.http.start()
    servers = [
        PlainServer(store, SERVICE, record, work_seconds=WORK_SECONDS)
        for _ in range(N_SERVERS)
    ]
    for server in servers:
        await server.start()
    route = make_route(
        "r-order",
        "/order/",
        "non_idempotent",
        SERVICE,
        timeout_ms=DEADLINE_MS,
        target_latency_ms=OBJECTIVE_MS,
        public=True,
    )
    store.put_json(
        "op", "config", make_configuration(1, [route], [make_service(SERVICE)])
    )
    daemons = [Daemon(number + 1, store, folder) for number in range(N_DAEMONS)]
    left: dict[str, float] = {}
    statuses: dict[int | None, int] = {}

    async def send(number: int, is_leaving: bool) -> None:
        attempt = next_attempt()
        answer = await ask(
            record,
            daemons[number % len(daemons)].address,
            "POST",
            "/order/x",
            f'{{"order": {number}}}'.encode(),
            deadline_ms=DEADLINE_MS,
            leave_seconds=LEAVE_SECONDS if is_leaving else None,
            attempt=attempt,
            key=None,
        )
        if is_leaving and answer.status is None:
            left[attempt] = record.now()
        else:
            statuses[answer.status] = statuses.get(answer.status, 0) + 1

    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(3.0)
        started = record.now()
        tasks = []
        at = number = 0
        while at < N_BURSTS * (PAUSE_SECONDS + BURST_SECONDS):
            is_burst = is_in_burst(at)
            at += rng.expovariate(USUAL_PER_SECOND * (BURST if is_burst else 1.0))
            await asyncio.sleep(max(0.0, started + at - record.now()))
            number += 1
            is_leaving = is_burst and has_trouble and rng.random() < LEAVING_SHARE
            tasks.append(asyncio.ensure_future(send(number, is_leaving)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.0)
    finally:
        for daemon in daemons:
            daemon.end()
    late = [
        (at - left[attempt], attempt)
        for server in servers
        for at, attempt, _ in server.arrivals
        if attempt in left and at > left[attempt] + GONE_SECONDS
    ]
    for seconds, attempt in sorted(late):
        record.note("reached a server late", request=attempt, after=f"{seconds:.3f}")
    record.note("answers", **{str(key): n for key, n in statuses.items()})
    record.note("orders", n=number, clients_left=len(left), reached_late=len(late))
    return len(late) <= MAX_LATE


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
