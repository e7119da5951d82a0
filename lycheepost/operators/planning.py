"""Plan an intent: what it would do, what stands against it, how long it takes.

Planning changes nothing. The same functions apply a plan when it is confirmed,
so that a plan cannot say one thing and its confirm do another.
"""

import dataclasses
import secrets
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lycheepost.generated.configuration import AppliedPlan, Configuration
from lycheepost.generated.operators import (
    Plan,
    PlanConflict,
    PlanEstimate,
    PlanState,
    PlanStep,
)
from lycheepost.operators.change_results import Applied, HashForCustomer
from lycheepost.operators.changes import apply_plain_change
from lycheepost.operators.intents import Change, Intent, prefix_fault
from lycheepost.operators.items import Draft
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.documents import Fault

KEPT_APPLIED_PLANS = 64
"""Confirmed plans that a configuration remembers.

A repeated confirm finds its plan here when the first answer was lost. At 64,000
changes a day that is the last 86 seconds, several times the time in which a
client repeats a call; at today's sizes it is days.
"""

_KEPT_SUBJECTS = 16
"""Subjects remembered of each plan, to tell another operator what moved."""

_PLACEHOLDER_HASH = "0" * 64


@dataclass(frozen=True)
class Drafted:
    """An intent applied to a draft.

    Attributes:
        draft: With the changes made; the revision is still the basis.
        applied: What each change did, in order.
    """

    draft: Draft
    applied: tuple[Applied, ...]

    def conflicts(self) -> list[PlanConflict]:
        """Return what stands against the changes, taken together."""
        return [conflict for item in self.applied for conflict in item.conflicts]


def draft_intent(
    configuration: Configuration, intent: Intent, hash_for: HashForCustomer
) -> Result[Drafted, list[Fault]]:
    """Apply every change of ``intent`` to a draft, or return every fault."""
    draft = Draft(configuration)
    applied = []
    faults = []
    for change, prefix in zip(intent.changes, intent.prefixes, strict=True):
        result = _apply_change(draft, change, hash_for)
        if isinstance(result, Applied):
            applied.append(result)
        else:
            faults += [prefix_fault(prefix, fault) for fault in result]
    if faults:
        return Failure(faults)
    return Success(Drafted(draft, tuple(applied)))


def _apply_change(
    draft: Draft, change: Change, hash_for: HashForCustomer
) -> Applied | list[Fault]:
    return apply_plain_change(draft, change, hash_for)  # type: ignore[arg-type]


def make_plan_id(wall_seconds: float) -> str:
    """Return a plan id that sorts by the time it was made and is unguessable."""
    return f"plan-{int(wall_seconds * 1000):012x}-{secrets.token_hex(8)}"


def plan_intent(
    view: ConfigurationView,
    intent: Intent,
    wall_seconds: float,
    plan_seconds: float,
    operator: str = "",
) -> Result[Plan, list[Fault]]:
    """Return the plan of ``intent`` on ``view``, or every fault of it.

    Args:
        view: The configuration that the plan builds on.
        intent: The checked intent.
        wall_seconds: Now, as seconds since the Unix epoch.
        plan_seconds: How long the plan may be confirmed.
        operator: Who asks, for other operators to read.
    """
    drafted = draft_intent(view.configuration, intent, lambda _: _PLACEHOLDER_HASH)
    return drafted.map(
        lambda outcome: dataclasses.replace(
            _make_plan(view, intent, outcome, wall_seconds, plan_seconds),
            planned_by=operator,
        )
    )


def _make_plan(
    view: ConfigurationView,
    intent: Intent,
    drafted: Drafted,
    wall_seconds: float,
    plan_seconds: float,
) -> Plan:
    steps = [
        PlanStep(
            number=number,
            action=item.action,
            subject=item.subject,
            detail=item.detail,
            estimate_seconds=item.seconds,
        )
        for number, item in enumerate(drafted.applied, start=1)
    ]
    seconds = max((item.seconds for item in drafted.applied), default=0.0)
    return Plan(
        plan_id=make_plan_id(wall_seconds),
        state=PlanState.PLANNED,
        basis_revision=view.configuration.revision,
        created_wall_seconds=wall_seconds,
        expires_wall_seconds=wall_seconds + plan_seconds,
        steps=steps,
        estimate=PlanEstimate(
            n_steps=len(steps),
            seconds=seconds,
            ready_wall_seconds=wall_seconds + seconds if seconds else 0.0,
        ),
        conflicts=drafted.conflicts(),
        changes=list(intent.documents),
        basis=drafted.draft.basis(),
        note=intent.note,
    )


def remember_plan(
    configuration: Configuration, plan: Plan, operator: str, confirm_token_hash: str
) -> Configuration:
    """Return ``configuration`` as the next revision, made by ``plan``."""
    revision = configuration.revision + 1
    entry = AppliedPlan(
        plan=plan.plan_id,
        revision=revision,
        operator=operator,
        confirm_token_hash=confirm_token_hash,
        subjects=[step.subject for step in plan.steps][:_KEPT_SUBJECTS],
    )
    kept = [*configuration.applied_plans, entry][-KEPT_APPLIED_PLANS:]
    return dataclasses.replace(configuration, revision=revision, applied_plans=kept)
