"""Suspects that wait until they may be tried, apart from the queue of other requests.

Only some waiting requests are examined when a slot becomes free. In the queue, suspects
that wait for a trial would keep all requests behind them from free targets.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from lycheepost.core.ids import RequestId
from lycheepost.decide.records import Work

MAX_HELD_SUSPECTS = 200
"""More than a lost target's requests. Further ones are refused at once."""

HELD_TIMEOUT_SHARE = 0.7
"""Share of its first-token timeout after which a suspect is refused."""


@dataclass(frozen=True, slots=True)
class HeldSuspect:
    """One suspect that waits."""

    work: Work
    give_up_seconds: float


class HeldSuspects:
    """The suspects of one target group that wait, in the order of their arrival."""

    def __init__(self) -> None:
        self._held: dict[RequestId, HeldSuspect] = {}

    def __len__(self) -> int:
        return len(self._held)

    def __iter__(self) -> Iterator[HeldSuspect]:
        return iter(list(self._held.values()))

    @property
    def is_full(self) -> bool:
        """Return whether no further suspect may wait."""
        return len(self._held) >= MAX_HELD_SUSPECTS

    def add(self, work: Work) -> None:
        """Let a suspect wait."""
        waits_seconds = HELD_TIMEOUT_SHARE * work.first_token_timeout_seconds
        give_up_seconds = work.arrived_seconds + waits_seconds
        self._held[work.request] = HeldSuspect(work, give_up_seconds)

    def remove(self, request: RequestId) -> bool:
        """Take a suspect out; False if it does not wait."""
        return self._held.pop(request, None) is not None
