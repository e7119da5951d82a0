"""Faults that tests inject into the stand-ins of the platform's servers."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.standin.faults import (
    CrashAt,
    LostAnswer,
    Refused,
    Silent,
    Swallowed,
    Truncated,
)
from lycheepost.standin.rawbodies import Framing, Stop
from lycheepost.standin.rawheads import HeadForm


@dataclass(frozen=True, slots=True)
class ServerFailure:
    """The server runs the request and responds with an error of its own."""

    status: int = 500


@dataclass(frozen=True, slots=True)
class ExtraAnswer:
    """A complete response is followed by bytes that belong to no request."""


@dataclass(frozen=True, slots=True)
class Unsealed:
    """A success response without the server's seal."""


@dataclass(frozen=True, slots=True)
class Encoded:
    """A success response with a Content-Encoding, as an intermediary would add."""


@dataclass(frozen=True, slots=True)
class CrashAndReturn:
    """The request crashes the server, which restarts at once under the same name."""


class StopPoint(Enum):
    """Where a body stops."""

    BEFORE_BODY = "before the body"
    IN_EVENT = "inside an event"
    BEFORE_BLANK_LINE = "before a blank line"


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """A response that stops early, for plain responses in the middle of the body.

    Attributes:
        framing: What marks the end of its body.
        how: How it stops.
        point: Where a stream stops, after its complete events.
        after_events: The number of complete events of a stream.
        is_in_one_packet: Whether the headers and the body arrive at once.
    """

    framing: Framing
    how: Stop
    point: StopPoint = StopPoint.IN_EVENT
    after_events: int = 3
    is_in_one_packet: bool = False


class CrashPoint(Enum):
    """What a server has sent when a part of a prompt crashes it."""

    NOTHING = "nothing"
    HEADERS = "the headers"
    HALF_EVENT = "half an event"
    HALF_UNFRAMED = "half an event without length or chunks"
    SILENCE = "silence"
    """Nothing, and the server neither resets connections nor answers on new ones."""


@dataclass(frozen=True, slots=True)
class PartCrash:
    """One crash of a server by a part of a prompt.

    Attributes:
        attempt_id: The request that it was about to answer.
        crashed_seconds: When it crashed, by the loop's clock.
    """

    part_id: str
    attempt_id: str
    crashed_seconds: float


@dataclass(frozen=True, slots=True)
class Unframed:
    """A complete response without length or chunks, which ends with its connection."""

    is_in_one_packet: bool = False


@dataclass(frozen=True, slots=True)
class InvalidAnswer:
    """A response with the whole body and with a head or framing that is invalid."""

    form: HeadForm


ServerFault = (
    Truncated
    | Silent
    | Swallowed
    | Refused
    | LostAnswer
    | ServerFailure
    | ExtraAnswer
    | Unsealed
    | Encoded
    | CrashAt
    | CrashAndReturn
    | BrokenOff
    | Unframed
    | InvalidAnswer
)
