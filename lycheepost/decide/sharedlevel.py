"""The prefix level of a prompt by which its cached copies are placed."""

from collections.abc import Sequence

from lycheepost.core.ids import PrefixDigest
from lycheepost.decide.records import PrefixLevel


def shared_digest(levels: Sequence[PrefixLevel]) -> PrefixDigest | None:
    """Return the deepest level that other prompts may share; None without levels.

    The last level ends with the request's own text, which is rarely repeated. The level
    above it ends with text that several requests have in common, for example a batch
    of documents.
    """
    if not levels:
        return None
    return levels[-2 if len(levels) > 1 else -1].digest
