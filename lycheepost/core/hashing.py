"""Stable 64-bit hashes for prefixes, bodies and rendezvous ordering.

xxHash (XXH3) is used because, unlike Python's ``hash``, it is the same on every machine
and release, and it is far cheaper than a cryptographic hash. Nothing here protects a
secret; customers' keys are hashed in ``operators.keys``.
"""

from collections.abc import Iterable

import xxhash

from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    PrefixDigest,
    PromptPartKey,
)


def hash_bytes(data: bytes, seed: int = 0) -> int:
    """Return the 64-bit hash of ``data``."""
    return int(xxhash.xxh3_64_intdigest(data, seed))


def chain_digest(parent: PrefixDigest, data: bytes) -> PrefixDigest:
    """Return the digest of a prefix that extends ``parent`` by ``data``."""
    return PrefixDigest(hash_bytes(data, parent))


def fingerprint_body(customer: CustomerId, body: bytes) -> BodyFingerprint:
    """Return the fingerprint of one customer's request body."""
    return BodyFingerprint(hash_bytes(body, hash_bytes(customer.encode())))


def prompt_part_key(part: bytes) -> PromptPartKey:
    """Return the key of a prompt part, by its id or its text."""
    return PromptPartKey(hash_bytes(part))


def rendezvous_order(key: int, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the highest to the lowest rendezvous weight.

    Adding or removing a name moves only the keys that are mapped to it, so a target
    that joins or leaves does not affect the caches of others.
    """
    seed = key & 0xFFFFFFFFFFFFFFFF
    return sorted(names, key=lambda name: hash_bytes(name.encode(), seed), reverse=True)
