"""Sends one chat completion as a caller does and records the outcome.

The answer is parsed by the published event format only: ``data:`` lines, JSON chunks
and the final ``[DONE]``. Nothing is retried here, because a retry would hide a fault
from the audit.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from lycheepost.loadgen.outcomes import (
    Answered,
    CompletionOutcome,
    Executed,
    GaveUp,
    Refused,
    Truncated,
    Unreached,
)
from lycheepost.loadgen.requests import Completion

EXECUTED_HEADER = "Lycheepost-Executed"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Seconds"

_ANSWER_TIMEOUT_SECONDS = 120.0
"""A complete answer takes seconds; a stream that is open for two minutes hangs."""
_DONE = "[DONE]"
_DATA_PREFIX = b"data:"


@dataclass(frozen=True, slots=True)
class Client:
    """Session, address, key and model that requests are sent with."""

    session: aiohttp.ClientSession
    address: str
    key: str
    model: str


@dataclass
class _StreamState:
    """What has been read from one stream so far."""

    sent_seconds: float
    parts: list[str] = field(default_factory=list)
    first_seconds: float | None = None
    last_seconds: float = 0.0
    worst_gap_seconds: float = 0.0
    finish_reason: str = ""
    usage: dict[str, Any] = field(default_factory=dict)
    is_done: bool = False
    is_error: bool = False

    def add_text(self, text: str, now_seconds: float) -> None:
        if self.first_seconds is None:
            self.first_seconds = now_seconds
        else:
            gap_seconds = now_seconds - self.last_seconds
            self.worst_gap_seconds = max(self.worst_gap_seconds, gap_seconds)
        self.last_seconds = now_seconds
        self.parts.append(text)


def make_messages(request: Completion) -> list[dict[str, str]]:
    """Return the OpenAI messages, with the shared sections as system messages."""
    messages = [
        {"role": "system", "content": section.text} for section in request.sections[:-1]
    ]
    messages.append({"role": "user", "content": request.sections[-1].text})
    return messages


def encode_completion(request: Completion, model: str) -> bytes:
    """Return the OpenAI request body of ``request``."""
    body: dict[str, Any] = {
        "model": model,
        "messages": make_messages(request),
        "max_tokens": request.max_tokens,
    }
    if request.is_streamed:
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(body)


async def send_completion(
    request: Completion, request_id: str, client: Client
) -> CompletionOutcome:
    """Send ``request`` once and return its outcome; errors are outcomes too."""
    sent_seconds = asyncio.get_running_loop().time()
    headers = {
        "Authorization": f"Bearer {client.key}",
        "Content-Type": "application/json",
        REQUEST_ID_HEADER: request_id,
        TIMEOUT_HEADER: f"{request.first_token_timeout_seconds:g}",
    }
    state = _StreamState(sent_seconds)
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
            async with client.session.post(
                f"{client.address}/v1/chat/completions",
                data=encode_completion(request, client.model),
                headers=headers,
            ) as response:
                if response.status != 200:
                    return await read_refusal(response, sent_seconds)
                if request.is_streamed:
                    return await _read_stream(response, state, request)
                return await _read_complete(response, sent_seconds)
    except TimeoutError:
        return _outcome_of_break(state, "no end in time")
    except (aiohttp.ClientError, OSError) as error:
        return _outcome_of_break(state, type(error).__name__)


def _outcome_of_break(state: _StreamState, reason: str) -> CompletionOutcome:
    """Return the outcome of a broken connection, which a caller can detect."""
    if state.parts:
        return Truncated("".join(state.parts), is_explicit=True)
    return Unreached(reason)


async def read_refusal(
    response: aiohttp.ClientResponse, sent_seconds: float
) -> Refused:
    """Parse an error response; with an unknown body only its status is kept."""
    data = await response.read()
    code = ""
    try:
        detail = msgspec.json.decode(data)["error"]
        code = str(detail.get("code") or detail.get("type") or "")
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
        code = "unreadable_body"
    return Refused(
        status=response.status,
        code=code,
        executed=_read_executed(response.headers.get(EXECUTED_HEADER)),
        retry_after_seconds=_read_seconds(response.headers.get("Retry-After")),
        seconds=asyncio.get_running_loop().time() - sent_seconds,
    )


def _read_executed(value: str | None) -> Executed:
    try:
        return Executed(value) if value else Executed.ABSENT
    except ValueError:
        return Executed.ABSENT


def _read_seconds(value: str | None) -> float | None:
    try:
        return float(value) if value else None
    except ValueError:
        return None


async def _events(response: aiohttp.ClientResponse) -> AsyncIterator[str]:
    """Yield the data of each complete server-sent event.

    An event ends with a blank line; what is left at the end of the body is none.
    """
    data: bytes | None = None
    async for raw in response.content:
        line = raw.strip()
        if line.startswith(_DATA_PREFIX):
            data = line[len(_DATA_PREFIX) :].strip()
        elif not line and data is not None:
            yield data.decode()
            data = None


async def _read_stream(
    response: aiohttp.ClientResponse, state: _StreamState, request: Completion
) -> CompletionOutcome:
    events = _events(response)
    loop = asyncio.get_running_loop()
    timeout_at_seconds = state.sent_seconds + request.first_token_timeout_seconds
    try:
        while not state.is_done and not state.is_error:
            when = None if state.parts else timeout_at_seconds
            async with asyncio.timeout_at(when):
                data = await anext(events)
            _apply_event(data, state, loop.time())
    except StopAsyncIteration:
        pass
    except TimeoutError:
        return GaveUp(loop.time() - state.sent_seconds)
    return _finish_stream(response, state)


def _apply_event(data: str, state: _StreamState, now_seconds: float) -> None:
    if data == _DONE:
        state.is_done = True
        return
    try:
        chunk = msgspec.json.decode(data)
    except msgspec.DecodeError:
        state.is_error = True
        return
    if "error" in chunk:
        state.is_error = True
        return
    if chunk.get("usage"):
        state.usage = chunk["usage"]
    for choice in chunk.get("choices", ()):
        text = choice.get("delta", {}).get("content")
        if text:
            state.add_text(text, now_seconds)
        state.finish_reason = choice.get("finish_reason") or state.finish_reason


def _finish_stream(
    response: aiohttp.ClientResponse, state: _StreamState
) -> CompletionOutcome:
    text = "".join(state.parts)
    if state.is_error:
        return Truncated(text, is_explicit=True)
    if not state.is_done or not state.finish_reason:
        return Truncated(text, is_explicit=False)
    first_seconds = state.first_seconds or state.sent_seconds
    return _make_answer(
        text,
        response,
        state.finish_reason,
        first_seconds - state.sent_seconds,
        state.worst_gap_seconds,
        state.usage,
    )


async def _read_complete(
    response: aiohttp.ClientResponse, sent_seconds: float
) -> CompletionOutcome:
    data = await response.read()
    seconds = asyncio.get_running_loop().time() - sent_seconds
    try:
        body = msgspec.json.decode(data)
        choice = body["choices"][0]
        text = str(choice["message"]["content"])
        finish_reason = str(choice["finish_reason"] or "")
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return Truncated("", is_explicit=False)
    usage = body.get("usage") or {}
    return _make_answer(text, response, finish_reason, seconds, 0.0, usage)


def _make_answer(
    text: str,
    response: aiohttp.ClientResponse,
    finish_reason: str,
    ttft_seconds: float,
    worst_gap_seconds: float,
    usage: dict[str, Any],
) -> Answered:
    details = usage.get("prompt_tokens_details") or {}
    return Answered(
        text=text,
        echoed_request=response.headers.get(REQUEST_ID_HEADER, ""),
        finish_reason=finish_reason,
        ttft_seconds=ttft_seconds,
        worst_gap_seconds=worst_gap_seconds,
        prompt_tokens=int(usage.get("prompt_tokens") or 0),
        cached_tokens=int(details.get("cached_tokens") or 0),
        completion_tokens=int(usage.get("completion_tokens") or 0),
    )
