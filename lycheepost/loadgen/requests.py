"""What a caller wants: one record per completion or plain-service call.

These records are made by ``loadgen.mixes``, sent by ``loadgen.drive`` and read
again by ``loadgen.audit``, so that the audit judges an answer by what was asked
and by nothing that the system under test said.
"""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import CustomerId, IdempotencyKey


class Repeat(Enum):
    """What a caller of a plain service does beside sending its call once."""

    NEVER = "never"
    AFTER_LOST_ANSWER = "after_lost_answer"
    """Drops the connection before the answer and sends the same key again."""
    AT_ONCE = "at_once"
    """Sends the same key twice at the same time, as an impatient tap does."""


@dataclass(frozen=True, slots=True)
class Section:
    """One level of a prompt.

    Attributes:
        name: Names the text: two sections of one customer with equal names up
            to here have equal text up to here, which an engine can reuse.
        text: Words separated by single spaces.
    """

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class Completion:
    """One chat completion.

    Attributes:
        number: Unique within a run; also stands in the last section's text, so
            that no two prompts are equal.
        arrive_seconds: When it is sent, from the start of the run.
        sections: Outermost first; each becomes one message.
        patience_seconds: How long the caller waits for the first token.
    """

    number: int
    arrive_seconds: float
    customer: CustomerId
    sections: tuple[Section, ...]
    max_tokens: int
    patience_seconds: float
    is_streamed: bool


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call of a plain service that must not run twice.

    Attributes:
        order: Unique within a run; stands in the body.
        key: The idempotency key of every send of this call.
        body: The same bytes in every send.
    """

    number: int
    arrive_seconds: float
    customer: CustomerId
    order: str
    key: IdempotencyKey
    body: bytes
    patience_seconds: float
    repeat: Repeat


Request = Completion | ServiceCall
