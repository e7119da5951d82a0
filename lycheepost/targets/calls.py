"""Records of calls to targets and of their answers."""

from dataclasses import dataclass, field

from lycheepost.core.ids import RequestId, TargetId, WeightsVersion
from lycheepost.decide.records import PrefixLevel

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


@dataclass(frozen=True, slots=True)
class Delivered:
    """How much of an answer its caller already has from another target.

    Attributes:
        n_events: Events, so that the caller's numbering goes on.
        n_tokens: Tokens, so that the usage counts the whole answer.
    """

    n_events: int
    n_tokens: int
    text: str


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One try of one request on one engine.

    Attributes:
        url: Base address of the target.
        path: ``CHAT_PATH`` or ``COMPLETION_PATH``.
        body: JSON as the engine shall get it, with salt and priority.
        weights_version: Weights that the answer must come from.
        levels: Prefix levels, told to the engine for its cache events.
        continues: What another target delivered of this answer before; the
            body must then be ``continuation_body`` of the first one.
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

    @property
    def answer_id(self) -> str:
        """Return the id that the engine writes into each chunk."""
        prefix = "chatcmpl" if self.path == CHAT_PATH else "cmpl"
        return f"{prefix}-{self.request}"


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One try of one call to a plain service.

    Attributes:
        path: Path and query below the target's base address, from ``/``.
        is_idempotent: The call may be repeated.
        timeout_seconds: Longest wait for the answer; None for the settings'.
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
    """A plain service's whole answer, whatever its status."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(default_factory=tuple)
    body: bytes = b""
