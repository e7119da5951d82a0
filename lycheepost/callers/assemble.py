"""Put a streamed answer together into the whole answer a caller asked for.

Engines are asked to stream also when the caller wants the answer whole: only a
stream shows whether the engine still works on it, can be resumed on a new
connection and can be continued on another engine.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lycheepost.callers.parse import Endpoint
from lycheepost.targets.sse import parse_event

_DONE = b"[DONE]"
_EVENT_END = b"\n\n"
_KEPT_FIELDS = ("id", "created", "model", "system_fingerprint")


@dataclass
class _Pieces:
    head: dict[str, Any] = field(default_factory=dict)
    texts: list[str] = field(default_factory=list)
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None


def assemble_answer(endpoint: Endpoint, events: bytes) -> bytes:
    """Return the whole answer of a verified, complete stream.

    Args:
        endpoint: Tells the form of the answer.
        events: All events up to and with ``[DONE]``.
    """
    pieces = _Pieces()
    for raw in events.split(_EVENT_END):
        data = parse_event(raw).data
        if data and data != _DONE:
            _add_chunk(pieces, msgspec.json.decode(data))
    answer = dict(pieces.head)
    answer["object"] = _object_name(endpoint)
    answer["choices"] = [_make_choice(endpoint, pieces)]
    if pieces.usage is not None:
        answer["usage"] = pieces.usage
    return msgspec.json.encode(answer)


def _add_chunk(pieces: _Pieces, chunk: dict[str, Any]) -> None:
    for name in _KEPT_FIELDS:
        if name in chunk:
            pieces.head.setdefault(name, chunk[name])
    pieces.usage = chunk.get("usage") or pieces.usage
    for choice in chunk.get("choices") or ():
        delta = choice.get("delta") or {}
        text = delta.get("content") or choice.get("text")
        if text:
            pieces.texts.append(text)
        pieces.finish_reason = choice.get("finish_reason") or pieces.finish_reason


def _object_name(endpoint: Endpoint) -> str:
    match endpoint:
        case Endpoint.CHAT:
            return "chat.completion"
        case Endpoint.COMPLETIONS:
            return "text_completion"


def _make_choice(endpoint: Endpoint, pieces: _Pieces) -> dict[str, Any]:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": pieces.finish_reason,
        "logprobs": None,
    }
    text = "".join(pieces.texts)
    match endpoint:
        case Endpoint.CHAT:
            choice["message"] = {"role": "assistant", "content": text, "refusal": None}
        case Endpoint.COMPLETIONS:
            choice["text"] = text
    return choice
