"""What clients of a soak got, and what they missed though no fault excuses it.

Servers that are silent for a moment, changes of the configuration, SIGHUP, SIGTERM and
new weights excuse no loss. Any other fault does, from its start to a little after its
end; such requests are not counted.
"""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field

from soaknotices import Span

DEADLINE_SECONDS = 3.0
"""What clients grant each request."""

LATE_SECONDS = 0.6
"""A request without an answer so long after its time is late."""

TOLERATED_LATE = 3
"""Requests that may be late in a run, for stalls of the machine."""

AFTER_SECONDS = 3.0
"""How long a fault that has ended excuses what is asked for; as ``contact_ms``."""

MOST_SILENT_SECONDS = 1.5
"""Silence that leaves a request the time to be answered before its deadline."""

LEAST_SOUND_SHARE = 0.9
"""Of the requests that no server answered without end while others did, these must be
served. A machine that is busy makes a few of them late."""

LEAST_SOUND_REQUESTS = 20
"""Fewer requests than this show no share."""

HARMLESS = frozenset(
    ("silent_group", "pause_server", "configure", "add_route", "publish_weights")
)
ENDLESS = "endless_answers"
_REFUSED = (502, 503)


@dataclass(slots=True)
class SentAttempt:
    """One request of a client.

    Attributes:
        index: The daemon that got it.
        is_continued: Whether it asks for the rest of a stream.
        ended_seconds: When its answer or connection ended, or its client gave up.
        status: Of the answer; None without one.
        is_whole: Whether the answer was complete.
        has_left: Whether the client closed a good answer on purpose.
        gave_up: Whether the client left as its whole time was over.
    """

    attempt_id: str
    index: int
    path: str
    key: str
    sent_seconds: float
    is_continued: bool = False
    ended_seconds: float = float("inf")
    status: int | None = None
    is_whole: bool = False
    has_left: bool = False
    gave_up: bool = False

    @property
    def is_served(self) -> bool:
        """Tell whether its client got all that it wanted."""
        return self.status == 200 and (self.is_whole or self.has_left)

    @property
    def is_cut(self) -> bool:
        """Tell whether an answer had begun and ended early."""
        return self.status == 200 and not self.is_served and not self.gave_up

    @property
    def is_late(self) -> bool:
        """Tell whether it had no answer long after its time."""
        taken_seconds = self.ended_seconds - self.sent_seconds
        return taken_seconds > DEADLINE_SECONDS + LATE_SECONDS

    @property
    def is_mute(self) -> bool:
        """Tell whether its connection ended without any answer, before its time."""
        return self.status is None and not self.gave_up and not self.is_late


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """When one fault lasted.

    Attributes:
        index: The only daemon that it harms; None if it harms all.
    """

    name: str
    span: Span
    index: int | None = None


@dataclass
class Answers:
    """All requests of a run, and when what lasted.

    Attributes:
        attempts: The requests by their ids.
        faults: The faults that have ended.
        silences: When servers of a group were silent.
        leaving: When daemons were told to end until they were ready again, by index.
        lags: When the soak itself did not run.
        victims: Requests that a server answered without end.
        with_body: Those of them whose answers had a body.
    """

    attempts: dict[str, SentAttempt] = field(default_factory=dict)
    faults: list[FaultSpan] = field(default_factory=list)
    silences: list[Span] = field(default_factory=list)
    leaving: dict[int, list[Span]] = field(default_factory=dict)
    lags: list[Span] = field(default_factory=list)
    victims: set[str] = field(default_factory=set)
    with_body: set[str] = field(default_factory=set)

    def judged(self, harmless: Collection[str], lost_key: str) -> Iterator[SentAttempt]:
        """Yield the requests that no fault but harmless ones excuses."""
        spans = [item for item in self.faults if item.name not in harmless]
        for attempt in self.attempts.values():
            if attempt.key == lost_key:
                continue
            from_seconds = attempt.sent_seconds - AFTER_SECONDS
            around = Span(from_seconds, attempt.ended_seconds)
            during = Span(attempt.sent_seconds, attempt.ended_seconds)
            if not any(
                item.index in (None, attempt.index) and item.span.overlaps(around)
                for item in spans
            ) and not any(lag.overlaps(during) for lag in self.lags):
                yield attempt

    def is_leaving(self, attempt: SentAttempt) -> bool:
        """Tell whether its daemon was told to end before it was answered."""
        during = Span(attempt.sent_seconds, attempt.ended_seconds)
        spans = self.leaving.get(attempt.index, [])
        if attempt.is_continued:
            # The daemon that began the stream may be the one that leaves.
            spans = [span for found in self.leaving.values() for span in found]
            during = Span(attempt.sent_seconds - AFTER_SECONDS, attempt.ended_seconds)
        return any(span.overlaps(during) for span in spans)

    def silent_seconds(self, attempt: SentAttempt) -> float:
        """Return how long servers were silent before its deadline."""
        deadline_seconds = attempt.sent_seconds + DEADLINE_SECONDS
        return sum(
            max(
                0.0,
                min(span.until_seconds, deadline_seconds)
                - max(span.from_seconds, attempt.sent_seconds),
            )
            for span in self.silences
        )


