"""The state of every configured target, and which signs peers should hear of.

Pure logic: every method takes ``now_seconds``.
"""

from collections.abc import Callable

from lycheepost.core.ids import TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import Target
from lycheepost.state.signs import (
    SignBook,
    SignSource,
    TargetSign,
    state_of_desired,
)

_TARGET_NEWS_SECONDS = 60.0
"""A target that stays dead is refused every few seconds; peers hear of it once."""

OnTargetSign = Callable[[TargetId, TargetSign], None]


class TargetStates:
    """Signs of targets, read together with what operators want."""

    def __init__(self) -> None:
        self._signs = SignBook()
        self._wanted_of: dict[TargetId, Target] = {}
        self._wanted: dict[TargetId, TargetState] = {}
        self._told_seconds: dict[tuple[TargetId, TargetState], float] = {}
        self._on_sign: list[OnTargetSign] = []

    def on_sign(self, callback: OnTargetSign) -> None:
        """Call ``callback`` with signs that peers should hear of."""
        self._on_sign.append(callback)

    def states(
        self, targets: dict[TargetId, Target], now_seconds: float
    ) -> dict[TargetId, TargetState]:
        """Return the state of each of ``targets`` for new work.

        What operators want is worked out once for a configuration: callers ask
        several times a second, and of 12,000 targets few have a bad sign.
        """
        if targets is not self._wanted_of:
            self._wanted_of = targets
            self._wanted = {
                name: state_of_desired(target.desired_state)
                for name, target in targets.items()
            }
        states = self._wanted.copy()
        for name in self._signs.in_trouble():
            if name in states:
                desired = targets[name].desired_state
                states[name] = self._signs.state(name, desired, now_seconds)
        return states

    def observe(
        self,
        target: TargetId,
        configured: Target | None,
        sign: TargetSign,
        now_seconds: float,
    ) -> None:
        """Take note of a sign, and tell of it when it makes the target worse.

        Signs of ``PEER`` are not passed on again, so that none can go round.
        """
        before = self.state(target, configured, now_seconds)
        self._signs.observe(target, sign, now_seconds)
        after = self.state(target, configured, now_seconds)
        is_worse = after is not before and sign.state is not TargetState.SERVING
        if is_worse and sign.source is not SignSource.PEER:
            self._tell(target, sign, now_seconds)

    def state(
        self, target: TargetId, configured: Target | None, now_seconds: float
    ) -> TargetState | None:
        """Return the state of one target; None when it is not configured."""
        if configured is None:
            return None
        return self._signs.state(target, configured.desired_state, now_seconds)

    def _tell(self, target: TargetId, sign: TargetSign, now_seconds: float) -> None:
        told_seconds = self._told_seconds.get((target, sign.state), float("-inf"))
        if now_seconds - told_seconds < _TARGET_NEWS_SECONDS:
            return
        self._told_seconds[target, sign.state] = now_seconds
        for callback in self._on_sign:
            callback(target, sign)
