"""The base of all typed errors.

Each layer defines its own subclasses and turns the errors of the layer below
into them at its edge. Errors are returned in ``returns.result.Failure`` where a
caller must decide, and raised only where a task cannot go on.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class LycheepostError(Exception):
    """An error with a sentence for a person.

    Attributes:
        reason: One short sentence; it never holds prompt text or a key.
    """

    reason: str

    def __str__(self) -> str:
        return self.reason
