"""Assemble a streamed response into the single JSON body that a caller asked for.

Engines are asked to stream even when the caller is not: only a stream shows whether the
engine is still working on it, can be resumed on a new connection and can be continued
on another engine.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lycheepost.callers.parse import Endpoint
from lycheepost.targets.sse import parse_event

_DONE = b"[DONE]"
_EVENT_END = b"\n\n"
_COMMON_FIELDS = ("id", "created", "model", "system_fingerprint")


@dataclass
class _AnswerParts:
    common_fields: dict[str, Any] = field(default_factory=dict)
    texts: list[str] = field(default_factory=list)
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None


def assemble_answer(endpoint: Endpoint, events: bytes) -> bytes:
    """Return the JSON body for a verified, complete stream.

    Args:
        endpoint: Determines the form of the body.
        events: All events up to and including ``[DONE]``.
    """
    parts = _AnswerParts()
    for raw in events.split(_EVENT_END):
        data = parse_event(raw).data
        if data and data != _DONE:
            _add_chunk(parts, msgspec.json.decode(data))
    answer = dict(parts.common_fields)
    answer["object"] = _object_name(endpoint)
    answer["choices"] = [_make_choice(endpoint, parts)]
    if parts.usage is not None:
        answer["usage"] = parts.usage
    return msgspec.json.encode(answer)


def _add_chunk(parts: _AnswerParts, chunk: dict[str, Any]) -> None:
    for name in _COMMON_FIELDS:
        if name in chunk:
            parts.common_fields.setdefault(name, chunk[name])
    parts.usage = chunk.get("usage") or parts.usage
    for choice in chunk.get("choices") or ():
        delta = choice.get("delta") or {}
        text = delta.get("content") or choice.get("text")
        if text:
            parts.texts.append(text)
        parts.finish_reason = choice.get("finish_reason") or parts.finish_reason


def _object_name(endpoint: Endpoint) -> str:
    match endpoint:
        case Endpoint.CHAT:
            return "chat.completion"
        case Endpoint.COMPLETIONS:
            return "text_completion"


def _make_choice(endpoint: Endpoint, parts: _AnswerParts) -> dict[str, Any]:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": parts.finish_reason,
        "logprobs": None,
    }
    text = "".join(parts.texts)
    match endpoint:
        case Endpoint.CHAT:
            choice["message"] = {"role": "assistant", "content": text, "refusal": None}
        case Endpoint.COMPLETIONS:
            choice["text"] = text
    return choice
