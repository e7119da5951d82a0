"""The result of applying one change, and checks shared by changes."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lycheepost.generated.operators import (
    PlanConflict,
)
from lycheepost.operators.items import Draft
from lycheepost.utils.documents import Fault

HashForCustomer = Callable[[str], str]
"""Returns the SHA-256 of the caller key that the daemon generates for a customer."""


@dataclass(frozen=True)
class Applied:
    """One change made to the draft.

    Attributes:
        action: The kind of the change.
        subject: The item that was changed.
        detail: One line for the operator to read.
        conflicts: Conflicts with the change.
        seconds: Estimated duration after the confirm; 0 when in force at once.
    """

    action: str
    subject: str
    detail: str
    conflicts: tuple[PlanConflict, ...] = ()
    seconds: float = 0.0


ChangeResult = Applied | list[Fault]


def check_absent(draft: Draft, subject: str, path: str) -> list[Fault]:
    """Return a fault if ``subject`` already exists."""
    if draft.find(subject) is None:
        return []
    return [Fault(path, subject.partition("/")[2], "exists already")]


def check_present(draft: Draft, subject: str, path: str) -> list[Fault]:
    """Return a fault if ``subject`` does not exist."""
    if draft.find(subject) is not None:
        return []
    return [Fault(path, subject.partition("/")[2], "does not exist")]


def check_list(
    draft: Draft, collection: str, names: list[str] | None, path: str
) -> list[Fault]:
    """Return a fault for each of ``names`` that does not exist."""
    faults = []
    for index, name in enumerate(names or []):
        faults += check_present(draft, f"{collection}/{name}", f"{path}[{index}]")
    return faults


def replace_given(item: Any, change: Any, fields: tuple[str, ...]) -> tuple[Any, str]:
    """Return ``item`` with the fields set in ``change``, and a description."""
    given = {
        field: getattr(change, field)
        for field in fields
        if getattr(change, field) is not None
    }
    detail = ", ".join(
        f"{field}: {getattr(item, field)} -> {value}" for field, value in given.items()
    )
    return dataclasses.replace(item, **given), detail
