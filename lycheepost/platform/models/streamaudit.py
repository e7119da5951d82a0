"""Tells which software version generated each event of a stand-in's stream."""

from collections.abc import Iterable, Sequence

from lycheepost.platform.models.serverstandin import event_bytes


def split_events(body: bytes) -> list[bytes]:
    """Return the complete events of a body."""
    *events, _ = body.split(b"\n\n")
    return [event + b"\n\n" for event in events]


def versions_of(
    request_body: bytes, events: Iterable[bytes], versions: Sequence[str]
) -> frozenset[str] | None:
    """Return the versions that generated a stream's events; None if one is nobody's.

    Args:
        request_body: The body of the request.
        events: The events from the first one on.
        versions: All software versions that served.
    """
    found: set[str] = set()
    for number, event in enumerate(events, 1):
        fitting = {
            version
            for version in versions
            if event == event_bytes(number, request_body, version)
        }
        if not fitting:
            return None
        found |= fitting
    return frozenset(found)


def stream_body(request_body: bytes, n_events: int, version: str) -> bytes:
    """Return a whole stream as engines of one version generate it."""
    return b"".join(
        event_bytes(number, request_body, version) for number in range(1, n_events + 1)
    )
