"""Encodes requests that a daemon relays to a peer, and decodes the peer's responses.

A peer takes a relayed request like that of a client. Its response is a server's if it
carries the server's seal; all others are the peer's own.
"""

from multidict import CIMultiDict

from lycheepost.core.notices import TargetNotice
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import (
    MILLISECONDS,
    answers_other_request,
    client_headers,
    parse_count,
    parse_non_negative,
)
from lycheepost.targets.forwardcall import (
    ForwardCall,
    ResponseHead,
)
from lycheepost.utils.bodies import body_framing

_FIRST_SERVER_ERROR_STATUS = 500
_UNAVAILABLE_STATUS = 503


class PeerDialect:
    """Implements ``targets.forwardcall.Dialect`` for peers."""

    def encode(self, call: ForwardCall) -> list[tuple[str, str]]:
        """Return all request headers of a relayed request."""
        replaced = {
            names.DEADLINE.lower(),
            names.LAST_EVENT.lower(),
            names.RESUMES.lower(),
        }
        headers = [item for item in call.headers if item[0].lower() not in replaced]
        remaining_ms = max(1, int(call.remaining_seconds * MILLISECONDS))
        headers.append((names.DEADLINE, str(remaining_ms)))
        if call.after_event is not None:
            headers.append((names.LAST_EVENT, str(call.after_event)))
            if call.relay is not None and call.relay.stream:
                headers.append((names.RESUMES, call.relay.stream))
        if call.relay is not None:
            headers.append((names.RELAYED_RUNS, str(call.relay.n_runs)))
            headers.append((names.RELAYED_ARRIVALS, str(call.relay.n_arrivals)))
            headers.append((names.RELAYED_COUNTED, str(int(call.relay.is_counted))))
            headers.append((names.RELAYED_CONFIGURATION, str(call.relay.configuration)))
            if call.relay.key is not None:
                headers.append((names.AUTHORIZATION, f"Token {call.relay.key}"))
        return headers

    def decode(
        self, call: ForwardCall, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Return the status and headers of the response to ``call``.

        All statuses of a peer's own promise that the request has not run, but 502, 504
        and other server errors.
        """
        found = CIMultiDict(headers)
        is_sealed = names.SEAL in found
        is_refusal = status < _FIRST_SERVER_ERROR_STATUS or (
            status == _UNAVAILABLE_STATUS
        )
        return ResponseHead(
            status=status,
            headers=client_headers(headers),
            answers_other_request=answers_other_request(found, call),
            is_sealed=is_sealed,
            is_encoded=found.get("Content-Encoding", "identity") != "identity",
            was_not_run=not is_sealed and is_refusal,
            is_other_target=False,
            framing=body_framing(call.method, status, found),
            notice=TargetNotice(
                retry_after_seconds=parse_non_negative(found.get(names.RETRY_AFTER, ""))
            ),
            n_arrivals=parse_count(found.get(names.RELAYED_ARRIVALS, "")),
        )
