"""Helpers for the stand-in engine's HTTP interface."""

import json

from aiohttp import web

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PrefixDigest
from lycheepost.decide.records import PrefixLevel


def substitute_event(data: bytes) -> bytes:
    """Replace the id and the words of an event by those of another request."""
    head, separator, body = data.partition(b"data: ")
    if body.strip() == b"[DONE]":
        return data
    chunk = json.loads(body)
    chunk["id"] += "-other"
    for choice in chunk.get("choices", []):
        delta = choice.get("delta", {})
        if delta.get("content"):
            delta["content"] = " other"
        if choice.get("text"):
            choice["text"] = " other"
    return head + separator + json.dumps(chunk).encode() + b"\n\n"


def refuse(status: int, reason: str, retry_after: int | None = None) -> web.Response:
    """Return an engine's error response."""
    headers = {} if retry_after is None else {"Retry-After": str(retry_after)}
    body = {"error": {"message": reason, "type": "engine_error", "code": status}}
    return web.json_response(body, status=status, headers=headers)


def parse_levels(
    header: str, prompt_text: str, prompt_tokens: int
) -> tuple[PrefixLevel, ...]:
    """Parse ``X-Prefix-Digests``; without it the whole prompt is one level."""
    if not header:
        digest = PrefixDigest(hash_bytes(prompt_text.encode()))
        return (PrefixLevel(digest, prompt_tokens),)
    levels = []
    for part in header.split(","):
        digest_text, _, end_tokens = part.strip().partition(":")
        levels.append(PrefixLevel(PrefixDigest(int(digest_text)), int(end_tokens)))
    return tuple(levels)
