"""Confirm a plan: apply it exactly once despite retries, races and lost responses.

The revision that applies a plan records the plan's id, so the change and its record are
written together or not at all. A repeated confirm, on any daemon, checks this record
first. The plan's row is marked before the commit, which distinguishes a confirm that
was never attempted from one whose record was dropped from the history. It is marked
again after the commit, so that the result stays available after the configuration's
short history has dropped it.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import PlanId, Revision
from lycheepost.generated.configuration import (
    AppliedPlan,
    CapacityIntentKind,
    Configuration,
)
from lycheepost.generated.operators import (
    ConfirmAnswer,
    OperatorErrorKind,
    Plan,
    PlanConflict,
    PlanState,
    ShownKey,
)
from lycheepost.operators.access import Operator
from lycheepost.operators.basis import (
    find_applied_plan,
    find_basis_changes,
    has_history_since,
)
from lycheepost.operators.callerkeys import derive_caller_key
from lycheepost.operators.errors import OperatorError
from lycheepost.operators.intents import parse_intent
from lycheepost.operators.planning import (
    DraftContext,
    draft_intent,
    record_plan,
)
from lycheepost.operators.plans import (
    RETRY_SECONDS,
    PlanRowChanged,
    PlanStore,
    StoredPlan,
)
from lycheepost.operators.ports import OperatorDeps
from lycheepost.state.errors import BasisMoved, CommitUnknown
from lycheepost.utils.documents import Fault
from lycheepost.utils.keys import hash_key

_MAX_ROUNDS = 4
"""Maximum rounds of one confirm when other commits interfere. Each lost round means
that another revision was committed; at 0.74 revisions a second, losing more than a few
in a row points to another problem."""

_log = structlog.get_logger(part="operators")


@dataclass(frozen=True)
class ConfirmCall:
    """One call to confirm.

    Attributes:
        token: The call's idempotency key; retries carry the same one.
        allow_unrelated: Whether other plans may have been confirmed since, as long as
            no item that this plan read or changed has changed.
    """

    plan_id: PlanId
    operator: Operator
    token: str
    allow_unrelated: bool = False

    @property
    def token_hash(self) -> str:
        """Return the hash of the token, which is what is stored."""
        return hashlib.sha256(self.token.encode()).hexdigest()


async def confirm_plan(
    deps: OperatorDeps, store: PlanStore, call: ConfirmCall
) -> Result[ConfirmAnswer, OperatorError]:
    """Apply the plan of ``call`` unless it was applied before; return the result."""
    for _ in range(_MAX_ROUNDS):
        loaded = await store.load(call.plan_id)
        if not isinstance(loaded, Success):
            return Failure(loaded.failure())
        outcome = await _try_confirm(deps, store, call, loaded.unwrap())
        if outcome is not None:
            return outcome
    return Failure(
        OperatorError(
            "Other changes came in between several times.",
            OperatorErrorKind.STORE_UNAVAILABLE,
            is_applied=None,
            retry_after_seconds=RETRY_SECONDS,
        )
    )


async def _try_confirm(
    deps: OperatorDeps, store: PlanStore, call: ConfirmCall, stored: StoredPlan
) -> Result[ConfirmAnswer, OperatorError] | None:
    """Run one round; return None if a concurrent change requires another."""
    plan = stored.plan
    record = await _find_applied_record(deps, plan)
    if isinstance(record, OperatorError):
        return Failure(record)
    if record is not None:
        await _mark_applied(store, stored, record)
        return Success(_make_answer(call, plan, record))
    refused = _check_confirmable(deps, call, plan)
    if refused is not None:
        return Failure(refused)
    marked = await store.replace(
        stored,
        dataclasses.replace(
            plan, state=PlanState.CONFIRMING, confirmed_by=call.operator.name
        ),
    )
    if not isinstance(marked, Success):
        error = marked.failure()
        return None if isinstance(error, PlanRowChanged) else Failure(error)
    return await _commit(deps, store, call, marked.unwrap())


async def _find_applied_record(
    deps: OperatorDeps, plan: Plan
) -> AppliedPlan | OperatorError | None:
    """Return the record of an applied plan; None if it was certainly not applied.

    A plan marked as confirming may have been applied by a daemon that crashed before
    marking it as applied, at a revision that this daemon has not seen. So the head
    revision is read before None is returned.
    """
    if plan.state is PlanState.APPLIED:
        return AppliedPlan(
            plan=plan.plan_id,
            revision=plan.revision,
            operator=plan.confirmed_by,
            confirm_token_hash=plan.confirm_token_hash,
        )
    is_behind = deps.revisions.view.configuration.revision < plan.basis_revision
    if plan.state is PlanState.CONFIRMING or is_behind:
        refreshed = await deps.revisions.refresh()
        if not isinstance(refreshed, Success):
            return _store_error(refreshed.failure().reason, is_applied=None)
    configuration = deps.revisions.view.configuration
    entry = find_applied_plan(configuration, plan.plan_id)
    if entry is not None or plan.state is PlanState.PLANNED:
        return entry
    if has_history_since(configuration, plan.basis_revision):
        return None
    return OperatorError(
        "An earlier confirm may have applied this plan; too many came after it to"
        " tell. Look at the configuration, and plan again what is missing.",
        OperatorErrorKind.UNDETERMINED,
        is_applied=None,
    )


def _check_confirmable(
    deps: OperatorDeps, call: ConfirmCall, plan: Plan
) -> OperatorError | None:
    if deps.clock.wall_seconds() > plan.expires_wall_seconds:
        return OperatorError(
            "The plan has expired; plan again.", OperatorErrorKind.PLAN_EXPIRED
        )
    blocked = _check_conflicts(plan.conflicts)
    if blocked is not None:
        return blocked
    configuration = deps.revisions.view.configuration
    return _check_basis(plan, configuration, call.allow_unrelated)


def _check_conflicts(conflicts: Iterable[PlanConflict]) -> OperatorError | None:
    blocking = [item for item in conflicts if item.is_blocking]
    if not blocking:
        return None
    return OperatorError(
        "Conflicts block the plan.",
        OperatorErrorKind.CONFLICT,
        tuple(Fault(item.subject, "", item.reason) for item in blocking),
    )


def _check_basis(
    plan: Plan, configuration: Configuration, allow_unrelated: bool
) -> OperatorError | None:
    basis_changes = find_basis_changes(plan, configuration, allow_unrelated)
    if not basis_changes:
        return None
    return OperatorError(
        f"The configuration moved from revision {plan.basis_revision} to"
        f" {configuration.revision}; plan again.",
        OperatorErrorKind.BASIS_MOVED,
        tuple(basis_changes),
    )


async def _commit(
    deps: OperatorDeps, store: PlanStore, call: ConfirmCall, stored: StoredPlan
) -> Result[ConfirmAnswer, OperatorError] | None:
    plan = stored.plan
    basis = deps.revisions.view.configuration
    # The configuration may have changed during the row write.
    refused = _check_basis(plan, basis, call.allow_unrelated)
    if refused is not None:
        return Failure(refused)
    intent = parse_intent({"changes": plan.changes}).unwrap()
    context = DraftContext(
        plan_id=plan.plan_id,
        wall_seconds=deps.clock.wall_seconds(),
        weights=tuple(plan.weights),
        settings=deps.settings,
        hash_for=lambda customer: hash_key(_derive_key(call, customer)),
    )
    drafted = draft_intent(basis, intent, context)
    if not isinstance(drafted, Success):
        reason = "The plan no longer fits the configuration; plan again."
        faults = tuple(drafted.failure())
        return Failure(OperatorError(reason, OperatorErrorKind.BASIS_MOVED, faults))
    # Two plans that change different targets of one group may each leave enough of them
    # serving but together too few, so conflicts are checked again on the head revision.
    blocked = _check_conflicts(drafted.unwrap().conflicts())
    if blocked is not None:
        return Failure(blocked)
    changed = record_plan(
        drafted.unwrap().draft.finish(), plan, call.operator.name, call.token_hash
    )
    outcome = await deps.revisions.commit(Revision(basis.revision), changed)
    if isinstance(outcome, Success):
        entry = changed.applied_plans[-1]
        await _mark_applied(store, stored, entry)
        _log.info(
            "operators: plan applied",
            plan=plan.plan_id,
            revision=entry.revision,
            operator=call.operator.name,
        )
        return Success(_make_answer(call, plan, entry))
    return await _after_failed_commit(deps, outcome.failure())


async def _after_failed_commit(
    deps: OperatorDeps, error: Exception
) -> Result[ConfirmAnswer, OperatorError] | None:
    if isinstance(error, BasisMoved):
        refreshed = await deps.revisions.refresh()
        if isinstance(refreshed, Success):
            return None
        return Failure(_store_error(str(refreshed.failure()), is_applied=None))
    is_applied = None if isinstance(error, CommitUnknown) else False
    return Failure(_store_error(str(error), is_applied))


async def _mark_applied(
    store: PlanStore, stored: StoredPlan, entry: AppliedPlan
) -> None:
    """Mark the plan's row as applied; a failure is only logged.

    The revision itself records the plan; the row only keeps the record for longer.
    """
    if stored.plan.state is PlanState.APPLIED:
        return
    applied = dataclasses.replace(
        stored.plan,
        state=PlanState.APPLIED,
        revision=entry.revision,
        confirmed_by=entry.operator,
        confirm_token_hash=entry.confirm_token_hash,
    )
    outcome = await store.replace(stored, applied)
    if not isinstance(outcome, Success):
        _log.warning(
            "operators: plan row not marked as applied", plan=stored.plan.plan_id
        )


def _make_answer(call: ConfirmCall, plan: Plan, entry: AppliedPlan) -> ConfirmAnswer:
    customers = [
        change["customer"]
        for change in plan.changes
        if change["kind"] in ("create_customer", "rotate_customer_key")
        and not change.get("key_hash")
    ]
    is_same_call = (entry.operator, entry.confirm_token_hash) == (
        call.operator.name,
        call.token_hash,
    )
    shown = customers if is_same_call else []
    return ConfirmAnswer(
        plan_id=plan.plan_id,
        revision=entry.revision,
        keys=[
            ShownKey(customer=customer, key=_derive_key(call, customer))
            for customer in shown
        ],
        n_keys_withheld=len(customers) - len(shown),
        intents=[
            step.subject.partition("/")[2]
            for step in plan.steps
            if step.action in set(CapacityIntentKind)
        ],
    )


def _derive_key(call: ConfirmCall, customer: str) -> str:
    return derive_caller_key(call.operator.key, call.token, call.plan_id, customer)


def _store_error(reason: str, is_applied: bool | None) -> OperatorError:
    return OperatorError(
        f"The table service did not answer: {reason}",
        OperatorErrorKind.STORE_UNAVAILABLE,
        is_applied=is_applied,
        retry_after_seconds=RETRY_SECONDS,
    )
