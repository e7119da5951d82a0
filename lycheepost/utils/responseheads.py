"""What makes the head of an HTTP response invalid.

The HTTP library refuses invalid names of fields. It takes any three digits for a
status, joins a folded line to the line before it, and passes on bodies in transfer
codings that it does not decode. A server that sends these is in trouble, and neither
its headers nor its body can be relied on.
"""

import re
from enum import Enum

from multidict import MultiMapping

MIN_STATUS = 100
MAX_STATUS = 599
"""HTTP defines five classes of statuses (RFC 9110, section 15)."""

_BLANK_LINE_OR_FOLD = re.compile(rb"\n(?:\r?\n|[ \t])")
_STATUS_INDEX = len(b"HTTP/1.1 ")
_INFORMATIONAL_CLASS = b"1"
_LINE_ENDS = b"\r\n"


class HeadFault(Enum):
    """What is wrong with a head."""

    STATUS = "status"
    """Its status is none of HTTP's."""
    FOLDED_LINE = "folded_line"
    """A line begins with a blank or a tab."""
    TRANSFER_CODING = "transfer_coding"
    """The body has another transfer coding than chunks; no client accepts one."""


def find_head_fault(status: int, headers: MultiMapping[str]) -> HeadFault | None:
    """Return what is wrong with a parsed head; None if nothing is.

    Args:
        status: The status of the response.
        headers: Its headers; names are matched without regard to case.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        return HeadFault.STATUS
    codings = headers.getall("Transfer-Encoding", ["chunked"])
    if [coding.lower() for coding in codings] != ["chunked"]:
        return HeadFault.TRANSFER_CODING
    return None


class FoldSearch:
    """Searches the heads of one response for folded lines, as they arrive.

    A parsed head does not show them, as the library joins the lines.
    """

    def __init__(self) -> None:
        self._unsearched = b""
        self._is_in_head = False
        self._is_informational = False

    def has_fold(self, data: bytes) -> bool:
        """Return whether a line of a head is folded.

        Args:
            data: The next bytes of the response. Those with the end of the last head
                may include a part of the body; none follow these.
        """
        self._unsearched += data
        while self._is_begun():
            found = _BLANK_LINE_OR_FOLD.search(self._unsearched)
            if found is None:
                # The last two bytes may be the start of a blank line.
                self._unsearched = self._unsearched[-2:]
                return False
            if not found.group().endswith(b"\n"):
                return True
            self._unsearched = self._unsearched[found.end() :]
            self._is_in_head = False
            if not self._is_informational:
                self._unsearched = b""
                break
        return False

    def _is_begun(self) -> bool:
        """Return whether the first digit of a head's status has arrived."""
        if self._is_in_head:
            return True
        self._unsearched = self._unsearched.lstrip(_LINE_ENDS)
        digit = self._unsearched[_STATUS_INDEX : _STATUS_INDEX + 1]
        self._is_informational = digit == _INFORMATIONAL_CLASS
        self._is_in_head = bool(digit)
        return self._is_in_head