@dataclass(frozen=True, slots=True)
class AnswerFindings:
    """What the audits of a run found.

    Attributes:
        cut, refused, mute, late: The requests.
        n_judged: The requests that only harmless faults accompanied.
        n_sound: Requests that no server answered without end while others did.
        n_sound_served: Those of them that were served.
    """

    cut: list[SentAttempt]
    refused: list[SentAttempt]
    mute: list[SentAttempt]
    late: list[SentAttempt]
    n_judged: int
    n_sound: int
    n_sound_served: int

    def figures(self) -> dict[str, int]:
        """Return the counts."""
        return {
            "judged": self.n_judged,
            "cut": len(self.cut),
            "refused": len(self.refused),
            "without an answer": len(self.mute),
            "late": len(self.late),
            "sound": self.n_sound,
            "sound served": self.n_sound_served,
        }

    def violations(self) -> Iterator[str]:
        """Tell of what must not happen."""
        yield from _tell("streams cut midway, with harmless faults only", self.cut)
        yield from _tell("refused 502 or 503, with harmless faults only", self.refused)
        yield from _tell("whole requests without answer or refusal", self.mute)
        if len(self.late) > TOLERATED_LATE:
            yield from _tell(
                f"unanswered {LATE_SECONDS:g} s after their time", self.late
            )
        if (
            self.n_sound >= LEAST_SOUND_REQUESTS
            and self.n_sound_served < LEAST_SOUND_SHARE * self.n_sound
        ):
            yield (
                f"beside answers without end only {self.n_sound_served} of"
                f" {self.n_sound} requests at sound servers were served"
            )


def _tell(what: str, attempts: Sequence[SentAttempt]) -> Iterator[str]:
    if attempts:
        first = attempts[0]
        yield (
            f"{what}: {len(attempts)} requests, {first.attempt_id} ({first.path},"
            f" {first.status}) at daemon {first.index} first"
        )


def audit_answers(
    answers: Answers, arrived: Collection[str], lost_key: str
) -> AnswerFindings:
    """Return what clients missed.

    Args:
        answers: What clients got.
        arrived: The requests that reached a server.
        lost_key: A key that is taken away; its requests are not counted.
    """
    with_endless = HARMLESS | {ENDLESS}
    judged = list(answers.judged(HARMLESS, lost_key))
    beside_endless = list(answers.judged(with_endless, lost_key))
    sound = [item for item in beside_endless if _is_beside_endless(answers, item)]
    return AnswerFindings(
        cut=[item for item in judged if item.is_cut and not item.is_late],
        refused=[
            item
            for item in judged
            if item.status in _REFUSED
            and not answers.is_leaving(item)
            and answers.silent_seconds(item) <= MOST_SILENT_SECONDS
        ],
        mute=[
            item
            for item in beside_endless
            # One that crosses a regular close of its connection may be sent again.
            if item.is_mute
            and (item.attempt_id in arrived or not answers.is_leaving(item))
        ],
        late=[item for item in beside_endless if item.is_late],
        n_judged=len(judged),
        n_sound=len(sound),
        n_sound_served=sum(item.is_served for item in sound),
    )


def _is_beside_endless(answers: Answers, attempt: SentAttempt) -> bool:
    """Tell whether it was sent beside answers without end, and got none itself."""
    return (
        attempt.attempt_id not in answers.victims
        and not attempt.is_continued
        and not answers.is_leaving(attempt)
        and any(
            item.name == ENDLESS
            and item.span.from_seconds <= attempt.sent_seconds
            and attempt.sent_seconds <= item.span.until_seconds
            for item in answers.faults
        )
    )
