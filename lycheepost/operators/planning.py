"""Plan an intent: its steps, its conflicts and its estimated duration.

Planning changes nothing. A confirm applies the plan with the same functions, so that
its effect cannot differ from the plan.
"""

import dataclasses
import secrets
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lycheepost.generated.configuration import AppliedPlan, Configuration
from lycheepost.generated.intents import (
    ChangeRole,
    HoldReady,
    NewWeights,
)
from lycheepost.generated.operators import (
    Plan,
    PlanConflict,
    PlanEstimate,
    PlanState,
    PlanStep,
    WeightsFact,
)
from lycheepost.generated.settings import OperatorSettings
from lycheepost.operators.capacity_changes import (
    CapacityChange,
    apply_capacity_change,
)
from lycheepost.operators.capacity_estimates import CapacityContext, WeightsKey
from lycheepost.operators.change_results import Applied, HashForCustomer
from lycheepost.operators.changes import apply_plain_change
from lycheepost.operators.intents import Change, Intent, prefix_fault
from lycheepost.operators.items import Draft
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.documents import Fault

MAX_APPLIED_PLANS = 64
"""Number of confirmed plans in the history of a configuration.

A repeated confirm finds its plan here when the first response was lost. At 64,000
changes a day the history covers the last 86 seconds, several times the time in which a
client retries; at current sizes it covers days.
"""

_MAX_SUBJECTS_PER_PLAN = 16
"""Subjects recorded for each plan, to report changes to other operators."""

_PLACEHOLDER_HASH = "0" * 64


@dataclass(frozen=True)
class DraftedIntent:
    """An intent applied to a draft.

    Attributes:
        draft: The draft with the changes applied; still has the basis revision.
        applied: The result of each change, in order.
    """

    draft: Draft
    applied: tuple[Applied, ...]

    def conflicts(self) -> list[PlanConflict]:
        """Return the conflicts of all changes together."""
        return [conflict for item in self.applied for conflict in item.conflicts]


@dataclass(frozen=True)
class DraftContext:
    """What applying an intent needs in addition to the configuration.

    Plan and confirm build it from the same plan id and the same weight store reports,
    so that a confirm does what the plan states.

    Attributes:
        plan_id: Its last part begins the names of new capacity intents.
        weights: What the weight store reported when the plan was made.
        hash_for: Returns the hash of a caller key that the daemon generates.
    """

    plan_id: str
    wall_seconds: float
    weights: tuple[WeightsFact, ...]
    settings: OperatorSettings
    hash_for: HashForCustomer = lambda _: _PLACEHOLDER_HASH


def draft_intent(
    configuration: Configuration, intent: Intent, context: DraftContext
) -> Result[DraftedIntent, list[Fault]]:
    """Apply every change of ``intent`` to a draft, or return all faults."""
    draft = Draft(configuration)
    applied = []
    faults = []
    numbered = enumerate(zip(intent.changes, intent.prefixes, strict=True), start=1)
    for number, (change, prefix) in numbered:
        result = _apply_change(draft, change, number, context)
        if isinstance(result, Applied):
            applied.append(result)
        else:
            faults += [prefix_fault(prefix, fault) for fault in result]
    if faults:
        return Failure(faults)
    return Success(DraftedIntent(draft, tuple(applied)))


def _apply_change(
    draft: Draft, change: Change, number: int, context: DraftContext
) -> Applied | list[Fault]:
    if not isinstance(change, CapacityChange):
        return apply_plain_change(draft, change, context.hash_for)
    settings = context.settings
    capacity = CapacityContext(
        intent_name=f"{context.plan_id.rpartition('-')[2]}-{number}",
        now_wall_seconds=context.wall_seconds,
        weights={(fact.model, fact.weights_version): fact for fact in context.weights},
        drain_seconds=settings.drain_settle_seconds,
        warm_step_seconds=settings.warm_step_seconds,
    )
    return apply_capacity_change(draft, change, capacity)


def needed_weights(
    configuration: Configuration, intent: Intent
) -> frozenset[WeightsKey]:
    """Return the weights whose size and load time a plan of ``intent`` needs."""
    keys = set()
    for change in intent.changes:
        match change:
            case NewWeights(model=model, weights_version=version):
                keys.add((str(model), version))
            case HoldReady(target_group=group) | ChangeRole(target_group=group):
                keys |= {
                    (item.model, item.weights_version)
                    for item in configuration.models
                    if item.target_group == group
                }
    return frozenset(keys)


def make_plan_id(wall_seconds: float) -> str:
    """Return an unguessable plan id that sorts by creation time."""
    return f"plan-{int(wall_seconds * 1000):012x}-{secrets.token_hex(8)}"


def plan_intent(
    view: ConfigurationView, intent: Intent, context: DraftContext, operator: str = ""
) -> Result[Plan, list[Fault]]:
    """Return the plan of ``intent`` on ``view``, or all of its faults.

    Args:
        view: The configuration on which the plan is based.
        intent: The checked intent.
        context: The plan's id, the time, and what the weight store reported.
        operator: Name of the requesting operator, shown to other operators.
    """
    drafted = draft_intent(view.configuration, intent, context)
    return drafted.map(
        lambda outcome: _make_plan(view, intent, outcome, context, operator)
    )


def _make_plan(
    view: ConfigurationView,
    intent: Intent,
    drafted: DraftedIntent,
    context: DraftContext,
    operator: str,
) -> Plan:
    wall_seconds = context.wall_seconds
    return Plan(
        plan_id=context.plan_id,
        state=PlanState.PLANNED,
        basis_revision=view.configuration.revision,
        created_wall_seconds=wall_seconds,
        expires_wall_seconds=wall_seconds + context.settings.plan_seconds,
        steps=[
            PlanStep(
                number=number,
                action=item.action,
                subject=item.subject,
                detail=item.detail,
                estimate_seconds=item.seconds,
            )
            for number, item in enumerate(drafted.applied, start=1)
        ],
        estimate=_make_estimate(drafted, wall_seconds),
        conflicts=drafted.conflicts(),
        changes=list(intent.documents),
        basis=drafted.draft.basis(),
        weights=list(context.weights),
        note=intent.note,
        planned_by=operator,
    )


def _make_estimate(drafted: DraftedIntent, wall_seconds: float) -> PlanEstimate:
    # Changes of different groups run in parallel, those of one group in sequence: the
    # longest change is a lower bound.
    seconds = max((item.seconds for item in drafted.applied), default=0.0)
    return PlanEstimate(
        n_steps=len(drafted.applied),
        seconds=seconds,
        ready_wall_seconds=wall_seconds + seconds if seconds else 0.0,
    )


def record_plan(
    configuration: Configuration, plan: Plan, operator: str, confirm_token_hash: str
) -> Configuration:
    """Return the next revision of ``configuration``, with ``plan`` in its history."""
    revision = configuration.revision + 1
    entry = AppliedPlan(
        plan=plan.plan_id,
        revision=revision,
        operator=operator,
        confirm_token_hash=confirm_token_hash,
        subjects=[step.subject for step in plan.steps][:_MAX_SUBJECTS_PER_PLAN],
    )
    kept = [*configuration.applied_plans, entry][-MAX_APPLIED_PLANS:]
    return dataclasses.replace(configuration, revision=revision, applied_plans=kept)
