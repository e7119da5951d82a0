"""Asks peers whether they hear from the targets of a group, and answers them.

Targets that are silent for all daemons look to each like a loss of its own paths. A
peer that hears from one of them at the same time tells the difference.
"""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId, TargetGroupId
from lycheepost.generated.messages import PathAnswer, PathQuestion
from lycheepost.peers.exchange import PeerExchange
from lycheepost.utils.metrics import Metrics

Reply = Callable[[bool], None]
OnQuestion = Callable[[TargetGroupId, float, DaemonId, Reply], None]
OnReached = Callable[[TargetGroupId], None]


@dataclass(slots=True)
class AskedPeers:
    """The last question about a group.

    Attributes:
        number: Its number.
        peers: The daemons that were asked.
        answers: Whether they hear from a target, by daemon.
    """

    number: int
    peers: frozenset[DaemonId]
    answers: dict[DaemonId, bool] = field(default_factory=dict)


class PathQuestions:
    """Implements ``app.paths.PeerReach``.

    Args:
        exchange: The links to the peers.
        metrics: Receives the counters.
        choose: Returns the peers to ask about a group.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        metrics: Metrics,
        choose: Callable[[TargetGroupId], tuple[DaemonId, ...]],
    ) -> None:
        self._exchange = exchange
        self._metrics = metrics
        self._choose = choose
        self._numbers = itertools.count(1)
        self._asked: dict[TargetGroupId, AskedPeers] = {}
        self._on_question: OnQuestion | None = None
        self._on_reached: OnReached | None = None
        self.n_questions = 0
        self.n_answers = 0
        exchange.subscribe(PathQuestion, self._receive_question)
        exchange.subscribe(PathAnswer, self._receive_answer)

    def connect(self, on_question: OnQuestion, on_reached: OnReached) -> None:
        """Set what questions and answers lead to.

        Args:
            on_question: Called with a group, the time since the sender's probe began,
                the sender, and a function that sends the answer.
            on_reached: Called with a group from whose targets a peer hears.
        """
        self._on_question = on_question
        self._on_reached = on_reached

    def ask(self, target_group: TargetGroupId, probed_ago_seconds: float) -> None:
        """Ask peers about a group; answers to earlier questions no longer count."""
        peers = self._choose(target_group)
        asked = AskedPeers(next(self._numbers), frozenset(peers))
        self._asked[target_group] = asked
        message = PathQuestion(
            number=asked.number,
            target_group=target_group,
            probed_ago_seconds=probed_ago_seconds,
        )
        self.n_questions += len(peers)
        self._metrics.count("path_questions", len(peers))
        self._exchange.send_to_each(peers, message)

    def forget(self, target_group: TargetGroupId) -> None:
        """Drop the last question about a group."""
        self._asked.pop(target_group, None)

    def answers(self, target_group: TargetGroupId) -> dict[DaemonId, bool]:
        """Return the answers to the last question about a group, by daemon."""
        asked = self._asked.get(target_group)
        return {} if asked is None else dict(asked.answers)

    def _receive_question(self, message: PathQuestion, sender: DaemonId) -> None:
        ago_seconds = message.probed_ago_seconds
        if self._on_question is None or not math.isfinite(ago_seconds):
            self._metrics.count("path_questions_invalid")
            return

        def reply(is_reached: bool) -> None:
            answer = PathAnswer(
                number=message.number,
                target_group=message.target_group,
                is_reached=is_reached,
            )
            self.n_answers += 1
            self._exchange.send(sender, answer)

        target_group = TargetGroupId(message.target_group)
        self._on_question(target_group, ago_seconds, sender, reply)

    def _receive_answer(self, message: PathAnswer, sender: DaemonId) -> None:
        target_group = TargetGroupId(message.target_group)
        asked = self._asked.get(target_group)
        if asked is None or asked.number != message.number:
            return
        if sender not in asked.peers:
            return
        asked.answers[sender] = message.is_reached
        if message.is_reached and self._on_reached is not None:
            self._on_reached(target_group)
