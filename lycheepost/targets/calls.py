"""Records of calls to targets and of their responses."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from lycheepost.core.ids import RequestId, TargetId, WeightsVersion
from lycheepost.decide.records import PrefixLevel

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


@dataclass(frozen=True, slots=True)
class Delivered:
    """How much of an answer its caller already has from another target.

    Attributes:
        n_events: Number of events; the caller's numbering continues after it.
        n_tokens: Number of tokens; the usage includes them.
    """

    n_events: int
    n_tokens: int
    text: str


class ResumeFailure(Enum):
    """Why a stream could not be resumed at its target."""

    SILENT = auto()
    """The target sent nothing in time."""
    LOST = auto()
    """It cannot be reached, or no longer knows the stream."""


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt at a request on one engine.

    Attributes:
        url: Base address of the target.
        path: ``CHAT_PATH`` or ``COMPLETION_PATH``.
        body: The JSON sent to the engine, with cache salt and priority.
        weights_version: Weights version that must produce the answer.
        levels: Prefix levels, sent to the engine for its cache events.
        continues: The part of this answer that another target has delivered; the
            body must then come from ``continuation_body``.
        has_alternative: Returns whether another target could take the request now.
    """

    target: TargetId
    url: str
    request: RequestId
    path: str
    body: bytes
    weights_version: WeightsVersion
    levels: tuple[PrefixLevel, ...]
    expects_stream: bool
    continues: Delivered | None = None
    has_alternative: Callable[[], bool] = lambda: True

    @property
    def answer_id(self) -> str:
        """Return the id that the engine writes into each chunk."""
        prefix = "chatcmpl" if self.path == CHAT_PATH else "cmpl"
        return f"{prefix}-{self.request}"


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One attempt at a call to a plain service.

    Attributes:
        path: Path and query below the target's base address, from ``/``.
        is_idempotent: Whether the call may be repeated.
        timeout_seconds: Time-out of the call; if None, that of the settings.
    """

    target: TargetId
    url: str
    request: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_idempotent: bool
    timeout_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A plain service's complete response, whatever its status."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(default_factory=tuple)
    body: bytes = b""
