"""What several sources say of a target, and the most pessimistic reading of it.

The VM list lags, a health answer is a second old, a refused connection is seen
by one daemon only. New work follows the worst sign that is still valid: sending
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


class SignSource(Enum):
    """Who says it; the newest sign of each source counts."""

    VM_LIST = "vm_list"
    HEALTH = "health"
    CONNECTION = "connection"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class TargetSign:
    """One source's word on one target.

    Attributes:
        valid_seconds: How long it counts without being renewed.
    """

    source: SignSource
    state: TargetState
    valid_seconds: float = 60.0


def health_sign(state: TargetState) -> TargetSign:
    """Return the sign of a health answer."""
    return TargetSign(SignSource.HEALTH, state, _HEALTH_VALID_SECONDS)


def refused_sign() -> TargetSign:
    """Return the sign of a connection that was refused or broke at once."""
    return TargetSign(SignSource.CONNECTION, TargetState.GONE, _REFUSED_VALID_SECONDS)


def connected_sign() -> TargetSign:
    """Return the sign of a connection that was made; it clears a refusal."""
    return TargetSign(
        SignSource.CONNECTION, TargetState.SERVING, _REFUSED_VALID_SECONDS
    )


_HEALTH_VALID_SECONDS = 30.0
"""A health answer that nobody renews says nothing for long."""
_REFUSED_VALID_SECONDS = 5.0
"""After this the target is tried again even if nothing else was heard: a refusal
seen by one daemon may be that daemon's own trouble."""
LISTED_VALID_SECONDS = 3600.0
"""A VM that was announced as leaving stays so until the list says otherwise."""

_BADNESS = {
    TargetState.SERVING: 0,
    TargetState.WARMING: 1,
    TargetState.LEAVING: 2,
    TargetState.GONE: 3,
}


@dataclass(frozen=True, slots=True)
class _Heard:
    sign: TargetSign
    heard_seconds: float


class SignBook:
    """The newest bad sign of each source for each target.

    A sign that a target serves clears the bad one of its source and is not kept:
    at 12,000 targets only the few in trouble may cost anything at each look.
    """

    def __init__(self) -> None:
        self._heard: dict[TargetId, dict[SignSource, _Heard]] = {}

    def observe(self, target: TargetId, sign: TargetSign, now_seconds: float) -> None:
        """Take note of a sign; it replaces the older one of its source."""
        if sign.state is not TargetState.SERVING:
            self._heard.setdefault(target, {})[sign.source] = _Heard(sign, now_seconds)
            return
        heard = self._heard.get(target)
        if heard is not None:
            heard.pop(sign.source, None)
            if sign.source is SignSource.CONNECTION:
                self._drop_peer_refusal(heard)
            if not heard:
                del self._heard[target]

    @staticmethod
    def _drop_peer_refusal(heard: dict[SignSource, _Heard]) -> None:
        """Forget a peer's older word that the target takes no connection.

        Without it a target that restarted within a second would stay avoided
        for as long as the peer's sign counts, although it answers us.
        """
        told = heard.get(SignSource.PEER)
        if told is not None and told.sign.state is TargetState.GONE:
            del heard[SignSource.PEER]

    def in_trouble(self) -> tuple[TargetId, ...]:
        """Return the targets with a bad sign, valid or not."""
        return tuple(self._heard)

    def state(
        self, target: TargetId, desired: TargetDesiredState, now_seconds: float
    ) -> TargetState:
        """Return the worst of what operators want and the valid signs say."""
        signs = self._heard.get(target, {}).values()
        valid = [
            heard.sign.state
            for heard in signs
            if now_seconds - heard.heard_seconds <= heard.sign.valid_seconds
        ]
        return _worst([state_of_desired(desired), *valid])


def _worst(states: Iterable[TargetState]) -> TargetState:
    return max(states, key=_BADNESS.__getitem__)


def state_of_desired(desired: TargetDesiredState) -> TargetState:
    """Return the state that operators want, as new work sees it."""
    if desired is TargetDesiredState.SERVING:
        return TargetState.SERVING
    return TargetState.LEAVING
