"""Crowds of several kinds at one daemon, by seed: ``tools/crowdsoak.py --seeds 1-50``.

Each seed draws the daemon's VM, and for each of some rounds a few crowds at some of its
ports, which come while others stay. In a third of the seeds the daemon is asked to stop
beside them. Violations: the daemon ends, holds more than its VM has, opens more
descriptors, does not serve an ordinary caller afterwards, or does not stop.
"""

import argparse
import pathlib
import random
import sys
import time
from dataclasses import dataclass

STEPS = (
    pathlib.Path(__file__).resolve().parent.parent / "features" / "clients" / "steps"
)
sys.path.insert(0, str(STEPS))

import crowds  # noqa: E402
import ordinary  # noqa: E402
from systemprocesses import MEGABYTE, System  # noqa: E402

VMS = ((88, 4100), (88, 600), (128, 4100), (150, 4100))
PORTS = ("clients", "clients", "clients", "addresses", "readiness", "metrics")
PEERS_PORT = "peers"
"""Clients do not reach it by the platform's protocol, and the connections there are not
bounded; left out on VMs with few descriptors."""
FEW_DESCRIPTORS = 1000
MAX_CLIENTS = 400
FILES = 200
"""Descriptors that are kept for files."""
STOP_SHARE = 1 / 3


@dataclass(frozen=True)
class Play:
    """What one seed plays."""

    memory_mb: int
    max_fds: int
    rounds: tuple[tuple[tuple[str, str, int], ...], ...]
    is_stopped: bool


def draw_play(seed: int, n_rounds: int) -> Play:
    """Return the play of a seed: kind, port and size of the crowds of each round."""
    rng = random.Random(seed)
    memory_mb, max_fds = rng.choice(VMS)
    ports = PORTS if max_fds < FEW_DESCRIPTORS else (*PORTS, PEERS_PORT)
    rounds = tuple(
        tuple(
            (rng.choice(list(crowds.KINDS)), rng.choice(ports), rng.randint(20, 200))
            for _ in range(rng.randint(1, 3))
        )
        for _ in range(n_rounds)
    )
    return Play(memory_mb, max_fds, rounds, rng.random() < STOP_SHARE)


def play_seed(seed: int, n_rounds: int, seconds: float) -> list[str]:
    """Play one seed and return its violations."""
    play = draw_play(seed, n_rounds)
    system = System(play.memory_mb, play.max_fds)
    faults: list[str] = []
    open_crowds: list[crowds.Crowd] = []
    try:
        system.wait_until(lambda: ordinary.is_ready(system))
        for described in play.rounds:
            for kind, port, n in described:
                open_crowds.append(crowds.Crowd(kind, system.ports[port], n))
            crowds.play(open_crowds, seconds, system)
            while sum(item.n_clients for item in open_crowds) > MAX_CLIENTS:
                open_crowds.pop(0).leave()
        if play.is_stopped:
            code = system.stop_daemon()
            faults += [] if code == 0 else [f"stopped with code {code}"]
        for item in open_crowds:
            item.leave()
        if not play.is_stopped:
            faults += check_served(system)
        faults += check_usage(system, play)
    except AssertionError as error:
        faults.append(str(error))
    finally:
        print(f"seed {seed}: {play.memory_mb} MB, {system.usage}; {faults or 'held'}")
        if faults:
            print(play, system.log_tail(), sep="\n")
        system.end()
    return faults


def check_served(system: System) -> list[str]:
    """Return a violation if an ordinary caller is not served."""
    try:
        ordinary.check_answered(system, "GET", "/look/1", b"")
        ordinary.check_answered(system, "POST", "/order/1", bytes(3 * MEGABYTE))
    except AssertionError as error:
        return [f"an ordinary caller: {error}"]
    return []


def check_usage(system: System, play: Play) -> list[str]:
    """Return the bounds of the VM that the daemon broke."""
    faults = []
    if system.usage.held_bytes > play.memory_mb * MEGABYTE:
        faults.append("held more than its VM has")
    if system.usage.n_descriptors > play.max_fds - FILES:
        faults.append("opened too many descriptors")
    return faults


def main() -> int:
    """Play the seeds and return 1 if one has a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=2.0, help="of each round")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    began_seconds = time.monotonic()
    n_failed = sum(
        bool(play_seed(seed, options.rounds, options.seconds))
        for seed in range(int(first), int(last or first) + 1)
    )
    minutes = (time.monotonic() - began_seconds) / 60.0
    print(f"{n_failed} seeds with a violation, {minutes:.1f} minutes")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
