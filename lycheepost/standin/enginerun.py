"""Generates one answer of the stand-in engine with its events and its record.

A run is independent of the connections that read it, so that a client that lost its
connection can resume from any event.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lycheepost.standin import answers
from lycheepost.standin.enginerecords import EngineRequest
from lycheepost.standin.enginetiming import EngineTiming


class RunState(Enum):
    """State of a run."""

    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclass(frozen=True, slots=True)
class RunRequest:
    """The fields of an HTTP request that a run needs.

    Attributes:
        is_chat: Whether it is a chat; otherwise it is a text completion.
        n_tokens: Number of tokens to generate.
        is_limited: Whether ``n_tokens`` is the caller's limit rather than the default.
        wants_usage_chunk: Whether the caller asked for a separate usage chunk.
    """

    request: str
    is_chat: bool
    model: str
    prompt_text: str
    n_tokens: int
    is_limited: bool
    wants_usage_chunk: bool

    @property
    def answer_id(self) -> str:
        """Return the answer's id, which every chunk carries."""
        return f"{'chatcmpl' if self.is_chat else 'cmpl'}-{self.request}"


@dataclass
class RunRecord:
    """Record of one run, for audits.

    Attributes:
        prompt_hash: Hash of the prompt text.
        n_tokens: Number of tokens generated so far.
    """

    request: str
    boot_id: str
    prompt_hash: int
    prompt_tokens: int
    cached_tokens: int = 0
    n_tokens: int = 0
    state: RunState = RunState.RUNNING


class EngineRun:
    """One answer that is being generated."""

    def __init__(
        self,
        request: RunRequest,
        work: EngineRequest,
        timing: EngineTiming,
        record: RunRecord,
    ) -> None:
        self.request = request
        self.record = record
        self.events: list[bytes] = []
        self.text = ""
        self.n_readers = 0
        self._work = work
        self._timing = timing
        self._changed = asyncio.Event()
        self._task = asyncio.create_task(self._generate())

    @property
    def is_done(self) -> bool:
        """Return whether the run has ended, so that no further event follows."""
        return self.record.state is not RunState.RUNNING

    def end(self, state: RunState) -> None:
        """Stop the run unless it has already ended."""
        if not self.is_done:
            self.record.state = state
            self._task.cancel()
            self._wake()

    async def wait_event(self, index: int) -> bool:
        """Wait for an event; return False if the run ends before it."""
        while len(self.events) <= index and not self.is_done:
            changed = self._changed
            await changed.wait()
        return len(self.events) > index

    async def wait_done(self) -> None:
        """Wait until the run has ended."""
        while not self.is_done:
            changed = self._changed
            await changed.wait()

    def usage(self) -> dict[str, Any]:
        """Return the usage object of the answer."""
        record = self.record
        return {
            "prompt_tokens": record.prompt_tokens,
            "completion_tokens": record.n_tokens,
            "total_tokens": record.prompt_tokens + record.n_tokens,
            "prompt_tokens_details": {"cached_tokens": record.cached_tokens},
        }

    def complete_answer(self) -> dict[str, Any]:
        """Return the body of a non-streamed answer."""
        request = self.request
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason()}
        if request.is_chat:
            choice["message"] = {"role": "assistant", "content": self.text}
        else:
            choice["text"] = self.text
        return {
            "id": request.answer_id,
            "object": "chat.completion" if request.is_chat else "text_completion",
            "created": 0,
            "model": request.model,
            "choices": [choice],
            "usage": self.usage(),
        }

    def _finish_reason(self) -> str:
        return "length" if self.request.is_limited else "stop"

    async def _generate(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await self._generate_tokens()
            finally:
                self._timing.leave(self._work)

    async def _generate_tokens(self) -> None:
        record = self.record
        record.cached_tokens = await self._timing.prefill(self._work)
        answer = answers.AnswerText(self.request.prompt_text)
        if self.request.is_chat:
            self._append_choice({"delta": {"role": "assistant", "content": ""}})
        for index in range(self.request.n_tokens):
            if index:
                await self._timing.next_token(self._work)
            token = answer.next_token()
            self.text += token
            record.n_tokens += 1
            part = {"delta": {"content": token}}
            self._append_choice(part if self.request.is_chat else {"text": token})
        self._append_end()
        record.state = RunState.COMPLETE
        self._wake()

    def _append_end(self) -> None:
        empty: dict[str, Any] = {"delta": {}} if self.request.is_chat else {"text": ""}
        empty["finish_reason"] = self._finish_reason()
        if self.request.wants_usage_chunk:
            self._append_choice(empty)
            self._append_chunk([], self.usage())
        else:
            self._append_choice(empty, self.usage())
        self._append(b"[DONE]")

    def _append_choice(
        self, part: dict[str, Any], usage: dict[str, Any] | None = None
    ) -> None:
        choice = {"index": 0, "finish_reason": None} | part
        self._append_chunk([choice], usage)

    def _append_chunk(
        self, choices: list[dict[str, Any]], usage: dict[str, Any] | None
    ) -> None:
        request = self.request
        chunk: dict[str, Any] = {
            "id": request.answer_id,
            "object": "chat.completion.chunk" if request.is_chat else "text_completion",
            "created": 0,
            "model": request.model,
            "choices": choices,
        }
        if usage is not None:
            chunk["usage"] = usage
        self._append(json.dumps(chunk, separators=(",", ":")).encode())

    def _append(self, data: bytes) -> None:
        number = len(self.events) + 1
        self.events.append(b"id: %d\ndata: %b\n\n" % (number, data))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def make_run_request(
    request: str, is_chat: bool, body: dict[str, Any], max_tokens: int
) -> RunRequest:
    """Parse one request body.

    Args:
        request: The request id.
        is_chat: Whether the body is a chat.
        body: The decoded JSON body.
        max_tokens: The engine's own limit.

    Raises:
        KeyError: The body has neither messages nor a prompt.
        TypeError: A field has the wrong type.
        ValueError: A field has a value that cannot be served.
    """
    if body.get("n", 1) != 1:
        raise ValueError("only one choice is supported")
    asked = body.get("max_completion_tokens", body.get("max_tokens"))
    if asked is not None and int(asked) < 1:
        raise ValueError("max_tokens must be at least 1")
    if is_chat:
        messages = body["messages"]
        is_continued = bool(body.get("continue_final_message"))
        prompt_text = answers.chat_prompt_text(messages, is_continued)
        default_tokens = answers.DEFAULT_ANSWER_TOKENS
        if is_continued:
            delivered = answers.content_text(messages[-1].get("content"))
            default_tokens = max(1, default_tokens - len(delivered.split()))
    else:
        prompt_text = answers.completion_prompt_text(body["prompt"])
        default_tokens = answers.DEFAULT_COMPLETION_TOKENS
    options = body.get("stream_options") or {}
    return RunRequest(
        request=request,
        is_chat=is_chat,
        model=str(body.get("model", "")),
        prompt_text=prompt_text,
        n_tokens=min(int(asked or default_tokens), max_tokens),
        is_limited=asked is not None,
        wants_usage_chunk=bool(options.get("include_usage")),
    )
