"""Find what changed in the configuration since a plan was made.

By default a plan can be confirmed only if no other plan was confirmed since its basis,
because the operator decided on that configuration. At many changes a minute this would
refuse nearly every confirm, so a confirm may allow changes that are unrelated to the
plan; the items that the plan read or changed must be unchanged in any case. Progress of
capacity intents creates revisions as well. It counts only where it changes an item of
the plan, since otherwise a running rollout could not be paused.
"""

from lycheepost.generated.configuration import AppliedPlan, Configuration
from lycheepost.generated.operators import (
    Plan,
)
from lycheepost.operators.items import Draft, digest_item
from lycheepost.operators.planning import MAX_APPLIED_PLANS
from lycheepost.utils.documents import Fault


def find_applied_plan(configuration: Configuration, plan_id: str) -> AppliedPlan | None:
    """Return the entry of a plan in the configuration's history, if any."""
    return next(
        (entry for entry in configuration.applied_plans if entry.plan == plan_id), None
    )


def has_history_since(configuration: Configuration, revision: int) -> bool:
    """Return whether the history lists every plan confirmed after ``revision``."""
    entries = configuration.applied_plans
    return len(entries) < MAX_APPLIED_PLANS or entries[0].revision <= revision


def find_basis_changes(
    plan: Plan, configuration: Configuration, allow_unrelated: bool
) -> list[Fault]:
    """Return all changes since the plan's basis that prevent its confirm."""
    item_changes = _find_changed_items(plan, configuration)
    if allow_unrelated:
        return item_changes
    later = [
        entry
        for entry in configuration.applied_plans
        if entry.revision > plan.basis_revision
    ]
    faults = item_changes + [_describe_plan(entry) for entry in later]
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
