"""Signals from several sources about a target's state; the worst one counts.

The VM list lags, a health answer is a second old, a refused connection is seen
by one daemon only. New work follows the worst signal that is still valid: sending
to a target that leaves costs its callers a lost request, while avoiding a
healthy one for some seconds costs a little capacity.

Pure logic: every function takes ``now_seconds``.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import TargetDesiredState


class SignalSource(Enum):
    """Source of a signal; the newest signal of each source counts."""

    VM_LIST = "vm_list"
    HEALTH = "health"
    CONNECTION = "connection"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class TargetSignal:
    """One source's report on the state of a target.

    Attributes:
        valid_seconds: How long the signal counts without being renewed.
    """

    source: SignalSource
    state: TargetState
    valid_seconds: float = 60.0


def health_signal(state: TargetState) -> TargetSignal:
    """Return the signal of a health response."""
    return TargetSignal(SignalSource.HEALTH, state, _HEALTH_VALID_SECONDS)


def refused_signal() -> TargetSignal:
    """Return the signal of a connection that was refused or broke at once."""
    return TargetSignal(
        SignalSource.CONNECTION, TargetState.GONE, _REFUSED_VALID_SECONDS
    )


def connected_signal() -> TargetSignal:
    """Return the signal of a successful connection; it clears a refusal."""
    return TargetSignal(
        SignalSource.CONNECTION, TargetState.SERVING, _REFUSED_VALID_SECONDS
    )


_HEALTH_VALID_SECONDS = 30.0
"""Validity of a health response that is not renewed."""
_REFUSED_VALID_SECONDS = 5.0
"""After this time the target is tried again even without another signal: a refusal seen
by one daemon may be caused by that daemon's own fault."""
LISTED_VALID_SECONDS = 3600.0
"""A VM that was announced as leaving stays so until the list says otherwise."""

_SEVERITY = {
    TargetState.SERVING: 0,
    TargetState.WARMING: 1,
    TargetState.LEAVING: 2,
    TargetState.GONE: 3,
}


@dataclass(frozen=True, slots=True)
class _StampedSignal:
    signal: TargetSignal
    observed_seconds: float


class SignalBook:
    """The newest bad signal of each source for each target.

    A signal is bad if its state is not ``SERVING``. A ``SERVING`` signal removes the
    bad signal of the same source and is not stored: with 12,000 targets, only the few
    with a bad signal may cost time in each pass.
    """

    def __init__(self) -> None:
        self._signals: dict[TargetId, dict[SignalSource, _StampedSignal]] = {}

    def observe(
        self, target: TargetId, signal: TargetSignal, now_seconds: float
    ) -> None:
        """Record a signal; it replaces the older one of its source."""
        if signal.state is not TargetState.SERVING:
            self._signals.setdefault(target, {})[signal.source] = _StampedSignal(
                signal, now_seconds
            )
            return
        found = self._signals.get(target)
        if found is not None:
            found.pop(signal.source, None)
            if signal.source is SignalSource.CONNECTION:
                self._drop_peer_refusal(found)
            if not found:
                del self._signals[target]

    @staticmethod
    def _drop_peer_refusal(found: dict[SignalSource, _StampedSignal]) -> None:
        """Drop a peer's older report that the target refuses connections.

        Otherwise a target that restarted within a second would be avoided for as long
        as the peer's signal is valid, although it accepts connections here.
        """
        peer_signal = found.get(SignalSource.PEER)
        if peer_signal is not None and peer_signal.signal.state is TargetState.GONE:
            del found[SignalSource.PEER]

    def with_bad_signals(self) -> tuple[TargetId, ...]:
        """Return the targets with a bad signal, valid or expired."""
        return tuple(self._signals)

    def state(
        self, target: TargetId, desired: TargetDesiredState, now_seconds: float
    ) -> TargetState:
        """Return the worst of the desired state and the valid signals."""
        signals = self._signals.get(target, {}).values()
        valid = [
            found.signal.state
            for found in signals
            if now_seconds - found.observed_seconds <= found.signal.valid_seconds
        ]
        return _worst([state_of_desired(desired), *valid])


def _worst(states: Iterable[TargetState]) -> TargetState:
    return max(states, key=_SEVERITY.__getitem__)


def state_of_desired(desired: TargetDesiredState) -> TargetState:
    """Return a desired state as a state for new work."""
    if desired is TargetDesiredState.SERVING:
        return TargetState.SERVING
    return TargetState.LEAVING
