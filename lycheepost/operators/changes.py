"""Apply the plain changes of an intent to a draft configuration.

A plain change is in force as soon as its revision is. Each function either
changes the draft and returns the step that it made, or returns every fault.
"""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lycheepost.generated.configuration import (
    Customer,
    Model,
    Target,
    TargetDesiredState,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.operators import (
    AddTarget,
    AlterCustomer,
    AlterModel,
    AlterTarget,
    AlterTargetGroup,
    CreateCustomer,
    CreateModel,
    CreateTargetGroup,
    PlanConflict,
    Remove,
    RemovedKind,
    RetireTarget,
    RotateCustomerKey,
    SetWeightsVersion,
)
from lycheepost.operators.items import Draft
from lycheepost.utils.documents import Fault

PlainChange = (
    AddTarget
    | AlterCustomer
    | AlterModel
    | AlterTarget
    | AlterTargetGroup
    | CreateCustomer
    | CreateModel
    | CreateTargetGroup
    | Remove
    | RetireTarget
    | RotateCustomerKey
    | SetWeightsVersion
)

HashForCustomer = Callable[[str], str]
"""Gives the SHA-256 of the caller key that the daemon makes for a customer."""

_REMOVED_COLLECTIONS = {
    RemovedKind.CUSTOMER: "customers",
    RemovedKind.MODEL: "models",
    RemovedKind.TARGET_GROUP: "target_groups",
    RemovedKind.TARGET: "targets",
}


@dataclass(frozen=True)
class Applied:
    """One change made to the draft.

    Attributes:
        action: What was done, as the kind of the change.
        subject: What it was done to.
        detail: One line for a person.
        conflicts: What stands against it.
        seconds: How long it takes once confirmed; 0 when in force at once.
    """

    action: str
    subject: str
    detail: str
    conflicts: tuple[PlanConflict, ...] = ()
    seconds: float = 0.0


ChangeResult = Applied | list[Fault]


def apply_plain_change(
    draft: Draft, change: PlainChange, hash_for: HashForCustomer
) -> ChangeResult:
    """Apply one plain change to ``draft``, or return why it cannot be."""
    match change:
        case CreateCustomer():
            return _create_customer(draft, change, hash_for)
        case AlterCustomer():
            return _alter_customer(draft, change)
        case RotateCustomerKey():
            return _rotate_customer_key(draft, change, hash_for)
        case CreateModel():
            return _create_model(draft, change)
        case AlterModel():
            return _alter_model(draft, change)
        case SetWeightsVersion():
            return _set_weights_version(draft, change)
        case CreateTargetGroup():
            return _create_target_group(draft, change)
        case AlterTargetGroup():
            return _alter_target_group(draft, change)
        case AddTarget():
            return _add_target(draft, change)
        case AlterTarget():
            return _alter_target(draft, change)
        case RetireTarget():
            return _retire_target(draft, change)
        case Remove():
            return _remove(draft, change)


def check_absent(draft: Draft, subject: str, path: str) -> list[Fault]:
    """Return a fault when ``subject`` exists already."""
    if draft.find(subject) is None:
        return []
    return [Fault(path, subject.partition("/")[2], "exists already")]


def check_present(draft: Draft, subject: str, path: str) -> list[Fault]:
    """Return a fault when ``subject`` does not exist."""
    if draft.find(subject) is not None:
        return []
    return [Fault(path, subject.partition("/")[2], "does not exist")]


def _check_list(
    draft: Draft, collection: str, names: list[str] | None, path: str
) -> list[Fault]:
    faults = []
    for index, name in enumerate(names or []):
        faults += check_present(draft, f"{collection}/{name}", f"{path}[{index}]")
    return faults


def _replace_given(item: Any, change: Any, fields: tuple[str, ...]) -> tuple[Any, str]:
    given = {
        field: getattr(change, field)
        for field in fields
        if getattr(change, field) is not None
    }
    detail = ", ".join(
        f"{field}: {getattr(item, field)} -> {value}" for field, value in given.items()
    )
    return dataclasses.replace(item, **given), detail


def _check_customer_lists(
    draft: Draft, change: CreateCustomer | AlterCustomer
) -> list[Fault]:
    faults = _check_list(draft, "models", change.models, "models")
    return faults + _check_list(
        draft, "target_groups", change.target_groups, "target_groups"
    )


def _create_customer(
    draft: Draft, change: CreateCustomer, hash_for: HashForCustomer
) -> ChangeResult:
    subject = f"customers/{change.customer}"
    faults = check_absent(draft, subject, "customer")
    faults += _check_customer_lists(draft, change)
    faults += _check_key_unused(draft, change.key_hash)
    if faults:
        return faults
    customer = Customer(
        customer=change.customer,
        key_hashes=[change.key_hash or hash_for(change.customer)],
        share_weight=change.share_weight,
        models=change.models,
        target_groups=change.target_groups,
    )
    draft.put(customer)
    return Applied("create_customer", subject, f"weight {change.share_weight}")


def _check_key_unused(draft: Draft, key_hash: str) -> list[Fault]:
    # Two customers with one key would reach each other's data: a request is
    # given to whichever customer the look-up finds.
    if key_hash and any(
        key_hash in customer.key_hashes for customer in draft.all("customers")
    ):
        return [Fault("key_hash", key_hash[:8] + "...", "is in use")]
    return []


def _alter_customer(draft: Draft, change: AlterCustomer) -> ChangeResult:
    subject = f"customers/{change.customer}"
    faults = check_present(draft, subject, "customer")
    faults += _check_customer_lists(draft, change)
    if faults:
        return faults
    fields = ("share_weight", "models", "target_groups", "is_enabled")
    customer, detail = _replace_given(draft.find(subject), change, fields)
    draft.put(customer)
    return Applied("alter_customer", subject, detail)


def _rotate_customer_key(
    draft: Draft, change: RotateCustomerKey, hash_for: HashForCustomer
) -> ChangeResult:
    subject = f"customers/{change.customer}"
    faults = check_present(draft, subject, "customer")
    faults += _check_key_unused(draft, change.key_hash)
    if faults:
        return faults
    customer = draft.find(subject)
    kept = customer.key_hashes[:1] if change.keep_newest_old_key else []
    new_hash = change.key_hash or hash_for(change.customer)
    draft.put(dataclasses.replace(customer, key_hashes=[new_hash, *kept]))
    n_ended = len(customer.key_hashes) - len(kept)
    detail = f"a new key; {len(kept)} old keys work on, {n_ended} end"
    return Applied("rotate_customer_key", subject, detail)


def _create_model(draft: Draft, change: CreateModel) -> ChangeResult:
    subject = f"models/{change.model}"
    faults = check_absent(draft, subject, "model")
    faults += check_present(
        draft, f"target_groups/{change.target_group}", "target_group"
    )
    group = draft.find(f"target_groups/{change.target_group}")
    if group is not None and group.kind is not TargetGroupKind.ENGINE:
        faults.append(
            Fault("target_group", change.target_group, "holds no model engines")
        )
    if faults:
        return faults
    draft.put(
        Model(
            model=change.model,
            weights_version=change.weights_version,
            target_group=change.target_group,
            max_prompt_tokens=change.max_prompt_tokens,
            max_output_tokens=change.max_output_tokens,
        )
    )
    detail = f"weights {change.weights_version} on {change.target_group}"
    return Applied("create_model", subject, detail)


def _alter_model(draft: Draft, change: AlterModel) -> ChangeResult:
    subject = f"models/{change.model}"
    faults = check_present(draft, subject, "model")
    if faults:
        return faults
    fields = ("max_prompt_tokens", "max_output_tokens")
    model, detail = _replace_given(draft.find(subject), change, fields)
    draft.put(model)
    return Applied("alter_model", subject, detail)


def _set_weights_version(draft: Draft, change: SetWeightsVersion) -> ChangeResult:
    subject = f"models/{change.model}"
    faults = check_present(draft, subject, "model")
    if faults:
        return faults
    model = draft.find(subject)
    conflicts = _check_holders(draft, model, change.weights_version)
    draft.put(dataclasses.replace(model, weights_version=change.weights_version))
    detail = f"weights {model.weights_version} -> {change.weights_version}"
    return Applied("set_weights_version", subject, detail, tuple(conflicts))


def _check_holders(draft: Draft, model: Model, version: str) -> list[PlanConflict]:
    """Return a blocking conflict when too few targets hold ``version``.

    A target serves a request only with the weights that the request asks for.
    Were the version set before enough targets hold it, every request would be
    refused until they do; ``new_weights`` loads first and sets it last. Targets
    with no version of their own follow the model and hold the version it had.
    """
    serving = [
        target
        for target in draft.all("targets")
        if target.target_group == model.target_group
        and target.desired_state is TargetDesiredState.SERVING
    ]
    group = draft.find(f"target_groups/{model.target_group}")
    held = sum(
        (target.weights_version or model.weights_version) == version
        for target in serving
    )
    needed = min(group.min_serving, len(serving))
    if held >= needed:
        return []
    reason = (
        f"{held} of {len(serving)} serving targets hold {version} and {needed} must;"
        " load it with new_weights"
    )
    return [
        PlanConflict(subject=f"models/{model.model}", reason=reason, is_blocking=True)
    ]


def _create_target_group(draft: Draft, change: CreateTargetGroup) -> ChangeResult:
    subject = f"target_groups/{change.target_group}"
    faults = check_absent(draft, subject, "target_group")
    if faults:
        return faults
    draft.put(
        TargetGroup(
            target_group=change.target_group,
            kind=TargetGroupKind(change.group_kind),
            checks_fencing=change.checks_fencing,
            concurrent_loads=change.concurrent_loads,
            min_serving=change.min_serving,
        )
    )
    return Applied("create_target_group", subject, f"of kind {change.group_kind}")


def _alter_target_group(draft: Draft, change: AlterTargetGroup) -> ChangeResult:
    subject = f"target_groups/{change.target_group}"
    faults = check_present(draft, subject, "target_group")
    if faults:
        return faults
    fields = ("checks_fencing", "concurrent_loads", "min_serving")
    group, detail = _replace_given(draft.find(subject), change, fields)
    draft.put(group)
    return Applied("alter_target_group", subject, detail)


def _add_target(draft: Draft, change: AddTarget) -> ChangeResult:
    subject = f"targets/{change.target}"
    faults = check_absent(draft, subject, "target")
    faults += check_present(
        draft, f"target_groups/{change.target_group}", "target_group"
    )
    faults += _check_url_unused(draft, change.url)
    if faults:
        return faults
    state = TargetDesiredState.SERVING
    if change.is_standby:
        state = TargetDesiredState.STANDBY
    draft.put(
        Target(
            target=change.target,
            target_group=change.target_group,
            availability_zone=change.availability_zone,
            url=change.url,
            concurrency_limit=change.concurrency_limit,
            desired_state=state,
            weights_version=change.weights_version,
        )
    )
    detail = f"{state.value} in {change.target_group}, {change.availability_zone}"
    return Applied("add_target", subject, detail)


def _check_url_unused(draft: Draft, url: str | None) -> list[Fault]:
    # One process under two names would be given twice its concurrency, and a
    # request that killed it would count as the loss of two targets.
    if url and any(target.url == url for target in draft.all("targets")):
        return [Fault("url", url, "is the address of another target")]
    return []


def _alter_target(draft: Draft, change: AlterTarget) -> ChangeResult:
    subject = f"targets/{change.target}"
    faults = check_present(draft, subject, "target")
    faults += _check_url_unused(draft, change.url)
    if faults:
        return faults
    fields = ("url", "concurrency_limit", "serving_share")
    target, detail = _replace_given(draft.find(subject), change, fields)
    draft.put(target)
    return Applied("alter_target", subject, detail)


def _retire_target(draft: Draft, change: RetireTarget) -> ChangeResult:
    subject = f"targets/{change.target}"
    faults = check_present(draft, subject, "target")
    if faults:
        return faults
    target = draft.find(subject)
    conflicts = check_enough_serving(draft, target.target_group, {change.target})
    draft.put(dataclasses.replace(target, desired_state=TargetDesiredState.RETIRED))
    detail = "takes no new work; what runs there is finished"
    return Applied("retire_target", subject, detail, tuple(conflicts))


def check_enough_serving(
    draft: Draft, group_name: str, leaving: set[str]
) -> list[PlanConflict]:
    """Return a blocking conflict when too few targets would be left serving.

    Args:
        draft: The configuration before they leave.
        group_name: The target group they are in.
        leaving: Names of the targets that stop serving.
    """
    group = draft.find(f"target_groups/{group_name}")
    left = sum(
        target.target_group == group_name
        and target.desired_state is TargetDesiredState.SERVING
        and target.target not in leaving
        for target in draft.all("targets")
    )
    if group is None or left >= group.min_serving:
        return []
    reason = f"{left} targets would serve and min_serving is {group.min_serving}"
    return [
        PlanConflict(
            subject=f"target_groups/{group_name}", reason=reason, is_blocking=True
        )
    ]


def _remove(draft: Draft, change: Remove) -> ChangeResult:
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
    return []
