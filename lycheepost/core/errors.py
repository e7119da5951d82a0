"""The base class of all typed errors.

Each layer defines its own subclasses and converts the errors of the layer below into
them at its boundary. Errors are returned in ``returns.result.Failure`` if the caller
must handle them, and raised only if a task cannot continue.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class LycheepostError(Exception):
    """An error with a human-readable reason.

    Attributes:
        reason: One short sentence, never with prompt text or a key.
    """

    reason: str

    def __str__(self) -> str:
        return self.reason
