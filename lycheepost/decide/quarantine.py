"""Quarantine of requests that crash targets.

A request may crash each target that runs it while its caller sends it again, so that
targets are lost one after another. A fingerprint that was running on a lost target
becomes a suspect. A suspect runs on a target without other suspects, so that a second
loss identifies it and not the unrelated requests that were lost with it the first time.
A quarantined fingerprint is refused by all daemons for a while. A loss that a part of
another request explains (``decide.partlosses``) does not count.
"""

from dataclasses import dataclass

from lycheepost.core.ids import BodyFingerprint, DaemonId, StartKey, TargetId

MAX_SUSPECTS = 10_000
"""Bounds memory when whole availability zones fail; the oldest entries are dropped."""


RECENT_LOSS_SECONDS = 3.0
"""Requests that were lost within this time of each other are retried at about the same
time."""

MAX_RECENT_LOSSES = 64
"""Limit of recent losses that are ranked to assign suspects to targets: about as many
requests as one target runs. If more are lost, only the newest are ranked."""

PEER_SUSPECT_SECONDS = 2.0
"""How long suspects avoid a target to which a peer sent one, unless the peer says
sooner that the target has written. A request that crashes its target has mostly done
so by then."""


@dataclass(frozen=True, slots=True)
class LossReport:
    """Report to peers that a fingerprint was running on a lost target.

    Attributes:
        started_seconds: When the lost run was sent.
        lost_seconds: When the loss was detected.
        starts: The starts of the targets whose losses count.
    """

    fingerprint: BodyFingerprint
    started_seconds: float
    lost_seconds: float
    until_seconds: float
    is_quarantined: bool
    starts: tuple[StartKey, ...] = ()


@dataclass(frozen=True, slots=True)
class _Suspect:
    starts: tuple[StartKey, ...]
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
        self._causes: dict[BodyFingerprint, tuple[StartKey, ...]] = {}
        """The losses for which a fingerprint is quarantined, where known."""
        self._explained: frozenset[StartKey] = frozenset()
        self._lost_seconds: dict[BodyFingerprint, float] = {}
        """Recent losses, oldest first, including suspects cleared since."""

    def add(
        self,
        fingerprint: BodyFingerprint,
        until_seconds: float,
        starts: tuple[StartKey, ...] = (),
    ) -> None:
        """Quarantine a fingerprint, as decided here or reported by a peer.

        Args:
            fingerprint: The fingerprint.
            until_seconds: When the quarantine ends.
            starts: The losses that led to it; empty if unknown.
        """
        if starts and self._count(starts) < self._losses:
            return
        self._causes[fingerprint] = starts
        self._until[fingerprint] = max(
            until_seconds, self._until.get(fingerprint, until_seconds)
        )

    def _count(self, starts: tuple[StartKey, ...]) -> int:
        """Return how many of the losses have no other explanation."""
        return sum(item not in self._explained for item in starts)

    def explain(self, starts: frozenset[StartKey]) -> None:
        """Drop what the losses of these targets say, as their cause is known."""
        if starts == self._explained:
            return
        self._explained = starts
        for fingerprint, suspect in list(self._counts.items()):
            if not self._count(suspect.starts):
                del self._counts[fingerprint]
        for fingerprint, causes in list(self._causes.items()):
            if causes and self._count(causes) < self._losses:
                self._release(fingerprint)

    def _release(self, fingerprint: BodyFingerprint) -> None:
        self._causes.pop(fingerprint, None)
        self._until.pop(fingerprint, None)

    def remaining_seconds(
        self, fingerprint: BodyFingerprint, now_seconds: float
    ) -> float:
        """Return how long the fingerprint stays quarantined; 0 if it is not."""
        until_seconds = self._until.get(fingerprint)
        if until_seconds is None:
            return 0.0
        if until_seconds <= now_seconds:
            self._release(fingerprint)
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
        start: StartKey,
    ) -> LossReport | None:
        """Count a loss that was detected here or reported by a peer.

        A run that was sent before the last counted loss does not count: many callers
        may send the same body, and several targets are lost together when a rack fails.
        Counting each of those runs would quarantine the most popular requests.

        Args:
            fingerprint: The fingerprint that was running.
            started_seconds: When this run of it was sent.
            lost_seconds: When the loss of its target was detected.
            start: The start of the target.

        Returns:
            The loss to report to the peers; None if it does not count.
        """
        if start in self._explained:
            return None
        lost: tuple[StartKey, ...] = (start,)
        if self.is_suspect(fingerprint, lost_seconds):
            suspect = self._counts[fingerprint]
            if started_seconds <= suspect.lost_seconds:
                return None
            lost = (*suspect.starts, start)
        until_seconds = lost_seconds + self._keep_seconds
        self._counts[fingerprint] = _Suspect(lost, lost_seconds, until_seconds)
        self._note_lost(fingerprint, lost_seconds)
        while len(self._counts) > MAX_SUSPECTS:
            del self._counts[next(iter(self._counts))]
        is_quarantined = self._count(lost) >= self._losses
        if is_quarantined:
            self.add(fingerprint, until_seconds, lost)
        return LossReport(
            fingerprint,
            started_seconds,
            lost_seconds,
            until_seconds,
            is_quarantined,
            lost,
        )

    def _note_lost(self, fingerprint: BodyFingerprint, lost_seconds: float) -> None:
        self._lost_seconds.pop(fingerprint, None)
        self._lost_seconds[fingerprint] = lost_seconds
        while len(self._lost_seconds) > MAX_RECENT_LOSSES:
            del self._lost_seconds[next(iter(self._lost_seconds))]

    def in_force(self, now_seconds: float) -> tuple[LossReport, ...]:
        """Return the quarantines in force."""
        return tuple(
            LossReport(
                fingerprint,
                now_seconds,
                now_seconds,
                until_seconds,
                True,
                self._causes.get(fingerprint, ()),
            )
            for fingerprint, until_seconds in self._until.items()
            if until_seconds > now_seconds
        )

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


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """A suspect that a daemon runs on a target.

    Attributes:
        for_seconds: How long others keep their suspects off it; 0 once the target has
            written, or the attempt has ended.
    """

    target: TargetId
    for_seconds: float


class PeerSuspects:
    """Targets on which other daemons currently run suspects.

    Without it two daemons may send a request that crashes targets and an unrelated
    suspect to the same target, whose loss would quarantine both.
    """

    def __init__(self) -> None:
        self._until: dict[tuple[DaemonId, TargetId], float] = {}

    def note(self, notice: SuspectNotice, sender: DaemonId, now_seconds: float) -> None:
        """Avoid a target for this daemon's own suspects for a while, or no more."""
        place = (sender, notice.target)
        if notice.for_seconds <= 0.0:
            self._until.pop(place, None)
            return
        seconds = min(notice.for_seconds, PEER_SUSPECT_SECONDS)
        self._until[place] = now_seconds + seconds

    def targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets to avoid now."""
        for place, until_seconds in list(self._until.items()):
            if until_seconds <= now_seconds:
                del self._until[place]
        return frozenset(target for _, target in self._until)
