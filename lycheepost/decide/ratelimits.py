"""Which targets limit their requests, as far as this daemon has heard.

The load: a target in need names in its answers how many requests a second it takes
from all daemons together, until an answer names none. Answers overtake each other and
daemons hear at different moments, so each word counts by when the target said it.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

from lycheepost.core.ids import TargetId

TELL_END_SECONDS = 5.0
"""How long peers are told that a limit has ended. One that misses it hears it with its
own next answer."""


@dataclass(frozen=True, slots=True)
class SaidLimit:
    """What a target said of its limit.

    Attributes:
        per_second: Requests a second from all daemons; None once it names no limit.
        said_seconds: When it said so, on the clock of this daemon.
        is_own: It said so to this daemon.
    """

    per_second: float | None
    said_seconds: float
    is_own: bool = True


def _is_old_end(said: SaidLimit, now_seconds: float) -> bool:
    is_ended = said.per_second is None
    return is_ended and now_seconds - said.said_seconds > TELL_END_SECONDS


class TargetLimits:
    """The last word of each target that has named a limit."""

    def __init__(self) -> None:
        self._said: dict[TargetId, SaidLimit] = {}

    def in_force(self) -> dict[TargetId, float]:
        """Return the limits of all targets that name one, in requests a second."""
        return {
            target: said.per_second
            for target, said in self._said.items()
            if said.per_second is not None
        }

    def of(self, target: TargetId) -> float | None:
        """Return the limit of a target in requests a second; None for no limit."""
        said = self._said.get(target)
        return None if said is None else said.per_second

    def note_answer(
        self,
        target: TargetId,
        per_second: float | None,
        sent_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Take what an answer to this daemon says.

        An answer that names no limit ends one only if its request was sent after the
        limit was heard: an earlier one may have been answered before that.

        Args:
            target: Who answered.
            per_second: The limit; None where the answer names none.
            sent_seconds: When its request was sent.
            now_seconds: The present time.

        Returns:
            Whether the limit has changed.
        """
        before = self._said.get(target)
        if per_second is None and (
            before is None
            or before.per_second is None
            or sent_seconds < before.said_seconds
        ):
            return False
        self._said[target] = SaidLimit(per_second, now_seconds)
        return before is None or before.per_second != per_second

    def note_told(self, target: TargetId, said: SaidLimit) -> bool:
        """Take what a peer heard; return whether the limit has changed."""
        before = self._said.get(target)
        if before is None and said.per_second is None:
            return False
        if before is not None and said.said_seconds <= before.said_seconds:
            return False
        self._said[target] = replace(said, is_own=False)
        return before is None or before.per_second != said.per_second

    def own(self, now_seconds: float) -> dict[TargetId, SaidLimit]:
        """Return what targets said to this daemon, for the peers.

        What a peer told isn't told on, and the end of a limit only for a while.
        """
        return {
            target: said
            for target, said in self._said.items()
            if said.is_own and not _is_old_end(said, now_seconds)
        }

    def keep(self, targets: Collection[TargetId]) -> None:
        """Forget targets that are not among these."""
        for target in self._said.keys() - set(targets):
            del self._said[target]
