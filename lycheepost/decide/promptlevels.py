"""Prefix levels of prompts that callers describe in parts, and their cache scope.

An engine caches each part under the scope that it was sent with. The scope names the
weights, because KV cache computed with other weights gives wrong output. For an
isolated customer it names the customer, because even response times must not reveal
what other customers have sent; for the others it names the set of those that share, so
that nothing is left that a customer made before it became isolated. It names the
version of the engine's software as well: a KV store passes parts on between engines,
and what two versions write does not fit together. An engine's own parts are of its own
version, so its digests leave that out.
"""

from dataclasses import dataclass, replace
from urllib.parse import quote, unquote

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import (
    CustomerId,
    ModelId,
    PrefixDigest,
    SoftwareVersion,
    WeightsVersion,
)
from lycheepost.core.routing import KeyHolder, Prompt
from lycheepost.decide.records import PrefixLevel

_SEPARATOR = ":"


@dataclass(frozen=True, slots=True)
class CacheScope:
    """Scope within which cached parts are shared.

    Attributes:
        owner: The quoted name of an isolated customer; else names the set of customers
            that share parts.
        software_version: Version of the engines that share the parts; empty within
            one engine.
    """

    weights_version: WeightsVersion
    owner: CustomerId
    software_version: SoftwareVersion = SoftwareVersion("")

    def __str__(self) -> str:
        software = quote(self.software_version, safe="")
        return _SEPARATOR.join((self.weights_version, software, self.owner))

    @property
    def within_engine(self) -> "CacheScope":
        """Return the scope without the version of the software."""
        return replace(self, software_version=SoftwareVersion(""))


def make_scope(holder: KeyHolder, weights_version: WeightsVersion) -> CacheScope:
    """Return the scope of a customer's requests under a weights version."""
    if holder.is_isolated:
        return CacheScope(weights_version, CustomerId(quote(holder.customer, safe="")))
    # No quoted name holds a slash.
    owner = f"/{holder.sharing}" if holder.sharing else ""
    return CacheScope(weights_version, CustomerId(owner))


def split_scope(text: str) -> CacheScope:
    """Return the scope that was sent as ``text``."""
    version, _, rest = text.partition(_SEPARATOR)
    software, _, owner = rest.partition(_SEPARATOR)
    return CacheScope(
        WeightsVersion(version), CustomerId(owner), SoftwareVersion(unquote(software))
    )


def part_digest(scope: CacheScope, model: ModelId, part_id: str) -> PrefixDigest:
    """Return the digest of one part of a prompt.

    It is the same for all prompts with the part: an engine's events name parts, not
    prompts.
    """
    return PrefixDigest(hash_bytes(f"{scope}\x00{model}\x00{part_id}".encode()))


def prompt_levels(scope: CacheScope, prompt: Prompt) -> tuple[PrefixLevel, ...]:
    """Return the prefix levels of a prompt, outermost first."""
    n_tokens = 0
    levels = []
    for part in prompt.parts:
        n_tokens += part.n_tokens
        digest = part_digest(scope, prompt.model, part.part_id)
        levels.append(PrefixLevel(digest, n_tokens))
    return tuple(levels)
