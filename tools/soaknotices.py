"""What servers say of themselves in a soak, and what daemons send them afterwards."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

DRAIN_SECONDS = 2.0
"""A server gets nothing from a daemon later than this after that daemon handed on an
answer that says that the server leaves."""

PAUSE_GRACE_SECONDS = 0.5
MOST_IN_PAUSE = 2
"""Requests of one daemon that may reach a server from half a second after it asked that
daemon for a pause to the end of the pause."""


LIMIT_GRACE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERATED_SHARE = 1.5
LIMIT_TOLERATED_REQUESTS = 5
"""From the grace after it named a limit on, a server gets in any window at most the
share of what the limit allows, and these requests more, from daemons that were told."""

TOLD_SECONDS = 0.5
"""A daemon counts as told so long after it handed on an answer that names the limit."""


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which something was disturbed."""

    from_seconds: float
    until_seconds: float

    def overlaps(self, other: "Span") -> bool:
        """Tell whether two spans have a moment in common."""
        return (
            self.from_seconds <= other.until_seconds
            and other.from_seconds <= self.until_seconds
        )


@dataclass(frozen=True, slots=True)
class Pause:
    """A server turned an attempt away and asked for a pause."""

    attempt_id: str
    at_seconds: float
    for_seconds: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A server named a limit, from all daemons together, for some time."""

    per_second: float
    span: Span


@dataclass
class ServerWords:
    """What one server got and said.

    Attributes:
        arrived_seconds: When attempts reached it.
        said_leaving: Attempts whose answers said that it leaves.
        said_limit: Attempts whose answers named a limit.
        limits: The limits that it named.
        cut: When its links were disturbed.
    """

    arrived_seconds: dict[str, float] = field(default_factory=dict)
    said_leaving: set[str] = field(default_factory=set)
    pauses: list[Pause] = field(default_factory=list)
    said_limit: set[str] = field(default_factory=set)
    limits: list[NamedLimit] = field(default_factory=list)
    cut: list[Span] = field(default_factory=list)


@dataclass
class DaemonWords:
    """What the daemons were sent and handed on.

    Attributes:
        daemon_of: Index of the daemon that got an attempt.
        sent_seconds: When clients sent attempts.
        handed_on_seconds: When clients had the whole answer of an attempt.
        disturbed: When a daemon was killed, stopped or frozen, by index.
    """

    daemon_of: dict[str, int] = field(default_factory=dict)
    sent_seconds: dict[str, float] = field(default_factory=dict)
    handed_on_seconds: dict[str, float] = field(default_factory=dict)
    disturbed: dict[int, list[Span]] = field(default_factory=dict)


def find_broken(
    servers: Mapping[str, ServerWords], daemons: DaemonWords
) -> Iterator[str]:
    """Tell of each request that a server had said it doesn't want.

    Args:
        servers: What each server got and said, by its name.
        daemons: What the daemons were sent and handed on.
    """
    n_reached: dict[str, int] = {}
    for words in servers.values():
        for attempt_id in words.arrived_seconds:
            n_reached[attempt_id] = n_reached.get(attempt_id, 0) + 1
    for name, words in servers.items():
        # An attempt that reached other servers too may have been answered by them.
        told = [item for item in words.said_leaving if n_reached[item] == 1]
        yield from _sent_to_leaving(name, words, told, daemons)
        yield from _sent_in_pause(name, words, daemons)
        named = [item for item in words.said_limit if n_reached[item] == 1]
        for limit in words.limits:
            yield from _sent_beyond_limit(name, words, limit, named, daemons)


def _is_disturbed(spans: Iterable[Span], span: Span) -> bool:
    return any(item.overlaps(span) for item in spans)


def _sent_to_leaving(
    name: str, words: ServerWords, told: list[str], daemons: DaemonWords
) -> Iterator[str]:
    for attempt_id, arrived_seconds in words.arrived_seconds.items():
        daemon = daemons.daemon_of[attempt_id]
        sent_seconds = daemons.sent_seconds[attempt_id]
        for before in told:
            handed_on_seconds = daemons.handed_on_seconds.get(before)
            if daemons.daemon_of[before] != daemon or handed_on_seconds is None:
                continue
            since = Span(handed_on_seconds, arrived_seconds)
            late_seconds = sent_seconds - handed_on_seconds
            if late_seconds > DRAIN_SECONDS and not _is_disturbed(
                daemons.disturbed.get(daemon, ()), since
            ):
                yield (
                    f"{attempt_id}: reached {name} {late_seconds:.1f} s after daemon"
                    f" {daemon} handed on that it leaves"
                )
                break


def _sent_in_pause(
    name: str, words: ServerWords, daemons: DaemonWords
) -> Iterator[str]:
    for pause in words.pauses:
        daemon = daemons.daemon_of[pause.attempt_id]
        span = Span(pause.at_seconds, pause.at_seconds + pause.for_seconds)
        disturbed = [*daemons.disturbed.get(daemon, ()), *words.cut]
        if _is_disturbed(disturbed, span):
            continue
        n_arrived = sum(
            span.from_seconds + PAUSE_GRACE_SECONDS < at <= span.until_seconds
            and daemons.daemon_of[attempt_id] == daemon
            for attempt_id, at in words.arrived_seconds.items()
        )
        if n_arrived > MOST_IN_PAUSE:
            yield (
                f"{pause.attempt_id}: {name} asked daemon {daemon} for"
                f" {pause.for_seconds:.1f} s and got {n_arrived} requests in them"
            )


def _sent_beyond_limit(
    name: str,
    words: ServerWords,
    limit: NamedLimit,
    named: list[str],
    daemons: DaemonWords,
) -> Iterator[str]:
    allowed = LIMIT_TOLERATED_SHARE * limit.per_second * LIMIT_WINDOW_SECONDS
    allowed += LIMIT_TOLERATED_REQUESTS
    first_seconds = limit.span.from_seconds + LIMIT_GRACE_SECONDS
    for end_seconds in sorted(words.arrived_seconds.values()):
        if not first_seconds <= end_seconds <= limit.span.until_seconds:
            continue
        window = Span(end_seconds - LIMIT_WINDOW_SECONDS, end_seconds)
        if _is_disturbed(words.cut, window):
            continue
        told = _told_limit(limit, named, window, daemons)
        n_arrived = sum(
            window.from_seconds < at <= end_seconds
            and daemons.daemon_of[attempt_id] in told
            for attempt_id, at in words.arrived_seconds.items()
        )
        if n_arrived > allowed:
            yield (
                f"{name} named a limit of {limit.per_second:.1f} a second and got"
                f" {n_arrived} requests in {LIMIT_WINDOW_SECONDS:g} s"
            )
            return


def _told_limit(
    limit: NamedLimit, named: list[str], window: Span, daemons: DaemonWords
) -> set[int]:
    """Return the daemons that were told a limit before a window's end.

    One that was killed, stopped or frozen since then, or in the window, is excused.
    """
    told = set()
    for attempt_id in named:
        handed_on_seconds = daemons.handed_on_seconds.get(attempt_id)
        if handed_on_seconds is None or handed_on_seconds < limit.span.from_seconds:
            continue
        daemon = daemons.daemon_of[attempt_id]
        since = Span(min(handed_on_seconds, window.from_seconds), window.until_seconds)
        is_disturbed = _is_disturbed(daemons.disturbed.get(daemon, ()), since)
        if (
            handed_on_seconds + TOLD_SECONDS <= window.until_seconds
            and not is_disturbed
        ):
            told.add(daemon)
    return told
