"""State shared by the components of a daemon on the platform."""

import random
import secrets
from dataclasses import dataclass, field

from lycheepost.callers.clientaccount import ClientAccount
from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.platform.settings import NodeSettings
from lycheepost.platform.store import StoreClient


@dataclass(frozen=True, slots=True)
class PlatformBase:
    """Shared state of one start of a daemon.

    Attributes:
        node: The platform's settings for this process.
        clock: A clock that includes time spent suspended.
        store: The shared client of the platform's store.
        boot: Id that is unique for each start.
        seed: Seed of all random generators of this start.
        rng: A random generator with that seed.
        clients: What is held for clients.
        switched_off: Disabled mechanisms of the decisions.
    """

    node: NodeSettings
    clock: Clock
    store: StoreClient
    boot: str
    seed: int
    rng: random.Random = field(repr=False)
    clients: ClientAccount = field(repr=False)
    switched_off: frozenset[Mechanism] = frozenset()


def make_base(
    node: NodeSettings,
    clock: Clock,
    switched_off: frozenset[Mechanism] = frozenset(),
) -> PlatformBase:
    """Return the shared state of a new start."""
    boot = secrets.token_hex(6)
    seed = hash_bytes(f"{node.daemon}/{boot}".encode())
    return PlatformBase(
        node,
        clock,
        StoreClient(node.store, clock),
        boot,
        seed,
        random.Random(seed),
        ClientAccount(node.client_limits),
        switched_off,
    )
