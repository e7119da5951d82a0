"""Records that ``lycheepost bench control`` prints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SpreadRecord:
    """Time from a confirmed change until it is in force on every daemon."""

    measure: str
    policy: str
    n_daemons: int
    store_latency_seconds: float
    n_changes: int
    p50_seconds: float
    max_seconds: float


@dataclass(frozen=True, slots=True)
class CostRecord:
    """What one daemon costs while changes come at the design rate.

    ``bytes_out_per_second`` and ``bytes_in_per_second`` count headers and framing
    of messages between daemons; ``cpu_share`` is of one core, without sockets.
    """

    measure: str
    policy: str
    n_daemons: int
    changes_per_second: float
    reads_per_second: float
    reads_per_second_daemon: float
    writes_per_second: float
    writes_per_second_daemon: float
    bytes_out_per_second: float
    bytes_in_per_second: float
    busiest_bytes_out_per_second: float
    cpu_share: float


@dataclass(frozen=True, slots=True)
class SlopeRecord:
    """How a cost of the whole store or of one daemon grows with the fleet."""

    measure: str
    policy: str
    cost: str
    slope_per_daemon: float
    at_zero: float
    at_540_daemons: float


@dataclass(frozen=True, slots=True)
class HerdRecord:
    """All daemons of a fleet start at the same moment with nothing.

    ``reads_busiest_second`` counts the table's reads and the object store's gets
    and listings; ``last_adopted_seconds`` is when the last daemon had the
    configuration.
    """

    measure: str
    policy: str
    n_daemons: int
    reads_busiest_second: int
    reads_throttled: int
    n_reads: int
    p50_adopted_seconds: float
    last_adopted_seconds: float


@dataclass(frozen=True, slots=True)
class OutageRecord:
    """The store is down for an hour."""

    measure: str
    n_daemons: int
    outage_seconds: float
    n_lookups: int
    n_lookups_failed: int
    leaving_avoided_max_seconds: float
    restarted_adopted_seconds: float
    revision_before: int
    revision_lowest_seen: int
    revision_after: int
    n_daemons_behind_after: int
