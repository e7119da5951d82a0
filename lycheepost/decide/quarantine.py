"""Quarantine of requests that crash targets.

A request may crash each target that runs it while its caller sends it again, so that
targets are lost one after another. A fingerprint that was running on a lost target
becomes a suspect. A suspect runs on a target without other suspects, so that a second
loss identifies it and not the unrelated requests that were lost with it the first time.
A quarantined fingerprint is refused by all daemons for a while.
"""

from dataclasses import dataclass

from lycheepost.core.ids import BodyFingerprint, TargetId

MAX_SUSPECTS = 10_000
"""Bounds memory when whole availability zones fail; the oldest entries are dropped."""


RECENT_LOSS_SECONDS = 3.0
"""Requests that were lost within this time of each other are retried at about the same
time."""

MAX_RECENT_LOSSES = 64
"""Limit of recent losses that are ranked to assign suspects to targets: about as many
requests as one target runs. If more are lost, only the newest are ranked."""

PEER_SUSPECT_SECONDS = 2.0
"""How long this daemon's suspects avoid a target to which a peer sent a suspect. A
request that crashes its target has mostly done so by then."""


@dataclass(frozen=True, slots=True)
class LossReport:
    """Report to peers that a fingerprint was running on a lost target.

    Attributes:
        started_seconds: When the lost run was sent.
        lost_seconds: When the loss was detected.
    """

    fingerprint: BodyFingerprint
    started_seconds: float
    lost_seconds: float
    until_seconds: float
    is_quarantined: bool


@dataclass(frozen=True, slots=True)
class _Suspect:
    n_losses: int
    lost_seconds: float
    until_seconds: float


class Quarantine:
    """Losses counted per fingerprint.

    Args:
        losses: Number of losses after which a fingerprint is quarantined.
        keep_seconds: Lifetime of a recorded loss and of a quarantine.
    """

    def __init__(self, losses: int, keep_seconds: float) -> None:
        self._losses = losses
        self._keep_seconds = keep_seconds
        self._counts: dict[BodyFingerprint, _Suspect] = {}
        self._until: dict[BodyFingerprint, float] = {}
        self._lost_seconds: dict[BodyFingerprint, float] = {}
        """Recent losses, oldest first, including suspects cleared since."""

    def add(self, fingerprint: BodyFingerprint, until_seconds: float) -> None:
        """Quarantine a fingerprint, as decided here or reported by a peer."""
        self._until[fingerprint] = max(
            until_seconds, self._until.get(fingerprint, until_seconds)
        )

    def remaining_seconds(
        self, fingerprint: BodyFingerprint, now_seconds: float
    ) -> float:
        """Return how long the fingerprint stays quarantined; 0 if it is not."""
        until_seconds = self._until.get(fingerprint)
        if until_seconds is None:
            return 0.0
        if until_seconds <= now_seconds:
            del self._until[fingerprint]
            return 0.0
        return until_seconds - now_seconds

    def is_suspect(self, fingerprint: BodyFingerprint, now_seconds: float) -> bool:
        """Return whether it was running on a recently lost target."""
        entry = self._counts.get(fingerprint)
        if entry is None:
            return False
        if entry.until_seconds <= now_seconds:
            del self._counts[fingerprint]
            return False
        return True

    def note_loss(
        self,
        fingerprint: BodyFingerprint,
        started_seconds: float,
        lost_seconds: float,
    ) -> LossReport | None:
        """Count a loss that was detected here or reported by a peer.

        A run that was sent before the last counted loss does not count: many callers
        may send the same body, and several targets are lost together when a rack fails.
        Counting each of those runs would quarantine the most popular requests.

        Args:
            fingerprint: The fingerprint that was running.
            started_seconds: When this run of it was sent.
            lost_seconds: When the loss of its target was detected.

        Returns:
            The loss to report to the peers; None if it does not count.
        """
        count = 1
        if self.is_suspect(fingerprint, lost_seconds):
            suspect = self._counts[fingerprint]
            if started_seconds <= suspect.lost_seconds:
                return None
            count += suspect.n_losses
        until_seconds = lost_seconds + self._keep_seconds
        self._counts[fingerprint] = _Suspect(count, lost_seconds, until_seconds)
        self._note_lost(fingerprint, lost_seconds)
        while len(self._counts) > MAX_SUSPECTS:
            del self._counts[next(iter(self._counts))]
        is_quarantined = count >= self._losses
        if is_quarantined:
            self.add(fingerprint, until_seconds)
        return LossReport(
            fingerprint, started_seconds, lost_seconds, until_seconds, is_quarantined
        )

    def _note_lost(self, fingerprint: BodyFingerprint, lost_seconds: float) -> None:
        self._lost_seconds.pop(fingerprint, None)
        self._lost_seconds[fingerprint] = lost_seconds
        while len(self._lost_seconds) > MAX_RECENT_LOSSES:
            del self._lost_seconds[next(iter(self._lost_seconds))]

    def rank_of(self, fingerprint: BodyFingerprint, now_seconds: float) -> int | None:
        """Return the rank of a suspect among the recent losses.

        Daemons that know the same losses compute the same ranks, regardless of which
        suspects they retry.

        Returns:
            Its rank, from 0; None if no other fingerprint was lost recently.
        """
        oldest_seconds = now_seconds - RECENT_LOSS_SECONDS
        recent = sorted(
            name
            for name, at_seconds in self._lost_seconds.items()
            if at_seconds >= oldest_seconds
        )
        if len(recent) < 2 or fingerprint not in recent:
            return None
        return recent.index(fingerprint)

    def clear(self, fingerprint: BodyFingerprint) -> None:
        """Clear a suspect that ran to completion."""
        if self._counts:
            self._counts.pop(fingerprint, None)


class PeerSuspects:
    """Targets on which other daemons currently run suspects.

    Without it two daemons may send a request that crashes targets and an unrelated
    suspect to the same target, whose loss would quarantine both.
    """

    def __init__(self) -> None:
        self._until: dict[TargetId, float] = {}

    def note(self, target: TargetId, now_seconds: float) -> None:
        """Avoid a target for this daemon's own suspects for a while."""
        self._until[target] = now_seconds + PEER_SUSPECT_SECONDS

    def targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets to avoid now."""
        for target, until_seconds in list(self._until.items()):
            if until_seconds <= now_seconds:
                del self._until[target]
        return frozenset(self._until)
