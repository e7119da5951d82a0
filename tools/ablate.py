"""Measure what each mechanism of the decisions is worth.

    python tools/ablate.py BENCH FOLDER SITE:DAY[,DAY] ... [--seeds 11,12] [--jobs 4]

Plays each day with all mechanisms, and once more with each of them switched off, on
scratch copies of the committed tree under FOLDER, and prints the table with the spread
between seeds. BENCH is the program that plays days; it writes its journal into the
copies, from where it is to be copied.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from lycheepost.decide.mechanisms import Mechanism

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAY_SECONDS = 900.0
"""Longest that one play may take: ten times the usual."""

ENV_LINE = 'env = { SSL_CERT_FILE = "/dev/null" }'
"""The line of the deploy file that the switch is added to."""


@dataclass(frozen=True)
class Play:
    """One day to play with one mechanism switched off, or with all.

    Attributes:
        seed: None for the day's own.
    """

    mechanism: Mechanism | None
    site: pathlib.Path
    day: str
    seed: int | None

    @property
    def name(self) -> str:
        """Return what the play is called in file names."""
        off = "all" if self.mechanism is None else self.mechanism.value
        return f"{off}-{self.site.stem}-{self.day}-{self.seed or 0}"


def make_copy(folder: pathlib.Path, mechanism: Mechanism | None) -> pathlib.Path:
    """Return a clone of the committed tree with one mechanism switched off."""
    copy = folder / ("all" if mechanism is None else mechanism.value)
    if not copy.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    if mechanism is not None:
        deploy = copy / "deploy" / "system.toml"
        text = deploy.read_text()
        if ENV_LINE not in text and mechanism.value not in text:
            raise SystemExit(f"{deploy} has no line {ENV_LINE!r}")
        switch = f'LYCHEEPOST_SWITCHED_OFF = "{mechanism.value}"'
        changed = ENV_LINE.replace(" }", f", {switch} }}")
        deploy.write_text(text.replace(ENV_LINE, changed))
    return copy


def play(bench: pathlib.Path, folder: pathlib.Path, item: Play) -> float | None:
    """Play one day and return its worth; None when it was not played to its end."""
    copy = folder / ("all" if item.mechanism is None else item.mechanism.value)
    report = folder / f"{item.name}.json"
    seed = [] if item.seed is None else ["--seed", str(item.seed)]
    off = "no mechanism" if item.mechanism is None else item.mechanism.value
    command = [str(bench), "run", str(item.site), item.day, "--no-cpu", *seed]
    command += ["--report", str(report), "--why", f"ablation: {off} switched off"]
    with (folder / f"{item.name}.log").open("w") as log:
        try:
            subprocess.run(
                command, cwd=copy, stdout=log, stderr=log, timeout=DAY_SECONDS
            )
            found = json.loads(report.read_text())
        except (OSError, ValueError, subprocess.TimeoutExpired) as error:
            print(f"{item.name}: not played: {error}", file=sys.stderr)
            return None
    if found["breaks"]:
        print(f"{item.name}: broken: {found['breaks']}", file=sys.stderr)
    return float(found["G"])


def list_plays(sites: list[str], seeds: list[int | None]) -> Iterator[Play]:
    """Yield all plays, those with all mechanisms first."""
    for mechanism in (None, *Mechanism):
        for text in sites:
            path, _, days = text.partition(":")
            for day in days.split(","):
                for seed in seeds:
                    yield Play(mechanism, pathlib.Path(path).resolve(), day, seed)


def describe(worths: dict[Mechanism | None, list[tuple[str, float]]]) -> Iterator[str]:
    """Yield the lines of the table: what worth falls by without each mechanism."""
    whole = dict(worths[None])
    yield "| switched off | worth lost, mean | least to most | plays |"
    yield "|---|---|---|---|"
    for mechanism in Mechanism:
        lost = [whole[key] - worth for key, worth in worths[mechanism] if key in whole]
        if lost:
            mean = statistics.mean(lost)
            spread = f"{min(lost):.3f} to {max(lost):.3f}"
            yield f"| {mechanism.value} | {mean:.3f} | {spread} | {len(lost)} |"


def main() -> None:
    """Play all and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("sites", nargs="+", metavar="SITE:DAY[,DAY]")
    parser.add_argument("--seeds", default="0", help="0 is the day's own seed")
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    for mechanism in (None, *Mechanism):
        make_copy(arguments.folder, mechanism)
    seeds = [int(text) or None for text in arguments.seeds.split(",")]
    plays = list(list_plays(arguments.sites, seeds))
    worths: dict[Mechanism | None, list[tuple[str, float]]] = defaultdict(list)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = pool.map(
            lambda item: play(arguments.bench, arguments.folder, item), plays
        )
        for item, worth in zip(plays, results, strict=True):
            key = f"{item.site.stem} {item.day} {item.seed}"
            if worth is not None:
                worths[item.mechanism].append((key, worth))
                print(f"{item.name}: {worth:.3f}", file=sys.stderr, flush=True)
    print(*describe(worths), sep="\n")


if __name__ == "__main__":
    main()
