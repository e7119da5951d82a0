"""Placement of suspects: requests that may crash the target that runs them.

A request is a suspect if it ran on a target when it was lost, or if a part of its
prompt is suspected. It runs on a target without other suspects that have not written
yet, so that a second loss speaks against it alone. Other daemons place suspects too.
They report where, and choose different targets by a ranking that all of them share.
"""

from dataclasses import replace

from lycheepost.core.ids import RequestId, TargetId
from lycheepost.decide.placement import Choice, Placement, WaitingByTarget
from lycheepost.decide.quarantine import (
    PEER_SUSPECT_SECONDS,
    PeerSuspects,
    SuspectNotice,
)
from lycheepost.decide.records import Work
from lycheepost.decide.suspicion import Suspicion


class SuspectPlacement:
    """Places the suspects of one target group.

    Args:
        suspicion: Records which requests are suspects.
        placement: The targets of the group.

    Attributes:
        peers: Targets on which other daemons run suspects.
    """

    def __init__(self, suspicion: Suspicion, placement: Placement) -> None:
        self.peers = PeerSuspects()
        self._suspicion = suspicion
        self._placement = placement
        self._placed: dict[RequestId, TargetId] = {}
        self._news: list[SuspectNotice] = []

    def is_suspect(self, work: Work, now_seconds: float) -> bool:
        """Return whether work is a suspect."""
        return self._suspicion.is_suspect(work, now_seconds)

    def may_send(self, work: Work, now_seconds: float) -> bool:
        """Return whether no other trial keeps a suspect from being sent now."""
        return self._suspicion.may_send(work, now_seconds)

    def trial_targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets that other requests avoid, as their loss is likely."""
        return self._suspicion.trial_targets(now_seconds)

    def note_sent(self, work: Work, target: TargetId, now_seconds: float) -> None:
        """Record that a suspect was sent to a target."""
        self._placed[work.request] = target
        self._news.append(SuspectNotice(target, PEER_SUSPECT_SECONDS))
        self._suspicion.note_sent(work, target, now_seconds)

    def note_over(self, request: RequestId) -> None:
        """Record that the target of a suspect has written, or its attempt has ended."""
        target = self._placed.pop(request, None)
        if target is not None:
            self._news.append(SuspectNotice(target, 0.0))

    def take_news(self) -> list[SuspectNotice]:
        """Return the notices for the peers since the last call."""
        news = self._news
        self._news = []
        return news

    def choose(
        self, work: Work, now_seconds: float, waiting_ahead: WaitingByTarget
    ) -> Choice | None:
        """Return where to send a suspect; None if no target is suitable."""
        avoided = work.excluded | self._targets_with_suspects(now_seconds)
        choice = self._choose_idle(work, now_seconds, avoided, waiting_ahead)
        if choice is not None:
            return choice
        choice = self._choose_assigned(work, now_seconds, avoided, waiting_ahead)
        if choice is None:
            choice = self._placement.best(work, now_seconds, avoided, waiting_ahead)
        if choice is not None:
            return choice
        # A target lost with many requests makes all of them suspects, more than there
        # are targets without a suspect. They wait, since refusing them would fail the
        # unrelated requests among them.
        choice = self._placement.best(work, now_seconds, work.excluded, waiting_ahead)
        return None if choice is None else replace(choice, can_take=False)

    def _choose_idle(
        self,
        work: Work,
        now_seconds: float,
        avoid: frozenset[TargetId],
        waiting_ahead: WaitingByTarget,
    ) -> Choice | None:
        """Choose a target that runs nothing for a trial of a suspected part.

        Its loss then costs no other request.

        Returns:
            None if no part is suspected, or no such target has capacity.
        """
        if not self._suspicion.parts.suspected(work.parts):
            return None
        busy = frozenset(
            target
            for target, load in self._placement.loads.items()
            if load.estimate(now_seconds)[1] >= 1.0
        )
        choice = self._placement.best(work, now_seconds, avoid | busy, waiting_ahead)
        return choice if choice is not None and choice.can_take else None

    def _choose_assigned(
        self,
        work: Work,
        now_seconds: float,
        avoid: frozenset[TargetId],
        waiting_ahead: WaitingByTarget,
    ) -> Choice | None:
        """Choose the target assigned to this suspect by its rank.

        When a request that crashes targets and an unrelated one are lost with one
        target, two daemons may retry them at the same time, before either knows of the
        other's attempt, on the target that both rate best. Its loss would quarantine
        both.

        Returns:
            None if there are no other recent suspects, or the target has no capacity.
        """
        rank = self._suspicion.wholes.rank_of(work.fingerprint, now_seconds)
        targets = self._placement.serving()
        if rank is None or not targets:
            return None
        assigned = targets[rank % len(targets)]
        others = avoid | (frozenset(targets) - {assigned})
        choice = self._placement.best(work, now_seconds, others, waiting_ahead)
        return choice if choice is not None and choice.can_take else None

    def _targets_with_suspects(self, now_seconds: float) -> frozenset[TargetId]:
        return self.peers.targets(now_seconds) | frozenset(
            target
            for target, load in self._placement.loads.items()
            if any(
                not entry.has_written and self.is_suspect(entry.work, now_seconds)
                for entry in load.in_flight.values()
            )
        )
