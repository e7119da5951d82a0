"""Prove what ``dist/lycheepost`` promises and print its costs.

Starts the binary's demo and counts processes while it runs: the one started and
no child. Prints the time to the first line of a command, on the first start
(unpacking) and the next one, and the resident memory of the demo and of a daemon.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

import psutil

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "lycheepost"
EXAMPLE = ROOT / "examples" / "prairie.yaml"
DEMO_SECONDS = 4
LOOK_SECONDS = 0.1
SERVE_SECONDS = 3


def time_command(environment: dict[str, str]) -> float:
    """Return the seconds that ``settings check`` takes."""
    started_seconds = time.monotonic()
    subprocess.run(
        [BINARY, "settings", "check", EXAMPLE],
        check=True,
        env=environment,
        stdout=subprocess.DEVNULL,
    )
    return time.monotonic() - started_seconds


def watch(process: subprocess.Popen[bytes], n_seconds: float) -> tuple[int, int]:
    """Return the most processes and the most resident bytes seen."""
    most_processes = 0
    most_bytes = 0
    end_seconds = time.monotonic() + n_seconds
    seen = psutil.Process(process.pid)
    while time.monotonic() < end_seconds and process.poll() is None:
        try:
            n_processes = 1 + len(seen.children(recursive=True))
            most_bytes = max(most_bytes, seen.memory_info().rss)
        except psutil.NoSuchProcess:
            break
        most_processes = max(most_processes, n_processes)
        time.sleep(LOOK_SECONDS)
    return most_processes, most_bytes


def check_demo(environment: dict[str, str]) -> int:
    """Run the demo and return the most processes seen."""
    demo = subprocess.Popen(
        [BINARY, "demo", "--seconds", str(DEMO_SECONDS)],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    n_processes, n_bytes = watch(demo, DEMO_SECONDS * 10)
    code = demo.wait()
    print(f"demo: {n_processes} process, {n_bytes / 1e6:.0f} MB resident, exit {code}")
    return n_processes if code == 0 else 0


def check_serve(environment: dict[str, str], folder: pathlib.Path) -> int:
    """Run a daemon without its platform and return the most processes seen."""
    text = EXAMPLE.read_text().replace("host: 0.0.0.0", "host: 127.0.0.1")
    text = text.replace("advertised_host: 10.1.0.1", "advertised_host: 127.0.0.1")
    for address in ("10.1.0.", "10.1.1.", "10.1.2."):
        text = text.replace(address, "127.0.0.")
    text = text.replace("drain_seconds: 600", "drain_seconds: 0")
    text = text.replace("announce_leaving_seconds: 12", "announce_leaving_seconds: 0")
    settings = folder / "settings.yaml"
    settings.write_text(text)
    daemon = subprocess.Popen(
        [BINARY, "serve", "--settings", settings],
        env=environment,
        stderr=subprocess.DEVNULL,
    )
    n_processes, n_bytes = watch(daemon, SERVE_SECONDS)
    daemon.terminate()
    code = daemon.wait(timeout=60)
    print(f"serve: {n_processes} process, {n_bytes / 1e6:.0f} MB resident, exit {code}")
    return n_processes if code == 0 else 0


def main() -> int:
    """Print the figures; exit 1 unless every run was exactly one process."""
    folder = pathlib.Path(tempfile.mkdtemp())
    environment = {"LYCHEEPOST_UNPACK_FOLDER": str(folder), "PATH": "/nonexistent"}
    try:
        print(f"size: {BINARY.stat().st_size / 1e6:.0f} MB")
        print(f"first start: {time_command(environment):.2f} s")
        print(f"next start: {time_command(environment):.2f} s")
        counts = (check_demo(environment), check_serve(environment, folder))
    finally:
        shutil.rmtree(folder)
    return 0 if counts == (1, 1) else 1


if __name__ == "__main__":
    sys.exit(main())
