"""Parse an intent: check each change against its schema and convert it.

All faults of all changes are reported together, each with its path in the submitted
document.
"""

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from lycheepost.generated.intents import (
    AddTarget,
    AlterCustomer,
    AlterModel,
    AlterTarget,
    AlterTargetGroup,
    CancelIntent,
    ChangeKind,
    ChangeRole,
    CreateCustomer,
    CreateModel,
    CreateTargetGroup,
    HoldReady,
    NewWeights,
    PauseIntent,
    Remove,
    RemoveCustomerQuota,
    ResumeIntent,
    Retire,
    RetireTarget,
    RotateCustomerKey,
    SetCustomerQuota,
    SetWeightsVersion,
)
from lycheepost.utils.documents import Fault, convert_document

MAX_CHANGES = 500
"""Maximum changes of one intent; a person could not review a longer plan."""

Change = (
    AddTarget
    | AlterCustomer
    | AlterModel
    | AlterTarget
    | AlterTargetGroup
    | CancelIntent
    | ChangeRole
    | CreateCustomer
    | CreateModel
    | CreateTargetGroup
    | HoldReady
    | NewWeights
    | PauseIntent
    | Remove
    | RemoveCustomerQuota
    | ResumeIntent
    | Retire
    | RetireTarget
    | RotateCustomerKey
    | SetCustomerQuota
    | SetWeightsVersion
)

_RECORDS: dict[ChangeKind, type[Change]] = {
    ChangeKind.CREATE_CUSTOMER: CreateCustomer,
    ChangeKind.ALTER_CUSTOMER: AlterCustomer,
    ChangeKind.ROTATE_CUSTOMER_KEY: RotateCustomerKey,
    ChangeKind.SET_CUSTOMER_QUOTA: SetCustomerQuota,
    ChangeKind.REMOVE_CUSTOMER_QUOTA: RemoveCustomerQuota,
    ChangeKind.CREATE_MODEL: CreateModel,
    ChangeKind.ALTER_MODEL: AlterModel,
    ChangeKind.SET_WEIGHTS_VERSION: SetWeightsVersion,
    ChangeKind.CREATE_TARGET_GROUP: CreateTargetGroup,
    ChangeKind.ALTER_TARGET_GROUP: AlterTargetGroup,
    ChangeKind.ADD_TARGET: AddTarget,
    ChangeKind.ALTER_TARGET: AlterTarget,
    ChangeKind.RETIRE_TARGET: RetireTarget,
    ChangeKind.REMOVE: Remove,
    ChangeKind.HOLD_READY: HoldReady,
    ChangeKind.RETIRE: Retire,
    ChangeKind.NEW_WEIGHTS: NewWeights,
    ChangeKind.CHANGE_ROLE: ChangeRole,
    ChangeKind.PAUSE_INTENT: PauseIntent,
    ChangeKind.RESUME_INTENT: ResumeIntent,
    ChangeKind.CANCEL_INTENT: CancelIntent,
}


@dataclass(frozen=True)
class Intent:
    """Changes requested by an operator, which apply together.

    Attributes:
        changes: The changes, in the order in which they are applied.
        documents: The same changes as submitted.
        prefixes: Path of each change in the document, for fault messages.
        note: A comment for other operators.
    """

    changes: tuple[Change, ...]
    documents: tuple[dict[str, Any], ...]
    prefixes: tuple[str, ...]
    note: str = ""


def parse_intent(document: Any) -> Result[Intent, list[Fault]]:
    """Return ``document`` as an intent, or all of its faults."""
    if not isinstance(document, dict):
        return Failure([Fault("(document)", "", "is not an object")])
    if "changes" not in document:
        return _parse_changes([document], ("",), "")
    faults = _check_envelope(document)
    if faults:
        return Failure(faults)
    changes = document["changes"]
    prefixes = tuple(f"changes[{index}]." for index in range(len(changes)))
    return _parse_changes(changes, prefixes, document.get("note", ""))


def _check_envelope(document: dict[str, Any]) -> list[Fault]:
    faults = [
        Fault(str(name), "", "is not a known field")
        for name in document
        if name not in ("changes", "note")
    ]
    changes = document["changes"]
    if not isinstance(changes, list) or not 1 <= len(changes) <= MAX_CHANGES:
        faults.append(Fault("changes", "", f"is not a list of 1 to {MAX_CHANGES}"))
    if not isinstance(document.get("note", ""), str):
        faults.append(Fault("note", "", "is not a string"))
    return faults


def _parse_changes(
    documents: list[Any], prefixes: tuple[str, ...], note: str
) -> Result[Intent, list[Fault]]:
    changes = []
    faults = []
    for document, prefix in zip(documents, prefixes, strict=True):
        match parse_change(document):
            case Success(change):
                changes.append(change)
            case Failure(found):
                faults += [prefix_fault(prefix, fault) for fault in found]
    if faults:
        return Failure(faults)
    return Success(Intent(tuple(changes), tuple(documents), prefixes, note))


def parse_change(document: Any) -> Result[Change, list[Fault]]:
    """Return one change, or all of its faults."""
    if not isinstance(document, dict):
        return Failure([Fault("(document)", "", "is not an object")])
    kind = document.get("kind")
    # A list or an object is not hashable and cannot be looked up.
    if not isinstance(kind, str) or kind not in set(ChangeKind):
        known = ", ".join(ChangeKind)
        return Failure([Fault("kind", str(kind)[:60], f"is not one of {known}")])
    fields = {name: value for name, value in document.items() if name != "kind"}
    record = _RECORDS[ChangeKind(kind)]
    return convert_document("intents", fields, record, record.__name__)


def prefix_fault(prefix: str, fault: Fault) -> Fault:
    """Return ``fault`` with the path of its change prepended."""
    if fault.path == "(document)":
        return Fault(prefix.rstrip(".") or fault.path, fault.value, fault.reason)
    return Fault(prefix + fault.path, fault.value, fault.reason)
