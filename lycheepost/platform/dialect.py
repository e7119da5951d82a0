"""Encodes calls to the platform's servers and decodes their response headers."""

import math
import sys
from collections.abc import Mapping

from multidict import CIMultiDict

from lycheepost.core.ids import TargetId, WeightsVersion
from lycheepost.core.notices import TargetNotice
from lycheepost.platform import headers as names
from lycheepost.platform.unknownheaders import UnknownHeaders
from lycheepost.targets.forwardcall import (
    EngineOptions,
    ForwardCall,
    ReportedLoad,
    ResponseHead,
)
from lycheepost.utils.bodies import body_framing

MISDIRECTED_STATUS = 421
"""The address belongs to another server, or the weights differ from those expected."""
_UNAVAILABLE_STATUS = 503
_LEAVING_VALUE = "1"
MILLISECONDS = 1000.0
_CONTROL_CHARACTERS = dict.fromkeys([*range(0x20), 0x7F], " ") | {ord("\t"): "\t"}
_MAX_DIGITS = 18


class ServerDialect:
    """Implements ``targets.forwardcall.Dialect``."""

    def __init__(self) -> None:
        self._unknown = UnknownHeaders()

    def encode(self, call: ForwardCall) -> list[tuple[str, str]]:
        """Return all request headers of a call."""
        replaced = {names.DEADLINE.lower(), names.LAST_EVENT.lower()}
        headers = [item for item in call.headers if item[0].lower() not in replaced]
        remaining_ms = max(1, int(call.remaining_seconds * MILLISECONDS))
        headers.append((names.DEADLINE, str(remaining_ms)))
        headers.append((names.EXPECTED_TARGET, call.target))
        if call.customer:
            headers.append((names.CUSTOMER, call.customer))
        if call.after_event is not None:
            headers.append((names.LAST_EVENT, str(call.after_event)))
        if call.engine is not None:
            headers.extend(_engine_headers(call.engine))
        return headers

    def decode(
        self, call: ForwardCall, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Return the status and headers of the response to ``call``."""
        found = CIMultiDict(headers)
        self._unknown.note(found)
        target = found.get(names.TARGET)
        weights = parse_count(found.get(names.WEIGHTS, ""))
        is_other = status == MISDIRECTED_STATUS
        return ResponseHead(
            status=status,
            headers=client_headers(headers),
            answers_other_request=answers_other_request(found, call),
            is_sealed=names.SEAL in found,
            is_encoded=found.get("Content-Encoding", "identity") != "identity",
            was_not_run=names.NOT_RUN in found,
            is_other_target=is_other,
            framing=body_framing(call.method, status, found),
            target=TargetId(target) if target else None,
            weights_version=None if weights is None else WeightsVersion(str(weights)),
            load=decode_load(found.get(names.LOAD, "")),
            notice=decode_notice(status, found),
        )


def answers_other_request(found: Mapping[str, str], call: ForwardCall) -> bool:
    """Return whether a response belongs to another request than ``call``.

    A server names the request in each response that it seals. A sealed response without
    an attempt id comes from a faulty server and may belong to an earlier request.
    """
    asked_id = CIMultiDict(call.headers).get(names.ATTEMPT_ID)
    answered_id = found.get(names.ATTEMPT_ID)
    if answered_id is None and names.SEAL not in found:
        return False
    return answered_id != asked_id


def _engine_headers(options: EngineOptions) -> list[tuple[str, str]]:
    headers = [
        (names.CACHE_SCOPE, options.cache_scope),
        (names.RANK, str(min(options.rank, names.MAX_RANK))),
    ]
    if options.weights_version:
        headers.append((names.EXPECTED_WEIGHTS, options.weights_version))
    if options.fetch_from:
        headers.append((names.FETCH_FROM, options.fetch_from))
    if options.store_to:
        headers.append((names.STORE_TO, options.store_to))
    return headers


def client_headers(headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers of a response that go to the client.

    The server's load is only for the daemons. Control characters are replaced, as they
    are invalid and a response with them cannot be sent.
    """
    return tuple(
        (name, value if value.isprintable() else value.translate(_CONTROL_CHARACTERS))
        for name, value in names.end_to_end_headers(headers)
        if name.lower() != names.LOAD.lower()
    )


def decode_load(text: str) -> ReportedLoad | None:
    """Return the load that a server reports; None when the value is missing or invalid.

    Some servers append their momentary speed to these three. Further figures are
    ignored, and so is a speed of 0, as no work takes no time.
    """
    match [parse_count(word) for word in text.split(",")]:
        case [int(n_running), int(n_waiting), int(n_slots), *rest]:
            percent = rest[0] if rest else None
            return ReportedLoad(n_running, n_waiting, n_slots, percent or None)
    return None


def decode_notice(status: int, headers: Mapping[str, str]) -> TargetNotice:
    """Return what response headers report about the server, other than its load.

    Args:
        status: The status of the response.
        headers: Its headers; names are matched without regard to case.
    """
    retry_after_seconds = None
    if status == _UNAVAILABLE_STATUS:
        retry_after_seconds = parse_non_negative(headers.get(names.RETRY_AFTER, ""))
    return TargetNotice(
        limit_per_second=parse_non_negative(headers.get(names.RATE_LIMIT, "")),
        is_leaving=headers.get(names.LEAVING, "").strip() == _LEAVING_VALUE,
        retry_after_seconds=retry_after_seconds,
        brittle_per_second=parse_non_negative(headers.get(names.BRITTLE, "")),
    )


def parse_non_negative(text: str) -> float | None:
    """Return a finite number >= 0; None when ``text`` is not one.

    An invalid value that was used as a limit or back-off would keep all requests from
    the server for as long as the server sends it.
    """
    try:
        figure = float(text)
    except ValueError:
        return None
    return figure if math.isfinite(figure) and figure >= 0.0 else None


def parse_count(text: str) -> int | None:
    """Return a whole number >= 0; None when ``text`` is not one.

    A negative count would make a load or a prompt appear to free capacity that other
    requests use. Python raises an error for numbers of several thousand digits.
    """
    text = text.strip()
    is_count = len(text) <= _MAX_DIGITS and text.isascii() and text.isdigit()
    return int(text) if is_count else None


def header_int(headers: Mapping[str, str], name: str) -> int | None:
    """Return a header's integer value; None when it is missing or not an integer.

    Values with too many digits for a float count as missing.
    """
    text = headers.get(name, "").strip()
    try:
        return int(text) if len(text) <= sys.float_info.max_10_exp else None
    except ValueError:
        return None
