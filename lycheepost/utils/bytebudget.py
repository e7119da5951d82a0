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
        max_bytes: The bound.
        whole: A budget that this one is a part of; None if it stands alone.
        held_bytes: Bytes held now.
        peak_bytes: Most bytes held since the start.
        n_denied: How often a request was given no more.
    """

    max_bytes: int
    whole: "ByteBudget | None" = None
    held_bytes: int = 0
    peak_bytes: int = 0
    n_denied: int = 0

    def open(self) -> "HeldBytes":
        """Return the account of one request, to be used as a context."""
        return HeldBytes(self)

    def take(self, n_bytes: int) -> bool:
        """Hold more bytes; False, and nothing is counted, if too many are held."""
        is_full = self.held_bytes + n_bytes > self.max_bytes
        if is_full or not (self.whole is None or self.whole.take(n_bytes)):
            self.n_denied += 1
            return False
        self._add(n_bytes)
        return True

    def charge(self, n_bytes: int) -> None:
        """Hold more bytes, however many are held; something else bounds them."""
        self._add(n_bytes)
        if self.whole is not None:
            self.whole.charge(n_bytes)

    def _add(self, n_bytes: int) -> None:
        self.held_bytes += n_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def release(self, n_bytes: int) -> None:
        """Hold fewer bytes."""
        self.held_bytes -= n_bytes
        if self.whole is not None:
            self.whole.release(n_bytes)

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
        if not self._budget.take(n_bytes):
            return False
        self.n_bytes += n_bytes
        return True

    def release(self) -> None:
        """Hold nothing any longer."""
        self._budget.release(self.n_bytes)
        self.n_bytes = 0
