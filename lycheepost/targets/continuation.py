"""Continue an answer on another engine so that the caller sees one stream.

The second engine gets the first one's text as the start of its own answer. Its
events are renumbered to continue the caller's numbering, its opening chunk is
dropped, and the usage at the end covers the whole answer.
"""

import json
from typing import Any

from lycheepost.targets.calls import COMPLETION_PATH, Delivered
from lycheepost.targets.sse import Usage, parse_event

_EVENT_END = b"\n\n"
_DONE = b"[DONE]"
_DEFAULT_COMPLETION_TOKENS = 16
"""Token limit that the published API applies to a text completion without one."""
_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


def continuation_body(
    path: str, body: bytes, delivered_text: str, n_tokens: int
) -> bytes | None:
    """Return the body that lets another engine continue an answer.

    Args:
        path: The call's path, which distinguishes chats from text completions.
        body: The first engine's body.
        delivered_text: Text that the caller already has.
        n_tokens: Tokens that the caller already has.

    Returns:
        None when the answer cannot be continued: it has several choices, log
        probabilities or tools, its prompt is not one text, or the caller's token
        limit is used up. In the last case only the end of the stream is missing
        and the engine has nothing to add.
    """
    request: dict[str, Any] = json.loads(body)
    if request.get("n", 1) != 1 or request.get("logprobs"):
        return None
    limit_name = _limit_name(request)
    limit = request.get(limit_name) if limit_name else None
    if path == COMPLETION_PATH:
        if not isinstance(request.get("prompt"), str) or request.get("suffix"):
            return None
        request["prompt"] += delivered_text
        limit_name = limit_name or "max_tokens"
        limit = _DEFAULT_COMPLETION_TOKENS if limit is None else limit
    else:
        if not _continue_chat(request, delivered_text):
            return None
    if limit_name and limit is not None:
        if limit <= n_tokens:
            return None
        request[limit_name] = limit - n_tokens
    return json.dumps(request, separators=(",", ":")).encode()


def _limit_name(request: dict[str, Any]) -> str | None:
    for name in _LIMIT_FIELDS:
        if request.get(name) is not None:
            return name
    return None


def _continue_chat(request: dict[str, Any], delivered_text: str) -> bool:
    """Append the delivered text as the start of the answer.

    Returns:
        Whether the request allows that.
    """
    if request.get("tools") or request.get("functions"):
        return False
    messages = list(request["messages"])
    if request.get("continue_final_message"):
        last = dict(messages.pop())
        if not isinstance(last.get("content"), str):
            return False
        delivered_text = last["content"] + delivered_text
    if delivered_text:
        messages.append({"role": "assistant", "content": delivered_text})
        request["continue_final_message"] = True
        request["add_generation_prompt"] = False
    request["messages"] = messages
    return True


class EventRewriter:
    """Rewrites the second engine's events as the rest of the caller's stream.

    Attributes:
        n_events: Number of the last event sent to the caller.
    """

    def __init__(self, delivered: Delivered) -> None:
        self.n_events = delivered.n_events
        self._delivered = delivered

    def rewrite(self, events: bytes) -> bytes:
        """Return complete events, renumbered for the caller."""
        ready = b""
        for raw in events.split(_EVENT_END):
            data = parse_event(raw).data
            if not data or self._is_role_chunk(data):
                continue
            self.n_events += 1
            ready += b"id: %d\ndata: %b\n\n" % (
                self.n_events,
                self._correct_chunk_usage(data),
            )
        return ready

    def correct_usage(self, usage: Usage) -> Usage:
        """Return the usage of the whole answer."""
        n_tokens = self._delivered.n_tokens
        return Usage(
            prompt_tokens=usage.prompt_tokens - n_tokens,
            completion_tokens=usage.completion_tokens + n_tokens,
            prompt_tokens_details=usage.prompt_tokens_details,
        )

    def _is_role_chunk(self, data: bytes) -> bool:
        """Return whether a chunk only names the role and the caller has had one."""
        if self._delivered.n_events == 0 or b'"role"' not in data:
            return False
        choices = json.loads(data).get("choices") or [{}]
        delta = choices[0].get("delta") or {}
        is_empty = not delta.get("content") and not choices[0].get("finish_reason")
        return bool(delta.get("role")) and is_empty

    def _correct_chunk_usage(self, data: bytes) -> bytes:
        """Return a chunk whose usage, if it has one, covers the whole answer."""
        if data == _DONE or b'"usage"' not in data:
            return data
        chunk = json.loads(data)
        usage = chunk.get("usage")
        if not usage:
            return data
        usage["prompt_tokens"] -= self._delivered.n_tokens
        usage["completion_tokens"] += self._delivered.n_tokens
        return json.dumps(chunk, separators=(",", ":")).encode()
