"""A daemon as the platform runs it, beside stand-ins, and what it takes of its VM."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from lycheepost.standin.ports import port_of, reserve_port

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
HOST = "127.0.0.1"
MEGABYTE = 1024 * 1024
START_SECONDS = 60.0
END_SECONDS = 60.0
_LOG_TAIL_BYTES = 4000
_ROLES = ("clients", "addresses", "readiness", "metrics", "peers")


class Usage:
    """The most that the daemon has taken of its VM so far."""

    def __init__(self):
        self.held_bytes = 0
        self.resident_bytes = 0
        self.unread_bytes = 0
        self.n_descriptors = 0

    def note(self, resident_bytes, unread_bytes, n_descriptors):
        self.held_bytes = max(self.held_bytes, resident_bytes + unread_bytes)
        self.resident_bytes = max(self.resident_bytes, resident_bytes)
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self.n_descriptors = max(self.n_descriptors, n_descriptors)

    def __str__(self):
        return (
            f"held {self.held_bytes / MEGABYTE:.1f} MB,"
            f" resident {self.resident_bytes / MEGABYTE:.1f} MB,"
            f" unread {self.unread_bytes / MEGABYTE:.1f} MB,"
            f" {self.n_descriptors} descriptors"
        )


class System:
    """Stand-ins in one process and a daemon in another.

    Args:
        memory_mb: The VM's memory, as the platform's settings state it.
        max_fds: Its descriptors.
        is_configured: Whether the operators have written a configuration.

    Attributes:
        ports: Ports of the daemon by what it serves there.
    """

    def __init__(self, memory_mb, max_fds, is_configured=True):
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._standins = self._start_standins(is_configured)
        store_port = json.loads(self._standins.stdout.readline())["store_port"]
        # Open until the end: the clients' own connections take ports as well.
        self._reserved = [reserve_port(HOST) for _ in _ROLES]
        self.ports = dict(zip(_ROLES, map(port_of, self._reserved), strict=True))
        self._node_file = self._folder / "node.conf"
        self._node_file.write_text(self._settings(store_port, memory_mb, max_fds))
        self._log = self._folder / "daemon.log"
        self.daemon = self._start_daemon()
        self.usage = Usage()

    def _start_standins(self, is_configured):
        words = [] if is_configured else ["unconfigured"]
        return subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).with_name("standinprocess.py"))]
            + words,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def _settings(self, store_port, memory_mb, max_fds):
        peers = self.ports["peers"]
        lines = {
            "node_name": "front-0",
            "zone": "zone-a",
            "region": "r",
            "ip": HOST,
            "listen.front": f"{HOST}:{self.ports['clients']}",
            "listen.ready": f"{HOST}:{self.ports['readiness']}",
            "listen.directory": f"{HOST}:{self.ports['addresses']}",
            "port_range": f"{peers},{peers}",
            "platform.address": f"{HOST}:{store_port}",
            "limits.memory_mb": memory_mb,
            "limits.max_fds": max_fds,
            "bootstrap": "true",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    def _start_daemon(self):
        environment = {
            **os.environ,
            "LYCHEEPOST_NODE_FILE": str(self._node_file),
            "LYCHEEPOST_METRICS_PORT": str(self.ports["metrics"]),
            "MALLOC_ARENA_MAX": "1",
        }
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "lycheepost.app.platformrun"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_alive(self):
        return self.daemon.poll() is None

    def wait_until(self, condition, within_seconds=START_SECONDS):
        """Wait for a condition; raise if the daemon ends or it does not come."""
        until_seconds = time.monotonic() + within_seconds
        while not condition():
            assert self.is_alive(), f"ended with code {self.daemon.poll()}"
            assert time.monotonic() < until_seconds, "the condition was not met"
            time.sleep(0.05)

    def measure(self):
        """Note what the daemon takes now; nothing if it has ended."""
        folder = pathlib.Path(f"/proc/{self.daemon.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            n_descriptors = len(os.listdir(folder / "fd"))
        except (OSError, IndexError):
            return
        resident_bytes = pages * os.sysconf("SC_PAGE_SIZE")
        self.usage.note(resident_bytes, self._unread_bytes(), n_descriptors)

    def _unread_bytes(self):
        """Return what the kernel has received for the daemon, accepted or not."""
        ports = set(self.ports.values())
        n_bytes = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, _state, queues, *_ = line.split()
            is_listening = remote.endswith(":0000")
            if int(local.rpartition(":")[2], 16) in ports and not is_listening:
                n_bytes += int(queues.rpartition(":")[2], 16)
        return n_bytes

    def stop_daemon(self):
        """Ask the daemon to stop and return its exit code; None if it does not."""
        self.daemon.send_signal(signal.SIGTERM)
        try:
            return self.daemon.wait(END_SECONDS)
        except subprocess.TimeoutExpired:
            return None

    def log_tail(self):
        return self._log.read_bytes()[-_LOG_TAIL_BYTES:].decode(errors="replace")

    def log_bytes(self):
        return self._log.stat().st_size

    def end(self):
        """End both processes."""
        if self.is_alive():
            self.daemon.kill()
        self.daemon.wait()
        for item in self._reserved:
            item.close()
        self._standins.stdin.close()
        try:
            self._standins.wait(10)
        except subprocess.TimeoutExpired:
            self._standins.kill()
            self._standins.wait()
