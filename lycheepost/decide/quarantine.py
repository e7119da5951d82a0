"""Requests that kill targets.

The failure: one request crashes each target that runs it, and its caller sends
it again. It shows as targets lost one after another while the same fingerprint
ran on them. A fingerprint that was running on a lost target becomes a suspect;
a suspect runs on a target without other suspects, so that the second loss
convicts it and not the innocent requests that died beside it the first time. A
convicted fingerprint is refused everywhere for a while.
"""

from dataclasses import dataclass

from lycheepost.core.ids import BodyFingerprint, TargetId

MAX_SUSPECTS = 10_000
"""Bounds memory when whole availability zones fail: the oldest are dropped."""


RECENT_LOSS_SECONDS = 3.0
"""Fingerprints whose losses are no older are tried again at about the same time."""

MAX_RECENT_LOSSES = 64
"""Fingerprints that are put in order: what one target runs. Where more are lost, the
newest are."""

PEER_SUSPECT_SECONDS = 2.0
"""A target to which a peer sent a suspect is avoided by ours for this long: a
request that kills its target has mostly done so by then."""


@dataclass(frozen=True, slots=True)
class LossReport:
    """A fingerprint was running on a target that was lost; for peers.

    Attributes:
        started_seconds: When the run that was lost was sent.
        lost_seconds: When its loss was seen.
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
        losses: Losses that quarantine a fingerprint.
        keep_seconds: How long a loss and a quarantine are remembered.
    """

    def __init__(self, losses: int, keep_seconds: float) -> None:
        self._losses = losses
        self._keep_seconds = keep_seconds
        self._counts: dict[BodyFingerprint, _Suspect] = {}
        self._until: dict[BodyFingerprint, float] = {}
        self._lost_seconds: dict[BodyFingerprint, float] = {}
        """Last losses, in their order; one that was acquitted meanwhile stays."""

    def add(self, fingerprint: BodyFingerprint, until_seconds: float) -> None:
        """Quarantine a fingerprint, as decided here or told by a peer."""
        self._until[fingerprint] = max(
            until_seconds, self._until.get(fingerprint, until_seconds)
        )

    def remaining_seconds(
        self, fingerprint: BodyFingerprint, now_seconds: float
    ) -> float:
        """Return how long the fingerprint stays refused; 0 when it is free."""
        until_seconds = self._until.get(fingerprint)
        if until_seconds is None:
            return 0.0
        if until_seconds <= now_seconds:
            del self._until[fingerprint]
            return 0.0
        return until_seconds - now_seconds

    def is_suspect(self, fingerprint: BodyFingerprint, now_seconds: float) -> bool:
        """Tell whether it was running on a target that was lost lately."""
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
        """Count a loss, seen here or told by a peer.

        A run that was sent before the last counted loss tells nothing new: many
        callers may send the same body, and a rack that fails takes several
        targets at once. Counting each of those runs would quarantine whatever
        is most popular.

        Args:
            fingerprint: What was running.
            started_seconds: When this run of it was sent.
            lost_seconds: When its target was found lost.

        Returns:
            The loss to tell the peers of; None when it does not count.
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
        """Return the place of a suspect among those that were lost lately.

        Daemons that have heard of the same losses give the same places, whoever of the
        suspects they try.

        Returns:
            Its place, from 0 on; None where no other was lost lately.
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
        """Acquit a suspect that ran to its end."""
        if self._counts:
            self._counts.pop(fingerprint, None)


class PeerSuspects:
    """Targets on which other daemons try suspects just now.

    Without it two daemons may send a killer and an innocent suspect to the same
    target, which then convicts both.
    """

    def __init__(self) -> None:
        self._until: dict[TargetId, float] = {}

    def note(self, target: TargetId, now_seconds: float) -> None:
        """Avoid a target for suspects of our own for a while."""
        self._until[target] = now_seconds + PEER_SUSPECT_SECONDS

    def targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets to avoid now."""
        for target, until_seconds in list(self._until.items()):
            if until_seconds <= now_seconds:
                del self._until[target]
        return frozenset(self._until)
