"""Decodes the heads of the requests of the platform's clients."""

from aiohttp import web
from multidict import CIMultiDictProxy

from lycheepost.callers.errors import CallerError
from lycheepost.callers.forwarddeps import ForwardRequest, RelayedFrom
from lycheepost.core.ids import ModelId
from lycheepost.core.routing import Prompt, PromptPart
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import header_int, parse_count

_MILLISECONDS = 1000.0


def decode_request(request: web.BaseRequest, arrived_seconds: float) -> ForwardRequest:
    """Return the record of a client's request, without its body."""
    headers = request.headers
    host = headers.get("Host", "").rpartition(":")[0] or headers.get("Host", "")
    deadline_ms = header_int(headers, names.DEADLINE)
    kept = [
        (name, value)
        for name, value in names.end_to_end_headers([*headers.items()])
        if name.lower() not in names.SYSTEM_ONLY
    ]
    return ForwardRequest(
        caller_id=headers.get(names.ATTEMPT_ID, ""),
        method=request.method,
        host=host.lower(),
        raw_path=request.raw_path,
        headers=tuple(kept),
        key=_decode_key(headers),
        caller_timeout_seconds=None
        if deadline_ms is None
        else deadline_ms / _MILLISECONDS,
        prompt=decode_prompt(headers),
        after_event=header_int(headers, names.LAST_EVENT),
        resumed_id=headers.get(names.RESUMES, "").strip(),
        body=b"",
        arrived_seconds=arrived_seconds,
        relayed=_decode_relayed(headers),
    )


def _decode_relayed(headers: CIMultiDictProxy[str]) -> RelayedFrom | None:
    """Return what a daemon states of a request that it relays; None if nothing."""
    n_runs = parse_count(headers.get(names.RELAYED_RUNS, ""))
    if n_runs is None:
        return None
    return RelayedFrom(
        n_runs,
        parse_count(headers.get(names.RELAYED_ARRIVALS, "")) or 0,
        parse_count(headers.get(names.RELAYED_CONFIGURATION, "")) or 0,
        parse_count(headers.get(names.RELAYED_COUNTED, "")) == 1,
    )


def _decode_key(headers: CIMultiDictProxy[str]) -> str | None:
    value = headers.get(names.AUTHORIZATION, "")
    if not value.lower().startswith(names.KEY_SCHEME):
        return None
    return value[len(names.KEY_SCHEME) :].strip() or None


def decode_prompt(headers: CIMultiDictProxy[str]) -> Prompt | None:
    """Return the prompt that the request headers describe; None when there is none.

    Raises:
        CallerError: The description is invalid.
    """
    model = headers.get(names.MODEL)
    if model is None:
        return None
    match [parse_count(word) for word in headers.get(names.TOKENS, "").split(",")]:
        case [int(n_tokens), int(n_output)]:
            parts = _decode_parts(headers.get(names.PROMPT_PARTS, ""))
            # A hint that is no count is as good as none.
            hint = parse_count(headers.get(names.LENGTH_HINT, "")) or 0
            return Prompt(ModelId(model), n_tokens, n_output, parts, hint)
    raise _bad_prompt()


def _decode_parts(text: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for word in filter(None, text.split(",")):
        part_id, _, count = word.partition(":")
        n_tokens = parse_count(count)
        if n_tokens is None:
            raise _bad_prompt()
        parts.append(PromptPart(part_id.strip(), n_tokens))
    return tuple(parts)


def _bad_prompt() -> CallerError:
    """Return the error for an invalid description of a prompt.

    Forwarded as it is, the request would run outside its customer's cache scope.
    """
    return CallerError(
        "The description of the prompt cannot be read.", status=400, code="bad_prompt"
    )
