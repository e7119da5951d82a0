"""Agreement of daemons on what is left of a quota.

Each daemon counts by itself what is left. Counts part when daemons learn of a changed
quota at different times, or lose an update. Under constant load no bucket ever fills
up, so the difference would stay, and a daemon with too low a level refuses what the
quota allows.

A daemon that is behind with its updates has too high a level. So no single level is
adopted: each daemon approaches the median, which is right while most are.

A customer beyond its quota gets more of it for good if levels are raised by chance: no
bucket fills up. A long request lowers a level at once, and what peers told a moment ago
is still higher. So for such a customer a peer's level is compared with the own one when
it arrives, and what counts is the average of these differences.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.core.ids import DaemonId

LEVEL_VALID_SECONDS = 0.15
"""Age up to which a reported level counts: some updates. An older one lacks the units
that were refilled since."""

TRANSIT_SECONDS = 0.025
"""Refill time of the units that levels may differ by: the mean age of an update."""

APPROACH_PER_SECOND = 0.5
"""Share of a difference that is corrected in a second. A difference takes longer than a
busy daemon's delay, as its late counts would otherwise be corrected twice."""

AVERAGE_SECONDS = 1.0
"""Time constant of the average difference from a peer: long enough for many updates,
shorter than what it takes to correct a difference."""

MIN_LEVELS = 3
"""Levels that a median needs, the own one included: of two, either may be wrong."""


@dataclass(frozen=True, slots=True)
class PeerLevel:
    """The level that a peer last reported.

    Attributes:
        mean_above: By how much its levels were above the own one, on average.
    """

    level: float
    at_seconds: float
    mean_above: float = 0.0


def follow(
    before: PeerLevel | None, level: float, own_level: float, now_seconds: float
) -> PeerLevel:
    """Return a peer's level after a report.

    Args:
        before: Its level before; None if this is its first report.
        level: What it reports.
        own_level: The own level, with the units that the peer can't know of yet.
        now_seconds: The current time.
    """
    above = level - own_level
    if before is None:
        return PeerLevel(level, now_seconds, above)
    kept = math.exp((before.at_seconds - now_seconds) / AVERAGE_SECONDS)
    mean_above = kept * before.mean_above + (1.0 - kept) * above
    return PeerLevel(level, now_seconds, mean_above)


def correction(
    own_level: float,
    peer_levels: Mapping[DaemonId, PeerLevel],
    rate_per_second: float,
    elapsed_seconds: float,
    now_seconds: float,
) -> float:
    """Return the units to add to a daemon's own level.

    Args:
        own_level: Units left of the quota by its own count, without those spent here
            that no peer can know of yet.
        peer_levels: What its peers reported.
        rate_per_second: Refill rate of the quota.
        elapsed_seconds: Time since the last correction.
        now_seconds: The current time.
    """
    levels = [
        peer.level
        for peer in peer_levels.values()
        if now_seconds - peer.at_seconds <= LEVEL_VALID_SECONDS
    ]
    levels.append(own_level)
    if len(levels) < MIN_LEVELS:
        return 0.0
    # Of two in the middle the lower one, so that no quota is exceeded.
    median = sorted(levels)[(len(levels) - 1) // 2]
    in_transit = TRANSIT_SECONDS * rate_per_second
    difference = median - own_level
    beyond = max(0.0, abs(difference) - in_transit)
    share = min(1.0, APPROACH_PER_SECOND * elapsed_seconds)
    return share * (beyond if difference > 0.0 else -beyond)
