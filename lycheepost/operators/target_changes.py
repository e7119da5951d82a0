"""Plain changes of target groups and targets."""

import dataclasses

from lycheepost.generated.configuration import (
    Target,
    TargetDesiredState,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.intents import (
    AddTarget,
    AlterTarget,
    AlterTargetGroup,
    CreateTargetGroup,
    RetireTarget,
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


def create_target_group(draft: Draft, change: CreateTargetGroup) -> ChangeResult:
    """Create a target group."""
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


def alter_target_group(draft: Draft, change: AlterTargetGroup) -> ChangeResult:
    """Change the limits of a target group."""
    subject = f"target_groups/{change.target_group}"
    faults = check_present(draft, subject, "target_group")
    if faults:
        return faults
    fields = ("checks_fencing", "concurrent_loads", "min_serving")
    group, detail = replace_given(draft.find(subject), change, fields)
    draft.put(group)
    return Applied("alter_target_group", subject, detail)


def add_target(draft: Draft, change: AddTarget) -> ChangeResult:
    """Add a target to a group."""
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
    # One process under two names would be given twice its concurrency, and a request
    # that crashes it would count as the loss of two targets.
    if url and any(target.url == url for target in draft.all("targets")):
        return [Fault("url", url, "is the address of another target")]
    return []


def alter_target(draft: Draft, change: AlterTarget) -> ChangeResult:
    """Change fields of a target."""
    subject = f"targets/{change.target}"
    faults = check_present(draft, subject, "target")
    faults += _check_url_unused(draft, change.url)
    if faults:
        return faults
    fields = ("url", "concurrency_limit", "serving_share")
    target, detail = replace_given(draft.find(subject), change, fields)
    draft.put(target)
    return Applied("alter_target", subject, detail)


def retire_target(draft: Draft, change: RetireTarget) -> ChangeResult:
    """Stop sending new work to a target."""
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
    """Return a blocking conflict if too few targets would remain serving.

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
