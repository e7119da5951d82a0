"""Remove what nothing uses any more."""

from lycheepost.generated.configuration import TargetDesiredState
from lycheepost.generated.intents import (
    Remove,
    RemovedKind,
)
from lycheepost.operators.capacity_records import ACTIVE_STEPS
from lycheepost.operators.change_results import (
    Applied,
    ChangeResult,
    check_present,
)
from lycheepost.operators.items import Draft
from lycheepost.utils.documents import Fault

_REMOVED_COLLECTIONS = {
    RemovedKind.CUSTOMER: "customers",
    RemovedKind.MODEL: "models",
    RemovedKind.TARGET_GROUP: "target_groups",
    RemovedKind.TARGET: "targets",
}


def remove(draft: Draft, change: Remove) -> ChangeResult:
    """Remove what nothing uses any more."""
    subject = f"{_REMOVED_COLLECTIONS[change.what]}/{change.name}"
    faults = check_present(draft, subject, "name")
    if faults:
        return faults
    faults = [
        Fault("name", change.name, f"is used by {user}")
        for user in _users_of(draft, change)
    ]
    if faults:
        return faults
    draft.drop(subject)
    return Applied("remove", subject, "ends with this revision")


def _users_of(draft: Draft, change: Remove) -> list[str]:
    name = change.name
    match change.what:
        case RemovedKind.CUSTOMER:
            customer = draft.find(f"customers/{name}")
            return ["its own callers: disable it first"] if customer.is_enabled else []
        case RemovedKind.MODEL:
            return [
                f"customers/{item.customer}"
                for item in draft.all("customers")
                if name in item.models
            ]
        case RemovedKind.TARGET_GROUP:
            return _users_of_group(draft, name)
        case RemovedKind.TARGET:
            return _users_of_target(draft, name)


def _users_of_group(draft: Draft, name: str) -> list[str]:
    users = [
        f"customers/{item.customer}"
        for item in draft.all("customers")
        if name in item.target_groups
    ]
    for collection, field in (("models", "model"), ("targets", "target")):
        users += [
            f"{collection}/{getattr(item, field)}"
            for item in draft.all(collection)
            if item.target_group == name
        ]
    return users


def _users_of_target(draft: Draft, name: str) -> list[str]:
    target = draft.find(f"targets/{name}")
    if target.desired_state is TargetDesiredState.SERVING:
        return ["traffic: retire it first"]
    # Removing a target during a load would free its load slot too soon.
    return [
        f"capacity_intents/{intent.intent}"
        for intent in draft.all("capacity_intents")
        for step in intent.steps
        if step.target == name and step.state in ACTIVE_STEPS
    ]
