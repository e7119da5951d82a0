"""Requests to targets that crash when they reject too many.

A brittle target states how many requests a second it may reject for want of room. It
does not matter who sends them, so the number is divided among all daemons: after a
rejection a daemon sends the target nothing until its share allows another.

Daemons know each other's load only some milliseconds late. Several that see the same
free slots fill them more than once, so the slots of a brittle target are divided among
them too. Each daemon uses its own ones only, whatever it knows of the others.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.core.ids import TargetId

FILL_SHARE = 0.85
"""Share of a brittle target's slots that all daemons use together. The rest absorbs
requests of daemons that divide the slots differently while the fleet changes."""

MIN_REJECTIONS_PER_SECOND = 0.2
"""Lower bound of the stated number: only a response can say that it has changed."""

MAX_PAUSE_SECONDS = 5.0
"""Upper bound of a pause, so that a large fleet tries a target again in time."""


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """Place of one daemon among those that divide the slots of brittle targets.

    Attributes:
        rank: Its rank, from 0; those from ``n_daemons`` on get few requests.
        n_daemons: Daemons that carry the traffic.
    """

    rank: int
    n_daemons: int


def divide_slots(
    slots_by_target: Mapping[TargetId, int], position: FleetPosition
) -> dict[TargetId, int]:
    """Return how many requests a daemon may have at each brittle target of a group.

    The numbers of all daemons add up to those of the targets. Remainders go to the
    daemons in turn, from one target to the next, so that each daemon has nearly as many
    slots as any other. A daemon for which no slot is left may have one request at one
    target.

    Args:
        slots_by_target: Requests that all daemons together may have at each target.
        position: The daemon's place in the fleet.
    """
    names = sorted(slots_by_target)
    n_daemons = position.n_daemons
    own: dict[TargetId, int] = {}
    first_rank = 0
    for name in names:
        n_each, n_left = divmod(slots_by_target[name], n_daemons)
        is_in_turn = (position.rank - first_rank) % n_daemons < n_left
        own[name] = n_each + is_in_turn
        first_rank += n_left
    if names and (position.rank >= n_daemons or not any(own.values())):
        chosen = names[position.rank % len(names)]
        return {name: int(name == chosen) for name in names}
    return own


def pause_seconds(rejections_per_second: float, n_daemons: int) -> float:
    """Return how long a daemon sends a brittle target nothing after a rejection.

    Args:
        rejections_per_second: Rejections that the target bears, of all daemons.
        n_daemons: Daemons that these are divided among.
    """
    bearable = max(MIN_REJECTIONS_PER_SECOND, rejections_per_second)
    return min(MAX_PAUSE_SECONDS, n_daemons / bearable)


def usable_requests(max_requests: float) -> int:
    """Return how many requests all daemons may have at a brittle target."""
    return max(1, int(FILL_SHARE * max_requests))
