"""Run real processes under traffic and random faults, and audit every answer.

    python tools/soak.py --seconds 600 --seed 1 [--json]

Starts stand-ins and three daemons as processes on loopback ports, drives them
with ``loadgen`` and meanwhile kills, freezes and restarts them at random, seeded
times. The table, the object store and the plain service are only frozen: they
stand for what keeps its data. Every process that was started here is ended here,
by its id. Exit code 0 when the audit found nothing and memory stayed flat.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import psutil
import yaml

from lycheepost.core.ids import CustomerId
from lycheepost.loadgen.audit import Evidence
from lycheepost.loadgen.drive import LoadPlan, run_load
from lycheepost.loadgen.expected import make_standin_answers, read_order_runs
from lycheepost.loadgen.mixes import Deployment
from lycheepost.loadgen.report import LoadReport, encode, render_table
from lycheepost.utils.keys import hash_key

PROGRAM = str(pathlib.Path(sys.executable).parent / "lycheepost")
KEYS = {CustomerId(name): f"lpk-soak-{name}" for name in ("large", "middle", "small")}
N_DAEMONS = 3
N_ENGINES = 3
MEMORY_GROWTH = 1.25
"""Resident memory late in the run over that after the first third; a leak of one
request in a hundred shows as more within ten minutes."""
_PLATFORM = ("table", "objects", "weights", "vm-list")
_FREEZE_SECONDS = (0.5, 3.0)
_FAULT_SECONDS = (3.0, 9.0)
_DOWN_SECONDS = (0.2, 1.5)


@dataclass
class Fleet:
    """The processes of one run, by name."""

    folder: pathlib.Path
    ports: dict[str, list[int]]
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str) -> None:
        """Start a process, again on the same ports."""
        kind = name.rstrip("0123456789")
        settings = self.settings(name, kind)
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = ["serve"] if kind == "daemon" else ["standin", kind]
        self.processes[name] = subprocess.Popen(
            [PROGRAM, *command, "--settings", str(path)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def settings(self, name: str, kind: str) -> dict[str, Any]:
        """Return the settings of one process."""
        if kind != "daemon":
            return {"port": self.ports[name][0]}
        return make_daemon_settings(self, name)

    def url(self, name: str) -> str:
        """Return where a process listens."""
        return f"http://127.0.0.1:{self.ports[name][0]}"

    def resident_megabytes(self, name: str) -> float:
        """Return a process's resident memory."""
        return psutil.Process(self.processes[name].pid).memory_info().rss / 1e6

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()


def make_daemon_settings(fleet: Fleet, name: str) -> dict[str, Any]:
    """Return the settings of a daemon whose seeds are all the others."""
    ports = fleet.ports[name]
    others = [f"daemon{index}" for index in range(N_DAEMONS)]
    others.remove(name)
    return {
        "deployment": "soak",
        "daemon": {
            "daemon_id": name,
            "availability_zone": f"zone-{int(name[-1]) % 2}",
            "region": "soak",
        },
        "listeners": {"callers_port": ports[0], "operators_port": ports[1]},
        "peers": {
            "port": ports[2],
            "seeds": [
                {
                    "daemon_id": other,
                    "endpoint": f"tcp://127.0.0.1:{fleet.ports[other][2]}",
                }
                for other in others
            ],
        },
        "platform": {
            f"{kind.replace('-', '_')}_url": fleet.url(kind) for kind in _PLATFORM
        }
        | {"timeout_seconds": 1.0},
        "streams": {"silence_seconds": 2.0},
        "fallback_configuration": make_configuration(fleet),
    }


def make_configuration(fleet: Fleet) -> dict[str, Any]:
    """Return a configuration of all targets and customers."""
    engines = [f"engine{index}" for index in range(N_ENGINES)]
    groups = dict.fromkeys(engines, "caption-llm") | {"service": "kiosk-orders"}
    return {
        "revision": 0,
        "customers": [
            {"customer": name, "key_hashes": [hash_key(key)]}
            for name, key in KEYS.items()
        ],
        "models": [
            {
                "model": "caption-llm",
                "weights_version": "1",
                "target_group": "caption-llm",
            }
        ],
        "target_groups": [
            {"target_group": "caption-llm", "kind": "engine"},
            {"target_group": "kiosk-orders", "kind": "service"},
        ],
        "targets": [
            {
                "target": name,
                "target_group": group,
                "availability_zone": f"zone-{index % 2}",
                "url": fleet.url(name),
            }
            for index, (name, group) in enumerate(groups.items())
        ],
    }


def make_fleet(folder: pathlib.Path) -> Fleet:
    """Return a fleet with its ports chosen."""
    names = [
        *_PLATFORM,
        "service",
        *(f"engine{index}" for index in range(N_ENGINES)),
        *(f"daemon{index}" for index in range(N_DAEMONS)),
    ]
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(3 * len(names))]
    ports = [item.getsockname()[1] for item in held]
    for item in held:
        item.close()
    chosen = {name: ports[3 * at : 3 * at + 3] for at, name in enumerate(names)}
    return Fleet(folder, chosen)


