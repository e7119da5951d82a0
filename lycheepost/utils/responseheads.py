"""What makes the head of an HTTP response invalid.

The HTTP library refuses invalid names of fields. It takes any three digits for a
status. A server that sends one that HTTP has not is in trouble, and neither its headers
nor its body can be relied on.
"""

from enum import Enum

MIN_STATUS = 100
MAX_STATUS = 599
"""HTTP defines five classes of statuses (RFC 9110, section 15)."""


class HeadFault(Enum):
    """What is wrong with a head."""

    STATUS = "status"
    """Its status is none of HTTP's."""


def find_head_fault(status: int) -> HeadFault | None:
    """Return what is wrong with a parsed head; None if nothing is.

    Args:
        status: The status of the response.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        return HeadFault.STATUS
    return None
