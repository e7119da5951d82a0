"""Parse a completion request into a checked record.

Only the fields that routing needs are decoded. Each chat message stays raw JSON: its
bytes are one prefix segment and are forwarded to the engine unchanged.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.callers.errors import CallerError, invalid
from lycheepost.core.ids import ModelId
from lycheepost.generated.callers import ChatMessage
from lycheepost.utils.decoding import UNREADABLE

DEFAULT_OUTPUT_TOKENS = 256
"""Expected tokens of a response without a limit; only used for predictions."""

_DAEMON_FIELDS = frozenset(
    {"cache_salt", "priority", "continue_final_message", "add_generation_prompt"}
)
"""Fields that the daemon sets. A caller's value is dropped: a customer that could name
another customer's salt would read from that customer's cache."""

_UNCONTINUABLE_FIELDS = frozenset(
    {"tools", "functions", "logprobs", "response_format", "suffix", "echo", "best_of"}
)
"""With these a truncated response cannot be continued by appending text."""


class Endpoint(Enum):
    """The two completion endpoints."""

    CHAT = "/v1/chat/completions"
    COMPLETIONS = "/v1/completions"


@dataclass(frozen=True)
class CompletionCall:
    """A checked completion request.

    Attributes:
        segments: The parts of the prompt, in order: raw JSON messages of a chat.
        max_tokens: The caller's limit on the response, if it set one.
        wants_usage: Whether a stream's usage chunk is sent to the caller.
        is_continuable: Whether another engine can continue a truncated response.
        fields: The body, one raw JSON value per field.
    """

    endpoint: Endpoint
    model: ModelId
    segments: tuple[bytes, ...]
    max_tokens: int | None
    is_streamed: bool
    wants_usage: bool
    is_continuable: bool
    fields: dict[str, msgspec.Raw]


def parse_completion(
    endpoint: Endpoint, body: bytes
) -> Result[CompletionCall, CallerError]:
    """Check a completion body.

    Args:
        endpoint: The endpoint that was called.
        body: The complete body.

    Returns:
        The call, or an error that names the invalid field.
    """
    try:
        return Success(_parse(endpoint, body))
    except CallerError as error:
        return Failure(error)


def _parse(endpoint: Endpoint, body: bytes) -> CompletionCall:
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except UNREADABLE as error:
        raise invalid(f"The body is not a JSON object: {error}.") from error
    model = _read_field(fields, "model", str, None)
    if not model:
        raise invalid("A model must be named.", "model")
    if _read_field(fields, "n", int | None, 1) not in (1, None):
        raise invalid("Only n = 1 is served.", "n")
    max_tokens = _read_max_tokens(fields)
    options = _read_field(fields, "stream_options", dict[str, Any] | None, None) or {}
    return CompletionCall(
        endpoint=endpoint,
        model=ModelId(model),
        segments=_read_segments(endpoint, fields),
        max_tokens=max_tokens,
        is_streamed=bool(_read_field(fields, "stream", bool | None, False)),
        wants_usage=options.get("include_usage") is True,
        is_continuable=not _UNCONTINUABLE_FIELDS.intersection(fields),
        fields={key: raw for key, raw in fields.items() if key not in _DAEMON_FIELDS},
    )


def _read_field(
    fields: dict[str, msgspec.Raw], name: str, kind: Any, default: Any
) -> Any:
    raw = fields.get(name)
    if raw is None:
        return default
    try:
        return msgspec.json.decode(raw, type=kind)
    except UNREADABLE as error:
        raise invalid(f"The field {name} is not valid: {error}.", name) from error


def _read_max_tokens(fields: dict[str, msgspec.Raw]) -> int | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = _read_field(fields, name, int | None, None)
        if value is None:
            continue
        if value < 1:
            raise invalid(f"The field {name} must be at least 1.", name)
        return int(value)
    return None


def _read_segments(
    endpoint: Endpoint, fields: dict[str, msgspec.Raw]
) -> tuple[bytes, ...]:
    match endpoint:
        case Endpoint.CHAT:
            return _read_messages(fields)
        case Endpoint.COMPLETIONS:
            prompt = _read_field(fields, "prompt", str, None)
            if not prompt:
                raise invalid("A prompt must be given as one text.", "prompt")
            return (prompt.encode(),)


def _read_messages(fields: dict[str, msgspec.Raw]) -> tuple[bytes, ...]:
    messages = _read_field(fields, "messages", list[msgspec.Raw], None)
    if not messages:
        raise invalid("At least one message must be given.", "messages")
    for index, message in enumerate(messages):
        try:
            msgspec.json.decode(message, type=ChatMessage)
        except UNREADABLE as error:
            param = f"messages[{index}]"
            raise invalid(f"A message is not valid: {error}.", param) from error
    return tuple(bytes(message) for message in messages)


def engine_body(
    call: CompletionCall, cache_salt: str, priority: int, is_streamed: bool
) -> bytes:
    """Return the body that is sent to an engine.

    Args:
        call: The checked request.
        cache_salt: Separates the customer's cached blocks from those of others.
        priority: Lower runs first.
        is_streamed: Whether the engine streams; the caller may have asked otherwise.
    """
    fields: dict[str, Any] = dict(call.fields)
    fields["cache_salt"] = cache_salt
    fields["priority"] = priority
    fields["stream"] = is_streamed
    fields.pop("stream_options", None)
    if is_streamed and call.wants_usage:
        fields["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(fields)
