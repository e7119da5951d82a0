"""Adds up the bytes that daemons sent to their peers, by kind of message."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.report.beliefs import StatusUnreadable


@dataclass(frozen=True, slots=True)
class KindBytes:
    """Bytes of messages of one kind."""

    same_zone: int
    other_zones: int


@dataclass(frozen=True, slots=True)
class _Peers:
    bytes_by_kind: dict[str, KindBytes]


@dataclass(frozen=True, slots=True)
class _Status:
    peers: _Peers


def read_peer_traffic(body: bytes) -> Result[dict[str, KindBytes], StatusUnreadable]:
    """Return the bytes by kind that a daemon's status page states."""
    try:
        status = msgspec.json.decode(body, type=_Status)
    except msgspec.MsgspecError as error:
        return Failure(StatusUnreadable(f"unreadable: {error}"))
    return Success(status.peers.bytes_by_kind)


def add_up(traffic: Iterable[dict[str, KindBytes]]) -> list[tuple[str, KindBytes]]:
    """Return the sum over all daemons, the most between zones first."""
    sums: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for by_kind in traffic:
        for kind, n_bytes in by_kind.items():
            sums[kind][0] += n_bytes.same_zone
            sums[kind][1] += n_bytes.other_zones
    rows = [(kind, KindBytes(*total)) for kind, total in sums.items()]
    return sorted(rows, key=lambda row: (-row[1].other_zones, row[0]))


def describe_rows(rows: Iterable[tuple[str, KindBytes]]) -> Iterable[str]:
    """Yield the lines of a table."""
    yield f"{'message':<14}{'other zones, kB':>18}{'same zone, kB':>16}"
    for kind, n_bytes in rows:
        yield (
            f"{kind:<14}{n_bytes.other_zones / 1000:>18.1f}"
            f"{n_bytes.same_zone / 1000:>16.1f}"
        )
