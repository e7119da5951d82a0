"""Where suspects are tried: requests that ran on a target when it was lost.

A suspect runs on a target without other suspects, so that its second loss convicts
it alone. Other daemons try suspects too; they tell where, and keep apart by an order
that all of them share.
"""

from dataclasses import replace

from lycheepost.core.ids import TargetId
from lycheepost.decide.placement import Choice, Placement, WaitingByTarget
from lycheepost.decide.quarantine import PeerSuspects, Quarantine
from lycheepost.decide.records import Work


class SuspectPlacement:
    """Places the suspects of one target group.

    Args:
        quarantine: Knows who is a suspect.
        placement: The targets of the group.

    Attributes:
        peers: Targets on which other daemons try suspects.
    """

    def __init__(self, quarantine: Quarantine, placement: Placement) -> None:
        self.peers = PeerSuspects()
        self._quarantine = quarantine
        self._placement = placement
        self._tried: list[TargetId] = []

    def is_suspect(self, work: Work, now_seconds: float) -> bool:
        """Tell whether work was running on a target that was lost lately."""
        return self._quarantine.is_suspect(work.fingerprint, now_seconds)

    def note_sent(self, target: TargetId) -> None:
        """Note that a suspect is sent to a target."""
        self._tried.append(target)

    def take_tried(self) -> list[TargetId]:
        """Return the targets that got a suspect since the last call."""
        tried = self._tried
        self._tried = []
        return tried

    def choose(
        self, work: Work, now_seconds: float, waiting_ahead: WaitingByTarget
    ) -> Choice | None:
        """Return where to try a suspect; None where no target fits."""
        alone = work.excluded | self._targets_with_suspects(now_seconds)
        choice = self._choose_apart(work, now_seconds, alone, waiting_ahead)
        if choice is None:
            choice = self._placement.best(work, now_seconds, alone, waiting_ahead)
        if choice is not None:
            return choice
        # A target that is lost with many requests makes them all suspects, more
        # than there are targets to try each alone on. They wait for their turn;
        # refusing them would fail the innocent ones.
        choice = self._placement.best(work, now_seconds, work.excluded, waiting_ahead)
        return None if choice is None else replace(choice, can_take=False)

    def _choose_apart(
        self,
        work: Work,
        now_seconds: float,
        avoid: frozenset[TargetId],
        waiting_ahead: WaitingByTarget,
    ) -> Choice | None:
        """Choose the target on which only this suspect is tried by any daemon.

        The failure: a killer and an innocent request are lost with one target. Two
        daemons try them again at the same moment, before either hears of the other's
        try, on the target that both find best, and its loss convicts both.

        Returns:
            None where no other suspect may be tried now, or that target has no room.
        """
        place = self._quarantine.place_of(work.fingerprint, now_seconds)
        targets = self._placement.serving()
        if place is None or not targets:
            return None
        own = targets[place % len(targets)]
        others = avoid | (frozenset(targets) - {own})
        choice = self._placement.best(work, now_seconds, others, waiting_ahead)
        return choice if choice is not None and choice.can_take else None

    def _targets_with_suspects(self, now_seconds: float) -> frozenset[TargetId]:
        return self.peers.targets(now_seconds) | frozenset(
            target
            for target, load in self._placement.loads.items()
            if any(
                self.is_suspect(entry.work, now_seconds)
                for entry in load.in_flight.values()
            )
        )
