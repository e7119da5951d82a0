"""The state of every configured target, and which signals are sent to peers.

Pure logic: every method takes ``now_seconds``.
"""

from collections.abc import Callable

from lycheepost.core.ids import TargetId
from lycheepost.decide.ownpaths import RefusedConnections
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import Target
from lycheepost.state.signals import (
    SignalBook,
    SignalSource,
    TargetSignal,
    state_of_desired,
)

_REPEAT_SIGNAL_SECONDS = 60.0
"""A dead target refuses a connection every few seconds; peers are notified at most once
per this time."""

OnTargetSignal = Callable[[TargetId, TargetSignal], None]


class TargetStates:
    """Combines the signals of targets with the states that operators want."""

    def __init__(self) -> None:
        self._signals = SignalBook()
        self._refused = RefusedConnections()
        # The targets from which ``_desired`` was computed.
        self._desired_source: dict[TargetId, Target] = {}
        self._desired: dict[TargetId, TargetState] = {}
        self._notified_seconds: dict[tuple[TargetId, TargetState], float] = {}
        self._on_signal: list[OnTargetSignal] = []

    def on_signal(self, callback: OnTargetSignal) -> None:
        """Call ``callback`` with each signal to send to peers."""
        self._on_signal.append(callback)

    def states(
        self, targets: dict[TargetId, Target], now_seconds: float
    ) -> dict[TargetId, TargetState]:
        """Return the state of each of ``targets`` for new work.

        The desired states are computed once per configuration: this method is called
        several times a second, and few of 12,000 targets have a bad signal.
        """
        if targets is not self._desired_source:
            self._desired_source = targets
            self._desired = {
                name: state_of_desired(target.desired_state)
                for name, target in targets.items()
            }
        states = self._desired.copy()
        for name in self._signals.with_bad_signals():
            if name in states:
                desired = targets[name].desired_state
                states[name] = self._signals.state(name, desired, now_seconds)
        return states

    def observe(
        self,
        target: TargetId,
        configured: Target | None,
        signal: TargetSignal,
        now_seconds: float,
    ) -> None:
        """Record a signal, and notify subscribers if it makes the target's state worse.

        Signals from ``PEER`` are not forwarded, so that none can circulate. Nor are
        refusals that are likely due to this daemon's own paths: its peers would avoid
        targets that they reach.
        """
        if signal.source is SignalSource.CONNECTION:
            self._refused.note(target, signal.state is TargetState.SERVING)
        before = self.state(target, configured, now_seconds)
        self._signals.observe(target, signal, now_seconds)
        after = self.state(target, configured, now_seconds)
        is_worse = after is not before and signal.state is not TargetState.SERVING
        is_own = signal.source is SignalSource.CONNECTION and self._refused.are_own
        if is_worse and signal.source is not SignalSource.PEER and not is_own:
            self._notify(target, signal, now_seconds)

    def note_unanswered(self, target: TargetId) -> None:
        """Record a target that accepted a connection and gave no response.

        It may only be slow, so its state does not change.
        """
        self._refused.note(target, is_answered=False)

    @property
    def are_paths_lost(self) -> bool:
        """Return whether this daemon itself likely reaches no target."""
        return self._refused.are_own

    def state(
        self, target: TargetId, configured: Target | None, now_seconds: float
    ) -> TargetState | None:
        """Return the state of one target; None if it is not configured."""
        if configured is None:
            return None
        return self._signals.state(target, configured.desired_state, now_seconds)

    def _notify(
        self, target: TargetId, signal: TargetSignal, now_seconds: float
    ) -> None:
        notified_seconds = self._notified_seconds.get(
            (target, signal.state), float("-inf")
        )
        if now_seconds - notified_seconds < _REPEAT_SIGNAL_SECONDS:
            return
        self._notified_seconds[target, signal.state] = now_seconds
        for callback in self._on_signal:
            callback(target, signal)
