"""Fingerprints of the nested levels of a prompt, without a tokenizer.

A level ends at every message boundary and at growing offsets inside a long message, so
that prompts that share only the first part of a long message still share levels.
Digests are chained from the customer, the model and the weights version: equal digests
mean equal prefixes of the same customer under the same weights.
"""

from collections.abc import Iterator, Sequence

from lycheepost.core.hashing import chain_digest, hash_bytes
from lycheepost.core.ids import CustomerId, ModelId, PrefixDigest, WeightsVersion
from lycheepost.decide.records import PrefixLevel

BYTES_PER_TOKEN = 4
"""Average for English text with common byte-pair vocabularies."""

FIRST_SPLIT_BYTES = 4096
"""A shorter message is one level: about 1,000 tokens, 50 ms of prefill at
20,000 tokens a second."""

SPLIT_GROWTH = 2
"""Each further split lies twice as far in: the number of levels grows with the
logarithm of the length, and a text of 100 pages costs only a few digests."""

MAX_LEVELS = 24
"""Bounds the work per request and the length of the header to the engine."""


def estimate_tokens(n_bytes: int) -> int:
    """Return the estimated tokens of ``n_bytes`` of prompt text."""
    return -(-n_bytes // BYTES_PER_TOKEN)


def _split(segment: bytes) -> Iterator[bytes]:
    start = 0
    end = FIRST_SPLIT_BYTES
    while end < len(segment):
        yield segment[start:end]
        start = end
        end *= SPLIT_GROWTH
    yield segment[start:]


def fingerprint_levels(
    customer: CustomerId,
    model: ModelId,
    weights_version: WeightsVersion,
    segments: Sequence[bytes],
) -> tuple[PrefixLevel, ...]:
    """Return the prefix levels of one prompt, outermost first.

    Args:
        customer: The customer that sent the prompt.
        model: The requested model.
        weights_version: The weights that will serve it.
        segments: The messages of the prompt in order, each serialized with its role;
            empty ones are skipped.

    Returns:
        At most ``MAX_LEVELS`` levels with rising ``end_tokens``. When there are more
        boundaries, the last level covers the rest of the prompt.
    """
    root = "\x00".join((customer, model, weights_version)).encode()
    digest = PrefixDigest(hash_bytes(root))
    pieces = [piece for segment in segments if segment for piece in _split(segment)]
    if len(pieces) > MAX_LEVELS:
        pieces[MAX_LEVELS - 1 :] = [b"".join(pieces[MAX_LEVELS - 1 :])]
    n_bytes = 0
    levels = []
    for piece in pieces:
        # The length is part of the chain: otherwise two prompts that differ only in
        # the boundary between two messages would have the same digest.
        digest = chain_digest(digest, len(piece).to_bytes(8, "little") + piece)
        n_bytes += len(piece)
        levels.append(PrefixLevel(digest, estimate_tokens(n_bytes)))
    return tuple(levels)
