"""Plain changes of models."""

import dataclasses

from lycheepost.generated.configuration import (
    Model,
    TargetDesiredState,
    TargetGroupKind,
)
from lycheepost.generated.intents import (
    AlterModel,
    CreateModel,
    SetWeightsVersion,
)
from lycheepost.generated.operators import (
    PlanConflict,
)
from lycheepost.operators.change_results import (
    Applied,
    ChangeResult,
    check_absent,
    check_present,
    replace_given,
)
from lycheepost.operators.items import Draft
from lycheepost.utils.documents import Fault


def create_model(draft: Draft, change: CreateModel) -> ChangeResult:
    """Create a model on a group of engines."""
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


def alter_model(draft: Draft, change: AlterModel) -> ChangeResult:
    """Change the limits of a model."""
    subject = f"models/{change.model}"
    faults = check_present(draft, subject, "model")
    if faults:
        return faults
    fields = ("max_prompt_tokens", "max_output_tokens")
    model, detail = replace_given(draft.find(subject), change, fields)
    draft.put(model)
    return Applied("alter_model", subject, detail)


def set_weights_version(draft: Draft, change: SetWeightsVersion) -> ChangeResult:
    """Change the requested weights version, if enough targets hold it."""
    subject = f"models/{change.model}"
    faults = check_present(draft, subject, "model")
    if faults:
        return faults
    model = draft.find(subject)
    conflicts = _check_holders(draft, model, change.weights_version)
    _pin_followers(draft, model)
    draft.put(dataclasses.replace(model, weights_version=change.weights_version))
    detail = f"weights {model.weights_version} -> {change.weights_version}"
    return Applied("set_weights_version", subject, detail, tuple(conflicts))


def _pin_followers(draft: Draft, model: Model) -> None:
    """Record the weights of targets that have no version of their own.

    Such targets follow their model. When its version changes they still hold the
    previous one, which must be recorded, or they would appear to hold weights that were
    never loaded there.
    """
    for target in draft.all("targets"):
        follows = not target.weights_version
        if follows and target.target_group == model.target_group:
            held = model.weights_version
            draft.put(dataclasses.replace(target, weights_version=held))


def _check_holders(draft: Draft, model: Model, version: str) -> list[PlanConflict]:
    """Return a blocking conflict when too few targets hold ``version``.

    A target serves a request only with the weights that the request asks for. If the
    version were set before enough targets hold it, every request would be refused until
    they do; ``new_weights`` loads first and sets the version last. Targets with no
    version of their own follow the model and hold its previous version.
    """
    serving = [
        target
        for target in draft.all("targets")
        if target.target_group == model.target_group
        and target.desired_state is TargetDesiredState.SERVING
    ]
    if model.next_weights_version:
        reason = f"the model is changing to {model.next_weights_version}"
        return [
            PlanConflict(
                subject=f"models/{model.model}", reason=reason, is_blocking=True
            )
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
