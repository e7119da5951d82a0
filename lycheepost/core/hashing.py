"""Stable 64-bit hashes for prefixes, bodies and rendezvous ordering.

xxHash (XXH3) is used because it is the same on every machine and release,
unlike Python's ``hash``, and costs far less than a cryptographic hash. Nothing
here protects a secret; keys of customers are hashed in ``operators.keys``.
"""

from collections.abc import Iterable

import xxhash

from lycheepost.core.ids import BodyFingerprint, CustomerId, PrefixDigest


def hash_bytes(data: bytes, seed: int = 0) -> int:
    """Return the 64-bit hash of ``data``."""
    return int(xxhash.xxh3_64_intdigest(data, seed))


def chain_digest(parent: PrefixDigest, data: bytes) -> PrefixDigest:
    """Return the digest of a prefix that extends ``parent`` by ``data``."""
    return PrefixDigest(hash_bytes(data, parent))


def fingerprint_body(customer: CustomerId, body: bytes) -> BodyFingerprint:
    """Return the fingerprint of one customer's request body."""
    return BodyFingerprint(hash_bytes(body, hash_bytes(customer.encode())))


def rendezvous_order(key: int, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the highest to the lowest rendezvous weight.

    Adding or removing one name moves only the keys which that name wins, so
    that a target joining or leaving disturbs no other target's cache.
    """
    seed = key & 0xFFFFFFFFFFFFFFFF
    return sorted(names, key=lambda name: hash_bytes(name.encode(), seed), reverse=True)
