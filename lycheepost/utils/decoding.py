"""Exceptions that decoding untrusted bytes may raise."""

import msgspec

UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""For bytes that are not JSON or MessagePack or hold values of other types, text that
is not UTF-8, and lists nested too deeply for the decoder."""
