"""The whole numbers that the platform's documents may hold.

Other programs write documents too, and JSON numbers have no limit. A number that passes
here is compared, added and sent to peers, whose messages hold 64 bits.
"""

from typing import Annotated

import msgspec

MAX_NUMBER = 2**53 - 1
"""Largest whole number that all JSON decoders read exactly."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count, a version, or a Unix time in milliseconds."""
