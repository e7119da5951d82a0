"""What decoding bytes that somebody else wrote may raise."""

import msgspec

UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Bytes that are no JSON or MessagePack or hold other types, text that is no UTF-8,
and lists nested so deep that the decoder gives up."""
