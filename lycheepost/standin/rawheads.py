"""Responses whose head is written byte by byte, valid or not.

HTTP libraries write valid heads only. Servers in trouble send others.
"""

from collections.abc import Iterable, Mapping
from enum import Enum


def encode_head(
    status: str, fields: Mapping[str, str], lines: Iterable[str] = ()
) -> bytes:
    """Return a head as it is sent.

    Args:
        status: What follows the version, such as ``200 OK``; any text.
        fields: Names and values.
        lines: Lines that follow the fields, each of any text.
    """
    written = [f"{name}: {value}" for name, value in fields.items()]
    all_lines = [f"HTTP/1.1 {status}", *written, *lines]
    return "\r\n".join([*all_lines, "", ""]).encode("latin-1")


def encode_chunk(data: bytes, extension: bytes = b"") -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


class HeadForm(Enum):
    """What is wrong with a response; its body is complete."""

    STATUS_000 = "status 000"
    STATUS_099 = "status 099"
    STATUS_600 = "status 600"
    STATUS_999 = "status 999"
    STATUS_SHORT = "status of two digits"
    STATUS_LONG = "status of four digits"
    STATUS_SIGNED = "status with a sign"
    NAME_WITH_BLANK = "blank in a name"
    NAME_BEFORE_BLANK = "blank before a colon"
    NAME_WITH_TAB = "tab in a name"
    NAME_WITH_NUL = "NUL in a name"
    NAME_WITH_CONTROL = "control byte in a name"
    NAME_WITH_DELETE = "DEL in a name"
    NAME_WITH_HIGH_BYTE = "byte 0x80 in a name"
    NAME_EMPTY = "empty name"
    NO_COLON = "line without a colon"
    FOLDED_FIELD = "folded line"
    FOLDED_BY_TAB = "folded line with a tab"
    FOLDED_FIRST = "blank before the first field"
    FOLDED_BLANK = "folded line of blanks"
    FOLDED_LENGTH = "folded length"
    FOLDED_CHUNKED = "folded transfer coding"
    UNKNOWN_CODING = "unknown coding"
    IDENTITY_CODING = "coding identity"
    CODED_CHUNKS = "coding under chunks"
    CHUNKED_FIRST = "chunked not last"
    CHUNKED_TWICE = "chunked twice"
    CHUNKED_SUFFIX = "coding that ends like chunked"
    INTERIM_NAME = "blank in a name of an interim head"
    INTERIM_FOLDED = "folded line of an interim head"
    TRAILER_NAME = "blank in a name of a trailer"
    LENGTH_AND_CODING = "length and chunks"
    LENGTH_TWICE = "two lengths"


_STATUSES = {
    HeadForm.STATUS_000: "000 Trouble",
    HeadForm.STATUS_099: "099 Trouble",
    HeadForm.STATUS_600: "600 Trouble",
    HeadForm.STATUS_999: "999 Trouble",
    HeadForm.STATUS_SHORT: "20 OK",
    HeadForm.STATUS_LONG: "2000 OK",
    HeadForm.STATUS_SIGNED: "+20 OK",
}
_LINES = {
    HeadForm.NAME_WITH_BLANK: "X More: more",
    HeadForm.NAME_BEFORE_BLANK: "X-More : more",
    HeadForm.NAME_WITH_TAB: "X\tMore: more",
    HeadForm.NAME_WITH_NUL: "X\0More: more",
    HeadForm.NAME_WITH_CONTROL: "X\x01More: more",
    HeadForm.NAME_WITH_DELETE: "X\x7fMore: more",
    HeadForm.NAME_WITH_HIGH_BYTE: "X\x80More: more",
    HeadForm.NAME_EMPTY: ": more",
    HeadForm.NO_COLON: "X-More",
    HeadForm.FOLDED_FIELD: "X-More: more\r\n X-Folded: folded",
    HeadForm.FOLDED_BY_TAB: "X-More: more\r\n\tX-Folded: folded",
    HeadForm.FOLDED_BLANK: "X-More: more\r\n  ",
    HeadForm.LENGTH_TWICE: "Content-Length: 1",
}
"""Sent beside a valid length."""
_CODINGS = {
    HeadForm.FOLDED_CHUNKED: "Transfer-Encoding: gzip,\r\n chunked",
    HeadForm.UNKNOWN_CODING: "Transfer-Encoding: rot13",
    HeadForm.IDENTITY_CODING: "Transfer-Encoding: identity",
    HeadForm.CODED_CHUNKS: "Transfer-Encoding: gzip, chunked",
    HeadForm.CHUNKED_FIRST: "Transfer-Encoding: chunked, gzip",
    HeadForm.CHUNKED_TWICE: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    HeadForm.CHUNKED_SUFFIX: "Transfer-Encoding: xchunked",
}
"""Sent in place of a length."""
_INTERIM_LINES = {
    HeadForm.INTERIM_NAME: "X More: more",
    HeadForm.INTERIM_FOLDED: "X-More: more\r\n X-Folded: folded",
}
_CHUNKED = "Transfer-Encoding: chunked"


def encode_form(form: HeadForm, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return a response in one form.

    Args:
        form: What is wrong with it.
        headers: Its headers, without those that frame the body.
        body: Its body.
    """
    status = _STATUSES.get(form, "200 OK")
    length = f"Content-Length: {len(body)}"
    chunks = encode_chunk(body) + b"0\r\n"
    match form:
        case HeadForm.FOLDED_FIRST:
            names = [f"{name}: {value}" for name, value in headers.items()]
            lines = [" X-Folded: folded", *names, length]
            return encode_head(status, {}, lines) + body
        case HeadForm.FOLDED_LENGTH:
            folded = f"Content-Length:\r\n {len(body)}"
            return encode_head(status, headers, [folded]) + body
        case HeadForm.TRAILER_NAME:
            head = encode_head(status, headers, [_CHUNKED])
            return head + chunks + b"X More: more\r\n\r\n"
        case HeadForm.LENGTH_AND_CODING:
            return encode_head(status, headers, [length, _CHUNKED]) + chunks + b"\r\n"
        case form if form in _CODINGS:
            return encode_head(status, headers, [_CODINGS[form]]) + chunks + b"\r\n"
        case form if form in _INTERIM_LINES:
            interim = encode_head("103 Early Hints", {}, [_INTERIM_LINES[form]])
            return interim + encode_head(status, headers, [length]) + body
    lines = [length, _LINES[form]] if form in _LINES else [length]
    return encode_head(status, headers, lines) + body
