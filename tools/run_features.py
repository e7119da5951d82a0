"""Run every behave folder and end with the line ``N passed, N failed``.

Folders run as separate behave processes, a few at once, because each folder
mirrors one package and shares nothing with the others. A feature that takes longer
than most folders runs in a process of its own. One that measures a daemon's memory
beside a crowd of clients runs alone, after all others. A scenario named in
``KNOWN-RED.txt`` is run and printed, and its failure does not fail the run.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURES = ROOT / "features"
RESULTS = ROOT / ".test-results"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_FOLDERS = 4
FOLDER_TIMEOUT_SECONDS = 600
LONG_FEATURES = (
    FEATURES / "platform" / "failures.feature",
    FEATURES / "platform" / "ownpaths.feature",
    FEATURES / "platform" / "silentgroup.feature",
    FEATURES / "platform" / "retrybudget.feature",
    FEATURES / "platform" / "badparts.feature",
    FEATURES / "platform" / "endless.feature",
    FEATURES / "platform" / "storerestored.feature",
    FEATURES / "platform" / "heldanswers.feature",
    FEATURES / "platform" / "heldbodies.feature",
    FEATURES / "platform" / "oddentries.feature",
    FEATURES / "platform" / "softwareversions.feature",
    FEATURES / "decide" / "quotas.feature",
)
"""Features that run beside the rest of their folder."""

LONE_FEATURES = (FEATURES / "clients" / "crowds.feature",)
"""Features that run when nothing else does, one after the other."""


@dataclass(frozen=True)
class Outcome:
    """The result of one scenario."""

    scenario: str
    status: str


@dataclass(frozen=True)
class Part:
    """Features that one behave process runs."""

    name: str
    features: tuple[pathlib.Path, ...]


def list_parts() -> list[Part]:
    """Return the long features, then each folder with its other features."""
    apart = set(LONG_FEATURES) | set(LONE_FEATURES)
    parts = [single_part(path) for path in LONG_FEATURES]
    for folder in sorted({path.parent for path in FEATURES.rglob("*.feature")}):
        found = sorted(set(folder.glob("*.feature")) - apart)
        if found:
            parts.append(Part(folder.name, tuple(found)))
    return parts


def single_part(path: pathlib.Path) -> Part:
    """Return a part of one feature."""
    return Part(f"{path.parent.name}-{path.stem}", (path,))


def run_parts() -> Iterator[tuple[Part, list[Outcome], str]]:
    """Run all parts and yield the results, those that run alone last."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FOLDERS) as pool:
        yield from pool.map(run_part, list_parts())
    for path in LONE_FEATURES:
        yield run_part(single_part(path))


def run_part(part: Part) -> tuple[Part, list[Outcome], str]:
    """Run behave on one part and return its outcomes and its output."""
    RESULTS.mkdir(exist_ok=True)
    result_path = RESULTS / f"{part.name}.json"
    result_path.unlink(missing_ok=True)
    command = [
        sys.executable,
        "-m",
        "behave",
        "--format=json",
        f"--outfile={result_path}",
        "--format=progress3",
        "--no-capture",
        *(str(path.relative_to(ROOT)) for path in part.features),
    ]
    environment = {**os.environ, "PYTHONHASHSEED": "0", "MPLBACKEND": "Agg"}
    try:
        finished = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=FOLDER_TIMEOUT_SECONDS,
        )
        output = finished.stdout + finished.stderr
        code = finished.returncode
    except subprocess.TimeoutExpired as error:
        output = f"{error.stdout}\n{error.stderr}\ntimed out"
        code = 1
    outcomes = read_outcomes(result_path)
    if code != 0 and all(outcome.status == "passed" for outcome in outcomes):
        # A crash of behave itself leaves no failed scenario behind; without
        # this record a broken folder would count as passed.
        outcomes.append(Outcome(f"{part.name}: behave exited with {code}", "failed"))
    return part, outcomes, output


def read_outcomes(result_path: pathlib.Path) -> list[Outcome]:
    """Read the scenarios of one behave result file; none when unreadable."""
    try:
        features = json.loads(result_path.read_text())
    except (FileNotFoundError, json.JSONDecodeError):
        return []
    return [
        Outcome(f"{feature['name']}: {element['name']}".strip(), element["status"])
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def read_known_red() -> list[str]:
    """Return the scenario names that may fail, one per line before a ``|``."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if "|" in line]


def main() -> int:
    """Run all features and print the verdict last."""
    known_red = read_known_red()
    n_passed = 0
    n_failed = 0
    for part, outcomes, output in run_parts():
        bad = [outcome for outcome in outcomes if outcome.status != "passed"]
        unexpected = [item for item in bad if item.scenario not in known_red]
        print(f"{part.name}: {len(outcomes) - len(bad)} passed")
        for outcome in bad:
            label = "FAILED" if outcome in unexpected else "KNOWN RED"
            print(f"{label}: {outcome.scenario} ({outcome.status})")
        if unexpected:
            print(output)
        n_passed += len(outcomes) - len(bad)
        n_failed += len(unexpected)
    print(f"{n_passed} passed, {n_failed} failed")
    return 1 if n_failed or not n_passed else 0


if __name__ == "__main__":
    sys.exit(main())
