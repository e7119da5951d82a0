"""Send one chat completion as a caller does and record what came back.

The answer is read with the published event format and nothing else: ``data:``
lines, JSON chunks and the last ``[DONE]``. Nothing is retried here, because a
caller's library that retried would hide a fault from the audit.
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
PATIENCE_HEADER = "X-Request-Timeout-Seconds"

_ANSWER_SECONDS = 120.0
"""A whole answer takes seconds; a stream that is open for two minutes hangs."""
_DONE = "[DONE]"
_DATA_PREFIX = b"data:"


@dataclass(frozen=True, slots=True)
class Line:
    """Where and as whom to send."""

    session: aiohttp.ClientSession
    address: str
    key: str
    model: str


@dataclass
class _Reading:
    """What has been read of one stream so far."""

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
    """Return the OpenAI messages; the shared sections are system messages."""
    messages = [
        {"role": "system", "content": section.text} for section in request.sections[:-1]
    ]
    messages.append({"role": "user", "content": request.sections[-1].text})
    return messages


def encode_completion(request: Completion, model: str) -> bytes:
    """Return the OpenAI body of ``request``."""
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
    request: Completion, request_id: str, line: Line
) -> CompletionOutcome:
    """Send ``request`` once and return its end; errors become outcomes."""
    sent_seconds = asyncio.get_running_loop().time()
    headers = {
        "Authorization": f"Bearer {line.key}",
        "Content-Type": "application/json",
        REQUEST_ID_HEADER: request_id,
        PATIENCE_HEADER: f"{request.patience_seconds:g}",
    }
    reading = _Reading(sent_seconds)
    try:
        async with asyncio.timeout(_ANSWER_SECONDS):
            async with line.session.post(
                f"{line.address}/v1/chat/completions",
                data=encode_completion(request, line.model),
                headers=headers,
            ) as response:
                if response.status != 200:
                    return await read_refusal(response, sent_seconds)
                if request.is_streamed:
                    return await _read_stream(response, reading, request)
                return await _read_whole(response, sent_seconds)
    except TimeoutError:
        return _explain_break(reading, "no end in time")
    except (aiohttp.ClientError, OSError) as error:
        return _explain_break(reading, type(error).__name__)


def _explain_break(reading: _Reading, reason: str) -> CompletionOutcome:
    """Return the outcome of a connection that broke, which a caller can tell."""
    if reading.parts:
        return Truncated("".join(reading.parts), is_explicit=True)
    return Unreached(reason)


async def read_refusal(
    response: aiohttp.ClientResponse, sent_seconds: float
) -> Refused:
    """Return an error answer as a record; a foreign body keeps its status."""
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
    """Yield the data of each server-sent event."""
    async for raw in response.content:
        line = raw.strip()
        if line.startswith(_DATA_PREFIX):
            yield line[len(_DATA_PREFIX) :].strip().decode()


async def _read_stream(
    response: aiohttp.ClientResponse, reading: _Reading, request: Completion
) -> CompletionOutcome:
    events = _events(response)
    loop = asyncio.get_running_loop()
    give_up_seconds = reading.sent_seconds + request.patience_seconds
    try:
        while not reading.is_done and not reading.is_error:
            when = None if reading.parts else give_up_seconds
            async with asyncio.timeout_at(when):
                data = await anext(events)
            _take_event(data, reading, loop.time())
    except StopAsyncIteration:
        pass
    except TimeoutError:
        return GaveUp(loop.time() - reading.sent_seconds)
    return _finish_stream(response, reading)


def _take_event(data: str, reading: _Reading, now_seconds: float) -> None:
    if data == _DONE:
        reading.is_done = True
        return
    try:
        chunk = msgspec.json.decode(data)
    except msgspec.DecodeError:
        reading.is_error = True
        return
    if "error" in chunk:
        reading.is_error = True
        return
    if chunk.get("usage"):
        reading.usage = chunk["usage"]
    for choice in chunk.get("choices", ()):
        text = choice.get("delta", {}).get("content")
        if text:
            reading.add_text(text, now_seconds)
        reading.finish_reason = choice.get("finish_reason") or reading.finish_reason


def _finish_stream(
    response: aiohttp.ClientResponse, reading: _Reading
) -> CompletionOutcome:
    text = "".join(reading.parts)
    if reading.is_error:
        return Truncated(text, is_explicit=True)
    if not reading.is_done or not reading.finish_reason:
        return Truncated(text, is_explicit=False)
    first_seconds = reading.first_seconds or reading.sent_seconds
    return _make_answer(
        text,
        response,
        reading.finish_reason,
        first_seconds - reading.sent_seconds,
        reading.worst_gap_seconds,
        reading.usage,
    )


async def _read_whole(
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
