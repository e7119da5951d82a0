"""Decodes the platform's settings file for one process.

The file has lines of the form ``a.b=value``. Unknown fields are ignored; all faults of
known fields are reported together.
"""

import math
import os
import pathlib
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lycheepost.core.capacity import UNKNOWN_CAPACITY, Capacity
from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import AvailabilityZone, DaemonId, RegionId
from lycheepost.core.quotas import QuotaTolerance
from lycheepost.decide.clientlimits import (
    UNKNOWN_VM_LIMITS,
    ClientLimits,
    make_client_limits,
)

SETTINGS_VARIABLE = "LYCHEEPOST_NODE_FILE"
MAX_PORT = 65535
_MILLISECONDS = 1000.0


@dataclass(frozen=True)
class SettingsError(LycheepostError):
    """A settings file that cannot be read or is invalid.

    Attributes:
        faults: One sentence for each fault.
    """

    faults: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform sets.

    Attributes:
        revoke_seconds: Time after which a revoked key runs no request.
        is_revoke_strict: Whether that also holds on VMs that are cut off.
        drain_seconds: Time after which a leaving target gets no new request.
        grace_seconds: Time from SIGTERM to SIGKILL.
        lease_seconds: Minimum time between orders of two holders to one target.
        retry_share: Retries that the fleet may send, as a share of requests.
        retry_burst: Retries that the fleet may send beyond that share.
        retry_window_seconds: Length of any window in which retries are counted.
        weights_seconds: Time after which no request may begin on older weights.
        address_seconds: Maximum time that clients cache a response of the directory.
        quota_tolerance: How far the fleet may exceed a customer's quota.
        apply_seconds: Time after which a configuration must be in force everywhere.
        contact_seconds: Time after the return of the store, of a path to it or of a
            daemon from which the bounds hold again.
    """

    revoke_seconds: float
    is_revoke_strict: bool
    drain_seconds: float
    grace_seconds: float
    lease_seconds: float
    retry_share: float
    retry_burst: float
    retry_window_seconds: float
    weights_seconds: float
    address_seconds: float
    quota_tolerance: QuotaTolerance = QuotaTolerance()
    apply_seconds: float = 2.0
    contact_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The platform's settings for one process.

    Attributes:
        clients: Where to listen for clients' requests.
        readiness: Where to listen for the platform's readiness checks.
        directory: Where to listen for lookups of addresses.
        peer_ports: First and last port available for traffic between daemons.
        store: Address of the platform's store.
        capacity: Processor cores and bandwidth of this VM.
        client_limits: What may be held for clients, by the size of this VM.
        is_first_start: Whether the whole fleet starts for the first time.
    """

    daemon: DaemonId
    availability_zone: AvailabilityZone
    region: RegionId
    host: str
    clients: Endpoint | None
    readiness: Endpoint | None
    directory: Endpoint | None
    peer_ports: tuple[int, int]
    store: Endpoint
    bounds: Bounds
    capacity: Capacity = UNKNOWN_CAPACITY
    client_limits: ClientLimits = UNKNOWN_VM_LIMITS
    is_first_start: bool = False


class _Reader:
    """Reads typed fields and collects all faults."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values
        self.faults: list[str] = []

    def text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, default)
        if value is None:
            self.faults.append(f"{name} is missing.")
            return ""
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self._values.get(name)
        if not value and default is not None:
            # The platform's template leaves the keys empty that it has no value for.
            return default
        text = self.text(name)
        try:
            found = float(text)
        except ValueError:
            found = math.nan
        if math.isfinite(found) and found >= 0.0:
            return found
        if value is not None:
            self.faults.append(f"{name} is {value!r}, not a number from 0 on.")
        return 0.0

    def endpoint(self, name: str) -> Endpoint:
        host, _, text = self.text(name).rpartition(":")
        port = parse_port(text)
        if name in self._values and not (host and port):
            self.faults.append(f"{name} is {self._values[name]!r}, not IP:PORT.")
        return Endpoint(host, port or 0)

    def listening_endpoint(self, name: str) -> Endpoint | None:
        """Return where to listen; port 0 selects a free port."""
        if not self._values.get(name):
            return None
        host, _, port = self.text(name).rpartition(":")
        return Endpoint(host, 0) if host and port == "0" else self.endpoint(name)

    def ports(self, name: str) -> tuple[int, int]:
        first, last = (parse_port(text) for text in self._pair(name))
        if first is None or last is None or last < first:
            self.faults.append(f"{name} is not FIRST,LAST.")
            return 0, 0
        return first, last

    def _pair(self, name: str) -> tuple[str, str]:
        first, _, last = self.text(name).partition(",")
        return first, last


def parse_port(text: str) -> int | None:
    """Return the port number in ``text``; None when it is not a valid one."""
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    return int(text) if is_number and 0 < int(text) <= MAX_PORT else None


def split_lines(text: str) -> dict[str, str]:
    """Return the fields of a settings file; lines without ``=`` are ignored."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, mark, value in pairs if mark}


