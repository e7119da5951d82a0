"""Pause, resume and cancel capacity intents."""

import dataclasses

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentState,
    CapacityStepState,
)
from lycheepost.generated.intents import (
    CancelIntent,
    PauseIntent,
    ResumeIntent,
)
from lycheepost.operators.capacity_estimates import CapacityContext
from lycheepost.operators.capacity_group import UNFINISHED
from lycheepost.operators.change_results import Applied, ChangeResult, check_present
from lycheepost.operators.items import Draft
from lycheepost.utils.documents import Fault

IntentControl = PauseIntent | ResumeIntent | CancelIntent

_ALLOWED_STATES = {
    PauseIntent: {CapacityIntentState.SCHEDULED, CapacityIntentState.RUNNING},
    ResumeIntent: {CapacityIntentState.PAUSED, CapacityIntentState.FAILED},
    CancelIntent: set(UNFINISHED),
}
_NEXT_STATE = {
    PauseIntent: CapacityIntentState.PAUSED,
    CancelIntent: CapacityIntentState.CANCELLED,
}
_ACTION_NAME = {
    PauseIntent: "pause_intent",
    ResumeIntent: "resume_intent",
    CancelIntent: "cancel_intent",
}


def control_intent(
    draft: Draft, change: IntentControl, context: CapacityContext
) -> ChangeResult:
    """Pause, resume or cancel an intent."""
    subject = f"capacity_intents/{change.intent}"
    faults = check_present(draft, subject, "intent")
    if faults:
        return faults
    intent = draft.find(subject)
    kind = type(change)
    if intent.state not in _ALLOWED_STATES[kind]:
        return [Fault("intent", change.intent, f"is {intent.state.value}")]
    if isinstance(change, ResumeIntent):
        draft.put(_resume(intent))
    else:
        ended_seconds = 0.0
        if isinstance(change, CancelIntent):
            ended_seconds = context.now_wall_seconds
        draft.put(
            dataclasses.replace(
                intent, state=_NEXT_STATE[kind], ended_wall_seconds=ended_seconds
            )
        )
    n_open = sum(step.state is not CapacityStepState.DONE for step in intent.steps)
    detail = f"{intent.kind.value}, {n_open} of {len(intent.steps)} steps open"
    return Applied(_ACTION_NAME[kind], subject, detail)


def _resume(intent: CapacityIntent) -> CapacityIntent:
    """Return the intent in running state, with its failed steps to be retried."""
    steps = [
        dataclasses.replace(step, state=CapacityStepState.WAITING, note="")
        if step.state is CapacityStepState.FAILED
        else step
        for step in intent.steps
    ]
    state = CapacityIntentState.RUNNING
    if not steps:
        state = CapacityIntentState.SCHEDULED
    return dataclasses.replace(intent, state=state, steps=steps, note="")
