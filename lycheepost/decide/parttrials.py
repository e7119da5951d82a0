"""Tries requests with suspected prompt parts one at a time over the fleet.

Each try of a part that crashes targets costs one. A daemon announces a trial shortly
before it sends the request, so that of several daemons that would begin one at the same
time only that with the lowest ticket does. The others wait until a loss or an answer
decides, or until the trial has taken too long.
"""

import random
from dataclasses import dataclass

from lycheepost.core.ids import PromptPartKey, RequestId, TargetId

CLAIM_SECONDS = 0.05
"""From the announcement of a trial to its request. Messages between daemons take a few
milliseconds; callers hardly notice the delay, which only suspected requests have."""

CLAIM_KEPT_SECONDS = 0.5
"""How long an announced trial keeps others from theirs until its request is sent; no
target may have capacity for it."""

TRIAL_SECONDS = 2.0
"""Longest time for the first event of a trial to keep others from theirs. The target
mostly writes, or is known to be lost, in less."""


@dataclass(frozen=True, slots=True)
class TrialNotice:
    """A trial for the peers.

    Attributes:
        parts: The suspected parts of its request.
        ticket: Of trials that are announced at the same time, the lowest takes place.
        for_seconds: How long it keeps others from theirs; 0 when it has ended.
        target: Where it takes place; None before it is sent.
    """

    parts: frozenset[PromptPartKey]
    ticket: int
    for_seconds: float
    target: TargetId | None = None


@dataclass(slots=True)
class _Trial:
    request: RequestId
    parts: frozenset[PromptPartKey]
    ticket: int
    ready_seconds: float
    until_seconds: float
    target: TargetId | None = None


@dataclass(frozen=True, slots=True)
class _PeerTrial:
    until_seconds: float
    target: TargetId | None


class PartTrials:
    """This daemon's trials and those of its peers.

    Args:
        rng: Draws the tickets.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._own: dict[RequestId, _Trial] = {}
        self._peers: dict[PromptPartKey, _PeerTrial] = {}
        self._news: list[TrialNotice] = []

    def may_send(
        self,
        request: RequestId,
        parts: frozenset[PromptPartKey],
        now_seconds: float,
    ) -> bool:
        """Return whether to send a request with suspected parts now.

        The first call announces its trial, if there is no other.
        """
        self._expire(now_seconds)
        trial = self._own.get(request)
        if trial is not None and trial.parts == parts:
            return now_seconds >= trial.ready_seconds
        if trial is not None:
            self.end(request)
        others = (item for item in self._own.values() if item.request != request)
        if parts & self._peers.keys() or any(parts & item.parts for item in others):
            return False
        ticket = self._rng.getrandbits(32)
        self._own[request] = _Trial(
            request,
            parts,
            ticket,
            now_seconds + CLAIM_SECONDS,
            now_seconds + CLAIM_KEPT_SECONDS,
        )
        self._news.append(TrialNotice(parts, ticket, CLAIM_KEPT_SECONDS))
        return False

    def targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets at which a trial takes place now."""
        if not self._own and not self._peers:
            return frozenset()
        self._expire(now_seconds)
        found = [trial.target for trial in self._own.values()]
        found += [trial.target for trial in self._peers.values()]
        return frozenset(target for target in found if target is not None)

    def note_sent(
        self, request: RequestId, target: TargetId, now_seconds: float
    ) -> None:
        """Record that the request of a trial was sent."""
        trial = self._own.get(request)
        if trial is None:
            return
        trial.target = target
        trial.until_seconds = now_seconds + TRIAL_SECONDS
        self._news.append(TrialNotice(trial.parts, trial.ticket, TRIAL_SECONDS, target))

    def end(self, request: RequestId) -> None:
        """End the trial of a request, if it has one."""
        trial = self._own.pop(request, None)
        if trial is not None:
            self._news.append(TrialNotice(trial.parts, trial.ticket, 0.0))

    def note_peer(self, notice: TrialNotice, now_seconds: float) -> None:
        """Apply the notice of a peer's trial."""
        if not notice.for_seconds:
            for part in notice.parts:
                self._peers.pop(part, None)
            return
        for trial in list(self._own.values()):
            if not trial.parts & notice.parts or trial.target is not None:
                continue
            if trial.ticket < notice.ticket:
                return
            del self._own[trial.request]
        until_seconds = now_seconds + min(notice.for_seconds, TRIAL_SECONDS)
        for part in notice.parts:
            self._peers[part] = _PeerTrial(until_seconds, notice.target)

    def take_news(self) -> list[TrialNotice]:
        """Return the notices for the peers since the last call."""
        news = self._news
        self._news = []
        return news

    def _expire(self, now_seconds: float) -> None:
        for part, peer_trial in list(self._peers.items()):
            if peer_trial.until_seconds <= now_seconds:
                del self._peers[part]
        for request, trial in list(self._own.items()):
            if trial.until_seconds <= now_seconds:
                del self._own[request]
