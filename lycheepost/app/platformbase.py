"""What the parts of a daemon on the platform have in common."""

import random
import secrets
from dataclasses import dataclass, field

from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.platform.settings import NodeSettings
from lycheepost.platform.store import StoreClient


@dataclass(frozen=True, slots=True)
class PlatformBase:
    """One start of one daemon.

    Attributes:
        node: What the platform tells this process.
        clock: A clock that counts suspension.
        store: The one client of the platform's store.
        boot: Unique for each start.
        seed: Of everything random in this start.
        rng: Random numbers from that seed.
        switched_off: Mechanisms of the decisions that are not used.
    """

    node: NodeSettings
    clock: Clock
    store: StoreClient
    boot: str
    seed: int
    rng: random.Random = field(repr=False)
    switched_off: frozenset[Mechanism] = frozenset()


def make_base(
    node: NodeSettings,
    clock: Clock,
    switched_off: frozenset[Mechanism] = frozenset(),
) -> PlatformBase:
    """Return the base of a new start."""
    boot = secrets.token_hex(6)
    seed = hash_bytes(f"{node.daemon}/{boot}".encode())
    return PlatformBase(
        node,
        clock,
        StoreClient(node.store),
        boot,
        seed,
        random.Random(seed),
        switched_off,
    )
