"""Tell whether, and how, the configuration moved since a plan was made.

By default a plan is confirmed only if no other operator's plan was confirmed
since its basis: the operator decided on what they saw. At many changes a minute
that would refuse nearly every confirm, so a confirm may allow changes that have
nothing to do with the plan; what the plan itself looked at must never have
moved. Progress of capacity intents makes revisions too, and counts only where
it touches what the plan looked at, or a rollout could not be paused.
"""

from lycheepost.generated.configuration import AppliedPlan, Configuration
from lycheepost.generated.operators import (
    Plan,
)
from lycheepost.operators.items import Draft, digest_item
from lycheepost.operators.planning import MAX_APPLIED_PLANS
from lycheepost.utils.documents import Fault


def find_applied_plan(configuration: Configuration, plan_id: str) -> AppliedPlan | None:
    """Return the entry of a plan that this configuration remembers."""
    return next(
        (entry for entry in configuration.applied_plans if entry.plan == plan_id), None
    )


def has_history_since(configuration: Configuration, revision: int) -> bool:
    """Return whether every plan confirmed after ``revision`` is remembered."""
    entries = configuration.applied_plans
    return len(entries) < MAX_APPLIED_PLANS or entries[0].revision <= revision


def find_basis_changes(
    plan: Plan, configuration: Configuration, allow_unrelated: bool
) -> list[Fault]:
    """Return everything that moved since the plan's basis; empty to go on."""
    moved = _find_changed_items(plan, configuration)
    if allow_unrelated:
        return moved
    later = [
        entry
        for entry in configuration.applied_plans
        if entry.revision > plan.basis_revision
    ]
    faults = moved + [_describe_plan(entry) for entry in later]
    if not has_history_since(configuration, plan.basis_revision):
        reason = "more plans were confirmed since than are remembered"
        faults.append(Fault("revision", str(configuration.revision), reason))
    return faults


def _find_changed_items(plan: Plan, configuration: Configuration) -> list[Fault]:
    draft = Draft(configuration)
    faults = []
    for item in plan.basis:
        digest = digest_item(draft.find(item.subject))
        if digest != item.digest:
            reason = _describe_change(item.digest, digest)
            faults.append(
                Fault(item.subject, f"revision {configuration.revision}", reason)
            )
    return faults


def _describe_change(before: str, after: str) -> str:
    if not before:
        return "was created since the plan was made"
    if not after:
        return "was removed since the plan was made"
    return "was changed since the plan was made"


def _describe_plan(entry: AppliedPlan) -> Fault:
    subjects = ", ".join(entry.subjects)
    reason = f"{entry.plan} was confirmed by {entry.operator} and changed {subjects}"
    return Fault("revision", str(entry.revision), reason)
