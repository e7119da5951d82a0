"""Tokens that one daemon's requests hold in the memory of one target.

A prompt part that several of them share is held once. Parts shared with requests of
other daemons are counted by each daemon, which keeps the sum on the safe side.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from lycheepost.core.ids import PrefixDigest, RequestId
from lycheepost.decide.records import PrefixLevel


@dataclass(frozen=True, slots=True)
class _Held:
    levels: tuple[PrefixLevel, ...]
    own_tokens: int


@dataclass(slots=True)
class HeldMemory:
    """What the requests in flight hold.

    Attributes:
        tokens: The sum, with shared parts counted once.
    """

    tokens: int = 0
    _held: dict[RequestId, _Held] = field(default_factory=dict)
    _n_users: dict[PrefixDigest, int] = field(default_factory=dict)

    def added_tokens(self, levels: tuple[PrefixLevel, ...], n_tokens: int) -> int:
        """Return what a request would add, without the parts that are held anyway.

        Args:
            levels: Its prompt, outermost part first.
            n_tokens: All tokens that it will hold.
        """
        if not self._n_users:
            return n_tokens
        shared = sum(
            size for level, size in _sizes(levels) if level.digest in self._n_users
        )
        return max(0, n_tokens - shared)

    def add(
        self, request: RequestId, levels: tuple[PrefixLevel, ...], n_tokens: int
    ) -> None:
        """Count a request; one that is counted already is not counted twice."""
        if request in self._held:
            return
        self.tokens += self.added_tokens(levels, n_tokens)
        end_tokens = levels[-1].end_tokens if levels else 0
        self._held[request] = _Held(levels, max(0, n_tokens - end_tokens))
        for level in levels:
            self._n_users[level.digest] = self._n_users.get(level.digest, 0) + 1

    def remove(self, request: RequestId) -> None:
        """Stop counting a request; unknown ones are ignored."""
        held = self._held.pop(request, None)
        if held is None:
            return
        self.tokens -= held.own_tokens
        for level, size in _sizes(held.levels):
            self._n_users[level.digest] -= 1
            if not self._n_users[level.digest]:
                del self._n_users[level.digest]
                self.tokens -= size

    def clear(self) -> None:
        """Hold nothing: the target has restarted, and its memory is empty."""
        self.tokens = 0
        self._held.clear()
        self._n_users.clear()


def _sizes(levels: tuple[PrefixLevel, ...]) -> Iterator[tuple[PrefixLevel, int]]:
    """Yield each level with the tokens that it adds to the one before."""
    start_tokens = 0
    for level in levels:
        yield level, level.end_tokens - start_tokens
        start_tokens = level.end_tokens
