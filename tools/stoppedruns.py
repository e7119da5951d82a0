"""Run scenarios again and again while their process is stopped and continued.

Prints a table: the scenario, runs, how many failed, and the first failing step. Without
``--scenario`` it runs each entry of ``KNOWN-RED.txt``.

    python tools/stoppedruns.py --runs 20 --stop 0.5 --every 0.6 --jobs 3

``--stop 0`` runs them without stops. The outputs of failed runs are kept in
``.test-results/stopped``.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass

from run_features import FEATURES, KNOWN_RED, RESULTS, ROOT

RUN_SECONDS = 240.0
"""Longer than any one scenario takes while it is stopped most of the time."""

MAX_STEP_CHARACTERS = 90
LOGS = RESULTS / "stopped"


@dataclass(frozen=True)
class Scenario:
    """A scenario by its feature's file and its own name."""

    path: pathlib.Path
    name: str


@dataclass(frozen=True)
class Stops:
    """How long the process is stopped, and how often."""

    stop_seconds: float
    every_seconds: float


def list_scenarios() -> list[Scenario]:
    """Return the entries of the list of known failures that are scenarios."""
    titles = {read_title(path): path for path in FEATURES.rglob("*.feature")}
    found: list[Scenario] = []
    for line in KNOWN_RED.read_text().splitlines():
        feature, _, name = line.split("|")[0].strip().partition(": ")
        if feature in titles:
            found.append(Scenario(titles[feature], name))
    return found


def read_title(path: pathlib.Path) -> str:
    """Return the name of a feature."""
    first = path.read_text().partition("\n")[0]
    return first.removeprefix("Feature: ").strip()


def run_once(scenario: Scenario, stops: Stops) -> str:
    """Run a scenario once; return its first failing step, empty if it passed."""
    command = [sys.executable, "-m", "behave", "--format=progress3", "--no-capture"]
    command += ["--name", f"^{re.escape(scenario.name)}"]
    command.append(str(scenario.path.relative_to(ROOT)))
    environment = {**os.environ, "PYTHONHASHSEED": "0", "MPLBACKEND": "Agg"}
    with tempfile.TemporaryFile() as output:
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
        )
        stop_and_continue(process, stops)
        output.seek(0)
        text = output.read().decode(errors="replace")
    if process.returncode == 0:
        return ""
    LOGS.mkdir(parents=True, exist_ok=True)
    (LOGS / f"{scenario.path.stem}-{process.pid}.log").write_text(text)
    step = re.search(r"(?:FAILURE|ERROR) in step '(.*)' \(", text)
    return step.group(1) if step else f"behave exited with {process.returncode}"


def stop_and_continue(process: subprocess.Popen[bytes], stops: Stops) -> None:
    """Stop and continue a process until it ends, or end it after ``RUN_SECONDS``."""
    until_seconds = time.monotonic() + RUN_SECONDS
    while process.poll() is None:
        if time.monotonic() > until_seconds:
            process.kill()
        elif stops.stop_seconds:
            process.send_signal(signal.SIGSTOP)
            time.sleep(stops.stop_seconds)
            process.send_signal(signal.SIGCONT)
        try:
            process.wait(max(0.01, stops.every_seconds - stops.stop_seconds))
        except subprocess.TimeoutExpired:
            continue


def main() -> int:
    """Run the scenarios and print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--stop", type=float, default=0.5)
    parser.add_argument("--every", type=float, default=0.6)
    parser.add_argument("--feature", type=pathlib.Path)
    parser.add_argument("--scenario", default="")
    options = parser.parse_args()
    scenarios = list_scenarios()
    if options.feature is not None:
        path = options.feature.resolve()
        scenarios = [item for item in scenarios if item.path == path]
        if options.scenario:
            scenarios = [Scenario(path, options.scenario)]
    stops = Stops(options.stop, options.every)
    n_failed_entries = 0
    print("| scenario | runs | failed | first failing step |")
    print("|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for scenario in scenarios:
            runs = [scenario] * options.runs
            steps = list(pool.map(lambda item: run_once(item, stops), runs))
            failed = [step for step in steps if step]
            n_failed_entries += bool(failed)
            first = failed[0][:MAX_STEP_CHARACTERS] if failed else ""
            print(f"| {scenario.name} | {len(steps)} | {len(failed)} | {first} |")
    return 1 if n_failed_entries else 0


if __name__ == "__main__":
    sys.exit(main())
