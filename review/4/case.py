"""Settings of matters that aren't open, left empty, keep the daemons from starting."""

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
N_SERVERS = 3
RATE_PER_SECOND = 13.5
"""Orders and status lookups a second, on the sheet of psk-fleet."""
QUIET_SECONDS = 4.0
GRACE_SECONDS = 8.0
ROLL_GAP_SECONDS = 1.3
"""Between two machines, at the dose of ``roll_term`` in the site file."""
RESTART_SECONDS = 0.5
N_ENDS = 3
N_MACHINES = 2
LAST_SECONDS = 10.0
"""Traffic after the last machine was started again."""

QUOTA_KEYS = ("quota_window_s", "quota_overshoot", "quota_slack")
OTHER_KEYS = ("exposure_share", "exposure_slack", "rollback_ms")
"""Bounds of contracts that aren't in force here; the pages of the site name none."""


class Restarted(Daemon):
    """A daemon that the platform starts again whenever its process has ended.

    Attributes:
        extra: Lines that its settings file has got since.
        n_own_ends: How often its process has ended by itself.
    """

    extra: tuple[str, ...] = ()
    n_own_ends = 0
    is_stopping = False

    def write_settings(self, bounds: dict[str, object] | None = None) -> pathlib.Path:
        """Write its settings file and return the path."""
        path = super().write_settings(bounds)
        with path.open("a") as file:
            file.writelines(f"{line}\n" for line in self.extra)
        return path

    async def watch(self, record: Record) -> None:
        """Start the process again after it has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is None or self.process.poll() is None:
                continue
            self.n_own_ends += not self.is_stopping
            record.note(
                "process ended",
                daemon=self.name,
                exit=self.process.returncode,
                by_itself=not self.is_stopping,
            )
            self.is_stopping = False
            await asyncio.sleep(RESTART_SECONDS)
            self.start()
            record.note("process started", daemon=self.name)

    async def restart(self, record: Record) -> None:
        """Stop the process, as the platform does in planned work."""
        record.note("SIGTERM", daemon=self.name)
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_SECONDS / 0.05)):
            await asyncio.sleep(0.05)
            if not self.is_stopping:
                return
        self.signal(signal.SIGKILL)


async def case(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case."""
    store = Store()
    await store.http.start()
    routes = [
        make_route("orders", "/orders/", "non_idempotent", "orders", timeout_ms=600),
        make_route("status", "/status/", "idempotent", "orders", timeout_ms=600),
    ]
    store.put_json(
        "op", "config", make_configuration(1, routes, [make_service("orders")])
    )
    servers = [PlainServer(store, "orders", record) for _ in range(N_SERVERS)]
    for server in servers:
        await server.start()
    daemons = [Restarted(number, store, folder) for number in range(1, N_DAEMONS + 1)]
    watches: list[asyncio.Task[None]] = []
    statuses: list[int | None] = []
    requests: set[asyncio.Task[None]] = set()
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        watches = [asyncio.ensure_future(daemon.watch(record)) for daemon in daemons]

        async def request(number: int) -> None:
            daemon = daemons[number % N_DAEMONS]
            path = "/orders/1" if number % 3 else "/status/1"
            answer = await ask(record, daemon.address, "POST", path, b"x" * 800, 600)
            statuses.append(answer.status)

        async def send() -> None:
            number = 0
            while True:
                task = asyncio.ensure_future(request(number))
                requests.add(task)
                task.add_done_callback(requests.discard)
                number += 1
                await asyncio.sleep(1.0 / RATE_PER_SECOND)

        watches.append(asyncio.ensure_future(send()))
        await asyncio.sleep(QUIET_SECONDS)
        keys = QUOTA_KEYS if has_trouble else OTHER_KEYS
        for daemon in daemons:
            daemon.extra = tuple(f"bounds.{key}=" for key in keys)
            daemon.write_settings()
        record.note("settings changed", empty=",".join(keys))
        await asyncio.sleep(QUIET_SECONDS)
        for daemon in daemons:
            await daemon.restart(record)
            await asyncio.sleep(ROLL_GAP_SECONDS)
        n_before = len(statuses)
        await asyncio.sleep(LAST_SECONDS)
        last = statuses[n_before:]
        ready = [await daemon.is_ready() for daemon in daemons]
        own_ends = [daemon.n_own_ends for daemon in daemons]
        record.note(
            "result",
            n_own_ends=own_ends,
            is_ready=ready,
            n_asked_at_the_end=len(last),
            n_served_at_the_end=last.count(200),
        )
        if not has_trouble and not last.count(200):
            raise CannotRun("nothing was served")
        # The first end follows a start by the platform within a second.
        n_ended = sum(number > N_ENDS for number in own_ends)
        return n_ended < N_MACHINES
    finally:
        for watch in watches:
            watch.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        for daemon in daemons:
            daemon.end()
        for server in servers:
            server.http.crash()
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    sys.exit(run_case(str(pathlib.Path(__file__).parent), case))
