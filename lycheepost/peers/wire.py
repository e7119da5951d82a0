"""Encode and decode peer messages; tolerate messages of other releases.

A message of an unknown kind is counted and dropped; unknown fields are counted
and ignored; a corrupt message is counted and dropped. None of them closes a link.
"""

import zlib
from collections import Counter
from dataclasses import dataclass, field, fields
from typing import Any

import msgspec
import structlog

from lycheepost.generated.messages import (
    BegunStreams,
    FeedAnswer,
    FeedAsk,
    LeaseNews,
    LoadNews,
    MemberNews,
    NoticeNews,
    PathAnswer,
    PathQuestion,
    PeerEnvelope,
    PeerFlood,
    PeerHeartbeat,
    PeerHello,
    PromptPartsDigest,
    PromptPartsLost,
    PromptPartsWritten,
    PromptPartTrial,
    QuarantineNotice,
    QuotaSpent,
    RevisionDeltas,
    RevisionFetch,
    RevisionWhole,
    SoftwareNews,
    SuspectPlaced,
    TargetNews,
    TargetsChanging,
    WeightsDue,
)

VERSION = 1
_log = structlog.get_logger(part="peers")

MESSAGE_TYPES: dict[str, type] = {
    "hello": PeerHello,
    "heartbeat": PeerHeartbeat,
    "flood": PeerFlood,
    "members": MemberNews,
    "target": TargetNews,
    "quarantine": QuarantineNotice,
    "suspect": SuspectPlaced,
    "parts-digest": PromptPartsDigest,
    "parts-lost": PromptPartsLost,
    "parts-written": PromptPartsWritten,
    "part-trial": PromptPartTrial,
    "path-question": PathQuestion,
    "path-answer": PathAnswer,
    "changing": TargetsChanging,
    "loads": LoadNews,
    "limits": NoticeNews,
    "quota": QuotaSpent,
    "lease": LeaseNews,
    "software": SoftwareNews,
    "streams": BegunStreams,
    "weights-due": WeightsDue,
    "feed-ask": FeedAsk,
    "feed-answer": FeedAnswer,
    "fetch": RevisionFetch,
    "deltas": RevisionDeltas,
    "whole": RevisionWhole,
}
_KINDS = {message_type: kind for kind, message_type in MESSAGE_TYPES.items()}
_FIELDS = {
    message_type: {item.name for item in fields(message_type)}
    for message_type in MESSAGE_TYPES.values()
}


MIN_COMPRESSED_BYTES = 1024
"""Shorter bodies, such as most load reports, of which a daemon gets hundreds a second,
save too few bytes to be worth the processor time."""

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Largest body that is decompressed: that of a table of some ten thousand rows."""

_COMPRESSION_LEVEL = 1
"""Higher levels take several times as long and save little: the repeated field names
and addresses are found at any level."""

_MAX_UNKNOWN_NAMES = 64
"""Maximum number of unknown names counted separately. A later release adds a few; a
faulty one must not fill the memory and the log with arbitrary names."""
_OTHER = "(other)"


@dataclass(slots=True)
class WireCounts:
    """Counts of what could not be decoded, for ``/admin/status``."""

    unknown_kinds: Counter[str] = field(default_factory=Counter)
    unknown_fields: Counter[str] = field(default_factory=Counter)
    n_damaged: int = 0
    newest_version: int = VERSION


def kind_of(message: Any) -> str:
    """Return the kind that names the type of a message in its envelope."""
    return _KINDS[type(message)]


def encode_body(message: Any) -> bytes:
    """Return the encoded message without its envelope."""
    return msgspec.msgpack.encode(message)


def encode_message(message: Any, may_compress: bool = False) -> bytes:
    """Return the encoded message in its envelope.

    Args:
        message: The message.
        may_compress: Whether the receiver accepts a compressed body.
    """
    body = encode_body(message)
    is_compressed = may_compress and len(body) >= MIN_COMPRESSED_BYTES
    envelope = PeerEnvelope(
        version=VERSION,
        kind=kind_of(message),
        body=zlib.compress(body, _COMPRESSION_LEVEL) if is_compressed else body,
        is_compressed=is_compressed,
    )
    return msgspec.msgpack.encode(envelope)


def decode_message(data: bytes, counts: WireCounts) -> Any | None:
    """Return the message of an envelope, or None when it cannot be decoded."""
    try:
        envelope = msgspec.msgpack.decode(data, type=PeerEnvelope)
    except msgspec.MsgspecError:
        counts.n_damaged += 1
        return None
    counts.newest_version = max(counts.newest_version, envelope.version)
    body = _decompress(envelope.body) if envelope.is_compressed else envelope.body
    if body is None:
        counts.n_damaged += 1
        return None
    return decode_body(envelope.kind, body, counts)


def _decompress(data: bytes) -> bytes | None:
    """Return the body; None if it is damaged or larger than a message may be."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_BODY_BYTES)
    except zlib.error:
        return None
    return body if decompressor.eof else None


def decode_body(kind: str, body: bytes, counts: WireCounts) -> Any | None:
    """Return the message of this kind, or None when it cannot be decoded."""
    message_type = MESSAGE_TYPES.get(kind)
    if message_type is None:
        if kind not in counts.unknown_kinds:
            if len(counts.unknown_kinds) >= _MAX_UNKNOWN_NAMES:
                kind = _OTHER
            else:
                _log.info("peers: unknown kind", kind=kind)
        counts.unknown_kinds[kind] += 1
        return None
    try:
        document = msgspec.msgpack.decode(body)
        message: Any = msgspec.convert(document, message_type)
    except msgspec.MsgspecError:
        counts.n_damaged += 1
        return None
    for name in set(document) - _FIELDS[message_type]:
        label = f"{kind}.{name}"
        if len(counts.unknown_fields) >= _MAX_UNKNOWN_NAMES:
            label = _OTHER
        counts.unknown_fields[label] += 1
    return message