async def wait_ready(fleet: Fleet, name: str) -> None:
    """Wait until a process takes connections."""
    async with asyncio.timeout(30):
        while True:
            try:
                _reader, writer = await asyncio.open_connection(
                    "127.0.0.1", fleet.ports[name][0]
                )
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.1)


async def provoke(fleet: Fleet, until_seconds: float, rng: random.Random) -> Counter:
    """Kill and freeze processes at random until a time of the monotonic clock.

    The first daemon is only frozen, so that its memory can be followed.
    """
    killed = ["daemon1", "daemon2", *(f"engine{index}" for index in range(N_ENGINES))]
    frozen = [*killed, "daemon0", "table", "objects", "service"]
    counts: Counter[str] = Counter()
    while True:
        await asyncio.sleep(rng.uniform(*_FAULT_SECONDS))
        if time.monotonic() >= until_seconds:
            return counts
        if rng.random() < 0.5:
            name = rng.choice(killed)
            counts[f"killed {name}"] += 1
            await kill_and_restart(fleet, name, rng)
        else:
            name = rng.choice(frozen)
            counts[f"froze {name}"] += 1
            await freeze(fleet, name, rng)


async def kill_and_restart(fleet: Fleet, name: str, rng: random.Random) -> None:
    """End a process without notice and start it again a little later."""
    process = fleet.processes[name]
    process.kill()
    process.wait()
    await asyncio.sleep(rng.uniform(*_DOWN_SECONDS))
    fleet.start(name)


async def freeze(fleet: Fleet, name: str, rng: random.Random) -> None:
    """Suspend a process for a while; it does not notice."""
    process = fleet.processes[name]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(*_FREEZE_SECONDS))
    process.send_signal(signal.SIGCONT)


async def follow_memory(fleet: Fleet, values: list[float]) -> None:
    """Note the first daemon's memory every two seconds."""
    while True:
        values.append(fleet.resident_megabytes("daemon0"))
        await asyncio.sleep(2)


@dataclass(frozen=True)
class SoakReport:
    """What a run showed.

    Attributes:
        early_megabytes, late_megabytes: Highest resident memory of the daemon
            that was never killed, in the second and the last third.
    """

    load: LoadReport
    faults: dict[str, int]
    early_megabytes: float
    late_megabytes: float

    @property
    def exit_code(self) -> int:
        """Return 0 for a clean audit and flat memory."""
        is_flat = self.late_megabytes <= self.early_megabytes * MEMORY_GROWTH
        return self.load.exit_code if is_flat else 1


async def soak(seconds: float, rate: float, seed: int) -> SoakReport:
    """Run everything once."""
    memory: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(pathlib.Path(folder))
        try:
            for name in fleet.ports:
                fleet.start(name)
            for name in fleet.ports:
                await wait_ready(fleet, name)
            await asyncio.sleep(1)
            until_seconds = time.monotonic() + seconds
            faults = asyncio.create_task(
                provoke(fleet, until_seconds, random.Random(seed))
            )
            follower = asyncio.create_task(follow_memory(fleet, memory))
            report = await run_load(make_plan(fleet, seconds, rate, seed))
            counts = await faults
            follower.cancel()
        finally:
            fleet.stop()
    third = max(1, len(memory) // 3)
    return SoakReport(
        load=report,
        faults=dict(sorted(counts.items())),
        early_megabytes=max(memory[third : 2 * third] or memory),
        late_megabytes=max(memory[-third:]),
    )


def make_plan(fleet: Fleet, seconds: float, rate: float, seed: int) -> LoadPlan:
    """Return the callers' plan."""

    async def read_evidence() -> Evidence:
        return await read_order_runs([fleet.url("service")])

    return LoadPlan(
        addresses=tuple(fleet.url(f"daemon{index}") for index in range(N_DAEMONS)),
        keys=KEYS,
        deployment=Deployment.PRAIRIE,
        model="caption-llm",
        service_path="/services/kiosk-orders/orders",
        answers=make_standin_answers(),
        n_seconds=seconds,
        rate_per_second=rate,
        seed=seed,
        read_evidence=read_evidence,
    )


def main() -> int:
    """Run a soak and print its report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument("--rate", type=float, default=25)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    report = asyncio.run(soak(arguments.seconds, arguments.rate, arguments.seed))
    if arguments.json:
        document = {
            "load": json.loads(encode(report.load)),
            "faults": report.faults,
            "early_megabytes": report.early_megabytes,
            "late_megabytes": report.late_megabytes,
        }
        print(json.dumps(document))
        return report.exit_code
    print(render_table(report.load))
    print(f"faults          {report.faults}")
    print(
        f"memory          {report.early_megabytes:.1f} MB in the second third, "
        f"{report.late_megabytes:.1f} MB in the last"
    )
    return report.exit_code


if __name__ == "__main__":
    sys.exit(main())
