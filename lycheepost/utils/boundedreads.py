"""Counts answers that were given up, as a server sent too much."""

from collections import Counter
from enum import Enum

import aiohttp
import structlog

_log = structlog.get_logger(part="http")


class Excess(Enum):
    """What a server sent too much of."""

    INFORMATIONAL_HEADS = "informational_heads"
    HEAD_BYTES = "head_bytes"
    UPGRADE = "upgrade"
    """Status 101, which no client asks for."""
    FRAMING_BYTES = "framing_bytes"
    """Chunk extensions, trailers and the like."""
    UNASKED_BYTES = "unasked_bytes"
    """Bytes while no call waits for an answer."""
    BODY_BYTES = "body_bytes"


class AnswerGivenUp(aiohttp.ClientPayloadError):
    """A server sent too much; its connection was closed.

    Attributes:
        excess: Of what.
    """

    def __init__(self, excess: Excess) -> None:
        super().__init__(f"the server sent too much: {excess.value}")
        self.excess = excess


_n_given_up: Counter[str] = Counter()


def note_given_up(client: str, excess: Excess) -> None:
    """Log and count an answer that was given up."""
    _n_given_up[f"{client}.{excess.value}"] += 1
    _log.warning("http: answer given up", client=client, excess=excess.value)


def given_up_counts() -> dict[str, int]:
    """Return how many answers this process gave up, by ``CLIENT.EXCESS``."""
    return dict(_n_given_up)
