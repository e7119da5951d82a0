"""Faults that tests inject into the stand-ins of the platform's servers."""

from dataclasses import dataclass

from lycheepost.standin.faults import (
    CrashAt,
    LostAnswer,
    Refused,
    Silent,
    Swallowed,
    Truncated,
)


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
)