def decode_settings(text: str) -> Result[NodeSettings, SettingsError]:
    """Return the settings, or an error that lists all faults."""
    reader = _Reader(split_lines(text))
    settings = NodeSettings(
        daemon=DaemonId(reader.text("node_name")),
        availability_zone=AvailabilityZone(reader.text("zone")),
        region=RegionId(reader.text("region", "")),
        host=reader.text("ip"),
        clients=reader.listening_endpoint("listen.front"),
        readiness=reader.listening_endpoint("listen.ready"),
        directory=reader.listening_endpoint("listen.directory"),
        peer_ports=reader.ports("port_range"),
        store=reader.endpoint("platform.address"),
        bounds=_decode_bounds(reader),
        capacity=Capacity(
            reader.number("limits.cpu_share", 0) * reader.number("limits.cores", 1),
            reader.number("limits.link_mbps", 0),
        ),
        client_limits=make_client_limits(
            reader.number("limits.memory_mb", 0),
            int(reader.number("limits.max_fds", 0)),
        ),
        is_first_start=reader.text("bootstrap", "false") == "true",
    )
    if reader.faults:
        return Failure(
            SettingsError("The settings cannot be used.", tuple(reader.faults))
        )
    return Success(settings)


def _decode_bounds(reader: _Reader) -> Bounds:
    """Return the bounds; missing ones get the platform's documented defaults."""
    return Bounds(
        revoke_seconds=reader.number("bounds.revoke_ms", 5000) / _MILLISECONDS,
        is_revoke_strict=reader.text("bounds.strict_revoke", "true") == "true",
        drain_seconds=reader.number("bounds.drain_ms", 2000) / _MILLISECONDS,
        grace_seconds=reader.number("bounds.grace_s", 8),
        lease_seconds=reader.number("bounds.lease_ms", 3000) / _MILLISECONDS,
        retry_share=reader.number("bounds.retry_ratio", 0.1),
        retry_burst=reader.number("bounds.retry_slack", 10),
        retry_window_seconds=reader.number("bounds.retry_window_s", 10),
        weights_seconds=reader.number("bounds.version_ms", 10000) / _MILLISECONDS,
        address_seconds=reader.number("bounds.ttl_max_s", 2),
        quota_tolerance=QuotaTolerance(
            share=reader.number("bounds.quota_overshoot", 0),
            units=reader.number("bounds.quota_slack", 0),
            window_seconds=reader.number("bounds.quota_window_s", 1),
        ),
        apply_seconds=reader.number("bounds.config_apply_ms", 2000) / _MILLISECONDS,
        contact_seconds=reader.number("bounds.contact_ms", 3000) / _MILLISECONDS,
    )


def settings_path() -> pathlib.Path:
    """Return the path of the settings file, from the environment."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))


def read_node_settings(path: pathlib.Path) -> Result[NodeSettings, SettingsError]:
    """Return the settings in a file, or an error that lists all faults."""
    try:
        text = path.read_text()
    except OSError as error:
        reason = f"{path} cannot be read: {error.strerror}."
        return Failure(SettingsError(reason, (reason,)))
    except UnicodeDecodeError:
        reason = f"{path} is not text in UTF-8."
        return Failure(SettingsError(reason, (reason,)))
    return decode_settings(text)
