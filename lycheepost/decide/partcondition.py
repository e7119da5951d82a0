"""Whether a part of the decisions takes effect in a deployment, and why."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartCondition:
    """Whether a part takes effect.

    Attributes:
        reason: One line for operators.
    """

    is_met: bool
    reason: str
