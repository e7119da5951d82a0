"""Run the benches that the pages cite and keep their output as data.

    make bench                      all of them
    python tools/run_benches.py NAME ...

Each bench is a command of ``lycheepost bench``; its JSON goes to
``docs/bench/NAME.json`` together with the command and the moment, so that a page
can name where each figure comes from. A bench that fails leaves the old file
and makes this command exit with 1.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "docs" / "bench"
TIMEOUT_SECONDS = 1800

BENCHES = {
    "slopes": ["bench", "slopes", "--json"],
    "decision": ["bench", "decision", "--json"],
    "control": ["bench", "control", "--json"],
    "relay": ["bench", "relay", "--json"],
    "limit": ["bench", "limit", "--json"],
    "backoff": ["bench", "backoff", "--json"],
    "room": ["bench", "room", "--json"],
    "quota": ["bench", "quota", "--json"],
    "pauses": ["bench", "pauses", "--seed", "1", "--seed", "2", "--json"],
    "policy": ["bench", "policy", "--json"],
}

ENDS = {"relay": [["bench", "relay-source"], ["bench", "relay-sink"]]}
"""What has to run beside a bench, in processes of its own."""

ENDS_SECONDS = 3.0
"""Until they listen."""


def run_bench(name: str) -> bool:
    """Run one bench and write its file; False when it failed."""
    program = str(pathlib.Path(sys.executable).parent / "lycheepost")
    started_seconds = time.monotonic()
    ends = [subprocess.Popen([program, *words]) for words in ENDS.get(name, [])]
    if ends:
        time.sleep(ENDS_SECONDS)
    try:
        finished = subprocess.run(
            [program, *BENCHES[name]],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        records = json.loads(finished.stdout)
    except (subprocess.TimeoutExpired, json.JSONDecodeError) as error:
        print(f"{name}: {type(error).__name__}")
        return False
    finally:
        for end in ends:
            end.terminate()
            end.wait()
    if finished.returncode:
        print(f"{name}: exit code {finished.returncode}\n{finished.stderr[-2000:]}")
        return False
    document = {
        "command": " ".join(["lycheepost", *BENCHES[name]]),
        "python": sys.version.split()[0],
        "date": time.strftime("%Y-%m-%d", time.gmtime()),
        "records": records,
    }
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / f"{name}.json").write_text(json.dumps(document, indent=1) + "\n")
    print(f"{name}: written in {time.monotonic() - started_seconds:.0f} s")
    return True


def main() -> int:
    """Run the chosen benches, one after another."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    arguments = parser.parse_args()
    unknown = set(arguments.names) - set(BENCHES)
    if unknown:
        parser.error(f"unknown: {sorted(unknown)}; known: {sorted(BENCHES)}")
    results = [run_bench(name) for name in arguments.names or BENCHES]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
