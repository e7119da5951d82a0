"""Divide a large fleet into cells, in which daemons know each other's load.

The load: tens of daemons before tens of engines. Each daemon sends a request to one
engine every ten seconds or so, which tells it nothing of the engine's load now; and
word of every request to every daemon would take each of them hundreds of messages a
second. Daemons that place blindly fill some engines while others stand empty.

So the fleet is divided. A cell is some eight daemons and their part of the targets.
Its daemons tell each other what they have under way, as those of a small fleet do,
and place their requests within the cell. Another cell's target is taken only when
their own are much busier. What a daemon hears and tells is then the same in a fleet
of ten daemons and of a thousand.

Every daemon computes the cells by itself from the members and targets that it knows.
Two that know different ones for a moment place a little worse; nothing else depends
on it.
"""

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass

from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId, TargetId
from lycheepost.decide.records import Reach

CELL_DAEMONS = 8
"""Daemons of a cell: enough that chance evens out what their callers ask for, few
enough that each can hear all of the others thirty times a second."""

ONE_CELL_DAEMONS = 12
"""A fleet of up to so many is one cell. Two cells of six would have little to gain,
and a fleet of seven that gets a few more VMs would be divided in the middle of it."""

MIN_CELL_TARGETS = 3
"""Fewest targets of a cell: with fewer, one that is lost or changes its weights takes
too much of the cell with it, so the group is not divided."""

MOST_STORE_FOLLOWERS = 10
"""Daemons that follow the cache events of a KV store. A store holds a dozen such
questions at once and refuses the others, so that in a fleet of a hundred most calls to
it would be refusals. Two are left for daemons that start again."""

_SOURCE_KEY = hash_bytes(b"source")
_FOLLOWER_KEY = hash_bytes(b"kv-store")


@dataclass(frozen=True, slots=True)
class Peer:
    """A daemon that takes part, as far as its cell goes."""

    daemon: DaemonId
    availability_zone: AvailabilityZone


@dataclass(frozen=True, slots=True)
class Cell:
    """One daemon's cell.

    Attributes:
        number: From 0 on.
        n_cells: Cells of the fleet.
        mates: The other daemons of the cell.
    """

    number: int = 0
    n_cells: int = 1
    mates: tuple[DaemonId, ...] = ()


def find_cell(me: Peer, peers: Iterable[Peer]) -> Cell:
    """Return the cell of ``me`` among the daemons that there are.

    One that leaves, or cannot serve for a moment, keeps its place: taken out, it would
    move the cells of all others, and again when it comes back.

    Daemons are ordered by availability zone first, so that most of a cell lies in
    one, and its requests and cache copies need not cross to another.
    """
    known = {peer.daemon: peer for peer in (me, *peers)}
    if len(known) <= ONE_CELL_DAEMONS:
        return Cell(mates=tuple(name for name in known if name != me.daemon))
    ordered = sorted(known, key=lambda name: (known[name].availability_zone, name))
    n_cells = max(1, round(len(ordered) / CELL_DAEMONS))
    numbers = {
        name: _part(index, len(ordered), n_cells) for index, name in enumerate(ordered)
    }
    mates = tuple(
        name
        for name in ordered
        if numbers[name] == numbers[me.daemon] and name != me.daemon
    )
    return Cell(numbers[me.daemon], n_cells, mates)


def find_sources(
    me: DaemonId, cell: Cell, serving: Container[DaemonId]
) -> tuple[DaemonId, ...]:
    """Return whom of the cell to ask for what the store tells, best first.

    All daemons of a cell have the same order and ask those before themselves in it;
    the first one has nobody to ask but the store.

    Args:
        me: Who asks.
        cell: Its cell.
        serving: The daemons that serve now; one that does not may be cut off.
    """
    order = rendezvous_order(_SOURCE_KEY, (me, *cell.mates))
    before = (DaemonId(name) for name in order[: order.index(me)])
    return tuple(name for name in before if name in serving)


def follows_stores(me: DaemonId, daemons: Iterable[DaemonId]) -> bool:
    """Tell whether a daemon is one of those that follow the KV stores.

    Args:
        me: The daemon.
        daemons: All daemons that serve now; ``me`` counts in any case.
    """
    order = rendezvous_order(_FOLLOWER_KEY, {me, *daemons})
    return me in order[:MOST_STORE_FOLLOWERS]


def _part(index: int, n_items: int, n_parts: int) -> int:
    """Return in which of ``n_parts`` equal parts an item lies."""
    return index * n_parts // n_items


@dataclass(frozen=True, slots=True)
class Place:
    """Where a target stands, as far as cells go."""

    target: TargetId
    target_group: TargetGroupId
    availability_zone: AvailabilityZone


def find_reaches(places: Iterable[Place], cell: Cell) -> dict[TargetId, Reach]:
    """Return what each target is to the cell."""
    ordered = sorted(places, key=lambda item: (item.availability_zone, item.target))
    sizes = Counter(place.target_group for place in ordered)
    seen: Counter[TargetGroupId] = Counter()
    reaches: dict[TargetId, Reach] = {}
    for place in ordered:
        group = place.target_group
        reaches[place.target] = _reach(seen[group], sizes[group], cell)
        seen[group] += 1
    return reaches


def _reach(index: int, n_targets: int, cell: Cell) -> Reach:
    """Return what the target at this place of its group's order is to the cell."""
    if cell.n_cells == 1:
        return Reach.CELL
    n_parts = min(cell.n_cells, n_targets // MIN_CELL_TARGETS)
    if n_parts <= 1:
        return Reach.FLEET
    own = _part(cell.number, cell.n_cells, n_parts)
    if _part(index, n_targets, n_parts) != own:
        return Reach.FAR
    # Where several cells share a part, the load of its targets is not known whole.
    return Reach.CELL if n_parts == cell.n_cells else Reach.FLEET
