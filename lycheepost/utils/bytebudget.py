"""A bound on the bytes that a daemon holds for all of its requests together.

A bound for each request alone does not bound the memory: a hundred clients that do not
read would each have a large response kept for them.
"""

from dataclasses import dataclass
from typing import Self


@dataclass(slots=True)
class ByteBudget:
    """Bytes held now, and their bound.

    Attributes:
        held_bytes: Bytes held now.
        peak_bytes: Most bytes held since the start.
        n_denied: How often a request was given no more.
    """

    max_bytes: int
    held_bytes: int = 0
    peak_bytes: int = 0
    n_denied: int = 0

    def open(self) -> "HeldBytes":
        """Return the account of one request, to be used as a context."""
        return HeldBytes(self)

    def status(self) -> dict[str, int]:
        """Return the bytes held and the requests denied, for status pages."""
        return {
            "held_bytes": self.held_bytes,
            "peak_bytes": self.peak_bytes,
            "n_denied": self.n_denied,
        }


@dataclass(slots=True)
class HeldBytes:
    """What one request holds of a budget; released when its context ends."""

    _budget: ByteBudget
    n_bytes: int = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()

    def take(self, n_bytes: int) -> bool:
        """Hold more bytes; False, and nothing is counted, if too many are held."""
        budget = self._budget
        if budget.held_bytes + n_bytes > budget.max_bytes:
            budget.n_denied += 1
            return False
        budget.held_bytes += n_bytes
        budget.peak_bytes = max(budget.peak_bytes, budget.held_bytes)
        self.n_bytes += n_bytes
        return True

    def release(self) -> None:
        """Hold nothing any longer."""
        self._budget.held_bytes -= self.n_bytes
        self.n_bytes = 0
